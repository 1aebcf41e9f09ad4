package sniperetry

import (
	"sync"
	"time"
)

// Budget is a token bucket that bounds retries to a share of the answered calls,
// in total and for each team. It prevents a retry storm after an outage, and the
// failures of one team from using up the retries of the others. A nil Budget means
// no bound. Budget is safe for concurrent use.
//
// Answered calls add to the budget and retries consume it. Failed calls add
// nothing, so a full budget is exhausted after Burst retries in an outage.
// RefillPerSecond still permits a few retries, so that a team whose calls all fail
// at their first upstream can get answers from others. The budget is full at first.
type Budget struct {
	// Share is the number of retries that one answered call earns.
	Share float64
	// Burst is the highest number of retries that can accumulate in total,
	// TeamBurst the highest number for one team.
	Burst, TeamBurst float64
	// RefillPerSecond is the number of retries per second that are earned without
	// an answered call, in total and by each team.
	RefillPerSecond float64

	lock  sync.Mutex // guards the fields below
	total bucket
	// teams holds only the buckets from which something has been spent.
	teams map[string]bucket
}

// DefaultBudget returns the budget of one instance, which earns one retry for every
// five answered calls and one per second.
func DefaultBudget() *Budget {
	return &Budget{Share: 0.2, Burst: 100, TeamBurst: 20, RefillPerSecond: 1}
}

// bucket holds the number of retries that were spent and not yet earned back.
type bucket struct {
	spent   float64
	updated time.Time
}

// refill returns the bucket at the time now, after it has earned the given number
// of retries, and perSecond retries for each second since its last update.
func (b bucket) refill(now time.Time, perSecond, earned float64) bucket {
	if !b.updated.IsZero() {
		earned += perSecond * now.Sub(b.updated).Seconds()
	}
	return bucket{spent: max(b.spent-earned, 0), updated: now}
}

// Earn adds the Share of an answered call of a team to the total budget and to that
// of the team, up to their bursts.
func (b *Budget) Earn(team string) {
	if b == nil {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.total = b.total.refill(now, b.RefillPerSecond, b.Share)
	if t, ok := b.teams[team]; ok {
		b.store(team, t.refill(now, b.RefillPerSecond, b.Share))
	}
}

// Spend consumes one retry of a team. It reports false, and consumes nothing, if
// the total budget or that of the team is exhausted.
func (b *Budget) Spend(team string) bool {
	if b == nil {
		return true
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.total = b.total.refill(now, b.RefillPerSecond, 0)
	t := b.teams[team].refill(now, b.RefillPerSecond, 0)
	allowed := b.total.spent+1 <= b.Burst && t.spent+1 <= b.TeamBurst
	if allowed {
		b.total.spent++
		t.spent++
	}
	b.store(team, t)
	return allowed
}

// store stores a team's bucket, or deletes it if nothing is spent. The lock is
// held.
func (b *Budget) store(team string, t bucket) {
	if t.spent == 0 {
		delete(b.teams, team)
		return
	}
	if b.teams == nil {
		b.teams = map[string]bucket{}
	}
	b.teams[team] = t
}
