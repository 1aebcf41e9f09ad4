package snipeadmission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// slowDown is the factor of the rate after a refusal by the upstream. After a change, further
	// refusals count only after slowDownInterval, because they are answers to requests that were sent
	// before.
	slowDown         = 0.7
	slowDownInterval = 100 * time.Millisecond
	// speedUp is the part of the first rate by which the rate grows with each request served.
	speedUp = 0.05
	// minRate is the lowest rate in requests a second, at which an instance still notices that there
	// is room again.
	minRate = 0.2
	// burst is the number of intervals that an unused rate may be caught up on. The arrivals at one
	// instance are too few to be evenly spaced.
	burst = 2
)

// Pacer spaces the requests of an instance on its own, without a coordinator. Exported fields are
// set before the first call. It is safe for concurrent use.
//
// It keeps a rate for each upstream, not a number of requests that may run: the share of an instance
// is often less than one slot. A refusal by the upstream lowers the rate by a factor, and each request
// served raises it by a constant, so that the rates of many instances become equal.
type Pacer struct {
	// Upstreams returns the upstreams of the service. It is called with the lock held and must not
	// call the Pacer.
	Upstreams func() []Upstream
	// Instances returns the number of live instances, among which the capacity is shared at first.
	Instances func() int
	// Random returns a number in [0, 1); nil means math/rand/v2.Float64.
	Random func() float64
	// OnDecision, if set, is called for each decision, without the lock.
	OnDecision func(Decision)

	lock  sync.Mutex // guards the fields below
	pool  pool
	paces map[string]*spacing
	stats Stats
}

// spacing is the rate of the requests that are sent to one upstream.
type spacing struct {
	rate, first float64
	// next is when the next request may be sent.
	next     time.Time
	slowedAt time.Time
}

// Acquire waits for the next send slot of an upstream and returns its ID. It returns a *RefusedError
// at once if the wait would exceed the deadline, and the error of ctx if that ends first. Each
// Acquire without an error needs a Release.
func (p *Pacer) Acquire(ctx context.Context, r Request) (upstream string, err error) {
	if err := ctx.Err(); err != nil {
		return "", err
	}
	for {
		u, at, d := p.reserve(r)
		if p.OnDecision != nil {
			p.OnDecision(d)
		}
		if u == nil {
			return "", d.Refusal
		}
		timer := time.NewTimer(time.Until(at))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		if sent, err := p.send(ctx, u); sent || err != nil {
			return u.id, err
		}
	}
}

// send ends the wait of a request. It reports whether the request may be sent, which it may not if
// the upstream has left meanwhile.
func (p *Pacer) send(ctx context.Context, u *upstream) (bool, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.refresh(time.Now())
	p.stats.Waiting--
	err := ctx.Err()
	switch {
	case err != nil:
		p.stats.Withdrawn++
	case !u.gone:
		p.stats.Granted++
		return true, nil
	}
	u.out--
	return false, err
}

// reserve takes the send slot from which a request is expected to end first. It returns no upstream
// if that would be after the deadline.
func (p *Pacer) reserve(r Request) (*upstream, time.Time, Decision) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	p.refresh(now)
	var best *upstream
	var send, soonest time.Time
	for _, u := range p.pool.list {
		if u.gone {
			continue
		}
		mean, _ := p.pool.service(u, now)
		at := p.earliest(u, r, now)
		if end := at.Add(seconds(mean)); best == nil || end.Before(soonest) {
			best, send, soonest = u, at, end
		}
	}
	d := Decision{Event: EventGranted, Request: r, Waiting: p.stats.Waiting, ExpectedWait: send.Sub(now), LoadAge: -1}
	if best == nil {
		p.stats.Refused++
		d.Event, d.ExpectedWait = EventRefused, 0
		d.Refusal = &RefusedError{Reason: ReasonNoUpstream, RetryAfter: firstPause}
		return nil, now, d
	}
	d.Permit.Upstream, d.LoadAge = best.id, best.reportAge(now)
	if !r.Deadline.IsZero() && soonest.After(r.Deadline) {
		p.stats.Refused++
		d.Event = EventRefused
		d.Refusal = &RefusedError{Reason: ReasonDeadline, RetryAfter: p.retryAfter(best, send.Sub(now))}
		return nil, now, d
	}
	s := p.paces[best.id]
	interval := seconds(1 / s.rate)
	s.next = later(s.next, send.Add(-burst*interval)).Add(time.Duration((0.5 + p.random()) * float64(interval)))
	best.out++
	p.stats.Waiting++
	return best, send, d
}

// earliest returns the time at which a request may be sent to an upstream.
func (p *Pacer) earliest(u *upstream, r Request, now time.Time) time.Time {
	at := later(now, later(p.paces[u.id].next, u.pausedUntil))
	for _, id := range r.Excluded {
		if id == u.id {
			mean, _ := p.pool.service(u, now)
			at = later(at, now.Add(seconds(mean)))
		}
	}
	return at
}

// retryAfter returns the time after which a request is expected to be sent, with a random part, so
// that refused callers come back one by one.
func (p *Pacer) retryAfter(u *upstream, wait time.Duration) time.Duration {
	return min(wait+time.Duration(p.random()/p.paces[u.id].rate*float64(time.Second)), maxRetryAfter)
}

func (p *Pacer) random() float64 {
	if p.Random == nil {
		return rand.Float64() //nolint:gosec // jitter
	}
	return p.Random()
}

// refresh compares the upstreams with Upstreams, and sets the first rates of new ones.
func (p *Pacer) refresh(now time.Time) {
	if now.Sub(p.pool.refreshedAt) < refreshInterval {
		return
	}
	p.pool.refresh(p.Upstreams(), now)
	known := make(map[string]*spacing, len(p.pool.list))
	for _, u := range p.pool.list {
		s := p.paces[u.id]
		if s == nil {
			mean, _ := p.pool.service(u, now)
			rate := max(minRate, float64(u.slots)/mean/float64(max(1, p.Instances())))
			s = &spacing{rate: rate, first: rate}
		}
		known[u.id] = s
	}
	p.paces = known
}

// Release records what became of a request that Acquire admitted.
func (p *Pacer) Release(upstream string, r Result) {
	pause := p.record(upstream, r)
	if pause > 0 && p.OnDecision != nil {
		p.OnDecision(Decision{Event: EventPaused, Permit: Permit{Upstream: upstream}, Pause: pause, LoadAge: -1})
	}
}

// record records a result, and returns the time for which the upstream is paused; 0 if it is not.
func (p *Pacer) record(upstream string, r Result) time.Duration {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	u, s := p.pool.find(upstream), p.paces[upstream]
	if u == nil || u.out == 0 {
		p.stats.Unknown++
		return 0
	}
	if r.Load != nil && r.Load.valid() {
		u.report(*r.Load, now)
	} else if r.Load != nil {
		p.stats.Ignored++
	}
	p.pool.observe(u, r, u.slots, now)
	u.out--
	switch r.Outcome {
	case OutcomeServed:
		u.failures = 0
		mean, _ := p.pool.service(u, now)
		s.rate = min(s.rate+speedUp*s.first, max(s.first, float64(u.slots)/mean))
	case OutcomeRefused:
		s.slow(now)
		mean, _ := p.pool.service(u, now)
		return u.pauseAfterRefusal(r, seconds(mean), now)
	case OutcomeUnreachable, OutcomeSuspect:
		s.slow(now)
		return u.pauseAfterFailure(now)
	}
	return 0
}

// slow lowers the rate after a refusal.
func (s *spacing) slow(now time.Time) {
	if now.Sub(s.slowedAt) >= slowDownInterval {
		s.rate, s.slowedAt = max(minRate, s.rate*slowDown), now
	}
}

// Stats returns the counters. A Pacer has no permits; PermitsOut counts requests without a Release.
func (p *Pacer) Stats() Stats {
	p.lock.Lock()
	defer p.lock.Unlock()
	s := p.stats
	for _, u := range p.pool.list {
		s.PermitsOut += u.out
	}
	s.PermitsOut -= s.Waiting
	return s
}
