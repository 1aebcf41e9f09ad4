package snipesignal

import (
	"math"
	"sync"
	"time"
)

// A part of a limit is divided by need: one instance, the owner of the upstream, issues shares of it for a short time to
// the instances that ask, by the rates of their requests. The rest is divided evenly (see Divide), and so is the whole
// limit by an instance that has asked no issuer lately.
//
// The shares of all instances are never more than the limit allows, whoever issues, as long as messages arrive within
// promiseTime less freshTime: an issuer counts each share until its lifetime has passed or its holder has said that it no
// longer uses it, the holder counts the lifetime from before it asked, an issuer whose right has just begun waits for a
// lifetime, and it leaves their even shares to the instances that have not asked it within freshTime.

const (
	// needFraction is the part of sharedFraction that follows need.
	needFraction = 0.8
	// grantLifetime is how long an issued share may be used. An instance asks several times within it.
	grantLifetime = 2 * time.Second
	// promiseTime is how long an instance that has asked uses no more than what was issued to it and its even share of
	// the rest, freshTime how long the issuer counts on that.
	promiseTime, freshTime = 2500 * time.Millisecond, time.Second
	// burstTime is the time whose send slots an instance may save of the share that was issued to it: callers come at
	// random. All saved slots together are less than the margin of the limit.
	burstTime = 300 * time.Millisecond
	// minGrant is the least share that is issued, in requests a second. It bounds the instances that have one, each of
	// which may have a saved send slot.
	minGrant = 1.0
)

// Issuer issues shares of the limits of upstreams. It is safe for concurrent use.
type Issuer struct {
	lock      sync.Mutex // guards upstreams
	upstreams map[string]*issuedLimit
}

// issuedLimit is the state of one upstream in one term of the issuer's right.
type issuedLimit struct {
	fence     uint64
	instances map[string]*issuedShare
}

// issuedShare is what was issued to one instance.
type issuedShare struct {
	perSecond float64 // its requests a second, stated at askedAt
	askedAt   time.Time
	grants    []grant
}

// grant is a share, in requests a second, and when its lifetime ends.
type grant struct {
	perSecond float64
	until     time.Time
}

// Ask is the request of an instance for a share of an upstream's limit. All figures are in requests a second.
type Ask struct {
	Upstream string
	Limit    float64
	// Need is the rate of the instance's requests, Held the share that it uses now.
	Need, Held float64
}

// valid reports whether an ask makes sense.
func (a *Ask) valid() bool {
	in := func(v float64) bool { return v >= 0 && v <= math.MaxInt32 }
	return a.Upstream != "" && in(a.Limit) && in(a.Need) && in(a.Held)
}

// Issue returns the share of an instance from now on, and false if none may be issued yet. fence and since are those of
// this instance's right to issue, members is the number of instances.
func (s *Issuer) Issue(instance string, a Ask, fence uint64, since time.Time, members int) (float64, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if !a.valid() || now.Before(since.Add(grantLifetime)) {
		return 0, false
	}
	if s.upstreams == nil {
		s.upstreams = make(map[string]*issuedLimit)
	}
	l := s.upstreams[a.Upstream]
	if l == nil || l.fence != fence {
		l = &issuedLimit{fence: fence, instances: make(map[string]*issuedShare)}
		s.upstreams[a.Upstream] = l
	}
	return l.issue(instance, a, members, now), true
}

func (l *issuedLimit) issue(instance string, a Ask, members int, now time.Time) float64 {
	own := l.instances[instance]
	if own == nil {
		own = &issuedShare{}
		l.instances[instance] = own
	}
	own.perSecond, own.askedAt = a.Need, now
	own.keep(a.Held)
	need, others, fresh := 0.0, 0.0, 0
	for name, i := range l.instances {
		if now.Sub(i.askedAt) >= grantLifetime {
			delete(l.instances, name)
			continue
		}
		if now.Sub(i.askedAt) < freshTime {
			fresh++
		}
		need += i.perSecond
		if i != own {
			others += i.most(now)
		}
	}
	part := needFraction * sharedFraction * a.Limit * l.present(a.Limit, members, fresh)
	g := max(min(part*a.Need/max(need, math.SmallestNonzeroFloat64), part-others), 0)
	if g < minGrant {
		g = 0
	}
	own.grants = append(own.grants, grant{g, now.Add(grantLifetime)})
	return g
}

// present returns the fraction of a limit whose even shares are not those of instances that have not asked lately.
func (l *issuedLimit) present(limit float64, members, fresh int) float64 {
	sharers := min(max(members, 1), spareShares+int(max(limit, minLimit)))
	return max(1-float64(max(members-fresh, 0))/float64(sharers), 0)
}

// keep forgets the grants that are more than the instance uses: it will not use them any more.
func (i *issuedShare) keep(held float64) {
	kept := i.grants[:0]
	for _, g := range i.grants {
		if g.perSecond <= held {
			kept = append(kept, g)
		}
	}
	i.grants = kept
}

// most returns the most that the instance may use.
func (i *issuedShare) most(now time.Time) float64 {
	most := 0.0
	for _, g := range i.grants {
		if now.Before(g.until) {
			most = max(most, g.perSecond)
		}
	}
	return most
}

// Retain removes the state of all upstreams for which registered returns false.
func (s *Issuer) Retain(registered func(upstream string) bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id := range s.upstreams {
		if !registered(id) {
			delete(s.upstreams, id)
		}
	}
}

// Grants holds the shares that were issued to this instance. It is safe for concurrent use.
type Grants struct {
	lock sync.Mutex // guards the fields below
	all  map[string]grant
	// promised is until when only what was issued is used of the part that follows need, by upstream.
	promised map[string]time.Time
}

// Promise records that a share is asked for now.
func (g *Grants) Promise(upstream string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.promised == nil {
		g.promised, g.all = make(map[string]time.Time), make(map[string]grant)
	}
	g.promised[upstream] = time.Now().Add(promiseTime)
}

// Set records a share that was asked for at the given time.
func (g *Grants) Set(upstream string, perSecond float64, asked time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.all != nil {
		g.all[upstream] = grant{perSecond, asked.Add(grantLifetime)}
	}
}

// Refused records that no share may be issued yet, so that the even share counts again.
func (g *Grants) Refused(upstream string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if _, held := g.all[upstream]; !held {
		delete(g.promised, upstream)
	}
}

// PerSecond returns the share of an upstream's limit that may be used now, in requests a second, and whether it takes the
// place of the even share of the part that follows need.
func (g *Grants) PerSecond(upstream string) (perSecond float64, promised bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	now := time.Now()
	if !now.Before(g.promised[upstream]) {
		delete(g.promised, upstream)
		delete(g.all, upstream)
		return 0, false
	}
	if known := g.all[upstream]; now.Before(known.until) {
		return known.perSecond, true
	}
	return 0, true
}

// DivideByNeed returns the share of an instance in a limit: its even share of the part that does not follow need, and the
// share that was issued to it. The other arguments are those of Divide.
func DivideByNeed(limit float64, instances, rank int, issued float64) Share {
	p := Divide((1-needFraction)*limit, instances, rank)
	if issued <= 0 {
		return p
	}
	perSecond := issued
	if p.SlotTime == 0 {
		perSecond += 1 / p.Interval.Seconds()
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	return Share{Interval: interval, First: min(p.First, interval), Burst: int(issued * burstTime.Seconds()), Rank: rank}
}

// Limits returns the limits in force by upstream, in requests a second.
func (b *Tracker) Limits() map[string]float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	all := make(map[string]float64)
	for id, e := range b.entries {
		if e.Limited {
			all[id] = e.Limit
		}
	}
	return all
}
