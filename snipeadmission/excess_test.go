package snipeadmission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
)

// observe makes the Coordinator observe requests at an upstream: their time, the further time until
// their release arrives, and the load that they report.
func (c *testCoordinator) observe(n int, upstream string, avoid []string, took, handover time.Duration, l *snipeadmission.Load) {
	c.t.Helper()
	for range n {
		p := c.take(snipeadmission.Request{Instance: "i", Excluded: avoid})
		must.Eq(c.t, upstream, p.Upstream)
		time.Sleep(took + handover)
		c.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: took, Load: l})
	}
}

// TestExcess guards against slots that stand idle between two requests, because the release of a
// permit and the next request take a while to arrive, and against a queue at the upstream that is
// longer than that needs, or at which it refuses requests.
func TestExcess(t *testing.T) {
	report := func(waiting int) snipeadmission.Result {
		return snipeadmission.Result{Took: 30 * ms, Load: &snipeadmission.Load{Running: 5 + min(waiting, 1), Waiting: waiting, Slots: 6, Pace: 1}}
	}
	refused := report(0)
	refused.Outcome, refused.RetryAfter = snipeadmission.OutcomeRefused, ms
	tests := map[string]struct {
		results []snipeadmission.Result // each of them twenty-four times
		queue   int
		want    int
	}{
		"IdleSlots":   {[]snipeadmission.Result{report(0)}, 20, 10},
		"OnlyIdle":    {[]snipeadmission.Result{report(0), report(0), report(0)}, 20, 12},
		"ShortQueue":  {[]snipeadmission.Result{report(1)}, 20, 7},
		"NobodyWaits": {[]snipeadmission.Result{report(0)}, 0, 0},
		"LongQueue":   {[]snipeadmission.Result{report(0), report(2)}, 20, 7},
		"Refused":     {[]snipeadmission.Result{report(0), refused}, 20, 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			paused(t, func(t *testing.T, c *testCoordinator) {
				c.upstreams = []snipeadmission.Upstream{{ID: "u", Slots: 6}}
				granted := make(chan uint64, 1000)
				acquire := func() {
					if p, err := c.Acquire(t.Context(), snipeadmission.Request{Instance: "i"}); err == nil {
						granted <- p.ID
					}
				}
				for range tt.queue {
					go acquire()
				}
				for _, r := range tt.results {
					for range 24 {
						go acquire()
						time.Sleep(2 * ms)
						c.Release(<-granted, r)
					}
				}
				time.Sleep(50 * ms)
				must.Eq(t, tt.want, c.Stats().PermitsOut)
				for range tt.queue {
					c.Release(<-granted, snipeadmission.Result{})
				}
			})
		})
	}
}

// TestFreeBeforeRefusal answers an overload with a slow upstream: its permits are used before a
// request is refused. Otherwise it would stay idle, since a fast upstream is expected to end each
// request sooner, and no request would show that it is fast again.
func TestFreeBeforeRefusal(t *testing.T) {
	paused(t, func(t *testing.T, c *testCoordinator) {
		c.upstreams = []snipeadmission.Upstream{{ID: "fast", Slots: 1}, {ID: "slow", Slots: 1}}
		c.observe(20, "fast", []string{"slow"}, 30*ms, 0, nil)
		c.observe(20, "slow", []string{"fast"}, 300*ms, 0, nil)
		for range 150 { // more arrivals than both serve
			c.Release(c.take(snipeadmission.Request{Instance: "i"}).ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
			time.Sleep(10 * ms)
		}
		c.observe(5, "fast", []string{"slow"}, 30*ms, 0, nil)
		for range 2 {
			must.Eq(t, "fast", c.take(snipeadmission.Request{Instance: "i", Excluded: []string{"slow"}}).Upstream)
		}
		began := time.Now()
		p := c.take(snipeadmission.Request{Instance: "i", Target: began.Add(40 * ms), Deadline: began.Add(2 * time.Second)})
		must.Eq(t, "slow", p.Upstream)
		must.Eq(t, 0, time.Since(began))
		_, err := c.Acquire(t.Context(), snipeadmission.Request{Instance: "i", Target: time.Now().Add(40 * ms), Deadline: time.Now().Add(100 * ms)})
		must.ErrorIs(t, err, snipeadmission.ErrRefused)
	})
}
