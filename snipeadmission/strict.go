package snipeadmission

import (
	"time"
)

// Upstreams that crash when they refuse too many requests are lent strictly: no more permits than slots, less the
// requests that are known to run there without a permit. Whoever lends, the permits of all instances together are no
// more than the slots, however late messages and processes are (see term.go). A refusal for want of room shows that
// something is there that no instance knows; the permits are then bounded by those that the upstream has accepted. The
// bound grows when requests at the bound are served, and else by one each boundGrowth.

const (
	// boundGrowth is the time after which the bound on the permits for an upstream that has refused a request
	// grows by one. Each time may cost one refusal. patientGrowth is that for an upstream that crashes with the
	// second refusal in a second.
	boundGrowth, patientGrowth = time.Second, 2 * time.Second
	// strictPause is the shortest pause of an upstream that refused a request, and the first one of one that
	// broke an answer; the latter doubles with each further failure.
	strictPause = 50 * time.Millisecond
	// maxLinger is the longest time for which an upstream goes on with a request whose caller has left or whose
	// deadline has passed.
	maxLinger = 1500 * time.Millisecond
	// lingerDeviations is the number of mean deviations above the mean within which a request is assumed to have
	// ended at an upstream that goes on after its caller has left.
	lingerDeviations = 4
	// minLifetime is the shortest lifetime of a strict permit. Its holder may use the permit again for as long as a
	// takeover by another coordinator usually takes. lifetimeReserve is the least time for which it may wait for the
	// permit, maxLifetime bounds the lifetime.
	minLifetime, lifetimeReserve, maxLifetime = 8 * time.Second, time.Second, 20 * time.Second
	// strictWaitReserve is the part of the expected wait by which a new request may wait longer. Without it, the
	// queue is as long as its requests can wait at most, and each delay has some of them refused after a wait.
	strictWaitReserve = 0.5
	// strictNewTime is how long after its arrival a request counts as new.
	strictNewTime = 100 * time.Millisecond
)

// strictLifetime returns the lifetime of a permit for a request that asked for it at a time: it covers the time until
// the request has surely left the upstream.
func strictLifetime(r Request, since time.Time) time.Duration {
	needed := minLifetime
	if !r.Deadline.IsZero() {
		needed = max(needed, r.Deadline.Sub(since)+maxLinger+lifetimeReserve)
	}
	return min(needed, maxLifetime)
}

// strictness holds what a strict coordinator knows about an upstream.
type strictness struct {
	// bound is the most permits that may be out since the last refusal, at boundedAt. It counts while bounded is
	// set.
	bound     int
	bounded   bool
	boundedAt time.Time
	// outside holds the requests without a permit that is known here, by instance.
	outside map[string]outsideRequests
	// known is the number of places that permits of earlier terms show to be the instances'.
	known int
}

// outsideRequests is the number of an instance's requests without a permit at an upstream.
type outsideRequests struct {
	count int
	at    time.Time
}

// unpermitted returns the number of requests without a permit that instances have reported. They have ended
// maxLifetime later.
func (s *strictness) unpermitted(now time.Time) int {
	sum := 0
	for instance, r := range s.outside {
		if now.Sub(r.at) >= maxLifetime {
			delete(s.outside, instance)
			continue
		}
		sum += r.count
	}
	return sum
}

// report records the requests of an instance without a permit that is known here.
func (s *strictness) report(instance string, count int, now time.Time) {
	if count <= 0 {
		delete(s.outside, instance)
		return
	}
	if s.outside == nil {
		s.outside = make(map[string]outsideRequests)
	}
	s.outside[instance] = outsideRequests{count, now}
}

// places returns the number of requests, with and without permits, that may be at an upstream with so many slots.
func (s *strictness) places(slots int, growth time.Duration, now time.Time) int {
	if !s.bounded {
		return slots
	}
	bound := s.bound + int(now.Sub(s.boundedAt)/growth)
	if bound >= slots {
		s.bounded = false
	}
	return min(bound, slots)
}

// lower bounds the permits by the number that is out.
func (s *strictness) lower(out, slots int, growth time.Duration, now time.Time) {
	s.bound, s.boundedAt, s.bounded = min(out, s.places(slots, growth, now)), now, true
}

// accept raises the bound after a request has been served that was sent at the bound: there was room for as many.
func (s *strictness) accept(l *lease, r Result, now time.Time) {
	if s.bounded && r.Outcome == OutcomeServed && l.grantedAt.After(s.boundedAt) && l.running >= s.bound {
		s.bound, s.boundedAt = s.bound+1, now
	}
}

// strictLimit returns the number of permits that may be out at an upstream that is lent strictly.
func (u *upstream) strictLimit(now time.Time) float64 {
	others := max(float64(u.strict.unpermitted(now)), u.othersNow(now))
	limit := max(0, float64(u.strict.places(u.slots, u.growth, now))-others)
	if u.closed {
		return min(limit, float64(u.strict.known))
	}
	return limit
}

// pauseAfterStrictRefusal bounds the permits for an upstream that has refused a request for want of room, and pauses
// it until one of its requests is expected to have ended. A refusal that names a time is none for want of room.
func (u *upstream) pauseAfterStrictRefusal(r Result, service time.Duration, now time.Time) time.Duration {
	if r.RetryAfter <= 0 {
		u.strict.lower(u.out, u.slots, u.growth, now)
	}
	pause := max(r.RetryAfter, service/time.Duration(u.slots), strictPause)
	pause = min(pause, maxPause)
	u.pausedUntil = later(u.pausedUntil, now.Add(pause))
	return pause
}

// lingerTime returns how long the place of a request whose caller has left stays taken, after it has run for took.
// Nearly all requests take maxService at most.
func lingerTime(maxService, took time.Duration) time.Duration {
	return min(max(maxService-took, 0), maxLinger)
}

// abandon keeps the place of a request whose caller has left until its expected end, and reports whether it does.
func (c *Coordinator) abandon(l *lease, took time.Duration, now time.Time) bool {
	if !c.pool.strict {
		return false
	}
	kept := lingerTime(c.pool.maxService(l.upstream, now), took)
	if kept <= 0 {
		return false
	}
	l.abandoned, l.ends = true, now.Add(kept)
	c.wake(l.ends, now)
	return true
}
