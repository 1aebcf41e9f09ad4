package snipeentry

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/sniperetry"
)

const (
	// usedShare is the share of the allowed repeats that is used. The rest is for what
	// instances do not know: how many they are while some start or end, and what was
	// repeated by those that ended. All killed at once may spend the slack twice.
	usedShare = 0.85
	// fewestInstances is the least number among which the slack is divided: one
	// that has just started may know of nobody yet.
	fewestInstances = 6
)

// budgets holds what pays for repeats, for each service by itself. All instances
// together must stay within a share of the requests and a slack; each takes its
// part of the slack.
type retryBudgets struct {
	share     float64
	slack     float64
	span      time.Duration
	instances func() int

	lock sync.Mutex // guards all
	all  map[string]*sniperetry.Window
}

// of returns a service's budget.
func (b *retryBudgets) budget(service string) *sniperetry.Window {
	b.lock.Lock()
	defer b.lock.Unlock()
	if found := b.all[service]; found != nil {
		return found
	}
	if b.all == nil {
		b.all = make(map[string]*sniperetry.Window)
	}
	made := &sniperetry.Window{Share: usedShare * b.share, Slack: b.slackShare, Span: b.span}
	b.all[service] = made
	return made
}

// part is this instance's part of the slack.
func (b *retryBudgets) slackShare() float64 {
	return usedShare * b.slack / float64(max(b.instances(), fewestInstances))
}
