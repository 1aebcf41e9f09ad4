package sniperetry

import (
	"math"
	"sync"
	"time"
)

// Window bounds the retries in a sliding span of time to a share of the requests in the
// same span plus a slack. Unlike a Budget, it permits many retries at once if there were few
// before: if an upstream crashes, all of its requests fail at the same time, and those that
// may be retried should be retried then and not over several seconds.
//
// The exported fields must be set before the first call. Window is safe for concurrent use.
type Window struct {
	// Share is the number of retries that one request permits.
	Share float64
	// Slack returns the number of retries that are permitted without a request. In the
	// first span only a fraction of it is in force, because the retries of a process that
	// ran here before are unknown: the part of the span that has passed, and at least
	// initialSlack.
	Slack func() float64
	// Span is the length of the window.
	Span time.Duration

	lock    sync.Mutex // guards the fields below
	started time.Time  // the first call of a method; zero before
	// slots is a ring of intervals of the span. current is the number of the latest
	// interval, counted from started; its index is current modulo windowSlots.
	slots   [windowSlots]windowSlot
	current int
}

// windowSlots is the number of intervals that make up the span, plus one that lies partly
// before it. Retries are counted in all intervals, over slightly more than the span, and
// requests in all but the oldest one, over slightly less, so that the rounding never permits
// more retries than the bound.
const windowSlots = 21

// initialSlack is the fraction of the slack that is in force from the first use of a Window
// until that fraction of the span has passed.
const initialSlack = 0.25

// windowSlot counts the requests and retries in one interval of the span.
type windowSlot struct{ requests, retries int }

// CountRequest counts a request, which permits Share retries.
func (w *Window) CountRequest() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	w.slots[w.current%windowSlots].requests++
}

// Spend counts a retry and reports true. If the retry would exceed the bound, it counts
// nothing and reports false.
func (w *Window) Spend() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.left() < 1 {
		return false
	}
	w.slots[w.current%windowSlots].retries++
	return true
}

// Left returns how many retries may be sent now.
func (w *Window) Left() float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	return math.Floor(max(w.left(), 0))
}

// left returns by how much the retries are below the bound. The lock is held.
func (w *Window) left() float64 {
	now := time.Now()
	w.advance(now)
	requests, retries := 0, 0
	oldest := (w.current + 1) % windowSlots
	for n, s := range w.slots {
		retries += s.retries
		if n != oldest {
			requests += s.requests
		}
	}
	slackShare := min(max(float64(now.Sub(w.started))/float64(w.Span), initialSlack), 1)
	return w.Share*float64(requests) + slackShare*w.Slack() - float64(retries)
}

// Refund takes back one retry of the current interval. It does nothing if the current
// interval has none, so a retry that was spent in an earlier interval stays counted. It is
// called for a retry that reached no upstream.
func (w *Window) Refund() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	if s := &w.slots[w.current%windowSlots]; s.retries > 0 {
		s.retries--
	}
}

// advance moves the window to now, and clears the intervals that it enters. The lock is held.
func (w *Window) advance(now time.Time) {
	if w.started.IsZero() {
		w.started = now
	}
	latest := int(now.Sub(w.started) / (w.Span / (windowSlots - 1)))
	for n := range min(latest-w.current, windowSlots) {
		w.slots[(w.current+1+n)%windowSlots] = windowSlot{}
	}
	w.current = max(w.current, latest)
}
