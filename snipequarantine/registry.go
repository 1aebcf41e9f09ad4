package snipequarantine

import (
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// Bounds of a Registry.
const (
	// maxRecords bounds the records; the one that is released first gives way.
	maxRecords = 10000
	// maxAttempts bounds the attempts in flight that are known.
	maxAttempts = 200000
	// maxLingering is how many upstreams may hold abandoned attempts of a
	// fingerprint while another one starts it.
	maxLingering = 1
	// askAgain is how long an attempt waits for another one to end.
	askAgain = 500 * time.Millisecond
)

// Registry is what an instance knows as the coordinator of fingerprints, and of
// crashes in the whole system. Exported fields are set before the first call.
// Its decisions do no I/O; it is safe for concurrent use.
type Registry struct {
	// Self is the member that this instance is.
	Self string
	// Settle is how long after a crash, or a change of the members, a suspect
	// does not start: by then every instance has heard and has moved its
	// attempts to their new coordinator.
	Settle time.Duration
	// Linger is how long an abandoned attempt may still crash its upstream.
	Linger time.Duration
	// Hold is how long a fingerprint is remembered after its last crash.
	Hold time.Duration
	// Announce passes a record on to all instances; nil for none.
	Announce func(f Fingerprint, record []byte, ttl time.Duration)

	lock     sync.Mutex // guards the fields below; not held during Announce
	attempts int
	active   map[Fingerprint]map[string]*attempt
	records  map[Fingerprint]*record
	members  []Member
	changed  time.Time // when members last changed
}

// attempt is an attempt that may still run.
type attempt struct {
	Attempt
	// started tells that the attempt may have begun to run.
	started bool
	// counted tells that the crash of its upstream has been counted already.
	counted bool
	// abandoned tells that nobody waits for the attempt any more.
	abandoned bool
	// until is when the attempt is forgotten.
	until time.Time
}

// Begin decides whether an attempt may start.
func (r *Registry) Begin(a Attempt) Verdict {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	r.setup(now)
	crashes, known := 0, r.recordOf(a.Fingerprint, now)
	if known != nil {
		crashes = known.open()
	}
	switch {
	case a.Started:
		return r.turn(a)
	case a.Moved || a.Alone:
		if r.active[a.Fingerprint][a.ID] == nil {
			r.start(a, now).started = a.Moved
		}
		return Verdict{Decision: Run}
	case crashes >= quarantineCrashes:
		return Verdict{Decision: Quarantined, Wait: known.until.Sub(now)}
	case crashes > 0:
		return r.beginSuspect(a, known, now)
	case r.attempts >= maxAttempts:
		return Verdict{Decision: Wait, Wait: askAgain}
	}
	return r.beginFresh(a, now)
}

// beginFresh decides about an attempt whose fingerprint has crashed nothing.
// The lock is held.
func (r *Registry) beginFresh(a Attempt, now time.Time) Verdict {
	v := Verdict{Decision: Run}
	var lingering []string
	for _, other := range r.running(a.Fingerprint, now) {
		if !other.abandoned {
			v.Upstream, a.Upstream, a.Mark = other.Upstream, other.Upstream, other.Mark
			break
		}
		if other.Upstream != a.Upstream && !slices.Contains(lingering, other.Upstream) {
			lingering = append(lingering, other.Upstream)
		}
	}
	if v.Upstream == "" && len(lingering) > maxLingering {
		return Verdict{Decision: Wait, Wait: askAgain}
	}
	a.Alone = false
	r.start(a, now).started = true
	return v
}

// beginSuspect decides about an attempt of a suspect. The lock is held.
func (r *Registry) beginSuspect(a Attempt, known *record, now time.Time) Verdict {
	settled := known.last
	if r.changed.After(settled) {
		settled = r.changed
	}
	if wait := settled.Add(r.Settle).Sub(now); wait > 0 {
		return Verdict{Decision: Wait, Wait: wait}
	}
	if len(r.running(a.Fingerprint, now)) > 0 || !r.leads(a.Fingerprint) {
		return Verdict{Decision: Wait, Wait: askAgain}
	}
	a.Alone = true
	r.start(a, now)
	return Verdict{Decision: RunAlone}
}

// turn notes that a suspect's turn at its upstream has come. Only then can it
// crash the upstream: whatever happens before is another's. The lock is held.
func (r *Registry) turn(a Attempt) Verdict {
	known := r.active[a.Fingerprint][a.ID]
	if known == nil || !known.Alone || known.abandoned {
		return Verdict{Decision: Wait, Wait: askAgain}
	}
	known.started = true
	return Verdict{Decision: RunAlone}
}

// leads reports whether this instance is a fingerprint's first coordinator.
func (r *Registry) leads(f Fingerprint) bool {
	all := Coordinators(f, r.members)
	return len(all) == 0 || all[0].ID == r.Self
}

// Finish takes the end of an attempt. It also takes ends of attempts that this
// instance does not know, as a coordinator that is new. It returns the
// fingerprint's record when there is one, so that the teller keeps it too.
func (r *Registry) Finish(a Attempt, e End) []byte {
	r.lock.Lock()
	now := time.Now()
	r.setup(now)
	changed := r.finish(a, e, now)
	var data []byte
	var ttl time.Duration
	if known := r.recordOf(a.Fingerprint, now); known != nil {
		data, ttl = known.encode(now), known.until.Sub(now)
	}
	r.lock.Unlock()
	if changed && r.Announce != nil {
		r.Announce(a.Fingerprint, data, ttl)
	}
	return data
}

// finish reports whether the fingerprint's record has changed. The lock is
// held.
func (r *Registry) finish(a Attempt, e End, now time.Time) bool {
	known := r.active[a.Fingerprint][a.ID]
	switch e {
	case Abandoned:
		r.abandon(a, known, now)
		return false
	case Withdrawn:
		if known != nil && known.Alone {
			known.started = false
		}
		return false
	case Crashed:
		return r.crash(a, known, now)
	}
	r.remove(a.Fingerprint, a.ID)
	record := r.recordOf(a.Fingerprint, now)
	if e != Answered || known == nil || !known.Alone || record == nil {
		return false
	}
	record.clear()
	return true
}

// abandon keeps an attempt that may still run. The lock is held.
func (r *Registry) abandon(a Attempt, known *attempt, now time.Time) {
	if known == nil {
		record := r.recordOf(a.Fingerprint, now)
		if record != nil && record.find(crashID(a.ID, a.Upstream)) != nil {
			// Its upstream's owner has told of the crash already.
			return
		}
		known = r.start(a, now)
		known.started = true
	}
	known.abandoned = true
	known.until = now.Add(r.Linger)
}

// crash counts a crash unless it has been counted, and reports whether it has
// changed the record. The lock is held.
func (r *Registry) crash(a Attempt, known *attempt, now time.Time) bool {
	if known != nil && !known.started {
		// Others crashed the upstream while the suspect waited for its turn.
		// The attempt is kept as counted, since there may be more reports.
		known.counted, known.until = true, now.Add(r.Linger)
		return false
	}
	r.remove(a.Fingerprint, a.ID)
	if known != nil && known.counted {
		return false
	}
	record := r.recordOf(a.Fingerprint, now)
	if record == nil {
		record = r.newRecord(a.Fingerprint)
	}
	upstream := sniperoute.Hash(a.Upstream)
	if !a.Alone && record.at(upstream, now.Add(-r.Linger)) {
		// Another attempt has told of the same crash.
		return false
	}
	for _, other := range r.active[a.Fingerprint] {
		other.counted = other.counted || other.Upstream == a.Upstream
	}
	record.extend(now.Add(r.Hold))
	return record.add(crash{id: crashID(a.ID, a.Upstream), upstream: upstream, when: now}, now)
}

// SetMembers takes the live instances. It returns the attempts whose entry
// instance is gone: whether their upstreams have survived them is to be found
// out, and told by Finish.
func (r *Registry) SetMembers(members []Member) []Attempt {
	sorted := slices.SortedFunc(slices.Values(members), compareMembers)
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	r.setup(now)
	r.sweep(now)
	if slices.Equal(sorted, r.members) {
		return nil
	}
	r.members, r.changed = sorted, now
	var orphans []Attempt
	for _, all := range r.active {
		for _, a := range all {
			if !a.abandoned && !r.member(a.Entry) {
				r.abandon(a.Attempt, a, now)
				orphans = append(orphans, a.Attempt)
			}
		}
	}
	return orphans
}

func (r *Registry) member(id string) bool {
	return slices.ContainsFunc(r.members, func(m Member) bool { return m.ID == id })
}

// Merge takes a record that another instance has announced.
func (r *Registry) Merge(f Fingerprint, data []byte) error {
	in, err := DecodeRecord(data, r.Hold)
	if err != nil {
		return err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	r.setup(now)
	known := r.recordOf(f, now)
	if known == nil {
		if in.ReleaseMilliseconds == 0 {
			return nil
		}
		known = r.newRecord(f)
	}
	known.extend(now.Add(time.Duration(in.ReleaseMilliseconds) * time.Millisecond))
	for _, c := range in.Crashes {
		when := now.Add(-time.Duration(c.AgeMilliseconds) * time.Millisecond)
		known.add(crash{id: c.ID, upstream: c.Upstream, when: when, cleared: c.Cleared}, now)
	}
	return nil
}

// Refuses returns how long a fingerprint stays in quarantine, as far as this
// instance knows.
func (r *Registry) Refuses(f Fingerprint) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	known := r.recordOf(f, now)
	if known == nil || known.open() < quarantineCrashes {
		return 0, false
	}
	return known.until.Sub(now), true
}

// Suspects reports whether a fingerprint has a crash that is not cleared.
func (r *Registry) Suspects(f Fingerprint) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	known := r.recordOf(f, time.Now())
	return known != nil && known.open() > 0
}

// Counts returns the numbers of records and of attempts that may still run.
func (r *Registry) Counts() (records, attempts int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.records), r.attempts
}
