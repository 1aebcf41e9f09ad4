package snipeentry

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/sniperetry"
)

const (
	// usedShare is the share of the allowed retries that is used. The remainder covers what
	// instances cannot know: how many instances there are while some start or end, and the retries
	// that ended instances have sent. If all instances are killed at once, the slack may be spent
	// twice.
	usedShare = 0.85
	// minSharingInstances is the least number of instances among which the slack is divided. An
	// instance that has just started may know no others yet.
	minSharingInstances = 6
)

// retryBudgets holds a separate retry budget for each service. All instances together must stay
// within a share of the requests and a slack; each instance uses its share of the slack.
type retryBudgets struct {
	share     float64
	slack     float64
	span      time.Duration
	instances func() int

	lock sync.Mutex // guards all
	all  map[string]*sniperetry.Window
}

// budget returns a service's budget.
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

// slackShare returns this instance's share of the slack.
func (b *retryBudgets) slackShare() float64 {
	return usedShare * b.slack / float64(max(b.instances(), minSharingInstances))
}
