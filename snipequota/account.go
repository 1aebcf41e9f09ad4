package snipequota

import (
	"context"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// askTimeout bounds one question to an issuer, which is a few milliseconds away: requests
	// wait for it.
	askTimeout = 120 * time.Millisecond
	// unansweredPause is for how long no issuer is asked after one did not answer.
	unansweredPause = 250 * time.Millisecond
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

	lock       sync.Mutex // guards the fields below
	allowances map[string]*allowance
	// heardAt is when the issuer last answered, askedAt when it was last asked.
	heardAt time.Time
	askedAt time.Time
	// lost tells that the issuer did not answer last.
	lost bool
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
	p := a.allowance(w)
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
	case a.lost && now.Sub(a.askedAt) < unansweredPause:
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

// add changes what is left. The workspace may be that of a catalog of before, whose quota is in
// force no more.
func (a *Account) add(w *snipecatalog.Workspace, units float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if p := a.allowances[w.Name]; p != nil {
		p.expire(time.Now())
		p.left += units
	}
}

// abandon takes back a request whose caller has left.
func (a *Account) abandon(workspace string, r *waiter) {
	a.lock.Lock()
	defer a.lock.Unlock()
	p := a.allowances[workspace]
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

// allowance returns what may be used of a workspace's quota.
func (a *Account) allowance(w *snipecatalog.Workspace) *allowance {
	p := a.allowances[w.Name]
	if p == nil {
		if a.allowances == nil {
			a.allowances = make(map[string]*allowance)
		}
		p = &allowance{}
		a.allowances[w.Name] = p
	}
	if p.quota != w.Quota {
		// What was granted by another quota is void.
		p.quota, p.left, p.closed = w.Quota, min(p.left, 0), time.Time{}
	}
	return p
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
	report := time.NewTicker(reportEvery)
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
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asks := a.questions(begun)
	grants, err := a.Ask(ctx, asks)
	a.lock.Lock()
	defer a.lock.Unlock()
	a.note(err, begun)
	now := time.Now()
	if err != nil {
		for _, p := range a.allowances {
			a.serveAlone(p, now)
		}
		return
	}
	for _, g := range grants {
		if p := a.allowances[g.Workspace]; p != nil && p.receive(g, begun, now) {
			a.nudge()
		}
	}
	// What the issuer knows no quota for is served as it comes: its catalog is another one.
	for _, q := range asks {
		if p := a.allowances[q.Workspace]; p.levelAt.Before(begun) {
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
	for name, p := range a.allowances {
		p.fade(now)
		p.expire(now)
		if len(p.waiting) == 0 && p.demand < 1 && p.left == 0 && p.used == 0 {
			continue
		}
		all = append(all, p.question(name, now))
	}
	return all
}

// serveAlone serves what waits without an issuer.
func (a *Account) serveAlone(p *allowance, now time.Time) {
	for len(p.waiting) > 0 {
		p.answer(a.takeAlone(p, p.waiting[0].units, now))
	}
}

// takeAlone counts a request against what this instance may use without an issuer: its share of
// the rate since the issuer was last heard, and its part of what is left for those without one.
func (a *Account) takeAlone(p *allowance, units float64, now time.Time) verdict {
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
