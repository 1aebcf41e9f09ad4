package snipeadmission

import (
	"time"
)

// The methods below are about what has become of permits, and of their requests; see Coordinator.

// Renew prolongs the permits with these IDs that the instance holds, by Lifetime from now.
func (c *Coordinator) Renew(instance string, ids []uint64) {
	now := c.begin()
	defer c.end(now)
	for _, id := range ids {
		if l := c.permits[id]; l != nil && l.instance == instance && !l.abandoned && !c.pool.strict {
			l.ends = now.Add(c.Lifetime)
		}
	}
}

// Release ends a permit. A permit that is not out, because it expired, is counted and ignored.
func (c *Coordinator) Release(id uint64, r Result) {
	now := c.begin()
	defer c.end(now)
	l := c.permits[id]
	if l == nil || l.abandoned {
		c.stats.Unknown++
		return
	}
	u := l.upstream
	if r.Load != nil {
		c.report(u, *r.Load, now)
	}
	if r.Outcome != OutcomeCanceled || !c.abandon(l, r.Took, now) {
		c.remove(id, l)
	}
	u.strict.accept(l, r, now)
	c.pool.observe(u, r, l.running, now)
	c.settle(l, r, now)
	c.grantAll(now)
}

// settle records what the end of a request shows about its upstream, and takes back the charge of one that did not
// run.
func (c *Coordinator) settle(l *lease, r Result, now time.Time) {
	u := l.upstream
	switch r.Outcome {
	case OutcomeServed:
		u.failures, u.servedAt = 0, now
	case OutcomeTooLarge:
		c.queue.Charge(l.item.Priority, l.item.Workspace, -l.item.Work())
		c.oversize.note(l.item.Tokens, now)
	case OutcomeUnused:
		c.queue.Charge(l.item.Priority, l.item.Workspace, -l.item.Work())
	case OutcomeRefused:
		c.queue.Charge(l.item.Priority, l.item.Workspace, -l.item.Work())
		mean, _ := c.pool.service(u, now)
		c.decidePause(u, u.pauseAfterRefusal(r, seconds(mean), now), now)
	case OutcomeSuspect, OutcomeUnreachable:
		// Other instances may be served there, which shows that it is not broken for all: the instance may
		// be cut off.
		if !u.soundSince(r, now) {
			c.decidePause(u, u.pauseAfterFailure(now), now)
		}
	}
}

// decidePause keeps the decision to pause an upstream, if there is one.
func (c *Coordinator) decidePause(u *upstream, pause time.Duration, now time.Time) {
	if pause <= 0 {
		return
	}
	c.decide(Decision{Event: EventPaused, Permit: Permit{Upstream: u.id}, Pause: pause, LoadAge: u.reportAge(now)})
}

// report takes over a load report, or counts one that makes no sense.
func (c *Coordinator) report(u *upstream, l Load, now time.Time) {
	if !l.valid() {
		c.stats.Ignored++
		return
	}
	if u.report(l, now) {
		u.adapt(l, c.queue.Len())
	}
}

// Observe records a load report that did not come with a result, for example of a health check.
func (c *Coordinator) Observe(upstream string, l Load) {
	now := c.begin()
	defer c.end(now)
	if u := c.pool.find(upstream); u != nil {
		c.report(u, l, now)
		c.grantAll(now)
	}
}

// DropInstance ends the permits of an instance that is gone, except for those that are lent strictly: an instance that
// seems to be gone may still use them.
func (c *Coordinator) DropInstance(name string) {
	now := c.begin()
	defer c.end(now)
	for id, l := range c.permits {
		if l.instance == name && !c.pool.strict {
			c.expire(id, l, now)
		}
	}
	c.grantAll(now)
}
