package snipelimit

import (
	"math"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipetree"
)

const (
	// demandTime is the time constant, in seconds, with which the demand decays.
	demandTime = 5.0
	// idleDemand is the demand, in calls per second, below which a team is idle if it
	// also has no running call and no other instance announces a demand.
	idleDemand = 1e-3
	// announceShare is the fraction of an even share of the limit from which on
	// a demand is announced. Other instances count a demand that is not announced
	// as zero, so all instances together exceed the limit by at most this
	// fraction. Smaller: the excess is smaller, but more announcements are sent.
	announceShare = 0.1
	// announceBytes is the cost of one announcement for each instance, in bytes,
	// and announceBudget what all announcements may cost it, in bytes per second.
	announceBytes, announceBudget = 70, 500
	// announceIntervals is the number of announcement intervals after which an
	// announcement expires.
	announceIntervals = 3
	// burstTime is the time for which the calls that a rate permits accumulate while
	// they are not used.
	burstTime = time.Second
	// concurrentRetry is the retry delay of a call refused by a limit on
	// concurrent calls.
	concurrentRetry = time.Second
)

// Teams enforces this instance's share of the limits of teams. The exported
// fields must be set before the first call. Teams is safe for concurrent use.
type Teams struct {
	// Limit returns the limit of a team in the whole deployment; the zero Limit means
	// no limit.
	Limit func(team string) snipetree.Limit
	// Instances returns the number of live instances; less than 1 counts as 1.
	Instances func() int
	// Announce sends this instance's demand of a team, in calls per second, to all
	// other instances. The announcement expires after ttl. Announce may be nil if
	// Step is never called.
	Announce func(team string, demand float64, ttl time.Duration)

	lock     sync.Mutex // guards accounts; not held during Announce
	accounts map[string]*account
}

// account is the state of one limited team.
type account struct {
	total   bucket
	classes [snipecall.Classes]bucket
	// demand is the moving average of the calls per second that arrive at this
	// instance, admitted or not, as of updated.
	demand  float64
	updated time.Time
	// others holds the demand announced by other instances, by instance name.
	others map[string]announcement
	// announced is the demand that this instance announced last, at announcedAt.
	announced   float64
	announcedAt time.Time
	created     time.Time
}

// announcement is the demand announced by another instance.
type announcement struct {
	demand  float64
	expires time.Time
}

// bucket counts the running calls, and the tokens of the rate limit: one call
// may start for each token.
type bucket struct {
	running  int
	tokens   float64
	refilled time.Time
}

// Admit counts a call against its team's limits, and fails with ErrLimited if it
// exceeds this instance's share of one, without waiting. A share permits at least one
// call at once, and a burst of at least one call. If the call is admitted, the caller
// must call release once when the call ends.
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

// account returns the account of a team, and adds it if necessary. The lock is
// held.
func (t *Teams) account(name string) *account {
	a, ok := t.accounts[name]
	if !ok {
		if t.accounts == nil {
			t.accounts = map[string]*account{}
		}
		a = &account{others: map[string]announcement{}, created: time.Now()}
		t.accounts[name] = a
	}
	return a
}

// arrive adds a call to the demand.
func (a *account) arrive(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandTime
}

// decay applies the exponential decay of the demand for the time since the last
// update.
func (a *account) decay(now time.Time) {
	if passed := now.Sub(a.updated).Seconds(); passed > 0 {
		a.demand *= math.Exp(-passed / demandTime)
	}
	a.updated = now
}

// share returns this instance's share of the limit, from 0 to 1: its announced
// demand divided by the announced demand of all instances. It uses the announced
// value, not the current one, so that all instances calculate with the same
// numbers. Before this instance has announced a demand, share uses the current
// one, and returns at most an even share.
func (a *account) share(now time.Time, instances int) float64 {
	sum := a.othersDemand(now)
	even := 1 / float64(max(instances, 1))
	if a.announced == 0 {
		return min(even, a.demand/(a.demand+sum))
	}
	return a.announced / (a.announced + sum)
}

// othersDemand returns the sum of the demands that other instances have
// announced, and deletes expired announcements.
func (a *account) othersDemand(now time.Time) float64 {
	sum := 0.0
	for name, o := range a.others {
		if now.After(o.expires) {
			delete(a.others, name)
			continue
		}
		sum += o.demand
	}
	return sum
}

// check returns nil if a call may start, and the refusal of the call otherwise. It adds
// the tokens for the time since the last check, but does not take one.
func (b *bucket) check(c *snipecall.Call, limit snipetree.ClassLimit, share float64, now time.Time) error {
	if limit.Concurrent > 0 && b.running >= max(int(share*float64(limit.Concurrent)+0.5), 1) {
		return limited(c, "too many calls at once", concurrentRetry)
	}
	if limit.PerSecond == 0 {
		return nil
	}
	rate := share * limit.PerSecond
	burst := max(rate*burstTime.Seconds(), 1)
	if b.refilled.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(b.tokens+rate*now.Sub(b.refilled).Seconds(), burst)
	}
	b.refilled = now
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

// RecordDemand records the demand, in calls per second, that another instance has
// announced. It replaces the earlier demand of the instance and expires after ttl.
func (t *Teams) RecordDemand(team, instance string, demand float64, ttl time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.account(team).others[instance] = announcement{demand, time.Now().Add(ttl)}
}

// dueAnnouncement is a demand that is to be announced.
type dueAnnouncement struct {
	team   string
	demand float64
}

// Step announces demands that have changed or whose last announcement is two
// intervals old, and deletes the accounts of idle teams. The more instances and
// limited teams there are, the longer is the interval between two announcements of
// one team, at least a second.
func (t *Teams) Step() {
	all, ttl := t.dueAnnouncements(time.Now())
	for _, d := range all {
		t.Announce(d.team, d.demand, ttl)
	}
}

// dueAnnouncements returns the demands to announce and the time after which these
// announcements expire. It deletes the accounts of idle teams.
func (t *Teams) dueAnnouncements(now time.Time) ([]dueAnnouncement, time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	n := max(t.Instances(), 1)
	cost := float64(n*len(t.accounts)*announceBytes) / announceBudget
	interval := max(time.Second, time.Duration(cost*float64(time.Second)))
	var all []dueAnnouncement
	for name, a := range t.accounts {
		a.decay(now)
		a.othersDemand(now)
		// The moving average of a new account starts at zero. An announcement of
		// it would be too low, and would stay in force for a whole interval.
		averaged := now.Sub(a.created) >= min(interval, demandTime*time.Second)
		if averaged && now.Sub(a.announcedAt) >= interval && a.mustAnnounce(t.Limit(name), n, now.Sub(a.announcedAt) >= 2*interval) {
			a.announced, a.announcedAt = a.demand, now
			all = append(all, dueAnnouncement{name, a.demand})
		}
		if a.demand < idleDemand && a.total.running == 0 && len(a.others) == 0 {
			delete(t.accounts, name)
		}
	}
	return all, announceIntervals * interval
}

// mustAnnounce reports whether the demand is to be announced: when it has fallen below
// the announcement threshold since the last announcement, or when it is not below the
// threshold and either differs by more than 20% from the announced demand or old is
// set, which means that the last announcement would expire soon.
func (a *account) mustAnnounce(l snipetree.Limit, instances int, old bool) bool {
	threshold := announceShare * max(l.PerSecond, float64(l.Concurrent)) / float64(instances)
	if a.demand < threshold {
		return a.announced >= threshold
	}
	return old || a.demand > 1.2*a.announced || a.demand < 0.8*a.announced
}
