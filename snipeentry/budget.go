package snipeentry

import (
	"sync"

	"snipepitch.example/snipepitch/sniperetry"
)

const (
	// keptBack is the share of the allowed repeats that is used: instances do not
	// count each other's, and their number changes.
	keptBack = 0.75
	// fewestInstances is the least number among which the slack is divided: one
	// that has just started may know of nobody yet.
	fewestInstances = 6
)

// budgets holds what pays for repeats, for each service by itself. All instances
// together must stay within a share of the requests and a slack; each takes its
// part of the slack.
type budgets struct {
	share     float64
	slack     float64
	instances func() int

	lock sync.Mutex // guards all
	all  map[string]*sniperetry.Budget
}

// of returns a service's budget.
func (b *budgets) of(service string) *sniperetry.Budget {
	b.lock.Lock()
	defer b.lock.Unlock()
	if found := b.all[service]; found != nil {
		return found
	}
	if b.all == nil {
		b.all = make(map[string]*sniperetry.Budget)
	}
	burst := keptBack * b.slack / float64(max(b.instances(), fewestInstances))
	made := &sniperetry.Budget{Share: keptBack * b.share, Burst: burst, TeamBurst: burst}
	b.all[service] = made
	return made
}
