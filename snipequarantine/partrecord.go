package snipequarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxPartTexts bounds the different requests that a record holds, maxPartUpstreams the starts of upstreams.
	maxPartTexts, maxPartUpstreams = 3, 64
)

// partRecord holds the starts of upstreams that ended before they had begun to answer requests with one part. There may be
// tens of thousands of records.
type partRecord struct {
	// number tells the record from an earlier one of the same part.
	number uint64
	// upstreams holds the last maxPartUpstreams starts.
	upstreams []string
	// texts holds the first maxPartTexts different requests, bearers counts all.
	texts   []Fingerprint
	bearers int
	lastAt  time.Time
	// watchedAt is zero while the part is not watched, answeredAt until any request was answered since then. known
	// is set if the part was answered at any instance before the crashes.
	watchedAt, answeredAt time.Time
	known                 bool
}

// record counts a crash.
func (r *partRecord) record(c PartCrash, now time.Time) {
	r.lastAt = now
	r.bearers++
	if len(r.texts) < maxPartTexts && !slices.Contains(r.texts, c.Text) {
		r.texts = append(r.texts, c.Text)
	}
	if slices.Contains(r.upstreams, c.Upstream) {
		return
	}
	if len(r.upstreams) >= maxPartUpstreams {
		r.upstreams = r.upstreams[1:]
	}
	r.upstreams = append(r.upstreams, c.Upstream)
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

// ofOneRequest reports whether the part was in a single request, sent again and again. Such a part is not refused, however
// many upstreams it has crashed.
func (r *partRecord) ofOneRequest() bool { return len(r.texts) < 2 }

// firstUpstreams returns the upstreams that a Suspect names.
func (r *partRecord) firstUpstreams() []string {
	return slices.Clone(r.upstreams[:min(len(r.upstreams), maxUpstreams)])
}

// rankedPart is a record with its key and the number of its crashes that no refused part explains.
type rankedPart struct {
	key Fingerprint
	*partRecord
	unexplained int
}

// compare returns a negative number if p explains the crashes better than other.
func (p rankedPart) compare(other rankedPart) int {
	return cmp.Or(
		compareBool(p.known, other.known), compareBool(p.ofOneRequest(), other.ofOneRequest()),
		cmp.Compare(other.unexplained, p.unexplained), cmp.Compare(p.bearers, other.bearers),
	)
}

// compareWatched is compare, but parts that are no longer watched come first.
func (p rankedPart) compareWatched(other rankedPart) int {
	return cmp.Or(compareBool(!p.watchedAt.IsZero(), !other.watchedAt.IsZero()), p.compare(other))
}

// compareBool compares two values of which false is the lower one.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// addedPart names a record by its key and its number.
type addedPart struct {
	key    Fingerprint
	number uint64
}
