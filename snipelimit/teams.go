package snipelimit

import (
	"math"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipetree"
)

const (
	// demandTime is the time constant of the demand, in seconds.
	demandTime = 5.0
	// noDemand is a demand that is none any more.
	noDemand = 1e-3
	// announceShare is the part of an even share from which on a demand is
	// announced. What is not announced counts as none, so that all instances
	// together admit at most this part too much.
	announceShare = 0.1
	// announceBytes is what an announcement costs each instance, announceBudget
	// what all of them may cost in a second.
	announceBytes, announceBudget = 70, 500
	// announceLives is how many intervals an announcement counts.
	announceLives = 3
	// burstTime is the time for which a rate's share can be saved up.
	burstTime = time.Second
	// concurrentRetry is when a call is worthwhile again that was one too many
	// at once.
	concurrentRetry = time.Second
)

// Teams enforces this instance's share of the limits of teams. Exported fields
// are set before the first call. It is safe for concurrent use.
type Teams struct {
	// Limit returns the limit of a team; the zero Limit is none.
	Limit func(team string) snipetree.Limit
	// Instances returns the number of live instances.
	Instances func() int
	// Announce tells all instances this one's demand of a team, in calls a
	// second, for a time; nil for none.
	Announce func(team string, demand float64, ttl time.Duration)

	lock     sync.Mutex // guards accounts; not held during Announce
	accounts map[string]*account
}

// account is a limited team.
type account struct {
	total   bucket
	classes [snipecall.Classes]bucket
	// demand is what arrives here in a second, admitted or not.
	demand float64
	seen   time.Time
	// others is the announced demand of other instances by name.
	others map[string]announced
	told   float64
	when   time.Time
	born   time.Time
}

type announced struct {
	demand float64
	until  time.Time
}

// bucket counts what runs and what may start.
type bucket struct {
	running int
	tokens  float64
	seen    time.Time
}

// Admit counts a call against its team's limits; release ends it.
func (t *Teams) Admit(c *snipecall.Call) (release func(), err error) {
	limit := t.Limit(c.Team)
	if limit.Concurrent == 0 && limit.PerSecond == 0 && len(limit.Classes) == 0 {
		return func() {}, nil
	}
	now := time.Now()
	t.lock.Lock()
	defer t.lock.Unlock()
	a := t.account(c.Team)
	a.arrive(now)
	share := a.share(now, t.Instances())
	class := limit.Classes[c.Class]
	total := snipetree.ClassLimit{Concurrent: limit.Concurrent, PerSecond: limit.PerSecond}
	if err := a.total.check(c, total, share, now); err != nil {
		return nil, err
	}
	if err := a.classes[c.Class].check(c, class, share, now); err != nil {
		return nil, err
	}
	a.total.start(total)
	a.classes[c.Class].start(class)
	return func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		a.total.running--
		a.classes[c.Class].running--
	}, nil
}

func (t *Teams) account(name string) *account {
	a, ok := t.accounts[name]
	if !ok {
		if t.accounts == nil {
			t.accounts = map[string]*account{}
		}
		a = &account{others: map[string]announced{}, born: time.Now()}
		t.accounts[name] = a
	}
	return a
}

// arrive counts a call into the demand.
func (a *account) arrive(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandTime
}

func (a *account) decay(now time.Time) {
	if passed := now.Sub(a.seen).Seconds(); passed > 0 {
		a.demand *= math.Exp(-passed / demandTime)
	}
	a.seen = now
}

// share returns this instance's part of the limit: that of the demand it has
// announced in all that were announced, so that all divide by the same numbers;
// before it has announced any an even part at most.
func (a *account) share(now time.Time, instances int) float64 {
	sum := a.heard(now)
	even := 1 / float64(max(instances, 1))
	if a.told == 0 {
		return min(even, a.demand/(a.demand+sum))
	}
	return a.told / (a.told + sum)
}

// heard returns the demand that others have announced and that still counts.
func (a *account) heard(now time.Time) float64 {
	sum := 0.0
	for name, o := range a.others {
		if now.After(o.until) {
			delete(a.others, name)
			continue
		}
		sum += o.demand
	}
	return sum
}

// check returns why a call may not start, or nil. It earns the time's tokens.
func (b *bucket) check(c *snipecall.Call, limit snipetree.ClassLimit, share float64, now time.Time) error {
	if limit.Concurrent > 0 && b.running >= max(int(share*float64(limit.Concurrent)+0.5), 1) {
		return limited(c, "too many calls at once", concurrentRetry)
	}
	if limit.PerSecond == 0 {
		return nil
	}
	rate := share * limit.PerSecond
	burst := max(rate*burstTime.Seconds(), 1)
	if b.seen.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(b.tokens+rate*now.Sub(b.seen).Seconds(), burst)
	}
	b.seen = now
	if b.tokens < 1 {
		wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
		return limited(c, "too many calls a second", wait)
	}
	return nil
}

// start counts a call that check has allowed.
func (b *bucket) start(limit snipetree.ClassLimit) {
	b.running++
	if limit.PerSecond > 0 {
		b.tokens--
	}
}

// Hear takes the demand that another instance has announced.
func (t *Teams) Hear(team, instance string, demand float64, ttl time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.account(team).others[instance] = announced{demand, time.Now().Add(ttl)}
}

// due is a demand to announce.
type due struct {
	team   string
	demand float64
}

// Step announces demands that have changed, and forgets teams that have none.
// The more instances and limited teams there are, the more seldom.
func (t *Teams) Step() {
	all, ttl := t.due(time.Now())
	for _, d := range all {
		t.Announce(d.team, d.demand, ttl)
	}
}

func (t *Teams) due(now time.Time) ([]due, time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	n := max(t.Instances(), 1)
	cost := float64(n*len(t.accounts)*announceBytes) / announceBudget
	interval := max(time.Second, time.Duration(cost*float64(time.Second)))
	var all []due
	for name, a := range t.accounts {
		a.decay(now)
		a.heard(now)
		// A demand that has just begun says too little to keep for an interval.
		grown := now.Sub(a.born) >= min(interval, demandTime*time.Second)
		if grown && now.Sub(a.when) >= interval && a.changed(t.Limit(name), n, now.Sub(a.when) >= 2*interval) {
			a.told, a.when = a.demand, now
			all = append(all, due{name, a.demand})
		}
		if a.demand < noDemand && a.total.running == 0 && len(a.others) == 0 {
			delete(t.accounts, name)
		}
	}
	return all, announceLives * interval
}

// changed reports whether the demand is worth telling, again when old.
func (a *account) changed(l snipetree.Limit, instances int, old bool) bool {
	least := announceShare * max(l.PerSecond, float64(l.Concurrent)) / float64(instances)
	if a.demand < least {
		return a.told >= least
	}
	return old || a.demand > 1.2*a.told || a.demand < 0.8*a.told
}
