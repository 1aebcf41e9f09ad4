package sniperetry

import (
	"sync"
	"time"
)

// Window bounds the repeats of a sliding span of time to a share of the requests of the
// same span and a slack. Unlike a Budget, what was not needed for a while pays for many
// repeats at once: when an upstream crashes all of its requests fail in the same moment,
// and those that may be repeated are worth repeating then and not spread over seconds.
//
// Exported fields are set before the first call; it is safe for concurrent use.
type Window struct {
	// Share is the number of repeats that one request pays for.
	Share float64
	// Slack returns the number of repeats that need no request. It grows to that from
	// a quarter over the first span: the repeats of a process that ran here before are
	// not known.
	Slack func() float64
	// Span is the length of the window.
	Span time.Duration

	lock  sync.Mutex // guards the fields below
	began time.Time
	// slots are pieces of the span; slot is the number of the last one, counted from
	// the beginning.
	slots [windowSlots]windowSlot
	slot  int
}

// windowSlots is the number of pieces of a span, and one that is partly outside: repeats
// are counted over a little more than the span, requests over a little less.
const windowSlots = 21

// firstSlack is the part of the slack that a process has when it begins.
const firstSlack = 0.25

// windowSlot counts what happened in one piece of the span.
type windowSlot struct{ requests, repeats int }

// Count counts a request, which pays for its share of a repeat.
func (w *Window) Count() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	w.slots[w.slot%windowSlots].requests++
}

// Spend counts a repeat, and reports false, counting nothing, when nothing is left to
// pay for it.
func (w *Window) Spend() bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	now := time.Now()
	w.advance(now)
	requests, repeats := 0, 0
	oldest := (w.slot + 1) % windowSlots
	for n, s := range w.slots {
		repeats += s.repeats
		if n != oldest {
			requests += s.requests
		}
	}
	grown := min(max(float64(now.Sub(w.began))/float64(w.Span), firstSlack), 1)
	if float64(repeats+1) > w.Share*float64(requests)+grown*w.Slack() {
		return false
	}
	w.slots[w.slot%windowSlots].repeats++
	return true
}

// Refund takes back the last repeat that was paid for: it reached nobody.
func (w *Window) Refund() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.advance(time.Now())
	if s := &w.slots[w.slot%windowSlots]; s.repeats > 0 {
		s.repeats--
	}
}

// advance drops the pieces that lie before the window. The lock is held.
func (w *Window) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	slot := int(now.Sub(w.began) / (w.Span / (windowSlots - 1)))
	for n := range min(slot-w.slot, windowSlots) {
		w.slots[(w.slot+1+n)%windowSlots] = windowSlot{}
	}
	w.slot = max(w.slot, slot)
}
