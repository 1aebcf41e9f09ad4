package snipeadmission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipefair"
)

const (
	defaultLifetime        = time.Second
	defaultMaxDisplacement = 2 * time.Second
	defaultMaxWaiting      = 4096
	// sweepInterval is the time between two searches for waiting requests that can't be served in
	// time any more. It also bounds the delay until a permit is granted because a load report faded.
	sweepInterval = 10 * time.Millisecond
)

// Coordinator lends the slots of the upstreams of one service. Exported fields are set before the
// first call. It is safe for concurrent use.
//
// It keeps no goroutine. A timer runs while permits are out or requests wait.
type Coordinator struct {
	// Upstreams returns the upstreams of the service. It is called with the lock held and must not
	// call the Coordinator.
	Upstreams func() []Upstream
	// Lifetime is how long a permit lasts without a renewal; 0 means 1 s.
	Lifetime time.Duration
	// MaxDisplacement is the wait after which a request goes first within its priority; 0 means 2 s.
	MaxDisplacement time.Duration
	// MaxWaiting bounds the number of waiting requests; 0 means 4096.
	MaxWaiting int
	// OnDecision, if set, is called for each decision, without the lock.
	OnDecision func(Decision)
	// Brittle reports whether the upstreams crash when they refuse more than maxRefusals requests in a second,
	// so that their slots are lent strictly (see strict.go). It is called as Upstreams is; nil means never.
	Brittle func() (maxRefusals int, brittle bool)
	// Term returns the present right of this instance to lend strictly, and false while it has none; nil means that
	// it always has one. Members returns the instances that may hold permits of earlier terms; nil means none. Both
	// are called as Upstreams is.
	Term    func() (Term, bool)
	Members func() []Member
	// Linger returns how long requests may still be at the upstreams after their instance's process has ended, as far
	// as this instance knows before it has observed any; nil or 0 means maxLinger. It is called as Upstreams is.
	Linger func() time.Duration

	lock   sync.Mutex // guards the fields below
	pool   pool
	term   term
	shares shares
	// oversize is the size of requests for which the upstreams have no memory.
	oversize oversize
	demand   demand
	queue    snipefair.Queue[*waiter]
	permits  map[uint64]*lease
	lastID   uint64
	// lastRetry is the time that was last named to a refused caller.
	lastRetry time.Time
	sweptAt   time.Time
	// sinceLate counts the grants since the last one to a late request (see lateSpacing).
	sinceLate int
	timer     *time.Timer
	wakeAt    time.Time // when the timer fires; zero if it does not run
	stats     Stats
	decisions []Decision // not yet passed to OnDecision
}

// lease is a permit that is out.
type lease struct {
	upstream *upstream
	instance string
	item     snipefair.Item
	// grantedAt is when the permit was granted, or adopted from an earlier term, and ends when its place is free
	// without a release.
	grantedAt, ends time.Time
	// abandoned is set if the caller has left and the upstream may still work on the request.
	abandoned bool
	// running is the load of the upstream when the permit was granted, with this one.
	running int
}

// waiter is a request that waits.
type waiter struct {
	request  Request
	since    time.Time // when Acquire was called
	expected time.Duration
	excluded []exclusion
	decision chan decision
}

// exclusion is an upstream that a waiting request is not sent to for some time.
type exclusion struct {
	upstream string
	until    time.Time
}

// decision is the end of a wait: a permit or a refusal.
type decision struct {
	permit Permit
	err    *RefusedError
}

// Acquire waits until the request gets a permit or is refused, or until ctx ends. A refusal is a
// *RefusedError. If ctx ends, Acquire returns its error, but a permit that was granted at the same
// moment is returned.
func (c *Coordinator) Acquire(ctx context.Context, r Request) (Permit, error) {
	if err := ctx.Err(); err != nil {
		return Permit{}, err
	}
	w, e := c.enter(r)
	select {
	case d := <-w.decision:
		return d.result()
	case <-ctx.Done():
	}
	c.lock.Lock()
	waits := c.queue.Remove(e)
	if waits {
		c.stats.Withdrawn++
	}
	c.lock.Unlock()
	if waits {
		return Permit{}, ctx.Err()
	}
	return (<-w.decision).result()
}

func (d decision) result() (Permit, error) {
	if d.err != nil {
		return Permit{}, d.err
	}
	return d.permit, nil
}

// enter queues a request, and grants or refuses it if that can be decided at once.
func (c *Coordinator) enter(r Request) (*waiter, *snipefair.Entry[*waiter]) {
	now := c.begin()
	defer c.end(now)
	w := &waiter{request: r, since: now, decision: make(chan decision, 1)}
	c.shares.note(r.Instance, r.Demand, now)
	queued := now
	if !r.Arrived.IsZero() && r.Arrived.Before(now) {
		queued = r.Arrived
	} else {
		c.demand.add(r.Priority, now)
	}
	for _, id := range r.Excluded {
		if u := c.pool.find(id); u != nil {
			mean, _ := c.pool.service(u, now)
			w.excluded = append(w.excluded, exclusion{id, later(u.pausedUntil, now.Add(seconds(mean)))})
		}
	}
	e := c.queue.Push(snipefair.Item{
		Priority: r.Priority, Workspace: r.Workspace, Tokens: r.Tokens,
		Queued: queued, Target: r.Target, Deadline: r.Deadline,
	}, w)
	if d := r.Deadline; !d.IsZero() && !d.After(now) {
		c.refuse(e, ReasonDeadline, now)
		return w, e
	}
	if c.oversize.covers(r.Tokens, now) {
		c.refuse(e, ReasonTooLarge, now)
		return w, e
	}
	c.grantAll(now)
	switch {
	case len(w.decision) > 0:
	case r.NoWait:
		c.queue.Remove(e)
		w.decision <- decision{err: &RefusedError{Reason: ReasonBusy, RetryAfter: minPause}}
	default:
		c.judge(e, now)
	}
	return w, e
}

// begin takes the lock and brings the state up to date. Each call is followed by one of end.
func (c *Coordinator) begin() time.Time {
	c.lock.Lock()
	now := time.Now()
	if c.permits == nil {
		// IDs start at random, so that those of two coordinators and of one before a restart differ.
		c.permits, c.lastID = make(map[uint64]*lease), rand.Uint64()>>1 //nolint:gosec // not a secret
		if c.Lifetime <= 0 {
			c.Lifetime = defaultLifetime
		}
		if c.MaxDisplacement <= 0 {
			c.MaxDisplacement = defaultMaxDisplacement
		}
		if c.MaxWaiting <= 0 {
			c.MaxWaiting = defaultMaxWaiting
		}
		c.queue.MaxDisplacement = c.MaxDisplacement
	}
	if now.Sub(c.pool.refreshedAt) >= refreshInterval {
		c.refreshPool(now)
		c.pool.updateSpeeds(now)
	}
	c.refreshTerm(now)
	return now
}

// refreshPool brings the upstreams, and whether they are lent strictly, up to date.
func (c *Coordinator) refreshPool(now time.Time) {
	c.pool.refresh(c.Upstreams(), now)
	if c.Brittle != nil {
		c.pool.setStrict(c.Brittle())
	}
}

// end sets the timer, releases the lock and reports the decisions.
func (c *Coordinator) end(now time.Time) {
	if c.queue.Len() > 0 {
		c.wake(now.Add(sweepInterval), now)
	}
	made := c.decisions
	c.decisions = nil
	c.lock.Unlock()
	for _, d := range made {
		c.OnDecision(d)
	}
}

// wake makes the timer fire at the given time at the latest.
func (c *Coordinator) wake(at, now time.Time) {
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	if c.timer == nil {
		c.timer = time.AfterFunc(at.Sub(now), c.tick)
		return
	}
	c.timer.Reset(at.Sub(now))
}

// tick ends permits that were not renewed, and refuses and grants what has become due.
func (c *Coordinator) tick() {
	now := c.begin()
	defer c.end(now)
	c.wakeAt = time.Time{}
	for id, l := range c.permits {
		switch {
		case now.Before(l.ends):
		case l.abandoned:
			c.remove(id, l)
		default:
			c.expire(id, l, now)
		}
	}
	for _, l := range c.permits {
		c.wake(l.ends, now)
	}
	c.grantAll(now)
	c.sweep(now)
}

// expire ends a permit that was not released.
func (c *Coordinator) expire(id uint64, l *lease, now time.Time) {
	c.remove(id, l)
	c.stats.Expired++
	c.decide(Decision{Event: EventExpired, Request: Request{Instance: l.instance}, Permit: c.permit(id, l), LoadAge: l.upstream.reportAge(now)})
}

func (c *Coordinator) remove(id uint64, l *lease) {
	delete(c.permits, id)
	l.upstream.out--
}

func (c *Coordinator) permit(id uint64, l *lease) Permit {
	return Permit{ID: id, Upstream: l.upstream.id, Lifetime: c.Lifetime}
}

// grantedPermit returns a permit that was granted just now to a request that has waited since a time.
func (c *Coordinator) grantedPermit(id uint64, l *lease, r Request, since, now time.Time) Permit {
	p := c.permit(id, l)
	mean, _ := c.pool.service(l.upstream, now)
	p.ServiceTime, p.MaxServiceTime = seconds(mean), c.pool.maxService(l.upstream, now)
	if c.pool.strict {
		p.Fence, p.Lifetime = c.term.Fence, strictLifetime(r, since)
		p.Reusable = c.out(r.Instance) <= c.shares.of(r.Instance, c.pool.slots(), now)
		l.ends = now.Add(p.Lifetime)
	}
	return p
}

// decide keeps a decision for OnDecision.
func (c *Coordinator) decide(d Decision) {
	if c.OnDecision != nil {
		d.Waiting = c.queue.Len()
		c.decisions = append(c.decisions, d)
	}
}

// MayLend reports whether this instance may lend: it has the right to lend strictly where it must.
func (c *Coordinator) MayLend() bool {
	now := c.begin()
	defer c.end(now)
	return !c.pool.strict || c.term.held
}

// Refresh compares the upstreams with Upstreams, so that a change takes effect before the next
// call.
func (c *Coordinator) Refresh() {
	now := c.begin()
	defer c.end(now)
	c.refreshPool(now)
	c.grantAll(now)
}

// Stats returns the counters.
func (c *Coordinator) Stats() Stats {
	c.lock.Lock()
	defer c.lock.Unlock()
	s := c.stats
	s.PermitsOut, s.Waiting = len(c.permits), c.queue.Len()
	return s
}
