package snipequota

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

const (
	// aheadTime is how long the units that are requested ahead of use last at the present demand.
	// lowTime is how long the remaining units must last; otherwise more are requested at once.
	aheadTime = time.Second
	lowTime   = 300 * time.Millisecond
	// aheadRequests is the minimum number of requests of mean size whose units are requested ahead.
	aheadRequests = 2
	// demandTime is the time constant with which the demand decays.
	demandTime = 2 * time.Second
	// minPause and maxPause bound the time between two asks for a workspace whose quota is used up.
	minPause = 60 * time.Millisecond
	maxPause = 300 * time.Millisecond
	// fallbackTime limits the unused units of a share that may accumulate without an issuer: those
	// of this time.
	fallbackTime = 500 * time.Millisecond
)

// allowance is what this instance may use of the quota of one workspace.
type allowance struct {
	quota snipecatalog.Quota
	// remaining is the number of units left of the grants, all of which expire at expires. It is
	// negative after requests that ran again and exceeded the grants.
	remaining float64
	expires   time.Time
	// demand is the rate of arriving requests, in units per second, as of demandAt. meanUnits is
	// the moving average of the units of a request.
	demand    float64
	demandAt  time.Time
	meanUnits float64
	// refuseUntil is the time until which requests are refused without an ask. availableAt is when
	// units are expected to be available.
	refuseUntil time.Time
	availableAt time.Time
	waiting     []*waiter
	// share is the fraction of the rate that may be used without an issuer. fallback is the level,
	// as of fallbackAt, of the bucket for use without an issuer, which fills at fallbackRate up to
	// fallbackLimit. fallbackUsed is the number of units taken from this bucket since an issuer
	// last returned a grant.
	share         float64
	fallback      float64
	fallbackAt    time.Time
	fallbackRate  float64
	fallbackLimit float64
	fallbackUsed  float64
	// level is the level of the issuer's bucket, as reported at levelAt.
	level   float64
	levelAt time.Time
}

// waiter is a request that waits for units.
type waiter struct {
	units float64
	done  chan decision
}

// decision reports whether a request may run, and otherwise the time until units are expected to be
// available.
type decision struct {
	ok   bool
	wait time.Duration
}

// recordDemand counts an arriving request in the demand and in the mean size of requests.
func (p *allowance) recordDemand(units float64, now time.Time) {
	p.decayDemand(now)
	p.demand += units / demandTime.Seconds()
	if p.meanUnits == 0 {
		p.meanUnits = units
	}
	p.meanUnits += (units - p.meanUnits) / 8
}

func (p *allowance) decayDemand(now time.Time) {
	if passed := now.Sub(p.demandAt); passed > 0 {
		p.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	}
	p.demandAt = now
}

// expire removes the remaining units if the grants have expired. A debt stays.
func (p *allowance) expire(now time.Time) {
	if p.remaining > 0 && !now.Before(p.expires) {
		p.remaining = 0
	}
}

// low reports whether the remaining units do not last for lowTime or for one request of mean size.
func (p *allowance) low() bool { return p.remaining < max(p.demand*lowTime.Seconds(), p.meanUnits) }

// ahead returns how many units to request in addition to those that waiting requests need.
func (p *allowance) ahead() float64 {
	return max(max(p.demand*aheadTime.Seconds(), aheadRequests*p.meanUnits)-max(p.remaining, 0), 0)
}

// ask returns the ask for the issuer: the units for the waiting requests less the remaining ones,
// or, if no request waits, the units that are owed; and the units ahead of use.
func (p *allowance) ask(name string, now time.Time) Ask {
	q := Ask{Workspace: name, Held: p.remaining, FallbackUsed: p.fallbackUsed, Demand: p.demand}
	for n, r := range p.waiting {
		if n == 0 {
			q.FirstNeed = r.units - p.remaining
		}
		q.Need += r.units
	}
	if q.Need > 0 {
		q.Need -= p.remaining
	} else if p.remaining < 0 {
		q.Need, q.FirstNeed = -p.remaining, -p.remaining
	}
	q.Need, q.FirstNeed = max(q.Need, 0), max(q.FirstNeed, 0)
	q.AheadOfUse = p.ahead()
	if !p.levelAt.IsZero() {
		q.Level, q.LevelAge, q.LevelKnown = p.level, now.Sub(p.levelAt), true
	}
	return q
}

// receive applies the grant that answers an ask sent at the given time, and serves the waiting
// requests in the order of arrival. Granted units extend the life of those left of earlier grants.
// If the grant states a wait, receive refuses the requests that it cannot serve. It reports whether
// requests still wait: they have arrived since the ask.
func (p *allowance) receive(g Grant, asked, now time.Time) (more bool) {
	p.expire(now)
	if g.Units > 0 {
		p.remaining += g.Units
		p.expires = asked.Add(grantLife)
	}
	p.share, p.fallbackUsed, p.level, p.levelAt = g.Share, 0, g.Level, now
	for len(p.waiting) > 0 && p.remaining >= p.waiting[0].units {
		p.remaining -= p.waiting[0].units
		p.answerFirst(decision{ok: true})
	}
	if g.Wait > 0 {
		p.refuse(g.Wait, now)
	}
	return len(p.waiting) > 0
}

// refuse refuses the waiting requests, because the quota is used up, and makes Take refuse those
// that arrive within the wait, bounded by minPause and maxPause, and exceed the remaining units.
func (p *allowance) refuse(wait time.Duration, now time.Time) {
	pause := min(max(wait, minPause), maxPause)
	p.refuseUntil, p.availableAt = now.Add(pause), now.Add(max(wait, pause))
	for len(p.waiting) > 0 {
		p.answerFirst(decision{wait: p.availableAt.Sub(now)})
	}
}

// answerFirst sends a decision to the first waiting request and removes it from the queue.
func (p *allowance) answerFirst(d decision) {
	p.waiting[0].done <- d
	p.waiting = p.waiting[1:]
}

// fillFallback computes the rate and the limit of the fallback bucket, and adds the units that have
// become available since fallbackAt. The share adds units only for the time since the issuer's last
// answer, and only until leaseMargin before the end of the lease.
func (p *allowance) fillFallback(a *Account, now time.Time) {
	// This instance's fraction of the bounds for instances without an issuer is twice the reserve:
	// one half of it is available at once, the other half accumulates over the window.
	reserve := a.Bounds.Over(p.quota) / 2 / float64(max(a.Instances(), 1)) / 2
	reserveRate, share := reserve/a.Bounds.Span.Seconds(), 0.0
	if now.Sub(a.answeredAt) < lease-leaseMargin {
		share = p.share * p.quota.PerSecond
	}
	p.fallbackRate = reserveRate + share
	p.fallbackLimit = reserve + share*fallbackTime.Seconds()
	if p.fallbackAt.IsZero() {
		p.fallback, p.fallbackAt = reserve, now
	}
	since := p.fallbackAt
	if a.answeredAt.After(since) {
		since = a.answeredAt
	}
	p.fallback += reserveRate*now.Sub(p.fallbackAt).Seconds() + share*max(now.Sub(since), 0).Seconds()
	p.fallback = min(p.fallback, p.fallbackLimit)
	p.fallbackAt = now
}
