package sniperetry_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/sniperetry"
)

// previousWindow is the bound that each instance kept before: 0.85 of the share of its requests of the
// last span and of its part of the slack. It is the reference for how many retries callers get.
type previousWindow struct {
	part              float64
	requests, retries []time.Time
}

func (w *previousWindow) lapse() {
	from := time.Now().Add(-sumSpan)
	for len(w.requests) > 0 && w.requests[0].Before(from) {
		w.requests = w.requests[1:]
	}
	for len(w.retries) > 0 && w.retries[0].Before(from) {
		w.retries = w.retries[1:]
	}
}

func (w *previousWindow) countRequest() {
	w.lapse()
	w.requests = append(w.requests, time.Now())
}

func (w *previousWindow) spend() bool {
	w.lapse()
	if float64(len(w.retries)+1) > 0.85*(sumShare*float64(len(w.requests))+w.part) {
		return false
	}
	w.retries = append(w.retries, time.Now())
	return true
}

// TestRetriesOfCalmDay guards against a bound that is kept at the cost of callers: nothing happens to the
// instances, one of three upstreams fails its requests from second 15 on, for 30 s, and as many callers as
// before are served by a second attempt. Each instance gets as many requests of a service per second as
// the instances of the customers' deployments of that size.
func TestRetriesOfCalmDay(t *testing.T) {
	tests := map[string]struct {
		instances int
		rate      float64 // requests per second and instance
	}{
		"Seven": {7, 9}, "SevenBusy": {7, 25}, "SixtySix": {66, 4}, "SixtySixBusy": {66, 16},
		"LargeSeldom": {195, 1.4}, "Large": {195, 4}, "Design": {340, 4.6}, "DesignBusy": {340, 13},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				p := newCalmDay(tt.instances)
				for start := time.Now(); time.Since(start) < 45*time.Second; {
					time.Sleep(time.Duration(p.random.ExpFloat64() / (tt.rate * float64(tt.instances)) * float64(time.Second)))
					p.request(time.Since(start) > 15*time.Second && p.random.IntN(3) == 0)
				}
				t.Logf("%d of %d requests that failed are sent again, %d before", p.sent, p.failed, p.sentBefore)
				must.LessEq(t, p.sent, p.sentBefore)
			})
		})
	}
}

// calmDay compares the windows of instances to which nothing happens with the previous ones.
type calmDay struct {
	random   *rand.Rand
	windows  []*sniperetry.Window
	previous []*previousWindow
	// failed counts the requests that failed, sent those that were then sent again, and sentBefore those
	// that the previous windows would have sent again.
	failed, sent, sentBefore int
}

func newCalmDay(instances int) *calmDay {
	p := &calmDay{random: rand.New(rand.NewPCG(1, 49))}
	part := sumSlacks[instances] / float64(instances)
	for range instances {
		p.windows = append(p.windows, &sniperetry.Window{
			Share: sumShare, Span: sumSpan, Delay: sumDelay, Slack: func() float64 { return part },
		})
		p.previous = append(p.previous, &previousWindow{part: part})
	}
	return p
}

// request sends a request to a random instance.
func (p *calmDay) request(fails bool) {
	n := p.random.IntN(len(p.windows))
	p.windows[n].CountRequest(time.Now())
	p.previous[n].countRequest()
	if !fails {
		return
	}
	p.failed++
	if p.windows[n].Reserve() && p.windows[n].Spend() {
		p.sent++
	}
	if p.previous[n].spend() {
		p.sentBefore++
	}
}
