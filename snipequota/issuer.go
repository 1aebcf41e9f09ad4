package snipequota

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

const (
	// equalFraction is the fraction of a rate that is shared equally among the instances that
	// contact the issuer. The remainder is shared in proportion to the demand at each instance.
	equalFraction = 0.2
	// aheadReserve is the fraction of the burst that is reserved for waiting requests. Only units
	// above it are granted ahead of use.
	aheadReserve = 0.4
	// recountInterval is the time between two computations of the withheld shares and the held
	// units.
	recountInterval = 250 * time.Millisecond
	// minWait and maxWait bound the reported time until units are available.
	minWait = 10 * time.Millisecond
	maxWait = 5 * time.Second
)

// Issuer grants units of the quotas of workspaces. Exported fields are set before the first call.
// It is safe for concurrent use.
type Issuer struct {
	// Quota returns the quota of a workspace.
	Quota func(workspace string) snipecatalog.Quota
	// Instances returns the names of the live instances.
	Instances func() []string
	Bounds    Bounds

	lock sync.Mutex // guards the fields below
	// startedAt is when the state below was last reset. contacts holds the time of the last call of
	// each instance; an instance without a call for longer than a lease is removed.
	startedAt   time.Time
	contacts    map[string]time.Time
	recountedAt time.Time
	buckets     map[string]*bucket
}

// bucket is the token bucket of one workspace.
type bucket struct {
	level float64
	at    time.Time
	// instances holds the known state of each instance. demand and held are the sums of their
	// demands and of the units they have left of their grants.
	instances map[string]*instanceState
	demand    float64
	held      float64
	// withheld is the fraction of the rate that is withheld for instances whose contact has timed
	// out, and for those that have not contacted this issuer since it started.
	withheld float64
}

// instanceState is the known state of one instance in a bucket.
type instanceState struct {
	demand float64
	held   float64
	heldAt time.Time
	// share is the share of the rate that was last reported to the instance.
	share float64
	// withheldSince is when the issuer started to withhold withheldShare of the rate for the
	// instance; zero if it withholds none.
	withheldSince time.Time
	withheldShare float64
}

// Issue answers one call of an instance, with one grant for each ask, but none for a workspace
// without a quota. A call without asks counts as contact.
func (s *Issuer) Issue(instance string, asks []Ask) []Grant {
	now := time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.recordContact(instance, now)
	s.recount(now)
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

// recordContact records that an instance calls. If no instance has called within contactTimeout, it
// discards all state first, as if the issuer had just started.
func (s *Issuer) recordContact(instance string, now time.Time) {
	if s.contacts == nil || s.idle(now) {
		// State from before an idle time is void, because another instance has granted units
		// meanwhile.
		s.contacts, s.buckets, s.startedAt = make(map[string]time.Time), make(map[string]*bucket), now
	}
	s.contacts[instance] = now
}

// idle reports whether no instance has called within contactTimeout. The instances must then have
// called another issuer.
func (s *Issuer) idle(now time.Time) bool {
	for _, at := range s.contacts {
		if now.Sub(at) < contactTimeout {
			return false
		}
	}
	return true
}

// issue answers one ask. A new bucket starts with at most the units that Bounds leave to issuers
// that start.
func (s *Issuer) issue(instance string, a Ask, q snipecatalog.Quota, now time.Time) Grant {
	b := s.buckets[a.Workspace]
	if b == nil {
		b = &bucket{at: now, instances: make(map[string]*instanceState), level: min(q.Burst, s.Bounds.Over(q)/2)}
		b.withheld = s.unknownFraction(now)
		s.buckets[a.Workspace] = b
	}
	b.fill(q, now)
	p := b.instances[instance]
	if p == nil {
		p = &instanceState{}
		b.instances[instance] = p
		b.adoptLevel(a, q)
	}
	b.reconcile(p, a, q, now)
	b.demand += a.Demand - p.demand
	b.held += a.Held - p.held
	p.demand, p.held, p.heldAt = a.Demand, a.Held, now
	p.share = s.share(b, p)
	g := Grant{Workspace: a.Workspace, Units: b.grant(a, q), Share: p.share}
	b.level -= g.Units
	b.held += g.Units
	p.held += g.Units
	g.Level = b.level
	if g.Units < a.Need {
		g.Wait = b.waitTime(a.Need-g.Units, q)
	}
	return g
}

// adoptLevel lowers the level of the bucket to the one that a previous issuer reported to an
// instance that asks for the first time, plus what the rate may have added since. It does nothing
// if the level of the bucket is lower already or the instance knows of none.
func (b *bucket) adoptLevel(a Ask, q snipecatalog.Quota) {
	if a.LevelKnown {
		b.level = min(b.level, a.Level+q.PerSecond*a.LevelAge.Seconds())
	}
}

// reconcile deducts the units that an instance used while it reached no issuer, and credits the
// units that were withheld for it in that time.
func (b *bucket) reconcile(p *instanceState, a Ask, q snipecatalog.Quota, now time.Time) {
	if !p.withheldSince.IsZero() {
		b.level += p.withheldShare * q.PerSecond * now.Sub(p.withheldSince).Seconds()
		b.withheld -= p.withheldShare
		p.withheldSince = time.Time{}
	}
	b.level = min(b.level-a.FallbackUsed, q.Burst)
}

// fill adds the units that the rate, less the withheld fraction, has produced since the last fill.
// Units that instances hold count towards the burst.
func (b *bucket) fill(q snipecatalog.Quota, now time.Time) {
	rate := q.PerSecond * max(1-b.withheld, 0)
	capacity := max(q.Burst-b.held, 0)
	if b.level < capacity {
		b.level = min(b.level+rate*now.Sub(b.at).Seconds(), capacity)
	}
	b.level = min(b.level, q.Burst)
	b.at = now
}

// grant returns how many units of an ask are granted: the needed ones as far as the bucket has
// them, and units ahead of use if it has many. A request larger than the level is granted too, and
// the level becomes negative: otherwise only small requests would be granted while a workspace
// sends more than its quota.
func (b *bucket) grant(a Ask, q snipecatalog.Quota) float64 {
	if b.level <= 0 {
		return 0
	}
	units := min(a.Need, max(b.level, a.FirstNeed))
	if spare := b.level - units - aheadReserve*q.Burst; spare > 0 {
		units += min(a.AheadOfUse, spare)
	}
	return units
}

// waitTime returns the estimated time until the bucket holds the given number of units, or a full
// burst if that is less. It assumes a fill rate of at least equalFraction of the quota's rate,
// however much is withheld, and is at least minWait and at most maxWait.
func (b *bucket) waitTime(units float64, q snipecatalog.Quota) time.Duration {
	rate := q.PerSecond * max(1-b.withheld, equalFraction)
	seconds := max(min(units, q.Burst)-b.level, 0) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}

// share returns the share of the rate for an instance, as a fraction.
func (s *Issuer) share(b *bucket, p *instanceState) float64 {
	share := equalFraction / float64(max(len(s.contacts), 1))
	if b.demand > 0 {
		share += (1 - equalFraction) * p.demand / b.demand
	}
	return share
}

// unknownFraction returns the fraction of a rate that live instances may be using without having
// contacted this issuer yet. It is zero once a lease has passed since this issuer started.
func (s *Issuer) unknownFraction(now time.Time) float64 {
	if now.Sub(s.startedAt) > lease {
		return 0
	}
	all := s.Instances()
	unknown := 0
	for _, name := range all {
		if _, ok := s.contacts[name]; !ok {
			unknown++
		}
	}
	return float64(unknown) / float64(max(len(all), 1))
}

// recount computes the withheld shares, the demands and the held units again, and removes the
// instances without contact for longer than a lease. It does nothing within recountInterval of the
// last time.
func (s *Issuer) recount(now time.Time) {
	if now.Sub(s.recountedAt) < recountInterval {
		return
	}
	s.recountedAt = now
	unknown := s.unknownFraction(now)
	for name, b := range s.buckets {
		b.recount(s, s.Quota(name), unknown, now)
	}
	for name, at := range s.contacts {
		if now.Sub(at) > lease {
			delete(s.contacts, name)
		}
	}
}

// recount computes the sums of one bucket and what it withholds, which includes the given fraction
// for instances that have not contacted this issuer. For an instance whose contact has just timed
// out, it also deducts the units of its share since the last contact.
func (b *bucket) recount(s *Issuer, q snipecatalog.Quota, unknown float64, now time.Time) {
	b.fill(q, now)
	b.demand, b.held, b.withheld = 0, 0, unknown
	for name, p := range b.instances {
		sinceContact := now.Sub(s.contacts[name])
		if sinceContact > lease {
			delete(b.instances, name)
			continue
		}
		if now.Sub(p.heldAt) < grantLife {
			b.held += p.held
		}
		b.demand += p.demand
	}
	for name, p := range b.instances {
		sinceContact := now.Sub(s.contacts[name])
		if sinceContact > contactTimeout && p.withheldSince.IsZero() {
			p.withheldSince, p.withheldShare = s.contacts[name], p.share
			b.level -= p.withheldShare * q.PerSecond * sinceContact.Seconds()
		}
		if !p.withheldSince.IsZero() {
			b.withheld += p.withheldShare
		}
	}
}
