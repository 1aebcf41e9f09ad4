package snipeadapter_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	model         = "base"
	slots         = 6
	storeLoadTime = 250 * time.Millisecond
	reportLag     = 200 * time.Millisecond
	reloadTime    = 25 * time.Millisecond
)

// fakeEngine executes orders as engines do: each order states the number of orders before it, loads
// take time, and a load beyond the number of slots crashes the engine. While it has no base model, it
// accepts orders for adapters and lists none.
type fakeEngine struct {
	lock     sync.Mutex
	rand     *rand.Rand
	models   []string
	orders   uint64
	held     map[snipecatalog.Adapter]int64
	loading  map[snipecatalog.Adapter]int64
	inMemory map[snipecatalog.Adapter]bool
	// newest are the announced versions; a load that states no version gets the newest.
	newest map[snipecatalog.Adapter]int64
	// lost is the fraction of orders that get no answer, late the fraction of the lost ones that
	// are executed seconds later.
	lost, late float64
	crashed    bool
	loads      int
	// storeTime is the time of a load from the store; zero for storeLoadTime.
	storeTime time.Duration
	start     int64
	report    snipeadapter.Report
}

func newFakeEngine(seed uint64) *fakeEngine {
	return &fakeEngine{
		rand: rand.New(rand.NewPCG(seed, 7)), models: []string{model},
		held: map[snipecatalog.Adapter]int64{}, loading: map[snipecatalog.Adapter]int64{},
		inMemory: map[snipecatalog.Adapter]bool{}, newest: map[snipecatalog.Adapter]int64{},
	}
}

func (f *fakeEngine) order(ctx context.Context, _ *snipedirectory.Upstream, o snipeadapter.Order) (snipeadapter.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	lost, late := f.rand.Float64() < f.lost, f.rand.Float64() < f.late
	delay := time.Duration(2000+f.rand.IntN(10000)) * time.Millisecond
	f.lock.Unlock()
	if !lost {
		return f.execute(o), nil
	}
	if late {
		time.AfterFunc(delay, func() { f.execute(o) })
	} else {
		f.execute(o)
	}
	<-ctx.Done()
	return snipeadapter.Unanswered, ctx.Err()
}

func (f *fakeEngine) execute(o snipeadapter.Order) snipeadapter.Reply {
	f.lock.Lock()
	defer f.lock.Unlock()
	if o.Expect != f.orders {
		return snipeadapter.Conflict
	}
	version, held := f.held[o.Adapter]
	if o.Action == snipeadapter.Unload {
		if held {
			delete(f.held, o.Adapter)
			f.orders++
		}
		return snipeadapter.Holds
	}
	target := o.Version
	if target == 0 {
		target = max(f.newest[o.Adapter], 1)
	}
	if held && version == target || f.holdsModel(o) {
		return snipeadapter.Holds
	}
	if f.loading[o.Adapter] == target {
		return snipeadapter.Taken
	}
	f.orders++
	f.loading[o.Adapter] = target
	f.loads++
	f.crashed = f.crashed || f.slotsTaken() > slots
	delay := cmp.Or(f.storeTime, storeLoadTime)
	if f.inMemory[o.Adapter] {
		delay = reloadTime
	}
	start := f.start
	time.AfterFunc(delay, func() { f.finishLoad(o.Adapter, target, start) })
	return snipeadapter.Taken
}

// finishLoad ends a load, unless the engine has started again since it began.
func (f *fakeEngine) finishLoad(a snipecatalog.Adapter, version, start int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.start != start {
		return
	}
	delete(f.loading, a)
	if a.Name == "" {
		f.models = append(f.models, a.Model)
		return
	}
	f.held[a], f.inMemory[a] = version, true
}

// holdsModel reports whether an order names a base model that the engine holds. The lock is held.
func (f *fakeEngine) holdsModel(o snipeadapter.Order) bool {
	return o.Adapter.Name == "" && slices.Contains(f.models, o.Adapter.Model)
}

// slotsTaken returns how many slots the adapters take that are held or loading. The lock is held.
func (f *fakeEngine) slotsTaken() int {
	taken := len(f.held) + len(f.loading)
	if f.loading[snipecatalog.Adapter{Model: model}] != 0 {
		taken-- // the base model takes none
	}
	return taken
}

// announce makes a version the newest.
func (f *fakeEngine) announce(a snipecatalog.Adapter, version int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.newest[a] = version
}

// begun returns how many loads have begun.
func (f *fakeEngine) begun() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.loads
}

// outdated returns the adapters that the engine holds in an old version.
func (f *fakeEngine) outdated() []snipecatalog.Adapter {
	f.lock.Lock()
	defer f.lock.Unlock()
	var all []snipecatalog.Adapter
	for a, version := range f.held {
		if version < f.newest[a] {
			all = append(all, a)
		}
	}
	return all
}

// exceededSlots reports whether the engine ever accepted a load with which the adapters that it held
// and those that were loading took more slots than it has.
func (f *fakeEngine) exceededSlots() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.crashed
}

func (f *fakeEngine) setModels(models []string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.models = models
}

// read returns the last published report.
func (f *fakeEngine) read(context.Context, *snipedirectory.Upstream) (snipeadapter.Report, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.report, nil
}

// publish renews the report every reportLag until ctx ends.
func (f *fakeEngine) publish(ctx context.Context) {
	for ctx.Err() == nil {
		f.lock.Lock()
		f.report = f.currentReport()
		f.lock.Unlock()
		time.Sleep(reportLag)
	}
}

// currentReport returns the engine's state. Adapters are listed by base model. The lock is held.
func (f *fakeEngine) currentReport() snipeadapter.Report {
	r := snipeadapter.Report{Start: f.start, Orders: f.orders, Models: append([]string(nil), f.models...)}
	if len(f.models) == 0 {
		return r
	}
	for a, v := range f.held {
		r.Resident = append(r.Resident, snipedirectory.Resident{Adapter: a, Version: v})
	}
	for a, v := range f.loading {
		r.Loading = append(r.Loading, snipedirectory.Resident{Adapter: a, Version: v})
	}
	return r
}

func adapter(n int) snipecatalog.Adapter {
	return snipecatalog.Adapter{Model: model, Name: fmt.Sprint("a", n)}
}

// newController returns a controller of the engine, and a flag that reports whether it may order.
func newController(f *fakeEngine) (controller *snipeadapter.Controller, owns *bool) {
	u := &snipedirectory.Upstream{ID: "e1", Address: netip.MustParseAddrPort("10.9.0.1:80"), Models: f.models}
	mayOrder := true
	return &snipeadapter.Controller{
		Engine:   snipeadapter.Engine{Order: f.order, Report: f.read},
		Fence:    func(netip.AddrPort) (uint64, bool) { return 1, mayOrder },
		Upstream: func(string) *snipedirectory.Upstream { return u },
		Slots:    func(*snipedirectory.Upstream) int { return slots },
		Model:    func(*snipedirectory.Upstream) string { return "" },
		Newest:   func(snipecatalog.Adapter) int64 { return 0 },
		Holder:   "one", Log: snipelog.Discard(),
	}, &mayOrder
}

const longWait = 10 * time.Second

// within returns the demand of a request that accepts a load of at most maxWait and states no more.
func within(maxWait time.Duration) snipeadapter.Demand { return snipeadapter.Demand{MaxWait: maxWait} }

// runSimulation runs f in a synctest bubble with an engine and its controller.
func runSimulation(t *testing.T, seed uint64, f func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, owns *bool)) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine(seed)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { e.publish(ctx) })
		defer func() {
			cancel()
			running.Wait()
			time.Sleep(time.Minute) // lets pending timers and loads end
		}()
		time.Sleep(time.Millisecond)
		c, owns := newController(e)
		f(t, e, c, owns)
	})
}

// TestEnsureOnce checks that all callers that wait for an adapter share one load.
func TestEnsureOnce(t *testing.T) {
	runSimulation(t, 1, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		begun := time.Now()
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() {
				_, err := c.Ensure(t.Context(), "e1", adapter(1), 0, within(longWait))
				must.NoError(t, err)
			})
		}
		all.Wait()
		must.Eq(t, 1, e.begun())
		must.Less(t, 300*time.Millisecond, time.Since(begun))
	})
}

// TestSlotsNeverExceeded guards against a lost or late order filling an engine beyond its slots. It
// requests many adapters of an engine with few slots while orders are lost and delayed. The engine
// must never be ordered to hold more than fits. All requests must succeed if no order is lost, and
// most of them otherwise.
func TestSlotsNeverExceeded(t *testing.T) {
	tests := map[string]struct{ lost, late float64 }{
		"Calm":       {0, 0},
		"Lost":       {0.3, 0},
		"Late":       {0.35, 1},
		"LostOrLate": {0.4, 0.5},
	}
	for name, tt := range tests {
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				runSimulation(t, seed, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
					e.lost, e.late = tt.lost, tt.late
					r := rand.New(rand.NewPCG(seed, 3))
					var all sync.WaitGroup
					failed := 0
					var lock sync.Mutex
					for range 150 {
						a := adapter(r.IntN(20))
						all.Go(func() {
							_, err := c.Ensure(t.Context(), "e1", a, 0, within(time.Minute))
							lock.Lock()
							defer lock.Unlock()
							if err != nil {
								failed++
							}
						})
						time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
					}
					all.Wait()
					must.False(t, e.exceededSlots())
					must.Less(t, 30, failed)
					if tt.lost == 0 {
						must.Eq(t, 0, failed)
					}
				})
			})
		}
	}
}

// TestVersionsWhileLoading guards against a poll that starts a second load. Versions are announced
// during loads, and reach the engine before the controller. No poll may begin a load that has no
// slot, and no old version may remain.
func TestVersionsWhileLoading(t *testing.T) {
	const notifyDelay = 300 * time.Millisecond
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runSimulation(t, seed, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				r := rand.New(rand.NewPCG(seed, 4))
				var lock sync.Mutex
				known := map[snipecatalog.Adapter]int64{}
				c.Newest = func(a snipecatalog.Adapter) int64 {
					lock.Lock()
					defer lock.Unlock()
					return known[a]
				}
				var all sync.WaitGroup
				for n := range 150 {
					a := adapter(r.IntN(20))
					all.Go(func() {
						_, err := c.Ensure(t.Context(), "e1", a, 0, within(time.Minute))
						must.NoError(t, err)
					})
					time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
					if version := int64(n + 2); r.IntN(2) == 0 {
						e.announce(a, version)
						time.AfterFunc(notifyDelay, func() {
							lock.Lock()
							known[a] = version
							lock.Unlock()
							c.Refresh(a, version)
						})
					}
				}
				all.Wait()
				time.Sleep(5 * time.Second)
				must.False(t, e.exceededSlots())
				must.SliceEmpty(t, e.outdated())
			})
		})
	}
}

// TestReplacement checks that a new version is loaded on a full engine without exceeding its slots:
// the new version takes a slot of its own while the previous version is still held.
func TestReplacement(t *testing.T) {
	runSimulation(t, 2, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		for n := range slots {
			_, err := c.Ensure(t.Context(), "e1", adapter(n), 0, within(longWait))
			must.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		c.Refresh(adapter(0), 2)
		version, err := c.Ensure(t.Context(), "e1", adapter(0), 2, within(longWait))
		must.NoError(t, err)
		must.Eq(t, 2, version)
		must.False(t, e.exceededSlots())
	})
}

// TestUsedAdaptersAreKept checks that 40 adapters that are requested once, one after the other,
// cause 40 loads while uses of the first one are reported.
func TestUsedAdaptersAreKept(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		for n := range 40 {
			_, err := c.Ensure(t.Context(), "e1", adapter(n), 0, within(longWait))
			must.NoError(t, err)
			c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(0): {Begun: 5}})
			time.Sleep(300 * time.Millisecond)
		}
		must.Eq(t, 40, e.begun())
	})
}

// TestInFlightAdaptersAreKept checks that an adapter with requests in flight is not evicted, even
// if other adapters are requested and its use is not reported again. It can be evicted once the end
// of the requests was reported, or once the report has expired.
func TestInFlightAdaptersAreKept(t *testing.T) {
	type uses = map[snipecatalog.Adapter]snipeadapter.Use
	tests := map[string]struct {
		end   func(c *snipeadapter.Controller)
		after time.Duration
		stays bool
	}{
		"Running":   {func(*snipeadapter.Controller) {}, time.Second, true},
		"Ended":     {func(c *snipeadapter.Controller) { c.RecordUse("e1", "i1", uses{adapter(0): {}}) }, 500 * time.Millisecond, false},
		"OtherEnds": {func(c *snipeadapter.Controller) { c.RecordUse("e1", "i2", uses{adapter(0): {}}) }, time.Second, true},
		"Killed":    {func(*snipeadapter.Controller) {}, snipeadapter.UseTTL + 500*time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 3, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				for n := range slots {
					_, err := c.Ensure(t.Context(), "e1", adapter(n), 0, within(longWait))
					must.NoError(t, err)
				}
				for n := range slots - 1 {
					c.RecordUse("e1", "i1", uses{adapter(n + 1): {Begun: 50}})
				}
				c.RecordUse("e1", "i1", uses{adapter(0): {Begun: 1, Running: true}})
				tt.end(c)
				time.Sleep(tt.after)
				_, err := c.Ensure(t.Context(), "e1", adapter(slots), 0, within(longWait))
				must.NoError(t, err)
				must.Eq(t, tt.stays, e.holds(adapter(0)))
			})
		})
	}
}

// TestRates checks that the rate adds up the rare uses in many reports, that it shows new demand
// after a few rounds of reports, and that it falls soon after the demand ends.
func TestRates(t *testing.T) {
	const instances, reports = 80, 80 * time.Millisecond
	tests := map[string]struct{ perSecond, early, least, most float64 }{
		"Rare": {1, 0, 0.5, 2}, "Often": {15, 3, 12, 18}, "Hot": {150, 70, 130, 170},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 9, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				_, err := c.Ensure(t.Context(), "e1", adapter(1), 0, within(longWait))
				must.NoError(t, err)
				r := rand.New(rand.NewPCG(9, 9))
				rate := func() float64 { return c.UseRates("e1", 0)[adapter(1)] }
				report := func() {
					for range instances {
						n := 0
						if r.Float64() < tt.perSecond*reports.Seconds()/instances {
							n = 1
						}
						c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(1): {Begun: n}})
					}
					time.Sleep(reports)
				}
				for range 4 {
					report()
				}
				must.GreaterEq(t, tt.early, rate())
				const polls = 300
				sum := 0.0
				for range polls {
					report()
					sum += rate()
				}
				must.Between(t, tt.least, sum/polls, tt.most)
				time.Sleep(2 * time.Second)
				must.Less(t, 12, rate())
			})
		})
	}
}

// TestUseOfAbsentAdapter checks that an instance that reports the use of an adapter that the engine
// does not hold gets this adapter in the answer.
func TestUseOfAbsentAdapter(t *testing.T) {
	runSimulation(t, 10, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		_, err := c.Ensure(t.Context(), "e1", adapter(1), 0, within(longWait))
		must.NoError(t, err)
		gone := c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(1): {Begun: 3}, adapter(2): {Begun: 1}})
		must.Eq(t, []snipecatalog.Adapter{adapter(2)}, gone)
	})
}

// TestEvictions checks that an eviction is reported for a while, or until the engine holds the
// adapter again.
func TestEvictions(t *testing.T) {
	runSimulation(t, 11, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		ensure := func(n int) {
			_, err := c.Ensure(t.Context(), "e1", adapter(n), 0, within(longWait))
			must.NoError(t, err)
			time.Sleep(350 * time.Millisecond)
		}
		for n := range slots + 1 {
			ensure(n)
		}
		first, last := c.Evictions(0)
		must.Eq(t, []snipeadapter.Eviction{{Engine: "e1", Adapter: adapter(0)}}, first)
		ensure(0)
		second := []snipeadapter.Eviction{{Engine: "e1", Adapter: adapter(1)}}
		recent, _ := c.Evictions(0)
		must.Eq(t, second, recent)
		recent, last = c.Evictions(last)
		must.Eq(t, second, recent)
		recent, _ = c.Evictions(last)
		must.SliceEmpty(t, recent)
		time.Sleep(2 * time.Second)
		recent, _ = c.Evictions(0)
		must.SliceEmpty(t, recent)
	})
}

// TestBusyWithoutWaiting checks that a load that is not expected to be complete in time is refused
// at once, with the expected time to wait.
func TestBusyWithoutWaiting(t *testing.T) {
	runSimulation(t, 4, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		var all sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for n := range 40 {
			all.Go(func() { _, _ = c.Ensure(ctx, "e1", adapter(n), 0, within(time.Minute)) })
		}
		synctest.Wait()
		begun := time.Now()
		_, err := c.Ensure(t.Context(), "e1", adapter(99), 0, within(time.Second))
		var busy *snipeadapter.BusyError
		must.True(t, errors.As(err, &busy))
		must.Greater(t, time.Second, busy.Wait)
		must.Eq(t, 0, time.Since(begun))
		cancel()
		all.Wait()
	})
}

// TestLoadWithoutWaitersNotStarted checks that a load whose callers have all left is not started.
func TestLoadWithoutWaitersNotStarted(t *testing.T) {
	runSimulation(t, 5, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for n := range 30 {
			all.Go(func() { _, _ = c.Ensure(ctx, "e1", adapter(n), 0, within(time.Minute)) })
		}
		synctest.Wait()
		cancel()
		all.Wait()
		time.Sleep(10 * time.Second)
		must.LessEq(t, 4, e.begun())
	})
}

// TestOrdersRequireFence checks that no order is sent without the right to order.
func TestOrdersRequireFence(t *testing.T) {
	runSimulation(t, 6, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, owns *bool) {
		*owns = false
		_, err := c.Ensure(t.Context(), "e1", adapter(1), 0, within(longWait))
		must.ErrorIs(t, err, snipeadapter.ErrNotOwner)
		must.Eq(t, 0, e.begun())
	})
}

// TestEngineWithoutModel checks that an engine that restarted empty first loads its base model, and
// that requests for adapters are refused until then.
func TestEngineWithoutModel(t *testing.T) {
	runSimulation(t, 7, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		e.setModels(nil)
		time.Sleep(2 * reportLag)
		c.Model = func(*snipedirectory.Upstream) string { return model }
		c.ReadEngine(t.Context(), c.Upstream("e1"))
		_, err := c.Ensure(t.Context(), "e1", adapter(1), 0, within(longWait))
		must.ErrorIs(t, err, snipeadapter.ErrNoModel)
		time.Sleep(time.Second)
		must.Eq(t, 1, e.begun())
		_, err = c.Ensure(t.Context(), "e1", adapter(1), 0, within(longWait))
		must.NoError(t, err)
	})
}

// TestEvictsIdleAdapters guards against keeping adapters whose demand has moved on. An adapter that
// was used very often until a few seconds ago must be evicted before adapters that are used now and
// then.
func TestEvictsIdleAdapters(t *testing.T) {
	const idle = 1
	runSimulation(t, 12, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		fill(t, c)
		for range 20 {
			c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(idle): {Begun: 8}})
			time.Sleep(80 * time.Millisecond)
		}
		for round := range 16 {
			for n := idle + 1; n <= slots; n++ {
				c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(n): {Begun: 1 + round%2}})
			}
			time.Sleep(330 * time.Millisecond)
		}
		_, err := c.Ensure(t.Context(), "e1", adapter(99), 0, within(longWait))
		must.NoError(t, err)
		must.False(t, e.holds(adapter(idle)))
	})
}

// TestEvictsReplicatedAdapters checks that an adapter that other engines hold too is evicted first,
// although it is used more often than the others.
func TestEvictsReplicatedAdapters(t *testing.T) {
	const replica = 1
	runSimulation(t, 13, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		c.Redundant = func(_ *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool {
			return a == adapter(replica) && perSecond < 5
		}
		fill(t, c)
		for range 4 {
			for n := range slots {
				c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(n + 1): {Begun: 1}})
			}
			c.RecordUse("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(replica): {Begun: 2}})
			time.Sleep(400 * time.Millisecond)
		}
		_, err := c.Ensure(t.Context(), "e1", adapter(99), 0, within(longWait))
		must.NoError(t, err)
		must.False(t, e.holds(adapter(replica)))
	})
}

// fill fills all slots of the engine with adapters, numbered from 1.
func fill(t *testing.T, c *snipeadapter.Controller) {
	t.Helper()
	for n := range slots {
		_, err := c.Ensure(t.Context(), "e1", adapter(n+1), 0, within(longWait))
		must.NoError(t, err)
	}
}

// holds reports whether the engine holds an adapter.
func (f *fakeEngine) holds(a snipecatalog.Adapter) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	_, ok := f.held[a]
	return ok
}
