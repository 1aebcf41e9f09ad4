package snipestand

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// brittleness emulates a runner that crashes when it has to refuse too many requests for want of room.
type brittleness struct {
	// most is the number of refusals in a second that the runner bears; zero if it is not brittle.
	most     int
	refusals []time.Time
	crashes  int
}

// SetBrittle makes the runner state in all answers that it crashes when it refuses more than most requests in
// a second for want of room; zero ends that. Its server must be a RunnerServer.
func (r *Runner) SetBrittle(most int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.brittle.most, r.brittle.refusals = most, nil
}

// SetQueue sets the number of requests that wait for a slot; see SetCapacity.
func (r *Runner) SetQueue(queue int) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.places.queue = queue
}

// BrittleCrashes returns the number of crashes because of refusals.
func (r *Runner) BrittleCrashes() int {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.brittle.crashes
}

// stateBrittle states in an answer that the runner is brittle.
func (r *Runner) stateBrittle(h http.Header) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.brittle.most > 0 {
		h.Set("Server-Brittle", strconv.Itoa(r.brittle.most))
	}
}

// noteRefusal records a refusal for want of room, and crashes the runner if there were too many. The lock is
// held.
func (r *Runner) noteRefusal() {
	b := &r.brittle
	if b.most == 0 || r.crashes.down || r.crashes.stop == nil {
		return
	}
	now := time.Now()
	b.refusals = append(slices.DeleteFunc(b.refusals, func(t time.Time) bool { return now.Sub(t) >= time.Second }), now)
	if len(b.refusals) <= b.most {
		return
	}
	b.crashes, b.refusals = b.crashes+1, nil
	stop := r.beginCrash(now)
	go stop()
}
