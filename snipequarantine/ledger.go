package snipequarantine

import (
	"sync"
	"time"
)

const (
	// watchedFrom is the number of crashes from which a fingerprint is watched, refusedFrom that
	// from which it is refused.
	watchedFrom, refusedFrom = 2, 3
	// watchTime is how long a fingerprint is watched after a crash. All requests need a fingerprint
	// meanwhile.
	watchTime = time.Minute
	// maxLedgerRecords bounds the fingerprints in a Ledger. A crash makes a record of each request
	// that was in flight at the upstream, and most of these are innocent.
	maxLedgerRecords = 8192
)

// UpstreamCrash reports that an upstream ended while it ran a request of a fingerprint.
type UpstreamCrash struct {
	Fingerprint Fingerprint
	// Upstream identifies one start of the upstream.
	Upstream string
	// Round is the round of the fingerprint as the reporting instance knows it.
	Round uint64
}

// Ledger counts the crashes of the fingerprints that one instance coordinates, and decides which of
// these are watched and refused. Exported fields are set before the first call. It is safe for
// concurrent use.
//
// An innocent request may be at several upstreams that crash. Three rules protect it. A fingerprint
// is refused no sooner than ObserveTime after all instances were told to watch it, so that a request
// that is sent often is answered by then, which clears it. Several copies at one upstream count
// once. Crashes that a refused fingerprint explains are not enough for another one: it
// needs a crash that none explains, or one crash more.
type Ledger struct {
	// ObserveTime is how long a fingerprint is watched at least before it is refused.
	ObserveTime time.Duration

	lock    sync.Mutex // guards the fields below
	records map[Fingerprint]*crashRecord
	// candidates are the records with watchedFrom crashes or more.
	candidates map[Fingerprint]*crashRecord
	// explained holds the starts of upstreams at which a refused fingerprint was running when they ended.
	explained explainedCrashes
}

// crashRecord holds the starts of upstreams that ended while they ran one fingerprint.
type crashRecord struct {
	upstreams map[string]bool
	lastAt    time.Time
	watchedAt time.Time // zero while the fingerprint is not watched
}

// Record counts a crash. It forgets earlier crashes that are older than SuspectTime.
func (l *Ledger) Record(c UpstreamCrash) {
	now := time.Now()
	l.lock.Lock()
	defer l.lock.Unlock()
	r := l.records[c.Fingerprint]
	if r != nil && now.Sub(r.lastAt) >= SuspectTime {
		l.remove(c.Fingerprint)
		r = nil
	}
	if r == nil {
		r = l.add(c.Fingerprint)
	}
	if now.Sub(r.watchedAt) >= watchTime {
		r.watchedAt = time.Time{}
	}
	r.upstreams[c.Upstream], r.lastAt = true, now
	if len(r.upstreams) >= watchedFrom {
		l.candidates[c.Fingerprint] = r
	}
}

// remove removes the record of a fingerprint. The lock is held.
func (l *Ledger) remove(f Fingerprint) {
	delete(l.records, f)
	delete(l.candidates, f)
}

// add adds a record. If there are maxLedgerRecords, it replaces the one with the oldest crash. The
// lock is held.
func (l *Ledger) add(f Fingerprint) *crashRecord {
	if l.records == nil {
		l.records, l.candidates = make(map[Fingerprint]*crashRecord), make(map[Fingerprint]*crashRecord)
	}
	if len(l.records) >= maxLedgerRecords {
		l.remove(l.oldest())
	}
	r := &crashRecord{upstreams: make(map[string]bool)}
	l.records[f] = r
	return r
}

// oldest returns the fingerprint whose last crash is the longest ago. The lock is held.
func (l *Ledger) oldest() (f Fingerprint) {
	var at time.Time
	for candidate, r := range l.records {
		if at.IsZero() || r.lastAt.Before(at) {
			f, at = candidate, r.lastAt
		}
	}
	return f
}

// Clear removes the crashes of a fingerprint, because one of its requests was answered, and reports
// whether the fingerprint was watched.
func (l *Ledger) Clear(f Fingerprint) (watched bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	r := l.records[f]
	l.remove(f)
	return r != nil && !r.watchedAt.IsZero()
}

// Explain records the upstreams that a refused fingerprint has crashed, and drops the fingerprint's
// own record.
func (l *Ledger) Explain(s Suspect) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.remove(s.Fingerprint)
	l.explained.add(s.Upstreams)
}

// ExplainUpstreams is Explain for the upstreams alone.
func (l *Ledger) ExplainUpstreams(upstreams []string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.explained.add(upstreams)
}

// Decide returns the fingerprints that are to be watched or refused from now on.
func (l *Ledger) Decide() []Suspect {
	now := time.Now()
	l.lock.Lock()
	defer l.lock.Unlock()
	var decided []Suspect
	for f, r := range l.candidates {
		switch {
		case r.watchedAt.IsZero():
			r.watchedAt = now
			decided = append(decided, Suspect{Fingerprint: f, Left: watchTime, Upstreams: firstUpstreams(r.upstreams)})
		case now.Sub(r.watchedAt) >= l.ObserveTime && l.convicts(r):
			l.remove(f)
			s := Suspect{Fingerprint: f, Refused: true, Left: SuspectTime, Upstreams: firstUpstreams(r.upstreams)}
			l.explained.add(s.Upstreams)
			decided = append(decided, s)
		}
	}
	return decided
}

// convicts reports whether a fingerprint has crashed enough upstreams. The lock is held.
func (l *Ledger) convicts(r *crashRecord) bool {
	if len(r.upstreams) != refusedFrom {
		return len(r.upstreams) > refusedFrom
	}
	for u := range r.upstreams {
		if !l.explained.has(u) {
			return true
		}
	}
	return false
}
