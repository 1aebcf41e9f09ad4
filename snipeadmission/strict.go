package snipeadmission

import (
	"time"
)

// Upstreams that crash when they refuse too many requests are lent strictly: no more permits than slots, less the
// requests that are known to run there without a permit of this coordinator. A refusal shows that there is more
// there than is known; the permits are then bounded by those that the upstream has accepted, and the bound grows
// by one each boundGrowth.

const (
	// boundGrowth is the time after which the bound on the permits for an upstream that has refused a request
	// grows by one. Each time may cost one refusal. patientGrowth is that for an upstream that crashes with the
	// second refusal in a second.
	boundGrowth, patientGrowth = time.Second, 2 * time.Second
	// strictPause is the shortest pause of an upstream that refused a request, and the first one of one that
	// broke an answer; the latter doubles with each further failure.
	strictPause = 50 * time.Millisecond
	// takeoverTime is how long a coordinator that was not asked before grants no strict permits. Instances
	// report the requests that they have in flight without a permit of it meanwhile.
	takeoverTime = 200 * time.Millisecond
	// maxAbandonedTime bounds the time for which the place of a request whose caller has left stays taken. Most
	// upstreams end such a request at once, others finish it.
	maxAbandonedTime = 500 * time.Millisecond
	// strictWaitReserve is the part of the expected wait by which a new request may wait longer. Without it, the
	// queue is as long as its requests can wait at most, and each delay has some of them refused after a wait.
	strictWaitReserve = 0.5
	// strictNewTime is how long after its arrival a request counts as new.
	strictNewTime = 100 * time.Millisecond
	// reportedLifetime is how long a report of requests without permits counts.
	reportedLifetime = time.Second
)

// strictness holds what a strict coordinator knows about an upstream.
type strictness struct {
	// bound is the most permits that may be out since the last refusal, at boundedAt. It counts while bounded is
	// set.
	bound     int
	bounded   bool
	boundedAt time.Time
	// reported holds the requests without a permit of this coordinator by instance.
	reported map[string]reportedRequests
}

// reportedRequests is the number of an instance's requests at an upstream.
type reportedRequests struct {
	count int
	at    time.Time
}

// unpermitted returns the number of requests that instances have reported.
func (s *strictness) unpermitted(now time.Time) int {
	sum := 0
	for instance, r := range s.reported {
		if now.Sub(r.at) >= reportedLifetime {
			delete(s.reported, instance)
			continue
		}
		sum += r.count
	}
	return sum
}

// report records the requests of an instance.
func (s *strictness) report(instance string, count int, now time.Time) {
	if count <= 0 {
		delete(s.reported, instance)
		return
	}
	if s.reported == nil {
		s.reported = make(map[string]reportedRequests)
	}
	s.reported[instance] = reportedRequests{count, now}
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

// strictLimit returns the number of permits that may be out at an upstream that is lent strictly.
func (u *upstream) strictLimit(now time.Time) float64 {
	others := max(float64(u.strict.unpermitted(now)), u.othersNow(now))
	return max(0, float64(u.strict.places(u.slots, u.growth, now))-others)
}

// pauseAfterStrictRefusal bounds the permits for an upstream that has refused a request, and pauses it until one
// of its requests is expected to have ended.
func (u *upstream) pauseAfterStrictRefusal(r Result, service time.Duration, now time.Time) time.Duration {
	u.strict.lower(u.out, u.slots, u.growth, now)
	pause := max(r.RetryAfter, service/time.Duration(u.slots), strictPause)
	pause = min(pause, maxPause)
	u.pausedUntil = later(u.pausedUntil, now.Add(pause))
	return pause
}

// abandonedTime returns how long the place of a request whose caller has left stays taken, after it has run for
// took.
func abandonedTime(mean, deviation, took time.Duration) time.Duration {
	return min(max(mean+deviation-took, 0), maxAbandonedTime)
}

// ReportUnpermitted records how many requests of an instance are at the upstreams without a permit of this
// coordinator; upstreams that are not counted have none. It replaces the instance's last report.
func (c *Coordinator) ReportUnpermitted(instance string, counts map[string]int) {
	now := c.begin()
	defer c.end(now)
	for _, u := range c.pool.list {
		u.strict.report(instance, counts[u.id], now)
	}
	c.grantAll(now)
}

// noteAsked records that a permit is asked for. If none was for the lifetime of a permit, other coordinators may
// have lent the slots meanwhile, so that this one first waits for reports of the requests there.
func (c *Coordinator) noteAsked(now time.Time) {
	if c.pool.strict && now.Sub(c.askedAt) >= c.Lifetime {
		c.pool.closedUntil = now.Add(takeoverTime)
	}
	c.askedAt = now
}

// abandon keeps the place of a request whose caller has left until its expected end, and reports whether it does.
func (c *Coordinator) abandon(l *lease, took time.Duration, now time.Time) bool {
	if !c.pool.strict {
		return false
	}
	mean, deviation := c.pool.service(l.upstream, now)
	kept := abandonedTime(seconds(mean), seconds(deviation), took)
	if kept <= 0 {
		return false
	}
	l.abandoned, l.ends = true, now.Add(kept)
	c.wake(l.ends, now)
	return true
}
