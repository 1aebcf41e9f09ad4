package snipeadmission

import (
	"maps"
	"slices"
	"time"
)

// A coordinator lends strictly only in a term: while it has a right that no two instances have at the same moment, and
// whose fencing numbers grow. When a term begins, permits of earlier terms may still be in use, and requests may run
// without any. The coordinator asks all instances for an account of them, and lends what is left when it has them all.
//
// Why the permits of all terms together are no more than the slots:
//
//   - An instance that gives an account accepts no permit any more that was lent before: none of an earlier term, and
//     none of this term up to the number that the question states. What its account lists is all that it holds.
//   - Permits that are listed go on as permits of this coordinator.
//   - The coordinator frees a place when the permit's holder gives it back, when an account shows that its holder does
//     not hold it, or when its lifetime has passed since it was granted. The holder counts the lifetime from before
//     it asked, and sends no request that could still run at its end.
//   - Permits of earlier terms of an instance that gives no account have ended maxLifetime after the term began. Until
//     then only the places of permits that others have listed are lent again.
//
// The clocks of two processes are only taken to run equally fast.

const (
	// accountPause is the time between two questions to an instance whose account is incomplete, and auditPause that
	// between two questions about permits that are out for long.
	accountPause, auditPause = 80 * time.Millisecond, 500 * time.Millisecond
	// outsideWait is how long, after the upstreams have become brittle, a coordinator waits for the accounts of the
	// requests that were sent without permits. An instance that does not answer may not know that they are.
	outsideWait = 2 * time.Second
)

// Term is the right of an instance to lend strictly.
type Term struct {
	// Fence grows with each term of any instance.
	Fence uint64
	// Since is when the term began. No permit of an earlier term was granted after that.
	Since time.Time
}

// Question asks an instance for an account of its permits for one service or engine.
type Question struct {
	// Fence is the fencing number of the term. Permits of earlier terms that have not arrived yet are void.
	Fence uint64
	// LastID is the last number of a permit that was granted before the question. Permits up to this number
	// that have not arrived yet are void.
	LastID uint64
	// Share is the number of permits that the instance may use for several requests each.
	Share int
}

// HeldPermit is a permit in an account.
type HeldPermit struct {
	ID       uint64
	Upstream string
	// Left is the time until the end of its lifetime.
	Left time.Duration
}

// Member is an instance that may hold permits, and the start of its process.
type Member struct{ Instance, Incarnation string }

// Account is the answer to a Question.
type Account struct {
	// Incarnation identifies the start of the instance's process.
	Incarnation string
	// Uptime is the time since the instance's process has started. Requests of an earlier process may still be at the
	// upstreams for maxLinger.
	Uptime time.Duration
	// Permits are all permits that the instance holds, Outside the numbers of its requests without one, by upstream.
	Permits []HeldPermit
	Outside map[string]int
	// Demand is the rate of requests at the instance, a second.
	Demand float64
	// Superseded is set if the instance knows of a later term. Nothing else is set then.
	Superseded bool
}

// term is what a coordinator knows of its present term.
type term struct {
	Term
	// held is set while the coordinator has the right, open while it also knows what is in use.
	held, open bool
	// strictSince is when the upstreams were first lent strictly in this term; zero while they are not.
	strictSince time.Time
	// accounted holds the accounts of instances by instance.
	accounted map[string]accounted
	// askedAt is when each instance was last asked for an account.
	askedAt map[string]time.Time
	adopted int
}

// accounted records that an instance has given an account, or that its process has ended.
type accounted struct {
	incarnation string
	// from is when the requests of its earlier processes have left the upstreams.
	from time.Time
}

// refreshTerm brings the term up to date, and whether permits may be granted in it.
func (c *Coordinator) refreshTerm(now time.Time) {
	if !c.pool.strict {
		c.term.strictSince, c.term.open = time.Time{}, false
		return
	}
	t, held := Term{}, true
	if c.Term != nil {
		t, held = c.Term()
	}
	c.term.held = held
	if held && (c.term.accounted == nil || t.Fence != c.term.Fence) {
		c.beginTerm(t)
	}
	if c.term.strictSince.IsZero() {
		c.term.strictSince = now
		clear(c.term.accounted)
	}
	if held && !c.term.open {
		c.openTerm(now)
	}
	c.setClosed(!held || !c.term.open, now)
}

// beginTerm forgets the permits of an earlier term: the instances that hold them list them in their accounts.
func (c *Coordinator) beginTerm(t Term) {
	for id, l := range c.permits {
		c.remove(id, l)
	}
	for _, u := range c.pool.list {
		u.strict.outside, u.strict.known = nil, 0
	}
	c.term = term{
		Term: t, held: true, accounted: make(map[string]accounted), askedAt: make(map[string]time.Time), strictSince: c.term.strictSince,
	}
}

// openTerm begins to lend once all that may be in use is known.
func (c *Coordinator) openTerm(now time.Time) {
	unknown := c.unaccounted(now)
	if len(unknown) > 0 && (now.Before(c.term.Since.Add(maxLifetime)) || now.Before(c.term.strictSince.Add(outsideWait))) {
		return
	}
	c.term.open = true
	c.decide(Decision{
		Event: EventOpened, Fence: c.term.Fence, Adopted: c.term.adopted, Unknown: len(unknown), Waited: now.Sub(c.term.Since), LoadAge: c.pool.oldestReport(now),
	})
}

// setClosed has no permits granted but for known places, or permits for all places again. Without the right, no place
// is known.
func (c *Coordinator) setClosed(closed bool, now time.Time) {
	c.pool.closedUntil = time.Time{}
	if closed {
		c.pool.closedUntil = now.Add(accountPause)
	}
	for _, u := range c.pool.list {
		u.closed = closed
		if !c.term.held {
			u.strict.known = 0
		}
	}
}

// unaccounted returns the members whose permits and requests are not known.
func (c *Coordinator) unaccounted(now time.Time) []Member {
	if c.Members == nil {
		return nil
	}
	return slices.DeleteFunc(c.Members(), func(m Member) bool {
		a, ok := c.term.accounted[m.Instance]
		return ok && !now.Before(a.from)
	})
}

// Questions returns the questions to be asked now, by instance: those whose accounts are incomplete, that have requests
// without permits, or that hold permits for long. Their answers are for Account.
func (c *Coordinator) Questions() map[string]Question {
	now := c.begin()
	defer c.end(now)
	if !c.pool.strict || !c.term.held {
		return nil
	}
	asked := make(map[string]Question)
	for _, instance := range c.incomplete() {
		c.ask(asked, instance, accountPause, now)
	}
	for _, l := range c.permits {
		if !l.abandoned && now.Sub(l.grantedAt) >= auditPause {
			c.ask(asked, l.instance, auditPause, now)
		}
	}
	return asked
}

// ask adds a question to an instance, unless it was asked within the pause.
func (c *Coordinator) ask(asked map[string]Question, instance string, pause time.Duration, now time.Time) {
	if now.Sub(c.term.askedAt[instance]) >= pause {
		c.term.askedAt[instance] = now
		asked[instance] = Question{Fence: c.term.Fence, LastID: c.lastID, Share: c.shares.of(instance, c.pool.slots(), now)}
	}
}

// incomplete returns the instances whose accounts are missing, or may change without a message: a process that has
// started since may not know that the upstreams are brittle, and requests without permits end.
func (c *Coordinator) incomplete() []string {
	var all []string
	if c.Members != nil {
		for _, m := range c.Members() {
			if a, ok := c.term.accounted[m.Instance]; !ok || a.incarnation != m.Incarnation {
				all = append(all, m.Instance)
			}
		}
	}
	for _, u := range c.pool.list {
		all = slices.AppendSeq(all, maps.Keys(u.strict.outside))
	}
	return all
}

// inTerm reports whether a question was asked in the present term, so that its answer counts.
func (c *Coordinator) inTerm(q Question) bool {
	return c.pool.strict && c.term.held && q.Fence == c.term.Fence
}

// Account records the answer of an instance to a question.
func (c *Coordinator) Account(instance string, q Question, a Account) {
	now := c.begin()
	defer c.end(now)
	if a.Superseded || !c.inTerm(q) {
		return
	}
	known, ok := c.term.accounted[instance]
	if !ok {
		known.from = now.Add(max(0, c.linger()-a.Uptime))
	}
	known.incarnation = a.Incarnation
	c.shares.note(instance, a.Demand, now)
	c.term.accounted[instance] = known
	listed := make(map[uint64]bool, len(a.Permits))
	for _, p := range a.Permits {
		listed[p.ID] = true
		c.confirm(instance, p, now)
	}
	c.endOthers(instance, q, listed, a.Uptime, now)
	for _, u := range c.pool.list {
		u.strict.report(instance, a.Outside[u.id], now)
	}
	c.refreshTerm(now)
	c.grantAll(now)
}

// endOthers ends the permits of an instance that were granted before a question and are not listed in the answer.
func (c *Coordinator) endOthers(instance string, q Question, listed map[uint64]bool, uptime time.Duration, now time.Time) {
	for id, l := range c.permits {
		if l.instance == instance && id <= q.LastID && !listed[id] && !l.abandoned {
			c.endUnlisted(id, l, uptime, now)
		}
	}
}

// linger returns how long the requests of a process that has ended may still be at the upstreams.
func (c *Coordinator) linger() time.Duration {
	if c.Linger == nil {
		return maxLinger
	}
	if d := c.Linger(); d > 0 {
		return min(d, maxLinger)
	}
	return maxLinger
}

// confirm prolongs a permit that an instance holds, and adopts it if it is of an earlier term.
func (c *Coordinator) confirm(instance string, p HeldPermit, now time.Time) {
	ends := now.Add(min(max(p.Left, 0), maxLifetime))
	if l := c.permits[p.ID]; l != nil {
		if l.instance == instance && !l.abandoned && ends.After(l.ends) {
			l.ends = ends
		}
		return
	}
	u := c.pool.find(p.Upstream)
	if u == nil || p.Left <= 0 {
		return
	}
	u.out++
	c.permits[p.ID] = &lease{upstream: u, instance: instance, grantedAt: now, ends: ends, running: u.out}
	u.strict.known++
	c.term.adopted++
	c.wake(ends, now)
}

// endUnlisted ends a permit that its holder does not list: its release was lost, or its holder has started again that
// long ago. In both cases a request may still be at the upstream.
func (c *Coordinator) endUnlisted(id uint64, l *lease, uptime time.Duration, now time.Time) {
	if uptime >= now.Sub(l.grantedAt) {
		uptime = 0
	}
	if !c.abandon(l, uptime, now) {
		c.expire(id, l, now)
	}
}

// Gone records that a question found nothing that listens at an instance's address: its process has ended. Its requests
// may still be at the upstreams.
func (c *Coordinator) Gone(instance string, q Question) {
	now := c.begin()
	defer c.end(now)
	if !c.inTerm(q) {
		return
	}
	if _, known := c.term.accounted[instance]; !known {
		c.term.accounted[instance] = accounted{from: now.Add(c.linger())}
	}
	c.endOthers(instance, q, nil, 0, now)
	for _, u := range c.pool.list {
		u.strict.report(instance, 0, now)
	}
	c.grantAll(now)
}
