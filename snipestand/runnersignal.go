package snipestand

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Arrival is a request that has reached a runner, and what its answer says of the runner.
type Arrival struct {
	ID string
	At time.Time
	// Limit is how many requests a second the runner takes, where it is Limited.
	Limit   float64
	Limited bool
	// Leaving tells that the runner leaves.
	Leaving bool
	// Rest is for how long the runner, which does not run the request, wants to be left alone.
	Rest time.Duration
}

// Arrivals returns the requests that have reached the runner, in the order in which they came.
func (r *Runner) Arrivals() []Arrival {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Clone(r.arrivals)
}

// NameLimit makes the runner name in its answers how many requests a second it takes from all
// instances together.
func (r *Runner) NameLimit(perSecond float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limit, r.limited = perSecond, true
}

// NameNoLimit ends what NameLimit began.
func (r *Runner) NameNoLimit() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limited = false
}

// SayLeaving makes the runner say in its answers that it leaves, and not in the registry.
func (r *Runner) SayLeaving() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.saysLeaving = true
}

// AskRest makes the runner turn all requests away and ask for rest; zero ends it.
func (r *Runner) AskRest(rest time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rest = rest
}

// signal notes a request and puts what the runner says of itself on its answer. It reports whether
// the runner turns the request away.
func (r *Runner) signal(h http.Header, q *http.Request) (refused bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.arrivals = append(r.arrivals, Arrival{
		ID: q.Header.Get("X-Snipepitch-Attempt-Id"), At: time.Now(), Limit: r.limit, Limited: r.limited, Leaving: r.saysLeaving, Rest: r.rest,
	})
	if r.saysLeaving {
		h.Set("Server-Leaving", "1")
	}
	if r.limited {
		h.Set("Server-Limit", strconv.FormatFloat(r.limit, 'f', -1, 64))
	}
	if r.rest > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.rest.Seconds(), 'f', -1, 64))
		h.Set("X-Snipepitch-Not-Executed", "1")
	}
	return r.rest > 0
}
