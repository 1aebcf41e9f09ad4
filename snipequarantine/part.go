package snipequarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// An upstream may crash when it begins to write an answer on one part of a prompt, whatever else the request holds.
// Requests that share such a part need not be alike in anything else, so that parts are counted by themselves.

const (
	// partRefusedFrom is the number of crashes from which a part is refused if they were of three different requests,
	// partRefusedOfTwo that if they were of two. A request that is sent again after each crash is one: its fingerprint
	// counts them.
	partRefusedFrom, partRefusedOfTwo = 4, 5
	// maxPartTexts bounds the different requests that a record holds.
	maxPartTexts = 3
	// maxPartRecords bounds the parts in a PartLedger, maxWatchedParts those that are watched at a time.
	maxPartRecords, maxWatchedParts = 8192, 256
	// partObserveDivisor divides ObserveTime: for so long after a part was watched, requests must have been
	// answered before it is refused.
	partObserveDivisor = 2
)

// PartKey returns the fingerprint of a part of a prompt with the given identifier.
func PartKey(id string) Fingerprint { return NewFingerprint(nil, "prompt part", id) }

// partsKey is the fingerprint whose coordinators decide about all parts: which of several parts explains the crashes
// can be told only by who knows the crashes of all. As that of an answer, it stands for any request with a prompt.
var partsKey = NewFingerprint(nil, "prompt parts")

// PartCrash reports that an upstream ended before it had begun to answer a request.
type PartCrash struct {
	// Upstream identifies one start of the upstream, Text is the fingerprint of the request.
	Upstream string
	Text     Fingerprint
	Parts    []PartMark
}

// MaxParts bounds the parts of a prompt that are counted, in order.
const MaxParts = 16

// Check returns an error that wraps ErrSuspect if another instance cannot have observed this.
func (c PartCrash) Check() error {
	if len(c.Parts) > MaxParts {
		return errors.Wrap(ErrSuspect, "too many parts")
	}
	return UpstreamCrash{Upstream: c.Upstream}.Check()
}

// PartMark is a part of a prompt, with its round as the reporting instance knows it.
type PartMark struct {
	Key   Fingerprint
	Round uint64
}

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
	// candidates are the records with watchedFrom crashes or more.
	candidates map[Fingerprint]*partRecord
	// explained holds the starts of upstreams whose crash a refused part explains, and since when.
	explained map[string]time.Time
}

// partRecord holds the starts of upstreams that ended before they had begun to answer requests with one part.
type partRecord struct {
	upstreams map[string]bool
	// texts holds the first maxPartTexts different requests, bearers counts all.
	texts   map[Fingerprint]bool
	bearers int
	lastAt  time.Time
	// watchedAt is zero while the part is not watched, answeredAt until any request was answered since then. known
	// is set if the part was answered at any instance before the crashes.
	watchedAt, answeredAt time.Time
	known                 bool
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
	r.upstreams[c.Upstream], r.lastAt = true, now
	r.bearers++
	if len(r.texts) < maxPartTexts {
		r.texts[c.Text] = true
	}
	if len(r.upstreams) >= watchedFrom {
		l.candidates[key] = r
	}
}

// remove removes the record of a part. The lock is held.
func (l *PartLedger) remove(key Fingerprint) {
	delete(l.records, key)
	delete(l.candidates, key)
}

// add adds a record. If there are maxPartRecords, it replaces the one with the oldest crash. The lock is held.
func (l *PartLedger) add(key Fingerprint) *partRecord {
	if l.records == nil {
		l.records, l.candidates = make(map[Fingerprint]*partRecord), make(map[Fingerprint]*partRecord)
	}
	if len(l.records) >= maxPartRecords {
		var oldest Fingerprint
		var at time.Time
		for f, r := range l.records {
			if at.IsZero() || r.lastAt.Before(at) {
				oldest, at = f, r.lastAt
			}
		}
		l.remove(oldest)
	}
	delete(l.candidates, key)
	r := &partRecord{upstreams: make(map[string]bool), texts: make(map[Fingerprint]bool)}
	l.records[key] = r
	return r
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
	l.explain(s.Upstreams)
}

// explain is Explain for the upstreams alone. The lock is held.
func (l *PartLedger) explain(upstreams []string) {
	now := time.Now()
	if l.explained == nil {
		l.explained = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.explained, func(_ string, at time.Time) bool { return now.Sub(at) >= SuspectTime })
	for _, u := range upstreams {
		l.explained[u] = now
	}
}

// Decide returns the parts that are to be watched or refused from now on.
func (l *PartLedger) Decide() []Suspect {
	now := time.Now()
	l.lock.Lock()
	defer l.lock.Unlock()
	decided := l.watch(now)
	for {
		key, r := l.mostLikely()
		if r == nil || !l.observed(r, now) {
			return decided
		}
		l.remove(key)
		l.explain(slices.Collect(maps.Keys(r.upstreams)))
		decided = append(decided, Suspect{
			Fingerprint: key, Part: true, Refused: true, Left: SuspectTime, Upstreams: firstUpstreams(r.upstreams),
		})
	}
}

// watch returns the parts that are to be watched from now on: those that have just crashed an upstream, the likeliest
// first. The lock is held.
func (l *PartLedger) watch(now time.Time) []Suspect {
	var due []Fingerprint
	watched := 0
	for key, r := range l.candidates {
		if now.Sub(r.watchedAt) >= watchTime {
			r.watchedAt = time.Time{}
		}
		switch {
		case !r.watchedAt.IsZero():
			watched++
		case now.Sub(r.lastAt) < watchTime:
			due = append(due, key)
		}
	}
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, func(a, b Fingerprint) int { return l.compare(l.candidates[a], l.candidates[b]) })
	var decided []Suspect
	for _, key := range due[:min(len(due), maxWatchedParts-watched)] {
		r := l.candidates[key]
		r.watchedAt, r.answeredAt = now, time.Time{}
		decided = append(decided, Suspect{Fingerprint: key, Part: true, Left: watchTime, Upstreams: firstUpstreams(r.upstreams)})
	}
	return decided
}

// mostLikely returns the part that best explains the crashes that none explains yet, or nil if none has crashed enough
// upstreams. The lock is held.
func (l *PartLedger) mostLikely() (key Fingerprint, best *partRecord) {
	for f, r := range l.candidates {
		if l.unexplained(r) < r.refusedFrom() {
			continue
		}
		if best == nil || l.compare(r, best) < 0 {
			key, best = f, r
		}
	}
	return key, best
}

// refusedFrom returns the number of crashes from which the part is refused.
func (r *partRecord) refusedFrom() int {
	switch len(r.texts) {
	case 0, 1:
		return math.MaxInt
	case 2:
		return partRefusedOfTwo
	default:
		return partRefusedFrom
	}
}

// compare returns a negative number if a explains the crashes better than b. The lock is held.
func (l *PartLedger) compare(a, b *partRecord) int {
	switch {
	case a.known && !b.known:
		return 1
	case b.known && !a.known:
		return -1
	}
	return cmp.Or(cmp.Compare(l.unexplained(b), l.unexplained(a)), cmp.Compare(a.bearers, b.bearers))
}

// unexplained returns the number of crashes of a part that none explains yet. The lock is held.
func (l *PartLedger) unexplained(r *partRecord) int {
	n := 0
	for u := range r.upstreams {
		if _, ok := l.explained[u]; !ok {
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
