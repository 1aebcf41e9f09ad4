package snipeadmission

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipefair"
)

const (
	// lookahead bounds the waiting requests that are looked at for one free slot, when those before
	// them wait for a faster upstream.
	lookahead = 64
	// maxReserved bounds the share of the time until its target that is reserved for a new request to be
	// served. Where times vary much, requests with an early target could not wait at all otherwise, and
	// those with later targets would take all slots.
	maxReserved = 0.85
	// waitMargin is how many times sooner than at an upstream with a free permit a request must end at
	// one that it has to wait for.
	waitMargin = 1.25
	// maxRetryAfter bounds the time that a refused caller is told.
	maxRetryAfter = 5 * time.Second
	// overloadRatio is the ratio of the arrivals to what the upstreams usually serve from which the
	// service counts as overloaded. Both are estimates: with 1, short congestion below the capacity
	// would count as overload; with 1.1, an overload by a fifth would often not be seen.
	overloadRatio = 1.05
	// lateSpacing is the least number of grants from one late request that goes first to the next. If
	// each late request went first near its deadline, a short peak would leave a queue in which all
	// requests wait until they are late.
	lateSpacing = 4
	// minRoomDivisor sets the least part of the rate that is counted on for returning callers: one
	// minRoomDivisor-th.
	minRoomDivisor = 4
	// forever is the wait that stands for no service at all.
	forever = 24 * time.Hour
)

// grantAll grants permits as long as there are free ones and requests that should use them.
func (c *Coordinator) grantAll(now time.Time) {
	for c.queue.Len() > 0 && c.pool.free(now) >= 1 {
		e, u := c.next(now)
		if u == nil {
			return
		}
		c.grant(e, u, now)
	}
}

// next returns the first waiting request that should be sent to an upstream now, or nil. A request
// waits when an upstream without a free permit is expected to serve it sooner than the others; it is
// then counted there, so that the next request finds the place taken.
func (c *Coordinator) next(now time.Time) (*snipefair.Entry[*waiter], *upstream) {
	c.queue.Rescue = c.sinceLate >= lateSpacing && !c.overloaded(priorities, now)
	ready := c.pool.ready(now)
	assigned := make([]float64, len(c.pool.list))
	first := c.queue.Peek(now, ready)
	if u := c.soonestFree(first.Value, assigned, now); u != nil || c.queue.Len() == 1 {
		return first, u
	}
	clear(assigned)
	seen := 0
	for e := range c.queue.InOrder(now, ready) {
		if u := c.soonestFree(e.Value, assigned, now); u != nil {
			return e, u
		}
		if seen++; seen >= lookahead {
			break
		}
	}
	return nil, nil
}

// soonestFree returns the upstream that is expected to end the request first, or nil if there is none
// or it has no free permit. In that case the request is added to those assigned there.
func (c *Coordinator) soonestFree(w *waiter, assigned []float64, now time.Time) *upstream {
	best := c.soonest(w, assigned, now)
	if best < 0 {
		return nil
	}
	u := c.pool.list[best]
	if float64(u.out)+1 <= u.limit(now) {
		return u
	}
	assigned[best]++
	return nil
}

// soonest returns the position of the upstream that is expected to end the request first, given the
// requests that are assigned to each besides those with permits, and among equals the least used one;
// -1 if there is none.
func (c *Coordinator) soonest(w *waiter, assigned []float64, now time.Time) int {
	best, soonest, used := -1, math.Inf(1), 0.0
	for i, u := range c.pool.list {
		if u.limit(now) == 0 || w.excludes(u.id, now) {
			continue
		}
		end := c.expectedEnd(u, assigned[i], now)
		use := u.load(now) / min(float64(u.slots), u.limit(now))
		if end < soonest || end == soonest && use < used {
			best, soonest, used = i, end, use
		}
	}
	return best
}

// expectedEnd returns the expected time of a request at an upstream in seconds. An upstream without a
// free permit counts as slower than it is: expected times are inexact, and a request that waits for it
// leaves a slot of another one idle.
func (c *Coordinator) expectedEnd(u *upstream, assigned float64, now time.Time) float64 {
	mean, _ := c.pool.service(u, now)
	slots := min(float64(u.slots), u.limit(now))
	excess := max(0, u.load(now)+assigned+1-slots)
	end := mean * (1 + excess/slots)
	if float64(u.out)+1 > u.limit(now) {
		end *= waitMargin
	}
	return end
}

func (w *waiter) excludes(id string, now time.Time) bool {
	for _, x := range w.excluded {
		if x.upstream == id && now.Before(x.until) {
			return true
		}
	}
	return false
}

// grant gives a waiting request a permit for an upstream.
func (c *Coordinator) grant(e *snipefair.Entry[*waiter], u *upstream, now time.Time) {
	c.queue.Take(e)
	c.sinceLate++
	if e.Item.Late(now) {
		c.sinceLate = 0
	}
	w := e.Value
	c.lastID++
	u.out++
	l := &lease{upstream: u, instance: w.request.Instance, item: e.Item, grantedAt: now, ends: now.Add(c.Lifetime), running: int(u.load(now))}
	c.permits[c.lastID] = l
	c.stats.Granted++
	p := c.grantedPermit(c.lastID, l, w.request, w.since, now)
	c.decide(Decision{
		Event: EventGranted, Request: w.request, Permit: p, Waited: now.Sub(w.since),
		ExpectedWait: w.expected, LoadAge: u.reportAge(now),
	})
	w.decision <- decision{permit: p}
	c.wake(l.ends, now)
}

// refuse ends the wait of a request without a permit.
func (c *Coordinator) refuse(e *snipefair.Entry[*waiter], reason Reason, now time.Time) {
	c.queue.Remove(e)
	w := e.Value
	c.stats.Refused++
	err := &RefusedError{RetryAfter: c.retryAfter(now), Reason: reason}
	c.decide(Decision{
		Event: EventRefused, Request: w.request, Refusal: err, Waited: now.Sub(w.since),
		ExpectedWait: w.expected, LoadAge: c.pool.oldestReport(now),
	})
	w.decision <- decision{err: err}
}

// retryAfter returns the time until the queue ends, and later for each further refused caller.
func (c *Coordinator) retryAfter(now time.Time) time.Duration {
	first, known := c.pool.available()
	at, spacing := later(first, now), minPause
	if !known {
		at = now.Add(firstPause)
	}
	if rate := c.pool.rate(now); rate > 0 {
		at = at.Add(c.wait(c.queue.Len(), rate, now))
		// In the long run the upstreams serve as many returning callers as new ones leave room for.
		spacing = seconds(1 / max(c.pool.usualRate(now)-c.demand.rate(priorities, now), rate/minRoomDivisor))
	}
	at = later(later(at, now.Add(minPause)), c.lastRetry.Add(spacing))
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	c.lastRetry = at
	return at.Sub(now)
}

// wait returns the expected time until a request with so many before it gets a permit, if permits
// come at this rate. It is longer than all deadlines if there is no rate.
func (c *Coordinator) wait(ahead int, rate float64, now time.Time) time.Duration {
	needed := float64(ahead) + 1 - c.pool.free(now)
	if needed <= 0 {
		return 0
	}
	if needed > rate*forever.Seconds() {
		return forever
	}
	return seconds(needed / rate)
}

// judge refuses a request that has just been queued if it can't be served before its deadline. The time
// that it reserves for the request itself is one within which nearly all end, but at most maxReserved of
// the time until its target.
func (c *Coordinator) judge(e *snipefair.Entry[*waiter], now time.Time) {
	if c.queue.Len() > c.MaxWaiting {
		c.refuse(e, ReasonFull, now)
		return
	}
	mean, deviation := c.pool.typical(now)
	most := mean + time.Duration(newDeviations*float64(deviation))
	if left := e.Item.Target.Sub(now); !e.Item.Target.IsZero() {
		most = min(most, max(mean, time.Duration(maxReserved*float64(left))))
	}
	c.check(e, c.queue.Ahead(e, now, c.pool.ready(now)), most, now)
}

// check refuses a request with so many before it if it can't be served before its deadline. It
// counts on the rate of the upstreams, less the arrivals that are more urgent. A request that would
// end after its target if it takes most is late: when the arrivals exceed what the upstreams usually
// serve, no capacity is left over for it.
func (c *Coordinator) check(e *snipefair.Entry[*waiter], ahead int, most time.Duration, now time.Time) {
	if first, known := c.pool.available(); !known || first.After(now) {
		if !known || c.misses(e, first.Sub(now), now) {
			c.refuse(e, ReasonNoUpstream, now)
		}
		return
	}
	rate, p := max(c.pool.rate(now), c.pool.usualRate(now)), clampPriority(e.Item.Priority)
	wait := c.wait(ahead, max(rate-c.demand.rate(p, now), 0), now)
	e.Value.expected = wait
	if c.pool.strict {
		most += time.Duration(strictWaitReserve * float64(wait))
	}
	switch late := e.Item.Late(now.Add(wait + most)); {
	case late && c.refusesLate(e, p+1, now):
		c.useOrRefuse(e, ReasonLate, now)
	case c.misses(e, wait, now):
		c.useOrRefuse(e, ReasonDeadline, now)
	}
}

// refusesLate reports whether a request that would miss its target is refused: where the arrivals of the priorities
// below limit exceed what the upstreams serve. At upstreams that are lent strictly each new one is: nothing waits
// there, so that the queue here tells at once who would be late.
func (c *Coordinator) refusesLate(e *snipefair.Entry[*waiter], limit int, now time.Time) bool {
	return c.pool.strict && now.Sub(e.Item.Queued) < strictNewTime || c.overloaded(limit, now)
}

// useOrRefuse grants a permit that is free, if the upstream is expected to serve the request before
// its deadline, and refuses the request otherwise. A slow upstream with a free permit is otherwise
// left idle for as long as a faster one is expected to end the request sooner, and would not be used
// at all where requests are refused in place of waiting.
func (c *Coordinator) useOrRefuse(e *snipefair.Entry[*waiter], reason Reason, now time.Time) {
	var best *upstream
	var shortest float64
	for _, u := range c.pool.list {
		mean, _ := c.pool.service(u, now)
		switch {
		case float64(u.out)+1 > u.limit(now), e.Value.excludes(u.id, now):
		case !e.Item.Deadline.IsZero() && now.Add(seconds(mean)).After(e.Item.Deadline):
		case best == nil || mean < shortest:
			best, shortest = u, mean
		}
	}
	if best == nil {
		c.refuse(e, reason, now)
		return
	}
	c.grant(e, best, now)
}

// overloaded reports whether the arrivals of the priorities below limit clearly exceed what the
// upstreams usually serve.
func (c *Coordinator) overloaded(limit int, now time.Time) bool {
	return c.demand.rate(limit, now) >= overloadRatio*c.pool.usualRate(now)
}

// misses reports whether a request that waits so long ends after its deadline.
func (c *Coordinator) misses(e *snipefair.Entry[*waiter], wait time.Duration, now time.Time) bool {
	mean, _ := c.pool.typical(now)
	return !e.Item.Deadline.IsZero() && now.Add(wait+mean).After(e.Item.Deadline)
}

// sweep refuses the waiting requests that have become late and that the capacity left over does not
// reach before their deadlines, and those whose deadline has come too close.
func (c *Coordinator) sweep(now time.Time) {
	if c.queue.Len() == 0 || now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	mean, _ := c.pool.typical(now)
	for _, e := range c.queue.Expired(now.Add(mean)) {
		c.refuse(e, ReasonDeadline, now)
	}
	var late []*snipefair.Entry[*waiter]
	var aheads []int
	ahead, ready := 0, c.pool.ready(now)
	for e := range c.queue.InOrder(now, ready) {
		if e.Item.Late(ready) {
			late, aheads = append(late, e), append(aheads, ahead)
		}
		ahead++
	}
	for i, e := range late {
		c.check(e, aheads[i], ready.Sub(now), now)
	}
}
