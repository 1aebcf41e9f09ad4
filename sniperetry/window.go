package sniperetry

import (
	"math"
	"sync"
	"time"
)

// Window bounds the retries that one instance sends to a service, so that the bounds of all instances
// add up: whatever the instances are, however requests move among them, and whenever they start or end,
// all of them together send in each span at most Share retries for each request, and the sum of their
// Slack in addition. The requests are those of the span itself, or those of the one that begins half its
// length earlier, whichever are more.
//
// Two spans of requests permit the retries of a span: the span itself, and the one that begins half its
// length earlier. For each, a Window permits a fixed fraction of Share for each of its own requests. A
// request counts at one instance only, so the sum over all instances is a weighted mean of the bounds by
// the two spans, and the larger of them is no less. An instance that instead took the larger of its own
// two would not keep this, since some instances could use the one and some the other.
//
// Unlike a Budget, a Window permits many retries at once if there were few before: if an upstream
// crashes, all of its requests fail at the same time, and those that may be retried should be retried
// then and not over several seconds.
//
// The exported fields must be set before the first call. Window is safe for concurrent use.
type Window struct {
	// Share is the number of retries that one request permits.
	Share float64
	// Slack returns the number of retries that are permitted without a request in each span. It may
	// change at any time.
	Slack func() float64
	// Span is the length of the span.
	Span time.Duration
	// Delay bounds the time from the moment at which a caller sends a request until the time that
	// CountRequest is told, and from Spend until the retry reaches its upstream. The bound holds for
	// the times at callers and upstreams.
	Delay time.Duration
	// SentBefore reports whether a request that arrived at a time may have been sent longer before than
	// Delay. Such a request is not counted. Nil means that there are none.
	SentBefore func(arrived time.Time) bool

	lock    sync.Mutex // guards the fields below
	started time.Time  // the first call of a method; zero before
	// totals is a ring of the numbers of all requests and retries until the end of a slot. current is
	// the number of the latest slot, counted from started; its index is current modulo the length.
	totals  []windowTotals
	current int
	// reserved is the number of retries that were reserved and not spent or released yet.
	reserved int
}

const (
	// windowSlots is the number of slots of a span. Requests are counted in the slots that lie within
	// a span, and retries in all that it touches, so that rounding never permits more.
	windowSlots = 80
	// currentWeight and earlierWeight are the fractions of Share that a request permits by the span itself
	// and by the one that begins half its length earlier. The first lets an instance retry soon after its
	// start, the second lets it retry many requests at once.
	currentWeight = 0.25
	earlierWeight = 1 - currentWeight
)

// windowTotals counts the requests and retries since the first call.
type windowTotals struct{ requests, retries int }

// CountRequest counts a request that arrived at the given time, which permits Share retries.
func (w *Window) CountRequest(arrived time.Time) {
	if w.SentBefore != nil && w.SentBefore(arrived) {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	first := max(w.slot(arrived), w.current-len(w.totals)+1, 0)
	for n := first; n <= w.current; n++ {
		w.totals[n%len(w.totals)].requests++
	}
}

// Reserve reserves a retry and reports true, or reports false if the retry would exceed the bound.
// Spend or Release must follow.
func (w *Window) Reserve() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	if w.left()-float64(w.reserved) < 1 {
		return false
	}
	w.reserved++
	return true
}

// Release gives a reserved retry back.
func (w *Window) Release() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.reserved--
}

// Spend gives a reserved retry back, and counts a retry that is sent now and reports true. If the retry
// would exceed the bound, because time has passed since it was reserved, Spend reports false.
func (w *Window) Spend() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	w.reserved--
	if w.left() < 1 {
		return false
	}
	w.totals[w.current%len(w.totals)].retries++
	return true
}

// Refund takes back one retry of the current slot. It does nothing if the current slot has none, so a
// retry that was spent in an earlier slot stays counted. It is called for a retry that reached no
// upstream.
func (w *Window) Refund() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	if w.sum(w.current, w.current).retries > 0 {
		w.totals[w.current%len(w.totals)].retries--
	}
}

// Left returns how many retries may be reserved now.
func (w *Window) Left() float64 {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	return math.Floor(max(w.left()-float64(w.reserved), 0))
}

// left returns by how much the retries are below the bound in the span in which they are closest to it,
// among all spans in which a retry that is sent now may arrive. The lock is held.
func (w *Window) left() float64 {
	slack, delay := w.Slack(), w.delaySlots()
	least := math.Inf(1)
	for begin := w.current - windowSlots; begin <= w.current+delay; begin++ {
		retries := w.sum(begin-delay, begin+windowSlots).retries
		current := w.sum(begin+1+delay, begin+windowSlots-1).requests
		earlier := w.sum(begin+1+delay-windowSlots/2, begin+windowSlots/2-1).requests
		requests := currentWeight*float64(current) + earlierWeight*float64(earlier)
		least = min(least, slack+w.Share*requests-float64(retries))
	}
	return least
}

// sum returns the counts in the slots from the first to the last one, both included. Slots that have not
// begun, or that lie before the first call, count nothing. The lock is held.
func (w *Window) sum(first, last int) windowTotals {
	if last < first {
		return windowTotals{}
	}
	to, from := w.until(last), w.until(first-1)
	return windowTotals{to.requests - from.requests, to.retries - from.retries}
}

// until returns the counts until the end of a slot.
func (w *Window) until(n int) windowTotals {
	if n < 0 {
		return windowTotals{}
	}
	return w.totals[min(n, w.current)%len(w.totals)]
}

// slotTime returns the length of a slot.
func (w *Window) slotTime() time.Duration { return max(w.Span/windowSlots, 1) }

// delaySlots returns the number of slots that Delay lasts, rounded up.
func (w *Window) delaySlots() int { return int((w.Delay + w.slotTime() - 1) / w.slotTime()) }

// slot returns the number of the slot that contains a time.
func (w *Window) slot(t time.Time) int { return int(t.Sub(w.started) / w.slotTime()) }

// advance moves the window to now. The lock is held.
func (w *Window) advance(now time.Time) {
	if w.started.IsZero() {
		w.started = now
		// Requests of the last one and a half spans are read, and retries of the last span and Delay.
		w.totals = make([]windowTotals, windowSlots+max(windowSlots/2, w.delaySlots())+2)
	}
	latest := w.slot(now)
	last := w.until(w.current)
	for n := max(w.current+1, latest-len(w.totals)+1); n <= latest; n++ {
		w.totals[n%len(w.totals)] = last
	}
	w.current = max(w.current, latest)
}
