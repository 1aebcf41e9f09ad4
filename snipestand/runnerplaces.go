package snipestand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// plainPlaces are the slots and the queue of a runner. Without slots, any number of requests
// run, and take no time.
type plainPlaces struct {
	slots chan struct{}
	queue int
	took  time.Duration
	// spread is how much shorter or longer than took a request may be, linger how long a request stays in its slot
	// after its caller has left.
	spread, linger time.Duration
	// memory is the number of tokens above which a request is refused as if the runner were full; zero for none.
	memory int
	// inside is the number of requests that run or wait, most the highest such number, and refused
	// the number of requests for which there was no room.
	inside, most, refused int
}

// SetCapacity limits a runner to a number of requests that run at once, and of those that
// wait for a slot. Requests take the given time from now on, before their answers begin.
func (r *Runner) SetCapacity(slots, queue int, took time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.places = plainPlaces{slots: make(chan struct{}, slots), queue: queue, took: took}
}

// SetSpread makes the times of requests vary evenly by up to spread around that of SetCapacity, and requests whose
// callers leave go on for up to linger. It is called after SetCapacity.
func (r *Runner) SetSpread(spread, linger time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.places.spread, r.places.linger = spread, linger
}

// SetMemory makes the runner refuse requests of more tokens as if it were full. It is called after SetCapacity.
func (r *Runner) SetMemory(tokens int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.places.memory = tokens
}

// Occupancy returns the highest number of requests that ran or waited at the same time, and the
// number of those that were refused because the queue was full, since SetCapacity.
func (r *Runner) Occupancy() (most, refused int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.places.most, r.places.refused
}

// occupy waits for a slot and then for the time of a request of so many tokens, and returns a function that gives the
// slot back. It returns false, with the header of a refusal, if the queue is full or ctx ends before
// there is a slot.
func (r *Runner) occupy(ctx context.Context, h http.Header, tokens int) (vacate func(), ok bool) {
	slots, took, linger, ok := r.enter(h, tokens)
	if slots == nil {
		return func() {}, ok
	}
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		r.exit()
		h.Set("X-Snipepitch-Not-Executed", "1")
		return nil, false
	}
	ended := time.After(took)
	select {
	case <-ended:
	case <-ctx.Done():
		select {
		case <-ended:
		case <-time.After(linger):
		}
	}
	return func() { <-slots; r.exit() }, true
}

// enter takes a place and states the load. It returns no slots if there is no limit or no place.
func (r *Runner) enter(h http.Header, tokens int) (slots chan struct{}, took, linger time.Duration, ok bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	p := &r.places
	limit := cap(p.slots)
	if limit == 0 {
		return nil, 0, 0, true
	}
	took = p.took
	if p.spread > 0 {
		took += rand.N(2*p.spread) - p.spread //nolint:gosec // not a secret
	}
	tooLarge := p.memory > 0 && tokens > p.memory
	if ok = p.inside < limit+p.queue && !tooLarge; ok {
		p.inside++
		p.most = max(p.most, p.inside)
		slots = p.slots
	} else {
		p.refused++
		r.noteRefusal(h.Get("X-Snipepitch-Attempt-Id"))
		h.Set("X-Snipepitch-Not-Executed", "1")
	}
	if r.HidesLoad {
		return slots, took, p.linger, ok
	}
	running := min(p.inside, limit)
	h.Set("X-Snipepitch-Server-Load", fmt.Sprintf("%d,%d,%d,100", running, p.inside-running, limit))
	return slots, took, p.linger, ok
}

func (r *Runner) exit() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.places.inside--
}
