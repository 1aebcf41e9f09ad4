package snipeadapter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
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
	model      = "base"
	places     = 6
	transfer   = 250 * time.Millisecond
	reportLag  = 200 * time.Millisecond
	reloadTime = 25 * time.Millisecond
)

// fakeEngine takes orders as engines do: each states the number of those before it,
// loads take their time, and what does not fit crashes it.
type fakeEngine struct {
	lock   sync.Mutex
	rand   *rand.Rand
	models []string
	orders uint64
	held   map[snipecatalog.Adapter]int64
	coming map[snipecatalog.Adapter]int64
	before map[snipecatalog.Adapter]bool
	// newest are the announced versions, which a load that names none fetches.
	newest map[snipecatalog.Adapter]int64
	// lost is the share of orders that get no answer, late of which are carried out
	// seconds later.
	lost, late float64
	crashed    bool
	loads      int
	start      int64
	report     snipeadapter.Report
}

func newFakeEngine(seed uint64) *fakeEngine {
	return &fakeEngine{
		rand: rand.New(rand.NewPCG(seed, 7)), models: []string{model},
		held: map[snipecatalog.Adapter]int64{}, coming: map[snipecatalog.Adapter]int64{},
		before: map[snipecatalog.Adapter]bool{}, newest: map[snipecatalog.Adapter]int64{},
	}
}

func (f *fakeEngine) order(ctx context.Context, _ *snipedirectory.Upstream, o snipeadapter.Order) (snipeadapter.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	lost, late := f.rand.Float64() < f.lost, f.rand.Float64() < f.late
	delay := time.Duration(2000+f.rand.IntN(10000)) * time.Millisecond
	f.lock.Unlock()
	if !lost {
		return f.carryOut(o), nil
	}
	if late {
		time.AfterFunc(delay, func() { f.carryOut(o) })
	} else {
		f.carryOut(o)
	}
	<-ctx.Done()
	return snipeadapter.Unanswered, ctx.Err()
}

func (f *fakeEngine) carryOut(o snipeadapter.Order) snipeadapter.Reply {
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
	if held && version == target {
		return snipeadapter.Holds
	}
	if f.coming[o.Adapter] == target {
		return snipeadapter.Taken
	}
	f.orders++
	f.coming[o.Adapter] = target
	f.loads++
	f.crashed = f.crashed || len(f.held)+len(f.coming) > places
	d := transfer
	if f.before[o.Adapter] {
		d = reloadTime
	}
	start := f.start
	time.AfterFunc(d, func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		if f.start != start {
			return
		}
		delete(f.coming, o.Adapter)
		f.held[o.Adapter], f.before[o.Adapter] = target, true
	})
	return snipeadapter.Taken
}

// announce makes a version the newest.
func (f *fakeEngine) announce(a snipecatalog.Adapter, version int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.newest[a] = version
}

// begun returns how many loads were begun.
func (f *fakeEngine) begun() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.loads
}

// outdated returns the adapters that it holds in an old version.
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

// overfull reports whether it was ever ordered to hold more than it can.
func (f *fakeEngine) overfull() bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.crashed
}

func (f *fakeEngine) setModels(models []string) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.models = models
}

// read returns a report that is a moment old.
func (f *fakeEngine) read(context.Context, *snipedirectory.Upstream) (snipeadapter.Report, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.report, nil
}

// publish renews the report until ctx ends.
func (f *fakeEngine) publish(ctx context.Context) {
	for ctx.Err() == nil {
		f.lock.Lock()
		r := snipeadapter.Report{Start: f.start, Orders: f.orders, Models: append([]string(nil), f.models...)}
		for a, v := range f.held {
			r.Resident = append(r.Resident, snipedirectory.Resident{Adapter: a, Version: v})
		}
		for a, v := range f.coming {
			r.Coming = append(r.Coming, snipedirectory.Resident{Adapter: a, Version: v})
		}
		f.report = r
		f.lock.Unlock()
		time.Sleep(reportLag)
	}
}

func adapter(n int) snipecatalog.Adapter {
	return snipecatalog.Adapter{Model: model, Name: fmt.Sprint("a", n)}
}

// newDesk returns a desk over the engine, and whether the desk may order.
func newDesk(f *fakeEngine) (desk *snipeadapter.Desk, owns *bool) {
	u := &snipedirectory.Upstream{ID: "e1", Address: netip.MustParseAddrPort("10.9.0.1:80"), Models: f.models}
	mayOrder := true
	return &snipeadapter.Desk{
		Engine:   snipeadapter.Engine{Order: f.order, Report: f.read},
		Fence:    func(netip.AddrPort) (uint64, bool) { return 1, mayOrder },
		Upstream: func(string) *snipedirectory.Upstream { return u },
		Slots:    func(*snipedirectory.Upstream) int { return places },
		Model:    func(*snipedirectory.Upstream) string { return "" },
		Newest:   func(snipecatalog.Adapter) int64 { return 0 },
		Holder:   "one", Log: snipelog.Discard(),
	}, &mayOrder
}

const patient = 10 * time.Second

// play runs f in a bubble with an engine and its desk.
func play(t *testing.T, seed uint64, f func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, owns *bool)) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngine(seed)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { e.publish(ctx) })
		defer func() {
			cancel()
			running.Wait()
			time.Sleep(time.Minute) // what is still under way
		}()
		time.Sleep(time.Millisecond)
		d, owns := newDesk(e)
		f(t, e, d, owns)
	})
}

// TestEnsureOnce: all that wait for an adapter wait for one load.
func TestEnsureOnce(t *testing.T) {
	play(t, 1, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		begun := time.Now()
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() {
				_, err := d.Ensure(t.Context(), "e1", adapter(1), 0, patient)
				must.NoError(t, err)
			})
		}
		all.Wait()
		must.Eq(t, 1, e.begun())
		must.Less(t, 300*time.Millisecond, time.Since(begun))
	})
}

// TestNeverOverfull plays many adapters on few places while orders get lost and come
// late: the engine is never ordered to hold more than it can, and all that is asked
// for arrives.
func TestNeverOverfull(t *testing.T) {
	tests := map[string]struct{ lost, late float64 }{
		"Calm":       {0, 0},
		"Lost":       {0.3, 0},
		"Late":       {0.35, 1},
		"LostOrLate": {0.4, 0.5},
	}
	for name, tt := range tests {
		for seed := range uint64(12) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				play(t, seed, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
					e.lost, e.late = tt.lost, tt.late
					r := rand.New(rand.NewPCG(seed, 3))
					var all sync.WaitGroup
					failed := 0
					var lock sync.Mutex
					for range 150 {
						a := adapter(r.IntN(20))
						all.Go(func() {
							_, err := d.Ensure(t.Context(), "e1", a, 0, time.Minute)
							lock.Lock()
							defer lock.Unlock()
							if err != nil {
								failed++
							}
						})
						time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
					}
					all.Wait()
					must.False(t, e.overfull())
					must.Less(t, 30, failed)
					if tt.lost == 0 {
						must.Eq(t, 0, failed)
					}
				})
			})
		}
	}
}

// TestVersionsWhileLoading announces versions while loads are under way, of which the
// desk hears later than the engine: no question about a load begins another one that
// has no place, and no old version stays.
func TestVersionsWhileLoading(t *testing.T) {
	const hearing = 300 * time.Millisecond
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, seed, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
				r := rand.New(rand.NewPCG(seed, 4))
				var lock sync.Mutex
				heard := map[snipecatalog.Adapter]int64{}
				d.Newest = func(a snipecatalog.Adapter) int64 {
					lock.Lock()
					defer lock.Unlock()
					return heard[a]
				}
				var all sync.WaitGroup
				for n := range 150 {
					a := adapter(r.IntN(20))
					all.Go(func() {
						_, err := d.Ensure(t.Context(), "e1", a, 0, time.Minute)
						must.NoError(t, err)
					})
					time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
					if version := int64(n + 2); r.IntN(2) == 0 {
						e.announce(a, version)
						time.AfterFunc(hearing, func() {
							lock.Lock()
							heard[a] = version
							lock.Unlock()
							d.Refresh(a, version)
						})
					}
				}
				all.Wait()
				time.Sleep(5 * time.Second)
				must.False(t, e.overfull())
				must.SliceEmpty(t, e.outdated())
			})
		})
	}
}

// TestReplacement: a new version takes a place of its own while the one before it is
// still there.
func TestReplacement(t *testing.T) {
	play(t, 2, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		for n := range places {
			_, err := d.Ensure(t.Context(), "e1", adapter(n), 0, patient)
			must.NoError(t, err)
		}
		time.Sleep(5 * time.Second)
		d.Refresh(adapter(0), 2)
		version, err := d.Ensure(t.Context(), "e1", adapter(0), 2, patient)
		must.NoError(t, err)
		must.Eq(t, 2, version)
		must.False(t, e.overfull())
	})
}

// TestUsedStays: what is used stays, what is not makes way.
func TestUsedStays(t *testing.T) {
	play(t, 3, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		for n := range 40 {
			_, err := d.Ensure(t.Context(), "e1", adapter(n), 0, patient)
			must.NoError(t, err)
			d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(0): {Begun: 5}})
			time.Sleep(300 * time.Millisecond)
		}
		must.Eq(t, 40, e.begun())
	})
}

// TestInFlightStays: an adapter stays as long as an instance has it in flight, also when other
// adapters are asked for meanwhile and nothing is told of it again; it makes way once its end
// was told, or nothing was told for the life of a report.
func TestInFlightStays(t *testing.T) {
	type uses = map[snipecatalog.Adapter]snipeadapter.Use
	tests := map[string]struct {
		end   func(d *snipeadapter.Desk)
		after time.Duration
		stays bool
	}{
		"Running":   {func(*snipeadapter.Desk) {}, time.Second, true},
		"Ended":     {func(d *snipeadapter.Desk) { d.Used("e1", "i1", uses{adapter(0): {}}) }, 500 * time.Millisecond, false},
		"OtherEnds": {func(d *snipeadapter.Desk) { d.Used("e1", "i2", uses{adapter(0): {}}) }, time.Second, true},
		"Killed":    {func(*snipeadapter.Desk) {}, snipeadapter.UseLife + 500*time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, 3, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
				for n := range places {
					_, err := d.Ensure(t.Context(), "e1", adapter(n), 0, patient)
					must.NoError(t, err)
				}
				for n := range places - 1 {
					d.Used("e1", "i1", uses{adapter(n + 1): {Begun: 50}})
				}
				d.Used("e1", "i1", uses{adapter(0): {Begun: 1, Running: true}})
				tt.end(d)
				time.Sleep(tt.after)
				_, err := d.Ensure(t.Context(), "e1", adapter(places), 0, patient)
				must.NoError(t, err)
				must.Eq(t, tt.stays, e.holds(adapter(0)))
			})
		})
	}
}

// TestRates: what many instances each ask for rarely adds up to what is asked for, a few
// reports after it begins, and is over soon after it ends.
func TestRates(t *testing.T) {
	const instances, reports = 80, 80 * time.Millisecond
	tests := map[string]struct{ perSecond, soon, least, most float64 }{
		"Rare": {1, 0, 0.5, 2}, "Often": {15, 3, 12, 18}, "Hot": {150, 70, 130, 170},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, 9, func(t *testing.T, _ *fakeEngine, d *snipeadapter.Desk, _ *bool) {
				_, err := d.Ensure(t.Context(), "e1", adapter(1), 0, patient)
				must.NoError(t, err)
				r := rand.New(rand.NewPCG(9, 9))
				rate := func() float64 { return d.Rates("e1", 0)[adapter(1)] }
				report := func() {
					for range instances {
						n := 0
						if r.Float64() < tt.perSecond*reports.Seconds()/instances {
							n = 1
						}
						d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(1): {Begun: n}})
					}
					time.Sleep(reports)
				}
				for range 4 {
					report()
				}
				must.GreaterEq(t, tt.soon, rate())
				const looks = 300
				sum := 0.0
				for range looks {
					report()
					sum += rate()
				}
				must.Between(t, tt.least, sum/looks, tt.most)
				time.Sleep(2 * time.Second)
				must.Less(t, 12, rate())
			})
		})
	}
}

// TestUsedButGone: who reports the use of an adapter that the engine does not hold is
// told so.
func TestUsedButGone(t *testing.T) {
	play(t, 10, func(t *testing.T, _ *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		_, err := d.Ensure(t.Context(), "e1", adapter(1), 0, patient)
		must.NoError(t, err)
		gone := d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(1): {Begun: 3}, adapter(2): {Begun: 1}})
		must.Eq(t, []snipecatalog.Adapter{adapter(2)}, gone)
	})
}

// TestEvictions: what was unloaded is told for a while, until the engine holds it again.
func TestEvictions(t *testing.T) {
	play(t, 11, func(t *testing.T, _ *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		ensure := func(n int) {
			_, err := d.Ensure(t.Context(), "e1", adapter(n), 0, patient)
			must.NoError(t, err)
			time.Sleep(350 * time.Millisecond)
		}
		for n := range places + 1 {
			ensure(n)
		}
		first, last := d.Evictions(0)
		must.Eq(t, []snipeadapter.Eviction{{Engine: "e1", Adapter: adapter(0)}}, first)
		ensure(0)
		second := []snipeadapter.Eviction{{Engine: "e1", Adapter: adapter(1)}}
		recent, _ := d.Evictions(0)
		must.Eq(t, second, recent)
		recent, last = d.Evictions(last)
		must.Eq(t, second, recent)
		recent, _ = d.Evictions(last)
		must.SliceEmpty(t, recent)
		time.Sleep(2 * time.Second)
		recent, _ = d.Evictions(0)
		must.SliceEmpty(t, recent)
	})
}

// TestBusyAtOnce: a load that cannot be complete in time is refused at once, with the
// time after which there is room.
func TestBusyAtOnce(t *testing.T) {
	play(t, 4, func(t *testing.T, _ *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		var all sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for n := range 40 {
			all.Go(func() { _, _ = d.Ensure(ctx, "e1", adapter(n), 0, time.Minute) })
		}
		synctest.Wait()
		begun := time.Now()
		_, err := d.Ensure(t.Context(), "e1", adapter(99), 0, time.Second)
		var busy *snipeadapter.BusyError
		must.True(t, errors.As(err, &busy))
		must.Greater(t, time.Second, busy.Wait)
		must.Eq(t, 0, time.Since(begun))
		cancel()
		all.Wait()
	})
}

// TestUnwantedIsNotBegun: a load whose callers have left is not begun.
func TestUnwantedIsNotBegun(t *testing.T) {
	play(t, 5, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for n := range 30 {
			all.Go(func() { _, _ = d.Ensure(ctx, "e1", adapter(n), 0, time.Minute) })
		}
		synctest.Wait()
		cancel()
		all.Wait()
		time.Sleep(10 * time.Second)
		must.LessEq(t, 4, e.begun())
	})
}

// TestOrdersNeedTheRight: no order leaves without the right to order.
func TestOrdersNeedTheRight(t *testing.T) {
	play(t, 6, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, owns *bool) {
		*owns = false
		_, err := d.Ensure(t.Context(), "e1", adapter(1), 0, patient)
		must.ErrorIs(t, err, snipeadapter.ErrNotOwner)
		must.Eq(t, 0, e.begun())
	})
}

// TestEngineWithoutModel: an engine that came back empty is given its base model, and
// asked for no adapter before.
func TestEngineWithoutModel(t *testing.T) {
	play(t, 7, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		e.setModels(nil)
		time.Sleep(2 * reportLag)
		d.Model = func(*snipedirectory.Upstream) string { return model }
		d.Take(t.Context(), d.Upstream("e1"))
		_, err := d.Ensure(t.Context(), "e1", adapter(1), 0, patient)
		must.ErrorIs(t, err, snipeadapter.ErrNoModel)
		time.Sleep(time.Second)
		must.Eq(t, 1, e.begun())
		_, err = d.Ensure(t.Context(), "e1", adapter(1), 0, patient)
		must.NoError(t, err)
	})
}

// TestEvictsWhatIsSilent answers the pattern of a demand that moves on: an adapter that was
// asked for very often until two seconds ago makes way before those that are asked for
// now and then.
func TestEvictsWhatIsSilent(t *testing.T) {
	const hot = 1
	play(t, 12, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		fill(t, d)
		for range 20 {
			d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(hot): {Begun: 8}})
			time.Sleep(80 * time.Millisecond)
		}
		for round := range 16 {
			for n := hot + 1; n <= places; n++ {
				d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(n): {Begun: 1 + round%2}})
			}
			time.Sleep(330 * time.Millisecond)
		}
		_, err := d.Ensure(t.Context(), "e1", adapter(99), 0, patient)
		must.NoError(t, err)
		must.False(t, e.holds(adapter(hot)))
	})
}

// TestEvictsWhatOthersHold: of two adapters the one that other engines hold too makes way,
// though it is asked for more often.
func TestEvictsWhatOthersHold(t *testing.T) {
	const replica = 1
	play(t, 13, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		d.Spare = func(_ *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool {
			return a == adapter(replica) && perSecond < 5
		}
		fill(t, d)
		for range 4 {
			for n := range places {
				d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(n + 1): {Begun: 1}})
			}
			d.Used("e1", "i1", map[snipecatalog.Adapter]snipeadapter.Use{adapter(replica): {Begun: 2}})
			time.Sleep(400 * time.Millisecond)
		}
		_, err := d.Ensure(t.Context(), "e1", adapter(99), 0, patient)
		must.NoError(t, err)
		must.False(t, e.holds(adapter(replica)))
	})
}

// fill has the engine hold as many adapters as it has places for, from 1 on.
func fill(t *testing.T, d *snipeadapter.Desk) {
	t.Helper()
	for n := range places {
		_, err := d.Ensure(t.Context(), "e1", adapter(n+1), 0, patient)
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
