package snipesignal

import "time"

const (
	// probeTimeout is how long no other request follows the first one after a backoff, unless the
	// upstream has served that one. After it, another single request may be sent.
	probeTimeout = time.Second
	// retrySpacing is the time between the retry times given to two callers that were refused
	// during a backoff.
	retrySpacing = 20 * time.Millisecond
)

// backoff is the pause that an upstream has asked this instance for.
type backoff struct {
	until time.Time
	// unconfirmed reports whether the upstream has not served a request since the backoff ended.
	// probedAt is when the last request was sent; zero if none was sent since the backoff began.
	unconfirmed bool
	probedAt    time.Time
	// lastRetry is the retry time that was last given to a refused caller.
	lastRetry time.Time
}

// extend records that the upstream has asked for a pause of d, and reports whether no backoff was
// in force before. If the upstream asks for several pauses, the one that ends last applies; a pause
// that ends earlier changes nothing.
func (r *backoff) extend(d time.Duration, now time.Time) (begins bool) {
	until := now.Add(d)
	if !until.After(r.until) {
		return false
	}
	begins = !now.Before(r.until)
	r.until, r.unconfirmed, r.probedAt = until, true, time.Time{}
	return begins
}

// recordServed records that the upstream has answered a request without asking for a backoff.
// During a backoff, such an answer belongs to a request that was sent before, and changes nothing.
func (r *backoff) recordServed(now time.Time) {
	if !now.Before(r.until) {
		r.unconfirmed = false
	}
}

// open reports whether a request may be sent. No request may be sent during a backoff. After it,
// one request is allowed every probeTimeout until the upstream has served one.
func (r *backoff) open(now time.Time) bool {
	return !now.Before(r.until) && (!r.unconfirmed || now.Sub(r.probedAt) >= probeTimeout)
}

// nextRetry returns the earliest retry time, not before the end of the backoff, that no caller has
// been given. It does not record the time as given.
func (r *backoff) nextRetry() time.Time {
	if at := r.lastRetry.Add(retrySpacing); at.After(r.until) {
		return at
	}
	return r.until
}
