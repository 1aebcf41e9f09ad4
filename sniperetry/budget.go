package sniperetry

import (
	"sync"
	"time"
)

// Budget bounds retries to a share of the answered calls, in all and for each
// team, so that an outage is not followed by a storm of retries and one team's
// failures do not use up what the others may need. A nil Budget is no bound.
//
// Answered calls earn and retries spend. Failed calls earn nothing: in an
// outage the budget runs out after its burst. Trickle keeps a few retries
// possible, so that a team all of whose first choices fail is not cut off.
type Budget struct {
	// Share is the number of retries that one answered call earns.
	Share float64
	// Burst is the most that can be saved up in all, TeamBurst by one team.
	Burst, TeamBurst float64
	// Trickle is the number of retries a second that are earned by waiting.
	Trickle float64

	lock  sync.Mutex // guards the fields below
	total bucket
	// teams holds only teams whose savings are below TeamBurst.
	teams map[string]bucket
}

// DefaultBudget returns the budget of one instance: retries for a fifth of the
// answered calls.
func DefaultBudget() *Budget {
	return &Budget{Share: 0.2, Burst: 100, TeamBurst: 20, Trickle: 1}
}

// bucket holds what has been spent of the burst and not earned back.
type bucket struct {
	spent float64
	seen  time.Time
}

// settle returns the bucket after the time since it was last seen.
func (b bucket) settle(now time.Time, trickle, earned float64) bucket {
	if !b.seen.IsZero() {
		earned += trickle * now.Sub(b.seen).Seconds()
	}
	return bucket{spent: max(b.spent-earned, 0), seen: now}
}

// Earn counts an answered call.
func (b *Budget) Earn(team string) {
	if b == nil {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.total = b.total.settle(now, b.Trickle, b.Share)
	if t, ok := b.teams[team]; ok {
		b.keep(team, t.settle(now, b.Trickle, b.Share))
	}
}

// Spend pays for one retry and reports false when there is nothing left.
func (b *Budget) Spend(team string) bool {
	if b == nil {
		return true
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.total = b.total.settle(now, b.Trickle, 0)
	t := b.teams[team].settle(now, b.Trickle, 0)
	paid := b.total.spent+1 <= b.Burst && t.spent+1 <= b.TeamBurst
	if paid {
		b.total.spent++
		t.spent++
	}
	b.keep(team, t)
	return paid
}

// keep stores a team's bucket, or forgets it when nothing is spent. The lock
// is held.
func (b *Budget) keep(team string, t bucket) {
	if t.spent == 0 {
		delete(b.teams, team)
		return
	}
	if b.teams == nil {
		b.teams = map[string]bucket{}
	}
	b.teams[team] = t
}
