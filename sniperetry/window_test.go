package sniperetry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testShare = 0.2
	testSpan  = 10 * time.Second
)

func newWindow(slack float64) *Window {
	return &Window{Share: testShare, Slack: func() float64 { return slack }, Span: testSpan}
}

// TestWindowAtCrash guards against a bound that refuses retries after the crash of an upstream,
// at which all of its requests fail at once: one of eighty instances gets eleven requests per
// second, has a slack of two, and eight of its requests fail. A Window permits all eight retries;
// a Budget whose burst is the slack permits two.
func TestWindowAtCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWindow(2)
		budget := &Budget{Share: testShare, Burst: 2, TeamBurst: 2}
		for range 11 * 10 {
			w.CountRequest()
			budget.Earn("")
			time.Sleep(time.Second / 11)
		}
		windowRetries, budgetRetries := 0, 0
		for range 8 {
			if w.Spend() {
				windowRetries++
			}
			if budget.Spend("") {
				budgetRetries++
			}
		}
		must.Eq(t, 8, windowRetries)
		must.Eq(t, 2, budgetRetries)
	})
}

// TestWindowNeverExceeds guards against retries beyond the bound with random traffic and failures:
// the retries in a span that ends with a retry do not exceed the slack plus the share of the requests
// in the same span, or in the span that ends half its length earlier if it has more requests.
func TestWindowNeverExceeds(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			w := newWindow(3)
			var requests, retries []time.Time
			rate, failing := 20.0, 0.1
			for end := time.Now().Add(time.Minute); time.Now().Before(end); {
				if r.IntN(100) == 0 {
					failing = r.Float64()
				}
				time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
				requests = append(requests, time.Now())
				w.CountRequest()
				for r.Float64() < failing && w.Spend() {
					retries = append(retries, time.Now())
				}
			}
			for n, last := range retries {
				count, from := 0, last.Add(-testSpan)
				for _, at := range retries[:n+1] {
					if at.After(from) {
						count++
					}
				}
				most := max(within(requests, from, last), within(requests, from.Add(-testSpan/2), last.Add(-testSpan/2)))
				must.LessEq(t, testShare*float64(most)+3+1e-9, float64(count))
			}
		})
	}
}

// within returns how many of the times are after from and not after to.
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestWindowEdges guards against wrong counts at the edges: the slack in the first span, requests
// and retries that leave the window, and refunds.
func TestWindowEdges(t *testing.T) {
	count := func(w *Window, n int) {
		for range n {
			w.CountRequest()
		}
	}
	tests := map[string]struct {
		before func(w *Window)
		want   int
	}{
		"FirstQuarter":    {func(*Window) {}, 1},
		"SlackGrows":      {func(w *Window) { w.CountRequest(); time.Sleep(testSpan / 2) }, 2},
		"SlackWhole":      {func(w *Window) { w.CountRequest(); time.Sleep(2 * testSpan) }, 4},
		"RequestsAtOnce":  {func(w *Window) { count(w, 50) }, 11},
		"RequestsLapse":   {func(w *Window) { count(w, 50); time.Sleep(11 * time.Second) }, 4},
		"LongPause":       {func(w *Window) { count(w, 50); time.Sleep(time.Hour) }, 4},
		"SpentLapse":      {func(w *Window) { count(w, 5); w.Spend(); time.Sleep(11 * time.Second) }, 4},
		"SpentDoesNotYet": {func(w *Window) { count(w, 10); w.Spend(); time.Sleep(9 * time.Second) }, 4},
		"Refunded":        {func(w *Window) { count(w, 50); w.Spend(); w.Refund() }, 11},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWindow(4)
				tt.before(w)
				spent := 0
				for w.Spend() {
					spent++
				}
				must.Eq(t, tt.want, spent)
			})
		})
	}
}
