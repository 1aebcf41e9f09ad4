package snipequota

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

const (
	// equalPart is the part of a rate that is shared among all instances alike; the rest
	// follows what arrives at them.
	equalPart = 0.2
	// aheadLevel is the part of the burst that is left for requests that wait: above it units
	// are granted ahead.
	aheadLevel = 0.4
	// countEvery is the time between two counts of what is kept back.
	countEvery = 250 * time.Millisecond
	// leastWait and mostWait bound the time that is told until there is room.
	leastWait = 10 * time.Millisecond
	mostWait  = 5 * time.Second
)

// Issuer grants units. Exported fields are set before the first call. It is safe for concurrent
// use.
type Issuer struct {
	// Quota returns a workspace's quota.
	Quota func(workspace string) snipecatalog.Quota
	// Instances returns the names of the live instances.
	Instances func() []string
	Bounds    Bounds

	lock    sync.Mutex // guards the fields below
	began   time.Time
	heard   map[string]time.Time
	counted time.Time
	buckets map[string]*bucket
}

// bucket is the quota of one workspace.
type bucket struct {
	level float64
	at    time.Time
	// parts are what is known of the instances, demand the sum of theirs, held what they have
	// left of their grants.
	parts  map[string]*part
	demand float64
	held   float64
	// kept is the part of the rate that is kept back for those unheard.
	kept float64
}

// part is one instance's part of a bucket.
type part struct {
	demand float64
	held   float64
	heldAt time.Time
	// told is the share that it was told of last.
	told float64
	// keptSince is from when on keptShare of the rate is kept back; zero when none is.
	keptSince time.Time
	keptShare float64
}

// Issue grants an instance what it may use.
func (s *Issuer) Issue(instance string, asks []Ask) []Grant {
	now := time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hear(instance, now)
	s.count(now)
	all := make([]Grant, 0, len(asks))
	for _, a := range asks {
		q := s.Quota(a.Workspace)
		if !q.Limited() {
			continue
		}
		all = append(all, s.issue(instance, a, q, now))
	}
	return all
}

// hear notes that an instance asks.
func (s *Issuer) hear(instance string, now time.Time) {
	if s.heard == nil || s.idle(now) {
		// What was known before a break is void: another instance has granted meanwhile.
		s.heard, s.buckets, s.began = make(map[string]time.Time), make(map[string]*bucket), now
	}
	s.heard[instance] = now
}

// idle reports whether nobody has asked for so long that another issuer must have been asked.
func (s *Issuer) idle(now time.Time) bool {
	for _, at := range s.heard {
		if now.Sub(at) < silence {
			return false
		}
	}
	return true
}

func (s *Issuer) issue(instance string, a Ask, q snipecatalog.Quota, now time.Time) Grant {
	b := s.buckets[a.Workspace]
	if b == nil {
		b = &bucket{at: now, parts: make(map[string]*part), level: min(q.Burst, s.Bounds.Over(q)/2)}
		b.kept = s.unheard(now)
		s.buckets[a.Workspace] = b
	}
	b.fill(q, now)
	p := b.parts[instance]
	if p == nil {
		p = &part{}
		b.parts[instance] = p
		b.learn(a, q)
	}
	b.reconcile(p, a, q, now)
	b.demand += a.Demand - p.demand
	b.held += a.Held - p.held
	p.demand, p.held, p.heldAt = a.Demand, a.Held, now
	p.told = s.share(b, p)
	g := Grant{Workspace: a.Workspace, Units: b.grant(a, q), Share: p.told}
	b.level -= g.Units
	b.held += g.Units
	p.held += g.Units
	g.Level = b.level
	if g.Units < a.Need {
		g.Wait = b.wait(a.Need-g.Units, q)
	}
	return g
}

// learn takes what an instance that is heard for the first time knows of the bucket from the
// issuer before.
func (b *bucket) learn(a Ask, q snipecatalog.Quota) {
	if a.Known {
		b.level = min(b.level, a.Level+q.PerSecond*a.Age.Seconds())
	}
}

// reconcile takes off what an instance used while it reached no issuer, and gives back what was
// kept for it meanwhile.
func (b *bucket) reconcile(p *part, a Ask, q snipecatalog.Quota, now time.Time) {
	if !p.keptSince.IsZero() {
		b.level += p.keptShare * q.PerSecond * now.Sub(p.keptSince).Seconds()
		b.kept -= p.keptShare
		p.keptSince = time.Time{}
	}
	b.level = min(b.level-a.Alone, q.Burst)
}

// fill adds what the rate has brought. What is held elsewhere counts as saved up.
func (b *bucket) fill(q snipecatalog.Quota, now time.Time) {
	rate := q.PerSecond * max(1-b.kept, 0)
	room := max(q.Burst-b.held, 0)
	if b.level < room {
		b.level = min(b.level+rate*now.Sub(b.at).Seconds(), room)
	}
	b.level = min(b.level, q.Burst)
	b.at = now
}

// grant returns how much of an ask is granted: what waits as far as there is room, and more where
// there is much. A request larger than what is left goes as well, and is paid for later: otherwise
// small ones alone would go while a workspace sends more than its quota.
func (b *bucket) grant(a Ask, q snipecatalog.Quota) float64 {
	if b.level <= 0 {
		return 0
	}
	units := min(a.Need, max(b.level, a.First))
	if spare := b.level - units - aheadLevel*q.Burst; spare > 0 {
		units += min(a.Ahead, spare)
	}
	return units
}

// wait returns when there will be so much.
func (b *bucket) wait(units float64, q snipecatalog.Quota) time.Duration {
	rate := q.PerSecond * max(1-b.kept, equalPart)
	seconds := max(min(units, q.Burst)-b.level, 0) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), leastWait), mostWait)
}

// share returns an instance's part of the rate.
func (s *Issuer) share(b *bucket, p *part) float64 {
	share := equalPart / float64(max(len(s.heard), 1))
	if b.demand > 0 {
		share += (1 - equalPart) * p.demand / b.demand
	}
	return share
}

// unheard returns the part of a rate that live instances may use of which this issuer does not
// know anything.
func (s *Issuer) unheard(now time.Time) float64 {
	if now.Sub(s.began) > lease {
		return 0
	}
	all := s.Instances()
	silent := 0
	for _, name := range all {
		if _, ok := s.heard[name]; !ok {
			silent++
		}
	}
	return float64(silent) / float64(max(len(all), 1))
}

// count counts anew what is kept back and what is held.
func (s *Issuer) count(now time.Time) {
	if now.Sub(s.counted) < countEvery {
		return
	}
	s.counted = now
	unheard := s.unheard(now)
	for name, b := range s.buckets {
		b.count(s, s.Quota(name), unheard, now)
	}
	for name, at := range s.heard {
		if now.Sub(at) > lease {
			delete(s.heard, name)
		}
	}
}

// count counts what one bucket keeps back. The share of one that has just become silent is taken
// off since it was heard last.
func (b *bucket) count(s *Issuer, q snipecatalog.Quota, unheard float64, now time.Time) {
	b.fill(q, now)
	b.demand, b.held, b.kept = 0, 0, unheard
	for name, p := range b.parts {
		silent := now.Sub(s.heard[name])
		if silent > lease {
			delete(b.parts, name)
			continue
		}
		if now.Sub(p.heldAt) < life {
			b.held += p.held
		}
		b.demand += p.demand
	}
	for name, p := range b.parts {
		silent := now.Sub(s.heard[name])
		if silent > silence && p.keptSince.IsZero() {
			p.keptSince, p.keptShare = s.heard[name], p.told
			b.level -= p.keptShare * q.PerSecond * silent.Seconds()
		}
		if !p.keptSince.IsZero() {
			b.kept += p.keptShare
		}
	}
}
