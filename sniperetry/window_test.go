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
			w.CountRequest(time.Now())
			budget.Earn("")
			time.Sleep(time.Second / 11)
		}
		windowRetries, budgetRetries := 0, 0
		for range 8 {
			if w.Reserve() && w.Spend() {
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

// TestWindowNeverExceeds guards against retries beyond the bound with random traffic and failures.
// For each retry it counts the retries in the span that ends with it. They must not exceed the slack
// plus the share of the requests in that span. If the span that ended half its length earlier has
// more requests, those count instead.
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
				w.CountRequest(time.Now())
				for r.Float64() < failing && w.Reserve() && w.Spend() {
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

// spend spends retries until none is left, and returns their number.
func spend(w *Window) int {
	n := 0
	for w.Reserve() && w.Spend() {
		n++
	}
	return n
}

// TestWindowEdges guards against wrong counts at the edges: requests and retries that leave the window,
// reservations, and refunds. All requests are sent at the start; 50 of them permit ten retries, a quarter of
// them in spans that contain the requests and the rest in spans that begin up to 5 s later.
func TestWindowEdges(t *testing.T) {
	count := func(w *Window, n int) {
		for range n {
			w.CountRequest(time.Now())
		}
		time.Sleep(time.Second)
	}
	tests := map[string]struct {
		before func(w *Window)
		want   int
	}{
		"Slack":            {func(*Window) {}, 4},
		"SlackOver":        {func(w *Window) { w.Slack = func() float64 { return 0 } }, 0},
		"Requests":         {func(w *Window) { count(w, 50) }, 6},
		"RequestsLapse":    {func(w *Window) { count(w, 50); time.Sleep(5 * time.Second) }, 4},
		"LongPause":        {func(w *Window) { count(w, 50); time.Sleep(time.Hour) }, 4},
		"LateRequest":      {func(w *Window) { w.CountRequest(time.Now().Add(-time.Hour)) }, 4},
		"SpentLapses":      {func(w *Window) { w.Reserve(); w.Spend(); time.Sleep(11 * time.Second) }, 4},
		"SpentDoesNotYet":  {func(w *Window) { w.Reserve(); w.Spend(); time.Sleep(9 * time.Second) }, 3},
		"Reserved":         {func(w *Window) { w.Reserve() }, 3},
		"ReservedForLong":  {func(w *Window) { w.Reserve(); time.Sleep(time.Hour) }, 3},
		"Released":         {func(w *Window) { w.Reserve(); w.Release() }, 4},
		"SpentWhenSent":    {func(w *Window) { w.Reserve(); time.Sleep(9 * time.Second); w.Spend(); time.Sleep(9 * time.Second) }, 3},
		"Refunded":         {func(w *Window) { w.Reserve(); w.Spend(); w.Refund() }, 4},
		"RefundedTooLate":  {func(w *Window) { w.Reserve(); w.Spend(); time.Sleep(time.Second); w.Refund() }, 3},
		"SlackEndsBetween": {func(w *Window) { w.Reserve(); w.Slack = func() float64 { return 0 } }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWindow(4)
				tt.before(w)
				must.Eq(t, float64(tt.want), w.Left())
				must.Eq(t, tt.want, spend(w))
			})
		})
	}
}

// TestReservedRetryChecked guards against a retry that waited after its reservation, for an adapter or a
// permit, and is sent although the budget has shrunk below it in the meantime.
func TestReservedRetryChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slack := 1.0
		w := &Window{Slack: func() float64 { return slack }, Span: testSpan}
		must.True(t, w.Reserve())
		slack = 0
		must.False(t, w.Spend())
		slack = 1
		must.Eq(t, 1, spend(w))
	})
}

// TestDelayCovered guards against a bound that holds only at the moment of the decision: a request may
// have been sent, and a retry may arrive, up to Delay from then.
func TestDelayCovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWindow(1)
		w.Delay = time.Second
		must.Eq(t, 1, spend(w))
		time.Sleep(testSpan + w.Delay/2) // the first retry may have arrived half a second ago
		must.Eq(t, 0, spend(w))
		time.Sleep(w.Delay)
		must.Eq(t, 1, spend(w))
	})
}
