package sniperetry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/sniperetry"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	// sumDelay is the Delay of the windows, and the longest time that requests and retries take.
	sumDelay = 200 * time.Millisecond
	// sumLength is how long requests are sent.
	sumLength = 40 * time.Second
	// sumTick is the time between two steps of a run.
	sumTick = 20 * time.Millisecond
)

// sumShare and sumSpan are the customers' bounds; they declare about these slacks, by the number of
// instances.
const (
	sumShare = 0.2
	sumSpan  = 10 * time.Second
)

var sumSlacks = map[int]float64{7: 54, 66: 202, 195: 430, 340: 750}

// sumRun is a run of many instances, each with a window of its own. All requests fail for a time, and
// each of these may be retried once.
type sumRun struct {
	bound   snipestand.RetryBound
	random  *rand.Rand
	windows []*sniperetry.Window
	// weights are the instances' fractions of the requests.
	weights []float64
	// requests and retries are the times at callers and at upstreams.
	requests, retries []time.Time
}

// newWindow returns the window of an instance that has just started. As the division of the slack
// requires, its part is not in force before no retry of a predecessor lies in the same span.
func (s *sumRun) newWindow(first bool) *sniperetry.Window {
	part := s.bound.Slack / float64(len(s.windows))
	started := time.Now()
	return &sniperetry.Window{
		Share: s.bound.Share, Span: s.bound.Span, Delay: sumDelay,
		Slack: func() float64 {
			if !first && time.Since(started) <= s.bound.Span+sumDelay {
				return 0
			}
			return part
		},
	}
}

// spread gives the requests to a random number of instances, with random weights.
func (s *sumRun) spread() {
	some := 1 + s.random.IntN(len(s.weights))
	for n := range s.weights {
		s.weights[n] = 0
		if n < some {
			s.weights[n] = s.random.ExpFloat64()
		}
	}
	s.random.Shuffle(len(s.weights), func(a, b int) { s.weights[a], s.weights[b] = s.weights[b], s.weights[a] })
}

// draw returns an instance by weight.
func (s *sumRun) draw() int {
	sum := 0.0
	for _, w := range s.weights {
		sum += w
	}
	at := s.random.Float64() * sum
	for n, w := range s.weights {
		if at -= w; at < 0 {
			return n
		}
	}
	return len(s.weights) - 1
}

// delay returns a random time up to sumDelay, mostly short.
func (s *sumRun) delay() time.Duration {
	f := s.random.Float64()
	return time.Duration(f * f * f * float64(sumDelay))
}

// step sends the requests of one tick. Each fails with the given probability and is then retried once,
// if the window allows it.
func (s *sumRun) step(perSecond, failing float64) {
	for range int(perSecond*sumTick.Seconds() + s.random.Float64()) {
		now, w := time.Now(), s.windows[s.draw()]
		s.requests = append(s.requests, now.Add(-s.delay()))
		w.CountRequest(now)
		if s.random.Float64() < failing && w.Reserve() && w.Spend() {
			s.retries = append(s.retries, now.Add(s.delay()))
		}
	}
}

// worst returns the window in which the retries of all instances were closest to the bound.
func (s *sumRun) worst() snipestand.RetryWindow {
	slices.SortFunc(s.requests, time.Time.Compare)
	slices.SortFunc(s.retries, time.Time.Compare)
	return s.bound.Worst(s.requests, s.retries)
}

// TestWindowsAddUp guards against instances that together send more retries than the bound allows,
// because requests move among them, their rate changes, or some are killed and start again with empty
// windows, while requests and retries take up to Delay.
func TestWindowsAddUp(t *testing.T) {
	for instances, slack := range sumSlacks {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(12) {
				synctest.Test(t, func(t *testing.T) {
					s := &sumRun{
						bound:   snipestand.RetryBound{Share: sumShare, Slack: slack, Span: sumSpan},
						random:  rand.New(rand.NewPCG(seed, 49)),
						windows: make([]*sniperetry.Window, instances),
						weights: make([]float64, instances),
					}
					for n := range s.windows {
						s.windows[n] = s.newWindow(true)
					}
					s.spread()
					perSecond, failing := 200.0, 0.0
					for end := time.Now().Add(sumLength); time.Now().Before(end); time.Sleep(sumTick) {
						switch s.random.IntN(150) {
						case 0:
							s.spread()
						case 1:
							perSecond = 1000 * s.random.Float64() * s.random.Float64()
						case 2:
							failing = s.random.Float64()
						case 3:
							failing = 1
						case 4:
							first := s.random.IntN(instances)
							for n := first; n < instances; n++ {
								s.windows[n] = s.newWindow(false)
							}
						}
						s.step(perSecond, failing)
					}
					worst := s.worst()
					must.LessEq(t, 1, worst.Use(), must.Sprint("seed ", seed, ": ", worst))
				})
			}
		})
	}
}
