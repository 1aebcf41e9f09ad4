package snipequarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// partRefusedFrom is the number of crashes from which a part is refused if they were of three different requests,
	// partRefusedOfTwo that if they were of two. A request that is sent again after each crash is one: its fingerprint
	// counts them.
	partRefusedFrom, partRefusedOfTwo = 4, 5
	// maxPartRecords bounds the parts in a PartLedger. While there are as many, the oldest of those that were at a single
	// crash make room: a part that crashes upstreams is at each crash, so that it is among these until the next crash only.
	maxPartRecords = 32768
	// maxWatchedParts bounds the parts that are watched at a time, maxWatchedKnown those of them that were answered
	// before the crashes.
	maxWatchedParts, maxWatchedKnown = 256, 64
	// sweepPause is the time between two searches for records to remove.
	sweepPause = time.Second
	// partObserveDivisor divides ObserveTime: for so long after a part was watched, requests must have been
	// answered before it is refused.
	partObserveDivisor = 2
)

// PartLedger counts the crashes of the parts of prompts, and decides which of these are watched and refused. Exported
// fields are set before the first call. It is safe for concurrent use.
//
// Most parts of a request that broke are sound. Four rules protect them. A part that is answered is cleared. A part that
// was answered before the crashes is refused only if requests were answered while it was watched, so that it would have
// been as well: while all upstreams are down nothing is. Of several parts one that never was answered is decided on
// first, then the one with the most crashes, and of those with equally many the one that the
// fewest requests held; the others then need as many crashes that it does not explain.
type PartLedger struct {
	// ObserveTime is how long a part is watched at least before it is refused.
	ObserveTime time.Duration
	// HistoryCovers reports whether a part that no instance says to be known can be taken for one that never was
	// answered; nil means that it cannot.
	HistoryCovers func() bool

	lock    sync.Mutex // guards the fields below
	records map[Fingerprint]*partRecord
	// candidates are the records that may be watched, without those that are not and whose last crash is long ago.
	candidates map[Fingerprint]*partRecord
	// added lists the records in the order in which they were added, and others that have been removed since; numbers
	// tell them apart.
	added []addedPart
	// number is that of the record that was added last, sweptAt when records of long ago were last looked for.
	number  uint64
	sweptAt time.Time
	// explained holds the starts of upstreams whose crash a refused part explains.
	explained explainedCrashes
}

// Record counts a crash of one part.
func (l *PartLedger) Record(key Fingerprint, c PartCrash) {
	now := time.Now()
	l.lock.Lock()
	defer l.lock.Unlock()
	r := l.records[key]
	if r != nil && now.Sub(r.lastAt) >= SuspectTime {
		r = nil
	}
	if r == nil {
		r = l.add(key)
	}
	if r == nil {
		return
	}
	r.record(c, now)
	if len(r.upstreams) >= watchedFrom {
		l.candidates[key] = r
	}
}

// remove removes the record of a part. The lock is held.
func (l *PartLedger) remove(key Fingerprint) {
	delete(l.records, key)
	delete(l.candidates, key)
}

// add adds a record, or returns nil if there is no room. The lock is held.
func (l *PartLedger) add(key Fingerprint) *partRecord {
	if l.records == nil {
		l.records, l.candidates = make(map[Fingerprint]*partRecord), make(map[Fingerprint]*partRecord)
	}
	l.remove(key)
	if len(l.records) >= maxPartRecords && !l.evict() && !l.sweep(time.Now()) {
		return nil
	}
	l.number++
	r := &partRecord{number: l.number}
	l.records[key] = r
	l.added = append(l.added, addedPart{key, l.number})
	if len(l.added) > 2*maxPartRecords {
		l.added = slices.DeleteFunc(l.added, func(a addedPart) bool { return l.current(a) == nil })
	}
	return r
}

// current returns the record that an entry of added stands for, or nil if it was removed. The lock is held.
func (l *PartLedger) current(a addedPart) *partRecord {
	if r := l.records[a.key]; r != nil && r.number == a.number {
		return r
	}
	return nil
}

// evict removes the oldest record of a part that was at a single crash, and reports whether there was one. The lock is
// held.
func (l *PartLedger) evict() bool {
	for len(l.added) > 0 {
		a := l.added[0]
		l.added = l.added[1:]
		if r := l.current(a); r != nil && len(r.upstreams) < watchedFrom {
			l.remove(a.key)
			return true
		}
	}
	return false
}

// sweep removes the records whose last crash is long ago, and reports whether there were any. It looks for them once in
// sweepPause. The lock is held.
func (l *PartLedger) sweep(now time.Time) bool {
	if now.Sub(l.sweptAt) < sweepPause {
		return false
	}
	l.sweptAt = now
	before := len(l.records)
	maps.DeleteFunc(l.records, func(key Fingerprint, r *partRecord) bool {
		over := now.Sub(r.lastAt) >= watchTime
		if over {
			delete(l.candidates, key)
		}
		return over
	})
	return len(l.records) < before
}

// Clear removes the crashes of a part, because a request with it was answered, and reports whether it was watched.
func (l *PartLedger) Clear(key Fingerprint) (watched bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	r := l.records[key]
	l.remove(key)
	return r != nil && !r.watchedAt.IsZero()
}

// NoteAnswered records that any request with a prompt was answered.
func (l *PartLedger) NoteAnswered() {
	now := time.Now()
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, r := range l.candidates {
		if !r.watchedAt.IsZero() && r.answeredAt.IsZero() {
			r.answeredAt = now
		}
	}
}

// NoteKnown records that a part was answered at an instance before the crashes.
func (l *PartLedger) NoteKnown(key Fingerprint) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if r := l.records[key]; r != nil {
		r.known = true
	}
}

// Explain records the upstreams that a refused part has crashed, and drops its own record.
func (l *PartLedger) Explain(s Suspect) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.remove(s.Fingerprint)
	l.explained.add(s.Upstreams)
}

// Decide returns the parts that are to be watched or refused from now on.
func (l *PartLedger) Decide() []Suspect {
	now := time.Now()
	l.lock.Lock()
	defer l.lock.Unlock()
	decided := l.watch(now)
	for {
		p := l.mostLikely()
		if p.partRecord == nil || !l.observed(p.partRecord, now) {
			return decided
		}
		l.remove(p.key)
		l.explained.add(p.upstreams)
		decided = append(decided, Suspect{
			Fingerprint: p.key, Part: true, Refused: true, Left: SuspectTime, Upstreams: p.firstUpstreams(),
		})
	}
}

// watch returns the parts that are to be watched from now on: those that have just crashed an upstream, the likeliest
// first. The lock is held.
func (l *PartLedger) watch(now time.Time) []Suspect {
	due, watched := l.sortCandidates(now)
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, rankedPart.compare)
	known := 0
	for _, p := range watched {
		if p.known {
			known++
		}
	}
	var decided []Suspect
	for _, p := range due {
		if p.known {
			if known++; known > maxWatchedKnown {
				continue
			}
		}
		if len(watched) >= maxWatchedParts && !displace(watched, p) {
			break
		}
		watched = append(watched, p)
		p.watchedAt, p.answeredAt = now, time.Time{}
		decided = append(decided, Suspect{Fingerprint: p.key, Part: true, Left: watchTime, Upstreams: p.firstUpstreams()})
	}
	return decided
}

// displace ends the watch of the least likely of the watched parts if p is likelier, and reports whether it did.
// Otherwise parts that nobody answers, and that crash nothing, could keep one that does from being watched.
func displace(watched []rankedPart, p rankedPart) bool {
	last := slices.MaxFunc(watched, rankedPart.compareWatched)
	if last.watchedAt.IsZero() || p.compare(last) >= 0 {
		return false
	}
	last.watchedAt = time.Time{}
	return true
}

// sortCandidates returns the parts that are due to be watched, and those that are watched. The lock is held.
func (l *PartLedger) sortCandidates(now time.Time) (due, watched []rankedPart) {
	for key, r := range l.candidates {
		if now.Sub(r.watchedAt) >= watchTime {
			r.watchedAt = time.Time{}
		}
		switch {
		case !r.watchedAt.IsZero():
			watched = append(watched, rankedPart{key, r, l.unexplained(r)})
		case now.Sub(r.lastAt) < watchTime:
			due = append(due, rankedPart{key, r, l.unexplained(r)})
		default:
			delete(l.candidates, key) // until its next crash
		}
	}
	return due, watched
}

// mostLikely returns the part that best explains the crashes that none explains yet, or one without a record if none has
// crashed enough upstreams. The lock is held.
func (l *PartLedger) mostLikely() rankedPart {
	var best rankedPart
	for key, r := range l.candidates {
		p := rankedPart{key, r, l.unexplained(r)}
		if p.unexplained < r.refusedFrom() {
			continue
		}
		if best.partRecord == nil || p.compare(best) < 0 {
			best = p
		}
	}
	return best
}

// unexplained returns the number of crashes of a part that none explains yet. The lock is held.
func (l *PartLedger) unexplained(r *partRecord) int {
	n := 0
	for _, u := range r.upstreams {
		if !l.explained.has(u) {
			n++
		}
	}
	return n
}

// observed reports whether a part was watched for long enough, while requests were answered unless the part never was
// answered before.
func (l *PartLedger) observed(r *partRecord, now time.Time) bool {
	if r.watchedAt.IsZero() || now.Sub(r.watchedAt) < l.ObserveTime {
		return false
	}
	if !r.known && l.HistoryCovers != nil && l.HistoryCovers() {
		return true
	}
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) >= l.ObserveTime/partObserveDivisor
}
