package snipequarantine

import (
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// Limits of a Registry.
const (
	// maxRecords bounds the records; a new record replaces the one that would be
	// released first.
	maxRecords = 10000
	// maxAttempts is the number of known attempts from which on no attempt of an
	// unsuspected fingerprint starts. Attempts of suspects, and those that another
	// coordinator has permitted, are registered beyond it.
	maxAttempts = 200000
	// maxLingering bounds the other upstreams at which abandoned attempts of a
	// fingerprint may still run when a new attempt of it starts.
	maxLingering = 1
	// retryInterval is how long an attempt waits before it asks again, for example for
	// the end of another attempt.
	retryInterval = 500 * time.Millisecond
)

// Registry holds the attempts of the fingerprints that an instance coordinates, and the
// crashes known in the whole system. Exported fields are set before the first call. Its
// decisions do no I/O; it is safe for concurrent use.
type Registry struct {
	// Self is this instance's member ID.
	Self string
	// SettleTime is how long after a crash or a change of the members no suspect starts.
	// It must be long enough for every instance to receive the crash and to move its
	// attempts to their new coordinators.
	SettleTime time.Duration
	// Linger is how long an abandoned attempt may still crash its upstream.
	Linger time.Duration
	// Retention is how long the record of a fingerprint is kept after its last crash.
	Retention time.Duration
	// Announce sends a changed record to all instances; nil sends nothing. Finish waits
	// for it to return.
	Announce func(f Fingerprint, record []byte, ttl time.Duration)

	lock           sync.Mutex // guards the fields below; not held during Announce
	attempts       int
	active         map[Fingerprint]map[string]*attempt
	records        map[Fingerprint]*record
	members        []Member
	membersChanged time.Time // when members last changed
}

// attempt is an attempt that may still run.
type attempt struct {
	Attempt
	// started means that the attempt may have begun to run.
	started bool
	// counted means that a further report of a crash of the attempt's upstream is not
	// counted, because the crash is already counted or was caused by another call.
	counted bool
	// abandoned means that the attempt is no longer awaited.
	abandoned bool
	// expires is when the attempt is forgotten.
	expires time.Time
}

// Begin decides whether an attempt may start. It only registers an attempt that a
// coordinator has already permitted (Moved or Alone), and only records the start of one
// that runs alone (Started).
func (r *Registry) Begin(a Attempt) Verdict {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	r.initialize(now)
	crashes, known := 0, r.recordOf(a.Fingerprint, now)
	if known != nil {
		crashes = known.uncleared()
	}
	switch {
	case a.Started:
		return r.recordStart(a)
	case a.Moved || a.Alone:
		if r.active[a.Fingerprint][a.ID] == nil {
			r.addAttempt(a, now).started = a.Moved
		}
		return Verdict{Decision: Run}
	case crashes >= quarantineCrashes:
		return Verdict{Decision: Quarantined, Wait: known.expires.Sub(now)}
	case crashes > 0:
		return r.beginSuspect(a, known, now)
	case r.attempts >= maxAttempts:
		return Verdict{Decision: Wait, Wait: retryInterval}
	}
	return r.beginUnsuspected(a, now)
}

// beginUnsuspected decides about an attempt whose fingerprint has no uncleared crash. If
// another attempt of the fingerprint is in flight and awaited, the attempt must run at
// the same upstream. Otherwise it waits while abandoned attempts may still run at more
// than maxLingering other upstreams. The lock is held.
func (r *Registry) beginUnsuspected(a Attempt, now time.Time) Verdict {
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
		return Verdict{Decision: Wait, Wait: retryInterval}
	}
	a.Alone = false
	r.addAttempt(a, now).started = true
	return v
}

// beginSuspect decides about an attempt of a suspect. It may run alone if SettleTime has
// passed, no other attempt of the suspect may still run, and this instance is the first
// coordinator; otherwise it waits. The lock is held.
func (r *Registry) beginSuspect(a Attempt, known *record, now time.Time) Verdict {
	settled := known.lastAdded
	if r.membersChanged.After(settled) {
		settled = r.membersChanged
	}
	if wait := settled.Add(r.SettleTime).Sub(now); wait > 0 {
		return Verdict{Decision: Wait, Wait: wait}
	}
	if len(r.running(a.Fingerprint, now)) > 0 || !r.leads(a.Fingerprint) {
		return Verdict{Decision: Wait, Wait: retryInterval}
	}
	a.Alone = true
	r.addAttempt(a, now)
	return Verdict{Decision: RunAlone}
}

// recordStart records that the owner has admitted a suspect at its upstream. Only from
// then on can the suspect crash the upstream; an earlier crash is caused by another
// call. The lock is held.
func (r *Registry) recordStart(a Attempt) Verdict {
	known := r.active[a.Fingerprint][a.ID]
	if known == nil || !known.Alone || known.abandoned {
		return Verdict{Decision: Wait, Wait: retryInterval}
	}
	known.started = true
	return Verdict{Decision: RunAlone}
}

// leads reports whether this instance is a fingerprint's first coordinator. It is also
// true as long as no members are set.
func (r *Registry) leads(f Fingerprint) bool {
	all := Coordinators(f, r.members)
	return len(all) == 0 || all[0].ID == r.Self
}

// Finish records the end of an attempt. It accepts attempts that this instance does not
// know, because this instance may have become their coordinator recently. It returns
// the encoded record of the fingerprint, or nil if there is none, so that the reporting
// instance keeps the record too.
func (r *Registry) Finish(a Attempt, e End) []byte {
	r.lock.Lock()
	now := time.Now()
	r.initialize(now)
	changed := r.finish(a, e, now)
	var data []byte
	var ttl time.Duration
	if known := r.recordOf(a.Fingerprint, now); known != nil {
		data, ttl = known.encode(now), known.expires.Sub(now)
	}
	r.lock.Unlock()
	if changed && r.Announce != nil {
		r.Announce(a.Fingerprint, data, ttl)
	}
	return data
}

// finish records the end of an attempt and reports whether the fingerprint's record has
// changed. The lock is held.
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
	r.removeAttempt(a.Fingerprint, a.ID)
	record := r.recordOf(a.Fingerprint, now)
	if e != Answered || known == nil || !known.Alone || record == nil {
		return false
	}
	record.clear()
	return true
}

// abandon marks an attempt as abandoned and keeps it for Linger, since it may still
// run. The lock is held.
func (r *Registry) abandon(a Attempt, known *attempt, now time.Time) {
	if known == nil {
		record := r.recordOf(a.Fingerprint, now)
		if record != nil && record.find(crashID(a.ID, a.Upstream)) != nil {
			// The owner of the upstream has already reported the crash.
			return
		}
		known = r.addAttempt(a, now)
		known.started = true
	}
	known.abandoned = true
	known.expires = now.Add(r.Linger)
}

// crash counts a crash unless it is already counted, and reports whether the record has
// changed. The lock is held.
func (r *Registry) crash(a Attempt, known *attempt, now time.Time) bool {
	if known != nil && !known.started {
		// Other calls crashed the upstream while the suspect waited there. The attempt
		// is kept as counted, because further reports of the crash may follow.
		known.counted, known.expires = true, now.Add(r.Linger)
		return false
	}
	r.removeAttempt(a.Fingerprint, a.ID)
	if known != nil && known.counted {
		return false
	}
	record := r.recordOf(a.Fingerprint, now)
	if record == nil {
		record = r.newRecord(a.Fingerprint)
	}
	upstream := sniperoute.Hash(a.Upstream)
	if !a.Alone && record.crashedAfter(upstream, now.Add(-r.Linger)) {
		// Another attempt has already reported this crash.
		return false
	}
	for _, other := range r.active[a.Fingerprint] {
		other.counted = other.counted || other.Upstream == a.Upstream
	}
	record.extend(now.Add(r.Retention))
	return record.add(crash{id: crashID(a.ID, a.Upstream), upstream: upstream, when: now}, now)
}

// SetMembers sets the live instances and removes expired attempts and records. If the
// members have changed, it marks the attempts whose entry instance is gone as abandoned
// and returns them. The caller verifies whether their upstreams have survived and
// reports crashes to Finish.
func (r *Registry) SetMembers(members []Member) []Attempt {
	sorted := slices.SortedFunc(slices.Values(members), compareMembers)
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	r.initialize(now)
	r.sweep(now)
	if slices.Equal(sorted, r.members) {
		return nil
	}
	r.members, r.membersChanged = sorted, now
	var orphans []Attempt
	for _, all := range r.active {
		for _, a := range all {
			if !a.abandoned && !r.isMember(a.Entry) {
				r.abandon(a.Attempt, a, now)
				orphans = append(orphans, a.Attempt)
			}
		}
	}
	return orphans
}

func (r *Registry) isMember(id string) bool {
	return slices.ContainsFunc(r.members, func(m Member) bool { return m.ID == id })
}

// Merge merges a record that another instance has announced or replicated. It does not
// announce the result. An invalid record is refused.
func (r *Registry) Merge(f Fingerprint, data []byte) error {
	in, err := DecodeRecord(data, r.Retention)
	if err != nil {
		return err
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	r.initialize(now)
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

// QuarantinedFor reports whether a fingerprint is in quarantine as far as this instance
// knows, and returns the time until its release.
func (r *Registry) QuarantinedFor(f Fingerprint) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	known := r.recordOf(f, now)
	if known == nil || known.uncleared() < quarantineCrashes {
		return 0, false
	}
	return known.expires.Sub(now), true
}

// IsSuspect reports whether a fingerprint has an uncleared crash.
func (r *Registry) IsSuspect(f Fingerprint) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	known := r.recordOf(f, time.Now())
	return known != nil && known.uncleared() > 0
}

// Counts returns the numbers of records and of known attempts. They include expired ones
// that are not removed yet.
func (r *Registry) Counts() (records, attempts int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return len(r.records), r.attempts
}
