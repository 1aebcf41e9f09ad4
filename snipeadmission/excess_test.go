package snipeadmission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
)

// observe makes the Coordinator observe requests at an upstream: their time, the further time until
// their release arrives, and the load that they report.
func (b *bench) observe(n int, upstream string, avoid []string, took, handover time.Duration, l *snipeadmission.Load) {
	b.t.Helper()
	for range n {
		p := b.take(snipeadmission.Request{Instance: "i", Excluded: avoid})
		must.Eq(b.t, upstream, p.Upstream)
		time.Sleep(took + handover)
		b.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: took, Load: l})
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
			paused(t, func(t *testing.T, b *bench) {
				b.upstreams = []snipeadmission.Upstream{{ID: "u", Slots: 6}}
				granted := make(chan uint64, 1000)
				acquire := func() {
					if p, err := b.Acquire(t.Context(), snipeadmission.Request{Instance: "i"}); err == nil {
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
						b.Release(<-granted, r)
					}
				}
				time.Sleep(50 * ms)
				must.Eq(t, tt.want, b.Stats().PermitsOut)
				for range tt.queue {
					b.Release(<-granted, snipeadmission.Result{})
				}
			})
		})
	}
}

// TestFreeBeforeRefusal answers an overload with a slow upstream: its permits are used before a
// request is refused. Otherwise it would stay idle, since a fast upstream is expected to end each
// request sooner, and no request would show that it is fast again.
func TestFreeBeforeRefusal(t *testing.T) {
	paused(t, func(t *testing.T, b *bench) {
		b.upstreams = []snipeadmission.Upstream{{ID: "fast", Slots: 1}, {ID: "slow", Slots: 1}}
		b.observe(20, "fast", []string{"slow"}, 30*ms, 0, nil)
		b.observe(20, "slow", []string{"fast"}, 300*ms, 0, nil)
		for range 150 { // more arrivals than both serve
			b.Release(b.take(snipeadmission.Request{Instance: "i"}).ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
			time.Sleep(10 * ms)
		}
		b.observe(5, "fast", []string{"slow"}, 30*ms, 0, nil)
		for range 2 {
			must.Eq(t, "fast", b.take(snipeadmission.Request{Instance: "i", Excluded: []string{"slow"}}).Upstream)
		}
		began := time.Now()
		p := b.take(snipeadmission.Request{Instance: "i", Target: began.Add(40 * ms), Deadline: began.Add(2 * time.Second)})
		must.Eq(t, "slow", p.Upstream)
		must.Eq(t, 0, time.Since(began))
		_, err := b.Acquire(t.Context(), snipeadmission.Request{Instance: "i", Target: time.Now().Add(40 * ms), Deadline: time.Now().Add(100 * ms)})
		must.ErrorIs(t, err, snipeadmission.ErrRefused)
	})
}
