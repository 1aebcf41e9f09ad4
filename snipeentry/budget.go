package snipeentry

import (
	"strconv"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/sniperetry"
)

const (
	// minSharingInstances is the least number of instances among which a limit of an upstream or a
	// quota is divided. An instance that has just started may know no others yet.
	minSharingInstances = 6
	// retryDelay bounds the time in which a request of a caller reaches this instance, and a retry its
	// upstream over an open connection.
	retryDelay = 200 * time.Millisecond
)

// retryBudgets holds a separate retry budget for each service: a sliding window that limits the
// retries. In each window, all instances together may send share retries for each request, and
// slack retries in addition. An instance counts its own requests, and uses an equal part of slack
// while it takes part in its division.
type retryBudgets struct {
	share    float64                    // retries for each request
	slack    float64                    // retries of all instances together beyond share
	span     time.Duration              // the length of the window
	division func() snipeowner.Division // how this instance takes part in the division of slack
	clock    func() time.Duration       // the clock of division
	// sentBefore reports whether a request that arrived at a time may have been sent during a stall.
	sentBefore func(arrived time.Time) bool
	// Log and Meter take what operators see of the budgets.
	Log   *snipelog.Logger
	Meter *snipemeter.Meter

	lock sync.Mutex // guards the fields below
	all  map[string]*sniperetry.Window
	// logged is the part of the slack in the last line of the log.
	logged slackPart
}

// slackPart is an instance's part of the slack of each service, and the number of parts.
type slackPart struct {
	instances int
	retries   float64
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
	made := &sniperetry.Window{Share: b.share, Slack: b.slackRetries, Span: b.span, Delay: retryDelay, SentBefore: b.sentBefore}
	b.all[service] = made
	b.Meter.Gauge("snipepitch_retries_left{service="+strconv.Quote(service)+"}", made.Left)
	return made
}

// part returns this instance's part of the slack now.
func (b *retryBudgets) part() slackPart {
	d := b.division()
	if !d.InForce(b.clock()) {
		return slackPart{d.Instances, 0}
	}
	return slackPart{d.Instances, b.slack / float64(d.Instances)}
}

// slackRetries returns the number of retries within one window that this instance may send as its part
// of the slack.
func (b *retryBudgets) slackRetries() float64 { return b.part().retries }

// report logs the instance's part of the slack if it has changed since the last call.
func (b *retryBudgets) report() {
	part := b.part()
	b.lock.Lock()
	changed := part != b.logged
	b.logged = part
	b.lock.Unlock()
	if changed {
		b.Log.Log(snipelog.RetrySlackChanged, snipelog.Fields{"Instances": part.instances, "Retries": part.retries, "InForce": part.retries > 0})
	}
}
