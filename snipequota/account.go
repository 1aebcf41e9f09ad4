package snipequota

import (
	"context"
	"math"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// AskTimeout bounds one question to an issuer, which is a few milliseconds away: requests
	// wait for it.
	AskTimeout = 120 * time.Millisecond
	// aheadTime is for how long units are asked ahead of their use, lowTime how long what is
	// left must last for none to be asked for.
	aheadTime = time.Second
	lowTime   = 300 * time.Millisecond
	// aheadRequests is how many requests' units are asked ahead at least.
	aheadRequests = 2
	// demandTime is the time constant of what arrives.
	demandTime = 2 * time.Second
	// pauseTime is the least time between two questions for a workspace whose quota is used
	// up; longestPause the longest.
	pauseTime    = 60 * time.Millisecond
	longestPause = 300 * time.Millisecond
	// lonelyPause is for how long no issuer is asked after one did not answer.
	lonelyPause = 250 * time.Millisecond
	// aloneTime is for how long a share can be saved up without an issuer.
	aloneTime = 500 * time.Millisecond
	// leaseMargin is how much before the issuer's an instance counts the end of its share.
	leaseMargin = time.Second
)

// Account is what one instance may use of all quotas. Exported fields are set before Run. It is
// safe for concurrent use.
type Account struct {
	// Ask puts questions to the issuer.
	Ask func(ctx context.Context, asks []Ask) ([]Grant, error)
	// Limited reports whether any workspace has a quota.
	Limited func() bool
	// Instances returns the number of live instances.
	Instances func() int
	Bounds    Bounds
	Log       *snipelog.Logger

	prepared sync.Once // makes wake
	wake     chan struct{}

	lock   sync.Mutex // guards the fields below
	purses map[string]*purse
	// heardAt is when the issuer last answered, askedAt when it was last asked.
	heardAt time.Time
	askedAt time.Time
	// lost tells that the issuer did not answer last.
	lost bool
}

// purse is what may be used of one workspace's quota.
type purse struct {
	quota snipecatalog.Quota
	// left is what is left of grants, until its end. It is negative after requests that ran
	// again.
	left float64
	end  time.Time
	// demand is what arrives in a second as of seen, size what a request needs on average.
	demand float64
	seen   time.Time
	size   float64
	// closed is until when requests are refused without asking, reopens when there will be
	// room.
	closed  time.Time
	reopens time.Time
	waiting []*waiter
	// share is the part of the rate that may be used without an issuer. Alone is the bucket of
	// that as of at, with its rate and its limit, used what was taken from it since an issuer
	// answered.
	share      float64
	alone      float64
	at         time.Time
	aloneRate  float64
	aloneLimit float64
	used       float64
	// level is what the issuer told of its bucket.
	level   float64
	levelAt time.Time
}

// waiter is a request that waits for units.
type waiter struct {
	units float64
	done  chan verdict
}

// verdict tells a request whether it may go, or when there will be room.
type verdict struct {
	ok   bool
	wait time.Duration
}

// Take counts a request of so many units, or returns when there will be room for it.
func (a *Account) Take(ctx context.Context, w *snipecatalog.Workspace, units float64) (time.Duration, bool) {
	v, waiting := a.take(w, units)
	if waiting == nil {
		return v.wait, v.ok
	}
	a.nudge()
	select {
	case v = <-waiting.done:
		return v.wait, v.ok
	case <-ctx.Done():
		a.abandon(w.Name, waiting)
		return 0, false
	}
}

// take counts a request if units are left or it is known that there are none; else the request
// waits for an answer.
func (a *Account) take(w *snipecatalog.Workspace, units float64) (verdict, *waiter) {
	now := time.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	p := a.purse(w)
	p.arrive(units, now)
	p.expire(now)
	switch {
	case len(p.waiting) == 0 && p.left >= units:
		p.left -= units
		if p.low() {
			a.nudge()
		}
		return verdict{ok: true}, nil
	case now.Before(p.closed):
		return verdict{wait: p.reopens.Sub(now)}, nil
	case a.lost && now.Sub(a.askedAt) < lonelyPause:
		return a.takeAlone(p, units, now), nil
	}
	r := &waiter{units: units, done: make(chan verdict, 1)}
	p.waiting = append(p.waiting, r)
	return verdict{}, r
}

// Again counts a request that is run once more: it is late for a refusal, so that what it takes
// is paid for later.
func (a *Account) Again(w *snipecatalog.Workspace, units float64) { a.add(w, -units) }

// Return gives back what was taken for a request that was not run.
func (a *Account) Return(w *snipecatalog.Workspace, units float64) { a.add(w, units) }

func (a *Account) add(w *snipecatalog.Workspace, units float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	p := a.purse(w)
	p.expire(time.Now())
	p.left += units
}

// abandon takes back a request whose caller has left.
func (a *Account) abandon(workspace string, r *waiter) {
	a.lock.Lock()
	defer a.lock.Unlock()
	p := a.purses[workspace]
	for n, other := range p.waiting {
		if other == r {
			p.waiting = append(p.waiting[:n], p.waiting[n+1:]...)
			return
		}
	}
	// Its answer has come meanwhile.
	if v := <-r.done; v.ok {
		p.left += r.units
	}
}

func (a *Account) purse(w *snipecatalog.Workspace) *purse {
	p := a.purses[w.Name]
	if p == nil {
		if a.purses == nil {
			a.purses = make(map[string]*purse)
		}
		p = &purse{}
		a.purses[w.Name] = p
	}
	if p.quota != w.Quota {
		// What was granted by another quota is void.
		p.quota, p.left, p.closed = w.Quota, min(p.left, 0), time.Time{}
	}
	return p
}

// arrive counts a request into the demand.
func (p *purse) arrive(units float64, now time.Time) {
	p.fade(now)
	p.demand += units / demandTime.Seconds()
	if p.size == 0 {
		p.size = units
	}
	p.size += (units - p.size) / 8
}

func (p *purse) fade(now time.Time) {
	if passed := now.Sub(p.seen); passed > 0 {
		p.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	}
	p.seen = now
}

// expire ends grants whose time is over.
func (p *purse) expire(now time.Time) {
	if p.left > 0 && !now.Before(p.end) {
		p.left = 0
	}
}

// low reports whether what is left does not last.
func (p *purse) low() bool { return p.left < max(p.demand*lowTime.Seconds(), p.size) }

// ahead is what is asked for beside what waits.
func (p *purse) ahead() float64 {
	return max(max(p.demand*aheadTime.Seconds(), aheadRequests*p.size)-max(p.left, 0), 0)
}

func (a *Account) nudges() chan struct{} {
	a.prepared.Do(func() { a.wake = make(chan struct{}, 1) })
	return a.wake
}

func (a *Account) nudge() {
	select {
	case a.nudges() <- struct{}{}:
	default: // a question is due already
	}
}

// Run asks the issuer until ctx ends.
func (a *Account) Run(ctx context.Context) error {
	report := time.NewTicker(ReportEvery)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-report.C:
			if !a.Limited() {
				continue
			}
		case <-a.nudges():
		}
		a.askOnce(ctx)
	}
}

// askOnce puts one question to the issuer and takes its answer.
func (a *Account) askOnce(ctx context.Context) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	asks := a.questions(begun)
	grants, err := a.Ask(ctx, asks)
	a.lock.Lock()
	defer a.lock.Unlock()
	a.note(err, begun)
	now := time.Now()
	if err != nil {
		for _, p := range a.purses {
			a.serveAlone(p, now)
		}
		return
	}
	for _, g := range grants {
		if p := a.purses[g.Workspace]; p != nil && p.receive(g, begun, now) {
			a.nudge()
		}
	}
	// What the issuer knows no quota for is served as it comes: its catalog is another one.
	for _, q := range asks {
		if p := a.purses[q.Workspace]; p.levelAt.Before(begun) {
			a.serveAlone(p, now)
		}
	}
}

// note notes whether the issuer answered, and logs a change.
func (a *Account) note(err error, asked time.Time) {
	a.askedAt = asked
	if err == nil {
		a.heardAt = asked
	}
	switch {
	case err != nil && !a.lost:
		a.Log.Error(snipelog.QuotaUnreached, err, nil)
	case err == nil && a.lost:
		a.Log.Log(snipelog.QuotaReached, nil)
	}
	a.lost = err != nil
}

// questions returns what to ask for all workspaces of which requests came lately.
func (a *Account) questions(now time.Time) []Ask {
	a.lock.Lock()
	defer a.lock.Unlock()
	var all []Ask
	for name, p := range a.purses {
		p.fade(now)
		p.expire(now)
		if len(p.waiting) == 0 && p.demand < 1 && p.left == 0 && p.used == 0 {
			continue
		}
		all = append(all, p.question(name, now))
	}
	return all
}

func (p *purse) question(name string, now time.Time) Ask {
	q := Ask{Workspace: name, Held: p.left, Alone: p.used, Demand: p.demand}
	for n, r := range p.waiting {
		if n == 0 {
			q.First = r.units - p.left
		}
		q.Need += r.units
	}
	if q.Need > 0 {
		q.Need -= p.left
	} else if p.left < 0 {
		q.Need, q.First = -p.left, -p.left
	}
	q.Need, q.First = max(q.Need, 0), max(q.First, 0)
	q.Ahead = p.ahead()
	if !p.levelAt.IsZero() {
		q.Level, q.Age, q.Known = p.level, now.Sub(p.levelAt), true
	}
	return q
}

// receive takes a grant and serves what waits, in the order of arrival. It reports whether requests
// still wait: they have come since the question.
func (p *purse) receive(g Grant, asked, now time.Time) (again bool) {
	p.expire(now)
	if g.Units > 0 {
		p.left += g.Units
		p.end = asked.Add(Life)
	}
	p.share, p.used, p.level, p.levelAt = g.Share, 0, g.Level, now
	for len(p.waiting) > 0 && p.left >= p.waiting[0].units {
		p.left -= p.waiting[0].units
		p.answer(verdict{ok: true})
	}
	if g.Wait > 0 {
		p.close(g.Wait, now)
	}
	return len(p.waiting) > 0
}

// close refuses what waits and what comes in the next moment: the quota is used up.
func (p *purse) close(wait time.Duration, now time.Time) {
	pause := min(max(wait, pauseTime), longestPause)
	p.closed, p.reopens = now.Add(pause), now.Add(max(wait, pause))
	for len(p.waiting) > 0 {
		p.answer(verdict{wait: p.reopens.Sub(now)})
	}
}

// answer tells the first of those that wait.
func (p *purse) answer(v verdict) {
	p.waiting[0].done <- v
	p.waiting = p.waiting[1:]
}

// serveAlone serves what waits without an issuer.
func (a *Account) serveAlone(p *purse, now time.Time) {
	for len(p.waiting) > 0 {
		p.answer(a.takeAlone(p, p.waiting[0].units, now))
	}
}

// takeAlone counts a request against what this instance may use without an issuer: its share of
// the rate since the issuer was last heard, and its part of what is left for those without one.
func (a *Account) takeAlone(p *purse, units float64, now time.Time) verdict {
	if !p.quota.Limited() {
		return verdict{ok: true}
	}
	p.growAlone(a, now)
	// A request larger than what can be saved up goes as well, and is paid for later.
	if needed := min(units, p.aloneLimit); p.alone < needed {
		seconds := (needed - p.alone) / max(p.aloneRate, 1)
		return verdict{wait: min(time.Duration(seconds*float64(time.Second)), mostWait)}
	}
	p.alone -= units
	p.used += units
	return verdict{ok: true}
}

// growAlone adds what may be used without an issuer since it was last looked at.
func (p *purse) growAlone(a *Account, now time.Time) {
	// One half is there at once, the other one comes over the window.
	reserve := a.Bounds.Over(p.quota) / 2 / float64(max(a.Instances(), 1)) / 2
	slow, share := reserve/a.Bounds.Span.Seconds(), 0.0
	if now.Sub(a.heardAt) < Lease-leaseMargin {
		share = p.share * p.quota.PerSecond
	}
	p.aloneRate = slow + share
	p.aloneLimit = reserve + share*aloneTime.Seconds()
	if p.at.IsZero() {
		p.alone, p.at = reserve, now
	}
	since := p.at
	if a.heardAt.After(since) {
		since = a.heardAt
	}
	p.alone += slow*now.Sub(p.at).Seconds() + share*max(now.Sub(since), 0).Seconds()
	p.alone = min(p.alone, p.aloneLimit)
	p.at = now
}
