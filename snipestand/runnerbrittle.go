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
	refusals []refusal
	crashes  []BrittleCrash
}

// refusal is a request that was refused for want of room.
type refusal struct {
	id string
	at time.Time
}

// BrittleCrash is a crash because of refusals, with the identifiers of the refused requests.
type BrittleCrash struct {
	At      time.Time
	Refused []string
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
	return len(r.brittle.crashes)
}

// TakeBrittleCrashes returns the crashes because of refusals, and forgets them.
func (r *Runner) TakeBrittleCrashes() []BrittleCrash {
	r.lock.Lock()
	defer r.lock.Unlock()
	all := r.brittle.crashes
	r.brittle.crashes = nil
	return all
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
func (r *Runner) noteRefusal(id string) {
	b := &r.brittle
	if b.most == 0 || r.crashes.down || r.crashes.stop == nil {
		return
	}
	now := time.Now()
	b.refusals = append(slices.DeleteFunc(b.refusals, func(f refusal) bool { return now.Sub(f.at) >= time.Second }), refusal{id, now})
	if len(b.refusals) <= b.most {
		return
	}
	c := BrittleCrash{At: now}
	for _, f := range b.refusals {
		c.Refused = append(c.Refused, f.id)
	}
	b.crashes, b.refusals = append(b.crashes, c), nil
	stop := r.beginCrash(now)
	go stop()
}
