package snipeadapter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
)

// caller is a kind of requests in a peak: arrivals per second of one workspace and priority.
type caller struct {
	workspace string
	priority  int
	perSecond float64
}

// targets are the latency targets by priority; deadlines are deadlineTargets times as long.
var targets = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}

const deadlineTargets = 2

// tally counts how the requests of a kind ended. longest is the longest wait beyond a deadline.
type tally struct {
	inTime, late, refused, displaced, expired int
	overdue                                   time.Duration
}

func (t *tally) add(o tally) {
	t.inTime, t.late, t.refused = t.inTime+o.inTime, t.late+o.late, t.refused+o.refused
	t.displaced, t.expired, t.overdue = t.displaced+o.displaced, t.expired+o.expired, max(t.overdue, o.overdue)
}

// share returns the share of requests whose load ended before their target.
func (t tally) share() float64 {
	return float64(t.inTime) / float64(t.inTime+t.late+t.refused+t.displaced+t.expired)
}

// runRequest requests a load and returns how the request ended.
func runRequest(ctx context.Context, c *snipeadapter.Controller, n int, k caller, plain bool) tally {
	target := targets[k.priority]
	d := snipeadapter.Demand{
		MaxWait: target, Priority: k.priority, Workspace: k.workspace, Target: target, Deadline: deadlineTargets * target,
	}
	if plain {
		d = within(target)
	}
	ctx, cancel := context.WithTimeout(ctx, deadlineTargets*target)
	defer cancel()
	begun := time.Now()
	_, err := c.Ensure(ctx, "e1", adapter(n), 0, d)
	waited := time.Since(begun)
	result := tally{overdue: max(waited-deadlineTargets*target, 0)}
	var busy *snipeadapter.BusyError
	switch {
	case err == nil && waited <= target:
		result.inTime = 1
	case err == nil:
		result.late = 1
	case errors.As(err, &busy) && waited == 0:
		result.refused = 1
	case errors.As(err, &busy):
		result.displaced = 1
	default:
		result.expired = 1
	}
	return result
}

// peak sends the requests of callers to one engine for a time, each for another adapter, and returns
// how they ended. With plain, the requests state no more than how long they wait, which gives the
// order of loads without priorities and workspaces.
func peak(t *testing.T, seed uint64, length time.Duration, plain bool, callers ...caller) map[caller]tally {
	results := map[caller]tally{}
	runSimulation(t, seed, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		e.storeTime = 290 * time.Millisecond
		var lock sync.Mutex
		var all sync.WaitGroup
		next := 0
		end := time.Now().Add(length)
		for n, k := range callers {
			r := rand.New(rand.NewPCG(seed, uint64(n)))
			all.Go(func() {
				for time.Now().Before(end) {
					time.Sleep(time.Duration(r.ExpFloat64() / k.perSecond * float64(time.Second)))
					lock.Lock()
					next++
					id := next
					lock.Unlock()
					all.Go(func() {
						result := runRequest(t.Context(), c, id, k, plain)
						lock.Lock()
						defer lock.Unlock()
						sum := results[k]
						sum.add(result)
						results[k] = sum
					})
				}
			})
		}
		all.Wait()
		must.False(t, e.exceededSlots())
	})
	return results
}

// byPriority sums results by priority.
func byPriority(results map[caller]tally) [3]tally {
	var sums [3]tally
	for k, r := range results {
		sums[k.priority].add(r)
	}
	return sums
}

// TestLoadPriorities guards against urgent requests whose adapter loads are put behind those of less
// urgent ones. It answers a peak in which two workspaces send requests of three priorities for twice
// as many adapters as an engine can load (6.9 a second). The requests of priority 0 alone need less
// than half of this. Nobody may wait beyond its deadline.
func TestLoadPriorities(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var callers []caller
			for _, w := range []string{"w1", "w2"} {
				callers = append(callers, caller{w, 0, 1.2}, caller{w, 1, 2}, caller{w, 2, 3.5})
			}
			before := byPriority(peak(t, seed, time.Minute, true, callers...))
			after := byPriority(peak(t, seed, time.Minute, false, callers...))
			t.Logf("without priorities: %+v", before)
			t.Logf("with priorities:    %+v", after)
			must.GreaterEq(t, max(0.6, 4*before[0].share()), after[0].share())
			for _, sum := range after {
				must.Eq(t, 0, sum.overdue)
			}
		})
	}
}

// TestLoadFairness guards against a workspace that sends eight times its usual requests, within its
// quota, taking the loads of the others. It answers a peak in which four workspaces need 0.6 of
// what an engine can load, and one of them then eight times its part. The others must get in time at
// least 0.9 of what they get without it.
func TestLoadFairness(t *testing.T) {
	const usual = 1.0
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run := func(plain bool, factor float64) (others tally) {
				callers := []caller{{"w0", 1, factor * usual}, {"w1", 1, usual}, {"w2", 1, usual}, {"w3", 1, usual}}
				for k, r := range peak(t, seed, time.Minute, plain, callers...) {
					if k.workspace != "w0" {
						others.add(r)
					}
				}
				return others
			}
			usually, flooded := run(false, 1), run(false, 8)
			t.Logf("order without workspaces: usual %+v, with eight times %+v", run(true, 1), run(true, 8))
			t.Logf("fair order:               usual %+v, with eight times %+v", usually, flooded)
			must.GreaterEq(t, 0.9*usually.share(), flooded.share())
			must.Eq(t, 0, flooded.overdue)
		})
	}
}
