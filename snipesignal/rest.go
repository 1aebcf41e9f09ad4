package snipesignal

import "time"

const (
	// probeTimeout is how long the first request after a backoff is sent alone: until its answer
	// has arrived or is no longer expected soon.
	probeTimeout = time.Second
	// retrySpacing is the time between the retry times given to two callers that were refused
	// during a backoff.
	retrySpacing = 20 * time.Millisecond
)

// backoff is the pause that an upstream has asked this instance for.
type backoff struct {
	until time.Time
	// unconfirmed reports whether the upstream has not served a request since the backoff. probedAt
	// is when the last request was sent.
	unconfirmed bool
	probedAt    time.Time
	// lastRetry is the retry time that was last given to a refused caller.
	lastRetry time.Time
}

// extend records that the upstream has asked for a pause, and reports whether no backoff was in
// force before. If the upstream asks for several pauses, the one that ends last applies.
func (r *backoff) extend(d time.Duration, now time.Time) (begins bool) {
	until := now.Add(d)
	if !until.After(r.until) {
		return false
	}
	begins = !now.Before(r.until)
	r.until, r.unconfirmed, r.probedAt = until, true, time.Time{}
	return begins
}

// served records that the upstream has answered a request.
func (r *backoff) served(now time.Time) {
	if !now.Before(r.until) {
		r.unconfirmed = false
	}
}

// open reports whether a request may be sent. No request may be sent during a backoff. After it,
// one request is allowed every probeTimeout until the upstream has served one.
func (r *backoff) open(now time.Time) bool {
	return !now.Before(r.until) && (!r.unconfirmed || now.Sub(r.probedAt) >= probeTimeout)
}

// nextRetry returns the earliest retry time that no caller has been given.
func (r *backoff) nextRetry() time.Time {
	if at := r.lastRetry.Add(retrySpacing); at.After(r.until) {
		return at
	}
	return r.until
}
