package snipeadmission

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// refreshInterval is the least time between two looks at the upstreams.
	refreshInterval = 10 * time.Millisecond
	// newDeviations is the number of mean deviations above the mean within which a new request is
	// assumed to end, and waitingDeviations that for a request that waits. New requests are judged more
	// strictly, because the expected wait is inexact and a refusal should not come after a wait.
	newDeviations, waitingDeviations = 4, 1
	// speedTimeConstant is the time constant of the usual speed of an upstream. It is longer than the periods
	// for which an upstream is slow.
	speedTimeConstant = 5 * time.Second
)

// pool is the set of upstreams of a service.
type pool struct {
	list        []*upstream // in the order of their IDs
	refreshedAt time.Time
	// strict is set while the upstreams are lent strictly, growth is how fast their bounds grow then, and
	// closedUntil is when the first permit is expected to be granted, while none may be (see term.go).
	strict      bool
	growth      time.Duration
	closedUntil time.Time
	// mean is the average time of a request over all upstreams, in seconds at the usual pace, for
	// upstreams without an observation of their own.
	mean average
}

// refresh compares the upstreams with those listed. An upstream that has left is forgotten when its
// last permit ends. Of entries with the same ID the last counts; those without an ID are ignored.
func (p *pool) refresh(listed []Upstream, now time.Time) {
	p.refreshedAt = now
	for _, u := range p.list {
		u.gone = true
	}
	for _, l := range listed {
		if l.ID == "" {
			continue
		}
		u := p.find(l.ID)
		if u == nil {
			u = &upstream{id: l.ID, knownSince: now, speedAt: now}
			p.list = append(p.list, u)
		}
		u.gone = false
		u.setSlots(l.Slots)
	}
	p.list = slices.DeleteFunc(p.list, func(u *upstream) bool { return u.gone && u.out == 0 })
	slices.SortFunc(p.list, func(a, b *upstream) int { return strings.Compare(a.id, b.id) })
}

// setStrict records whether the upstreams are lent strictly.
func (p *pool) setStrict(maxRefusals int, strict bool) {
	p.strict, p.growth = strict, boundGrowth
	if maxRefusals <= 1 {
		p.growth = patientGrowth
	}
	for _, u := range p.list {
		u.isStrict, u.growth = strict, p.growth
		if !strict {
			u.strict = strictness{}
		}
	}
}

// slots returns the slots of all upstreams together.
func (p *pool) slots() int {
	sum := 0
	for _, u := range p.list {
		if !u.gone {
			sum += u.slots
		}
	}
	return sum
}

// find returns an upstream, or nil if it is unknown.
func (p *pool) find(id string) *upstream {
	for _, u := range p.list {
		if u.id == id {
			return u
		}
	}
	return nil
}

// observe records the time of a request at an upstream and over all.
func (p *pool) observe(u *upstream, r Result, running int, now time.Time) {
	cutOff := r.Outcome == OutcomeFailed || r.Outcome == OutcomeCanceled
	if r.Outcome != OutcomeServed && !cutOff {
		return
	}
	u.observe(r.Took, running, cutOff, now)
	if u.observedAt.Equal(now) {
		p.mean.observe(u.took.mean)
	}
}

// service returns the expected time of a request in seconds at the upstream, and its mean distance
// from that.
func (p *pool) service(u *upstream, now time.Time) (mean, deviation float64) {
	base := initialTime.Seconds()
	if p.mean.count > 0 {
		base = p.mean.mean
	}
	mean, deviation = base, base/2
	if u.took.count > 0 {
		mean, deviation = u.took.mean, u.took.deviation
		if idle := now.Sub(u.observedAt) - forgetAfter; idle > 0 {
			keep := math.Exp2(-float64(idle) / float64(forgetHalf))
			mean = base + (mean-base)*keep
		}
	}
	pace := u.paceNow(now)
	return mean * pace, deviation * pace
}

// minObservations is the number of observations from which on the longest time of a request is known.
const minObservations = 16

// maxService returns how long nearly all requests take at an upstream; maxLinger at least while too few have been
// observed.
func (p *pool) maxService(u *upstream, now time.Time) time.Duration {
	mean, deviation := p.service(u, now)
	longest := seconds(max(mean+lingerDeviations*deviation, u.longest*u.paceNow(now)))
	if u.took.count < minObservations {
		return max(longest, maxLinger)
	}
	return longest
}

// rate returns the number of requests a second that the available upstreams serve, as far as they
// are not taken by requests without a permit.
func (p *pool) rate(now time.Time) float64 {
	sum := 0.0
	for _, u := range p.list {
		if limit := u.lasting(now); limit > 0 {
			mean, _ := p.service(u, now)
			sum += min(limit, max(1, float64(u.slots)-u.othersNow(now))) / mean
		}
	}
	return sum
}

// usualRate is like rate, for the usual speed of the upstreams in place of the present one, which is
// often that of an upstream that is slow for less than a second.
func (p *pool) usualRate(now time.Time) float64 {
	sum := 0.0
	for _, u := range p.list {
		if limit := u.lasting(now); limit > 0 {
			sum += min(limit, max(1, float64(u.slots)-u.othersNow(now))) * u.speed
		}
	}
	return sum
}

// updateSpeeds brings the usual speeds of the upstreams up to date.
func (p *pool) updateSpeeds(now time.Time) {
	for _, u := range p.list {
		mean, _ := p.service(u, now)
		known, passed := now.Sub(u.knownSince), now.Sub(u.speedAt)
		w := 1 - math.Exp(-float64(passed)/float64(speedTimeConstant))
		if known < speedTimeConstant {
			w = max(w, min(1, float64(passed)/float64(known+refreshInterval)))
		}
		u.speed += w * (1/mean - u.speed)
		u.speedAt = now
	}
}

// free returns the number of permits that may be granted now.
func (p *pool) free(now time.Time) float64 {
	sum := 0.0
	for _, u := range p.list {
		sum += max(0, u.limit(now)-float64(u.out))
	}
	return sum
}

// typical returns the expected time of a request over the upstreams, weighed by their rates, and its
// mean distance from that.
func (p *pool) typical(now time.Time) (mean, deviation time.Duration) {
	var slots, rate, distance float64
	for _, u := range p.list {
		if u.limit(now) > 0 {
			m, d := p.service(u, now)
			slots += float64(u.slots)
			rate += float64(u.slots) / m
			distance += float64(u.slots) * d / m
		}
	}
	if rate == 0 {
		return initialTime, initialTime / 2
	}
	return seconds(slots / rate), seconds(distance / rate)
}

// ready returns the time at which a request that starts now counts as served: a request whose target
// is earlier is late.
func (p *pool) ready(now time.Time) time.Time {
	mean, deviation := p.typical(now)
	return now.Add(mean + time.Duration(waitingDeviations*float64(deviation)))
}

// available returns the earliest time at which an upstream is not paused, and whether any
// upstream is known.
func (p *pool) available() (time.Time, bool) {
	var first time.Time
	known := false
	for _, u := range p.list {
		if !u.gone && (!known || u.pausedUntil.Before(first)) {
			first, known = u.pausedUntil, true
		}
	}
	if p.strict {
		first = later(first, p.closedUntil)
	}
	return first, known
}

// oldestReport returns the age of the oldest load report, or -1 if an upstream has sent none.
func (p *pool) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(-1)
	for _, u := range p.list {
		age := u.reportAge(now)
		if age < 0 {
			return age
		}
		oldest = max(oldest, age)
	}
	return oldest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
