package snipeadmission_test

import (
	"context"
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

// free returns how many permits are granted without a wait.
func (b *bench) free() int {
	b.t.Helper()
	for n := 0; ; n++ {
		ctx, cancel := context.WithTimeout(b.t.Context(), ms)
		_, err := b.Acquire(ctx, snipeadmission.Request{Instance: "i"})
		cancel()
		if err != nil {
			return n
		}
	}
}

// TestHandover guards against slots that stand idle between two requests, because the release of a
// permit and the next request take a while to arrive, and against permits that are withheld because
// releases and load reports overtake each other.
func TestHandover(t *testing.T) {
	tests := map[string]struct {
		handover time.Duration
		loads    []snipeadmission.Load
		want     int
	}{
		"None":        {0, nil, 7},
		"Slow":        {10 * ms, nil, 9},
		"Longer":      {500 * ms, nil, 12},
		"Overtaken":   {0, []snipeadmission.Load{{Running: 3}, {}}, 7},
		"WithoutSome": {0, []snipeadmission.Load{{Running: 4}}, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			paused(t, func(t *testing.T, b *bench) {
				b.upstreams = []snipeadmission.Upstream{{ID: "u", Slots: 6}}
				for n := range 60 {
					var l *snipeadmission.Load
					if len(tt.loads) > 0 {
						l = &tt.loads[n%len(tt.loads)]
					}
					b.observe(1, "u", nil, 30*ms, tt.handover, l)
				}
				must.Eq(t, tt.want, b.free())
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
