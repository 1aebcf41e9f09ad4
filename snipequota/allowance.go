package snipequota

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

const (
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
	// aloneTime is for how long a share can be saved up without an issuer.
	aloneTime = 500 * time.Millisecond
)

// allowance is what may be used of one workspace's quota.
type allowance struct {
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

// arrive counts a request into the demand.
func (p *allowance) arrive(units float64, now time.Time) {
	p.fade(now)
	p.demand += units / demandTime.Seconds()
	if p.size == 0 {
		p.size = units
	}
	p.size += (units - p.size) / 8
}

func (p *allowance) fade(now time.Time) {
	if passed := now.Sub(p.seen); passed > 0 {
		p.demand *= math.Exp(-passed.Seconds() / demandTime.Seconds())
	}
	p.seen = now
}

// expire ends grants whose time is over.
func (p *allowance) expire(now time.Time) {
	if p.left > 0 && !now.Before(p.end) {
		p.left = 0
	}
}

// low reports whether what is left does not last.
func (p *allowance) low() bool { return p.left < max(p.demand*lowTime.Seconds(), p.size) }

// ahead is what is asked for beside what waits.
func (p *allowance) ahead() float64 {
	return max(max(p.demand*aheadTime.Seconds(), aheadRequests*p.size)-max(p.left, 0), 0)
}

// question returns what to ask the issuer for.
func (p *allowance) question(name string, now time.Time) Ask {
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
func (p *allowance) receive(g Grant, asked, now time.Time) (again bool) {
	p.expire(now)
	if g.Units > 0 {
		p.left += g.Units
		p.end = asked.Add(life)
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
func (p *allowance) close(wait time.Duration, now time.Time) {
	pause := min(max(wait, pauseTime), longestPause)
	p.closed, p.reopens = now.Add(pause), now.Add(max(wait, pause))
	for len(p.waiting) > 0 {
		p.answer(verdict{wait: p.reopens.Sub(now)})
	}
}

// answer tells the first of those that wait.
func (p *allowance) answer(v verdict) {
	p.waiting[0].done <- v
	p.waiting = p.waiting[1:]
}

// growAlone adds what may be used without an issuer since it was last looked at.
func (p *allowance) growAlone(a *Account, now time.Time) {
	// One half is there at once, the other one comes over the window.
	reserve := a.Bounds.Over(p.quota) / 2 / float64(max(a.Instances(), 1)) / 2
	slow, share := reserve/a.Bounds.Span.Seconds(), 0.0
	if now.Sub(a.heardAt) < lease-leaseMargin {
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
