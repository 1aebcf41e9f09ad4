package snipesignal

import "time"

const (
	// tryTime is for how long the first request after a rest goes alone: until its answer has
	// come, or will not come soon.
	tryTime = time.Second
	// returnPace is the time between two callers that are told to come back after a rest.
	returnPace = 20 * time.Millisecond
)

// rest is the rest that an upstream wants from this instance.
type rest struct {
	until time.Time
	// trying tells that the upstream has not served a request since, tried when the last one went.
	trying bool
	tried  time.Time
	// promised is the time that a refused caller was told last.
	promised time.Time
}

// ask notes that the upstream wants to be left alone, and reports whether it did not rest before.
// Of several times the one that ends last counts.
func (r *rest) ask(d time.Duration, now time.Time) (begins bool) {
	until := now.Add(d)
	if !until.After(r.until) {
		return false
	}
	begins = !now.Before(r.until)
	r.until, r.trying, r.tried = until, true, time.Time{}
	return begins
}

// served notes that the upstream has answered a request.
func (r *rest) served(now time.Time) {
	if !now.Before(r.until) {
		r.trying = false
	}
}

// open reports whether a request may go: none in a rest, and after it one that shows whether the
// upstream serves again.
func (r *rest) open(now time.Time) bool {
	return !now.Before(r.until) && (!r.trying || now.Sub(r.tried) >= tryTime)
}

// free is the time of the first request that nobody was promised.
func (r *rest) free() time.Time {
	if at := r.promised.Add(returnPace); at.After(r.until) {
		return at
	}
	return r.until
}
