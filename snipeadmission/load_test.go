package snipeadmission_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
)

// Load patterns, as factors of the capacity.
func steady(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// wave swings by 0.55 in a period of 15 s.
func wave(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return mean * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15)) }
}

// bursts are 1.4 times the base for 5 s of each 10 s.
func bursts(base float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%(10*time.Second) < 5*time.Second {
			return base
		}
		return 1.4 * base
	}
}

// simulate runs a load pattern against a Coordinator and checks that no permit is left over.
func simulate(t *testing.T, seed uint64, pattern func(time.Duration) float64, prepare func(*simulation, *snipeadmission.Coordinator)) (*simulation, *snipeadmission.Coordinator) {
	s := newSimulation(seed)
	capacity := s.capacity()
	s.rate = func(at time.Duration) float64 { return capacity * pattern(at) }
	c := &snipeadmission.Coordinator{Upstreams: s.upstreams, Lifetime: lifetime}
	s.admit = by(c)
	if prepare != nil {
		prepare(s, c)
	}
	s.run()
	time.Sleep(2 * lifetime)
	synctest.Wait()
	must.Zero(t, c.Stats().PermitsOut)
	must.Zero(t, c.Stats().Waiting)
	return s, c
}

// TestBelowCapacity guards against requests that miss their deadline although there is capacity, and
// against upstreams that get more than they have room for. The load reaches 0.9 of the capacity.
func TestBelowCapacity(t *testing.T) {
	tests := map[string]struct {
		pattern func(time.Duration) float64
		noPace  bool
	}{
		"Steady": {pattern: steady(0.9)},
		"NoPace": {pattern: steady(0.9), noPace: true},
		"Wave":   {pattern: wave(0.9 / 1.55)},
		"Bursts": {pattern: bursts(0.9 / 1.4)},
	}
	for name, test := range tests {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, _ := simulate(t, seed, test.pattern, func(s *simulation, _ *snipeadmission.Coordinator) { s.noPace = test.noPace })
					x := s.summary(all)
					t.Logf("%+v", x)
					must.GreaterEq(t, 0.99, x.inDeadline)
					must.LessEq(t, 0.02, x.turnedAway)
				})
			})
		}
	}
}

// TestAboveCapacity guards against requests that are all a little late instead of some in time,
// against refusals after a wait, against upstreams that are sent more than they have room for, and
// against callers that come back at the named time and are refused again. The load exceeds the
// capacity for seconds, because it grows or because upstreams leave or slow down.
func TestAboveCapacity(t *testing.T) {
	leave := func(s *simulation, id int, at time.Duration) {
		time.AfterFunc(at, func() {
			v := s.servers[id]
			v.lock.Lock()
			v.gone = true
			v.lock.Unlock()
		})
	}
	tests := map[string]struct {
		pattern  func(time.Duration) float64
		prepare  func(*simulation)
		from, to time.Duration // the part of the run that is above capacity
	}{
		"Steady":  {pattern: steady(1.2)},
		"Much":    {pattern: steady(1.6), to: 10 * time.Second},
		"NoPace":  {pattern: steady(1.2), prepare: func(s *simulation) { s.noPace = true }, to: 10 * time.Second},
		"Wave":    {pattern: wave(0.9), from: 2 * time.Second, to: 6 * time.Second},
		"Bursts":  {pattern: bursts(0.95), from: 6 * time.Second, to: 10 * time.Second},
		"Leaving": {pattern: steady(0.9), prepare: func(s *simulation) { leave(s, 0, 5*time.Second); leave(s, 1, 12*time.Second) }, from: 6 * time.Second},
		"Slower":  {pattern: steady(0.9), prepare: func(s *simulation) { s.slower(0, 4, 5*time.Second) }, from: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := simulate(t, 1, test.pattern, func(s *simulation, _ *snipeadmission.Coordinator) {
					s.returns = true
					if test.to > 0 {
						s.length = test.to
					}
					if test.prepare != nil {
						test.prepare(s)
					}
				})
				if test.to == 0 {
					test.to = s.length
				}
				x := s.summary(func(o outcome) bool { return o.at >= test.from && o.at < test.to })
				t.Logf("%+v", x)
				must.GreaterEq(t, 0.9, x.inTargetOfServed)
				must.LessEq(t, 0.02, x.turnedAway)
				must.LessEq(t, 0.1, x.afterWait)
				must.LessEq(t, target, x.longest)
			})
		})
	}
}

// TestNamedTimes guards against named times at which returning callers are refused again. The load is
// half the capacity, with 600 requests at once that have 5 s left, and then the return of those of
// them that were told a time within a third of that.
func TestNamedTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := simulate(t, 1, steady(0.5), func(s *simulation, _ *snipeadmission.Coordinator) {
			s.length, s.returns = 6*time.Second, true
			rate := s.rate
			atOnce := func(at time.Duration) bool { return at > time.Second && at < time.Second+10*time.Millisecond }
			s.rate = func(at time.Duration) float64 {
				if atOnce(at) {
					return 60_000
				}
				return rate(at)
			}
			s.shape = func(_ int, at time.Duration, r *snipeadmission.Request) {
				if atOnce(at) {
					r.Deadline = time.Now().Add(5 * time.Second)
				}
			}
		})
		x := s.summary(all)
		t.Logf("%+v", x)
		must.GreaterEq(t, 100, x.returned)
		must.GreaterEq(t, 0.99, x.firstReturn)
	})
}

// TestComparison guards against a Coordinator with which fewer requests meet their target than without
// a queue, or with a Pacer for each instance.
func TestComparison(t *testing.T) {
	alternatives := map[string]func(*simulation) admission{"in turn": tryInTurn, "pacer": pacers}
	for _, share := range []float64{0.9, 1.2} {
		inTarget := func(name string) float64 {
			var x summary
			synctest.Test(t, func(t *testing.T) {
				s, _ := simulate(t, 1, steady(share), func(s *simulation, _ *snipeadmission.Coordinator) {
					s.returns, s.length = true, 6*time.Second
					if alternatives[name] != nil {
						s.admit = alternatives[name](s)
					}
				})
				x = s.summary(all)
				t.Logf("%s at %v: %+v", name, share, x)
			})
			return x.inTarget
		}
		best := inTarget("coordinator")
		for name := range alternatives {
			must.Greater(t, inTarget(name), best)
		}
	}
}

// TestFairness guards against a workspace that takes the share of the others: it sends eight times its
// usual traffic, and the others are compared with a run without it.
func TestFairness(t *testing.T) {
	const workspaces = 10
	served := func(greedy float64) map[string][2]float64 {
		got := map[string][2]float64{}
		synctest.Test(t, func(t *testing.T) {
			each := 0.7 / workspaces
			others := each * (workspaces - 1)
			s, _ := simulate(t, 1, steady(others+greedy*each), func(s *simulation, _ *snipeadmission.Coordinator) {
				s.shape = func(n int, _ time.Duration, r *snipeadmission.Request) {
					r.Workspace = fmt.Sprint(n % (workspaces - 1))
					// The greedy workspace sends greedy of each workspaces-1+greedy requests.
					if period := workspaces - 1 + greedy; math.Mod(float64(n), period) < greedy {
						r.Workspace = "greedy"
					}
				}
			})
			for _, o := range s.outcomes {
				x := got[o.request.Workspace]
				x[0]++
				if o.served && o.took <= target {
					x[1]++
				}
				got[o.request.Workspace] = x
			}
		})
		return got
	}
	without, with := served(0), served(8)
	for name, x := range without {
		alone, beside := x[1]/x[0], with[name][1]/with[name][0]
		t.Logf("%s: %.4f alone, %.4f beside the greedy one", name, alone, beside)
		must.GreaterEq(t, 0.9*alone, beside)
	}
	must.Greater(t, 0.3, with["greedy"][1]/with["greedy"][0])
}

// TestFaults guards against slots that are lost for longer than the lifetime of a permit when
// instances die, are cut off or freeze while they hold permits, and against harm to the requests of
// the other instances. Of 80 instances ten die, ten are cut off for 3 s and ten freeze.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expired, late int
		s, c := simulate(t, 1, steady(0.8), func(s *simulation, c *snipeadmission.Coordinator) {
			s.fault = func(instance int, at time.Duration) fault {
				faults := []fault{dead, cutOff, frozen}
				if instance >= 10*len(faults) {
					return healthy
				}
				f, begins := faults[instance/10], time.Duration(4+4*(instance/10))*time.Second
				switch {
				case at < begins, f != dead && at > begins+3*time.Second:
					return healthy
				case at < begins+100*time.Millisecond:
					return f
				}
				return absent
			}
			granted := map[uint64]time.Time{}
			c.OnDecision = func(d snipeadmission.Decision) {
				s.lock.Lock()
				defer s.lock.Unlock()
				switch d.Event {
				case snipeadmission.EventGranted:
					granted[d.Permit.ID] = time.Now()
				case snipeadmission.EventExpired:
					expired++
					if time.Since(granted[d.Permit.ID]) > lifetime {
						late++
					}
				}
			}
		})
		must.Positive(t, expired)
		must.Zero(t, late)
		must.Eq(t, uint64(expired), c.Stats().Expired)
		x := s.summary(func(o outcome) bool { return o.request.Instance >= instanceName(30) })
		t.Logf("%+v", x)
		must.GreaterEq(t, 0.99, x.inDeadline)
		must.LessEq(t, 0.02, x.turnedAway)
	})
}
