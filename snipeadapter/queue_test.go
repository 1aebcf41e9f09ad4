package snipeadapter_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
)

// outcome is how one request for a load ended, and after which time.
type outcome struct {
	err  error
	took time.Duration
}

// request starts a request for a load and returns where its outcome will be.
func request(ctx context.Context, c *snipeadapter.Controller, all *sync.WaitGroup, n int, d snipeadapter.Demand) *outcome {
	o := &outcome{}
	begun := time.Now()
	all.Go(func() {
		_, o.err = c.Ensure(ctx, "e1", adapter(n), 0, d)
		o.took = time.Since(begun)
	})
	synctest.Wait()
	return o
}

// freeze makes the engine answer no more orders.
func (f *fakeEngine) freeze() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lost = 1
}

// fillStore starts as many loads from the store as an engine runs at once.
func fillStore(ctx context.Context, c *snipeadapter.Controller, all *sync.WaitGroup) {
	for n := range 2 {
		request(ctx, c, all, 90+n, within(time.Minute))
	}
}

// TestDisplacedLoad guards against a less urgent request that learns only at its deadline that urgent
// ones have taken its place, against one that has enough time being refused, and against a retry
// time that lies in the past.
func TestDisplacedLoad(t *testing.T) {
	tests := map[string]struct {
		urgent    int
		deadline  time.Duration
		target    time.Duration
		displaced bool
	}{
		"OneUrgent":    {1, 1200 * time.Millisecond, 0, false},
		"ManyUrgent":   {6, 1200 * time.Millisecond, 0, true},
		"LongDeadline": {6, 10 * time.Second, 0, true},
		"LongTarget":   {6, 10 * time.Second, 10 * time.Second, false},
		"NoDeadline":   {6, 0, 0, false},
		"NearDeadline": {0, 550 * time.Millisecond, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 20, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				refusals := map[int]int{}
				c.Refused = func(priority int, _ bool) { refusals[priority]++ }
				var all sync.WaitGroup
				fillStore(t.Context(), c, &all)
				low := request(t.Context(), c, &all, 50, snipeadapter.Demand{MaxWait: time.Second, Priority: 2, Target: tt.target, Deadline: tt.deadline})
				for n := range tt.urgent {
					request(t.Context(), c, &all, n, snipeadapter.Demand{MaxWait: 5 * time.Second, Target: 5 * time.Second})
				}
				all.Wait()
				var busy *snipeadapter.BusyError
				must.Eq(t, tt.displaced, errors.As(low.err, &busy))
				if !tt.displaced {
					must.NoError(t, low.err)
					must.MapEmpty(t, refusals)
					return
				}
				must.Eq(t, 0, low.took)
				must.Greater(t, time.Second, busy.Wait)
				must.Greater(t, 0, busy.RetryAfter)
				must.Eq(t, map[int]int{2: 1}, refusals)
			})
		})
	}
}

// TestUrgentLoadsFirst guards against the load for an urgent request being put behind those for less
// urgent ones, also if the urgent request joins a load that is already queued, and against an older
// instance's request, which states no priority, being put behind less urgent ones.
func TestUrgentLoadsFirst(t *testing.T) {
	tests := map[string]struct {
		adapter int
		demand  snipeadapter.Demand
	}{
		"Own":           {60, snipeadapter.Demand{MaxWait: time.Minute}},
		"Joins":         {54, snipeadapter.Demand{MaxWait: time.Minute, Priority: 0}},
		"LessUrgent":    {60, snipeadapter.Demand{MaxWait: time.Minute, Priority: 1, Workspace: "w"}},
		"Nonsense":      {60, snipeadapter.Demand{MaxWait: time.Minute, Priority: -7, PromptTokens: -1}},
		"OlderInstance": {60, within(time.Minute)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 21, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				var all sync.WaitGroup
				fillStore(t.Context(), c, &all)
				for n := range 6 {
					request(t.Context(), c, &all, 50+n, snipeadapter.Demand{MaxWait: time.Minute, Priority: 2, Workspace: "w"})
				}
				o := request(t.Context(), c, &all, tt.adapter, tt.demand)
				all.Wait()
				must.NoError(t, o.err)
				must.Less(t, 2*storeLoadTime+100*time.Millisecond, o.took)
			})
		})
	}
}

// TestEngineStuckWhileLoadsWait guards against loads that wait behind others that do not end, on a
// frozen engine, hearing so only at their deadline, and against a request that waits beyond it.
func TestEngineStuckWhileLoadsWait(t *testing.T) {
	runSimulation(t, 22, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		const deadline = 1500 * time.Millisecond
		var all sync.WaitGroup
		_, err := c.Ensure(t.Context(), "e1", adapter(0), 0, within(longWait))
		must.NoError(t, err)
		e.freeze()
		fillStore(t.Context(), c, &all)
		waiting := request(t.Context(), c, &all, 50, snipeadapter.Demand{MaxWait: time.Second, Deadline: deadline})
		loading := request(t.Context(), c, &all, 90, snipeadapter.Demand{MaxWait: time.Second, Deadline: deadline})
		all.Wait()
		var busy *snipeadapter.BusyError
		must.True(t, errors.As(waiting.err, &busy))
		must.Less(t, time.Second-storeLoadTime+50*time.Millisecond, waiting.took)
		must.ErrorIs(t, loading.err, context.DeadlineExceeded)
		must.Eq(t, deadline, loading.took)
	})
}

// TestOwnerLostWhileLoadsWait guards against requests that stay in the queue of an owner that has
// lost the right to order the engine: all of them must end, none beyond its deadline.
func TestOwnerLostWhileLoadsWait(t *testing.T) {
	runSimulation(t, 23, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		var lost atomic.Bool
		c.Fence = func(netip.AddrPort) (uint64, bool) { return 1, !lost.Load() }
		var all sync.WaitGroup
		fillStore(t.Context(), c, &all)
		var waiting []*outcome
		for n := range 4 {
			waiting = append(waiting, request(t.Context(), c, &all, n, snipeadapter.Demand{
				MaxWait: 3 * time.Second, Priority: n % 3, Workspace: "w", Deadline: 3 * time.Second,
			}))
		}
		lost.Store(true)
		all.Wait()
		for _, o := range waiting {
			must.ErrorIs(t, o.err, snipeadapter.ErrNotOwner)
			must.Less(t, 3*time.Second, o.took)
		}
	})
}

// TestVersionsWaitInQueue guards against a load that waits for another version of its adapter losing
// its waiters or its place for ever.
func TestVersionsWaitInQueue(t *testing.T) {
	runSimulation(t, 24, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		c.PreviouslyHeld = func(_ string, a snipecatalog.Adapter) bool { return a == adapter(1) }
		var all sync.WaitGroup
		first := request(t.Context(), c, &all, 1, within(time.Minute))
		all.Go(func() {
			version, err := c.Ensure(t.Context(), "e1", adapter(1), 2, snipeadapter.Demand{MaxWait: time.Minute, Priority: 1, Deadline: 5 * time.Second})
			must.NoError(t, err)
			must.Eq(t, 2, version)
		})
		all.Wait()
		must.NoError(t, first.err)
		must.Eq(t, 0, c.Waiting())
	})
}
