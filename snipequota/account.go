package snipequota

import (
	"context"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// askTimeout bounds one call to the issuer, which normally takes a few milliseconds. Requests
	// wait for it.
	askTimeout = 120 * time.Millisecond
	// issuerRetryDelay is how long after the begin of an unanswered call requests are served
	// without the issuer instead of waiting for another call.
	issuerRetryDelay = 250 * time.Millisecond
	// leaseMargin is how much earlier an instance ends the lease of its share than the issuer does.
	leaseMargin = time.Second
)

// Account tracks what one instance may use of all quotas. Exported fields are set before Run. It is
// safe for concurrent use.
type Account struct {
	// Ask sends asks to the issuer and returns its grants; an error means that the issuer did not
	// answer.
	Ask func(ctx context.Context, asks []Ask) ([]Grant, error)
	// Limited reports whether any workspace has a quota; while it is false, Run makes no periodic
	// calls.
	Limited func() bool
	// Instances returns the number of live instances.
	Instances func() int
	Bounds    Bounds
	Log       *snipelog.Logger

	wakeOnce sync.Once // initializes wake
	wake     chan struct{}

	lock       sync.Mutex // guards the fields below
	allowances map[string]*allowance
	// answeredAt is when the last call that the issuer answered began, and askedAt when the last
	// completed call began.
	answeredAt time.Time
	askedAt    time.Time
	// unreachable reports whether the issuer did not answer the last call.
	unreachable bool
}

// Take counts a request of the given number of units against the quota of a workspace, and returns
// zero and true if the request may run. Otherwise it returns the time until units are expected to
// be available, and false. Take may block until the issuer answers or the call to it fails; Run
// makes the calls. If ctx ends meanwhile, Take returns zero and false and takes no units.
func (a *Account) Take(ctx context.Context, w *snipecatalog.Workspace, units float64) (time.Duration, bool) {
	d, waiting := a.take(w, units)
	if waiting == nil {
		return d.wait, d.ok
	}
	a.wakeRun()
	select {
	case d = <-waiting.done:
		return d.wait, d.ok
	case <-ctx.Done():
		a.abandon(w.Name, waiting)
		return 0, false
	}
}

// take decides on a request if enough units are left, if the quota is known to be used up, or if
// the issuer is unreachable. Otherwise it returns a waiter for the answer of the issuer.
func (a *Account) take(w *snipecatalog.Workspace, units float64) (decision, *waiter) {
	now := time.Now()
	a.lock.Lock()
	defer a.lock.Unlock()
	p := a.allowance(w)
	p.recordDemand(units, now)
	p.expire(now)
	switch {
	case len(p.waiting) == 0 && p.remaining >= units:
		p.remaining -= units
		if p.low() {
			a.wakeRun()
		}
		return decision{ok: true}, nil
	case now.Before(p.refuseUntil):
		return decision{wait: p.availableAt.Sub(now)}, nil
	case a.unreachable && now.Sub(a.askedAt) < issuerRetryDelay:
		return a.takeFallback(p, units, now), nil
	}
	r := &waiter{units: units, done: make(chan decision, 1)}
	p.waiting = append(p.waiting, r)
	return decision{}, r
}

// Charge counts a request that runs once more. Such a request can no longer be refused, so its
// units are deducted from later grants if none are left.
func (a *Account) Charge(w *snipecatalog.Workspace, units float64) { a.add(w, -units) }

// Return returns the units that were taken for a request that did not run. They expire together
// with the instance's grants.
func (a *Account) Return(w *snipecatalog.Workspace, units float64) { a.add(w, units) }

// add changes the remaining units of the quota in force; it does nothing if the workspace has no
// allowance. The workspace may be from a previous catalog, so its quota is not applied here.
func (a *Account) add(w *snipecatalog.Workspace, units float64) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if p := a.allowances[w.Name]; p != nil {
		p.expire(time.Now())
		p.remaining += units
	}
}

// abandon removes a waiting request whose caller is gone.
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
	// The request has been decided meanwhile.
	if d := <-r.done; d.ok {
		p.remaining += r.units
	}
}

// allowance returns the allowance of a workspace, and creates it if there is none. If the quota has
// changed, allowance drops the units that remain of grants under the previous one. The lock is
// held.
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
		// Units that were granted under another quota are void. A debt stays.
		p.quota, p.remaining, p.refuseUntil = w.Quota, min(p.remaining, 0), time.Time{}
	}
	return p
}

func (a *Account) wakeChannel() chan struct{} {
	a.wakeOnce.Do(func() { a.wake = make(chan struct{}, 1) })
	return a.wake
}

func (a *Account) wakeRun() {
	select {
	case a.wakeChannel() <- struct{}{}:
	default: // Run has already been woken
	}
}

// Run calls the issuer at each report interval, and when units are needed, until ctx ends.
func (a *Account) Run(ctx context.Context) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-report.C:
			if !a.Limited() {
				continue
			}
		case <-a.wakeChannel():
		}
		a.askOnce(ctx)
	}
}

// askOnce sends one call to the issuer and applies its answer. If the issuer does not answer, the
// waiting requests are decided without it.
func (a *Account) askOnce(ctx context.Context) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asks := a.pendingAsks(begun)
	grants, err := a.Ask(ctx, asks)
	a.lock.Lock()
	defer a.lock.Unlock()
	a.recordResult(err, begun)
	now := time.Now()
	if err != nil {
		for _, p := range a.allowances {
			a.serveFallback(p, now)
		}
		return
	}
	for _, g := range grants {
		if p := a.allowances[g.Workspace]; p != nil && p.receive(g, begun, now) {
			a.wakeRun()
		}
	}
	// A level from before this call shows that the answer held no grant for the workspace: the
	// workspace has no quota in the issuer's catalog, which may differ from this instance's. Its
	// waiting requests are decided without the issuer.
	for _, q := range asks {
		if p := a.allowances[q.Workspace]; p.levelAt.Before(begun) {
			a.serveFallback(p, now)
		}
	}
}

// recordResult records whether the issuer answered, and logs a change.
func (a *Account) recordResult(err error, asked time.Time) {
	a.askedAt = asked
	if err == nil {
		a.answeredAt = asked
	}
	switch {
	case err != nil && !a.unreachable:
		a.Log.Error(snipelog.QuotaUnreached, err, nil)
	case err == nil && a.unreachable:
		a.Log.Log(snipelog.QuotaReached, nil)
	}
	a.unreachable = err != nil
}

// pendingAsks returns the asks for the workspaces with waiting requests, with a demand of at least
// one unit per second, with units left or owed, or with use to report that no issuer knows of.
func (a *Account) pendingAsks(now time.Time) []Ask {
	a.lock.Lock()
	defer a.lock.Unlock()
	var all []Ask
	for name, p := range a.allowances {
		p.decayDemand(now)
		p.expire(now)
		if len(p.waiting) == 0 && p.demand < 1 && p.remaining == 0 && p.fallbackUsed == 0 {
			continue
		}
		all = append(all, p.ask(name, now))
	}
	return all
}

// serveFallback decides on all waiting requests without an issuer. The lock is held.
func (a *Account) serveFallback(p *allowance, now time.Time) {
	for len(p.waiting) > 0 {
		p.answerFirst(a.takeFallback(p, p.waiting[0].units, now))
	}
}

// takeFallback decides on a request by what this instance may use without an issuer: its share of
// the rate since the last answer of the issuer, and its fraction of the bounds for instances
// without one. A request of a workspace without a quota may run.
func (a *Account) takeFallback(p *allowance, units float64, now time.Time) decision {
	if !p.quota.Limited() {
		return decision{ok: true}
	}
	p.fillFallback(a, now)
	// A request larger than the limit of the fallback bucket runs when the bucket is full, and its
	// level becomes negative.
	if needed := min(units, p.fallbackLimit); p.fallback < needed {
		seconds := (needed - p.fallback) / max(p.fallbackRate, 1)
		return decision{wait: min(time.Duration(seconds*float64(time.Second)), maxWait)}
	}
	p.fallback -= units
	p.fallbackUsed += units
	return decision{ok: true}
}
