package snipeadmission

import "time"

// oversizeLifetime is how long requests of a size for which an upstream had no memory are refused.
const oversizeLifetime = 30 * time.Second

// oversize is the smallest size, in tokens, of requests for which the upstreams have no memory.
type oversize struct {
	tokens float64
	until  time.Time
}

// note records the size of a request that was refused for it.
func (o *oversize) note(tokens float64, now time.Time) {
	if tokens <= 0 {
		return
	}
	if !now.Before(o.until) || tokens < o.tokens {
		o.tokens = tokens
	}
	o.until = now.Add(oversizeLifetime)
}

// covers reports whether requests of so many tokens are refused.
func (o *oversize) covers(tokens float64, now time.Time) bool {
	return tokens > 0 && tokens >= o.tokens && now.Before(o.until)
}
