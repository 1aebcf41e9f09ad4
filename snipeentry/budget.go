package snipeentry

import (
	"strconv"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/sniperetry"
)

const (
	// retrySafetyFactor is a safety factor: the fraction of the allowed retries that the instances
	// use. The remainder covers errors in the number of instances while some start or end, and
	// retries that ended instances sent within the window. It does not cover a kill of all
	// instances at once: their successors may then spend the slack (see retryBudgets) again.
	retrySafetyFactor = 0.85
	// minSharingInstances is the least number of instances among which a limit on all instances
	// together is divided. An instance that has just started may know no others yet.
	minSharingInstances = 6
)

// retryBudgets holds a separate retry budget for each service: a sliding window that limits the
// retries. In each window, all instances together may send share retries for each request, and
// slack retries in addition. An instance counts its own requests and uses an equal part of slack.
type retryBudgets struct {
	share     float64       // retries for each request
	slack     float64       // retries of all instances together beyond share
	span      time.Duration // the length of the window
	instances func() int    // returns the number of live instances

	// Log and Meter take what operators see of the budgets.
	Log   *snipelog.Logger
	Meter *snipemeter.Meter

	lock sync.Mutex // guards the fields below
	all  map[string]*sniperetry.Window
	// logged is the part of the slack in the last line of the log.
	logged slackPart
}

// slackPart is an instance's part of the slack of each service.
type slackPart struct {
	instances int
	retries   float64
}

// report logs the instance's part of the slack if it has changed since the last call.
func (b *retryBudgets) report() {
	part := slackPart{b.instances(), b.slackShare()}
	b.lock.Lock()
	changed := part != b.logged
	b.logged = part
	b.lock.Unlock()
	if changed {
		b.Log.Log(snipelog.RetrySlackChanged, snipelog.Fields{"Instances": part.instances, "Retries": part.retries, "InForce": part.retries > 0})
	}
}

// budget returns a service's budget, and creates it on the first call for the service.
func (b *retryBudgets) budget(service string) *sniperetry.Window {
	b.lock.Lock()
	defer b.lock.Unlock()
	if found := b.all[service]; found != nil {
		return found
	}
	if b.all == nil {
		b.all = make(map[string]*sniperetry.Window)
	}
	made := &sniperetry.Window{Share: retrySafetyFactor * b.share, Slack: b.slackShare, Span: b.span}
	b.all[service] = made
	b.Meter.Gauge("snipepitch_retries_left{service="+strconv.Quote(service)+"}", made.Left)
	return made
}

// slackShare returns the number of retries within one window that this instance may send as its
// part of the slack.
func (b *retryBudgets) slackShare() float64 {
	return retrySafetyFactor * b.slack / float64(max(b.instances(), minSharingInstances))
}
