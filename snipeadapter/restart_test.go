package snipeadapter_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// restart makes the engine start again: it holds nothing and its order count begins at 0.
func (f *fakeEngine) restart() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.start++
	f.orders = 0
	clear(f.held)
	clear(f.loading)
}

// setStart sets the engine's start, as if it had been so from the beginning.
func (f *fakeEngine) setStart(start int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.start = start
}

// setLoss makes a fraction of the orders get no answer, and a fraction of these execute late.
func (f *fakeEngine) setLoss(lost, late float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lost, f.late = lost, late
}

// registry is a directory that shows an engine's restarts after a delay.
type registry struct {
	current atomic.Pointer[snipedirectory.Upstream]
}

func newRegistry(c *snipeadapter.Controller) *registry {
	r := &registry{}
	c.Upstream = func(id string) *snipedirectory.Upstream {
		if u := r.current.Load(); u != nil && u.ID == id {
			return u
		}
		return nil
	}
	c.EngineRestarted = func(id string) {
		if u := r.current.Load(); u != nil && u.ID == id {
			r.current.CompareAndSwap(u, nil)
		}
	}
	r.show(c, 1)
	return r
}

// show replaces the engine's entry in the directory by one for a new start.
func (r *registry) show(c *snipeadapter.Controller, start int64) {
	old := r.current.Load()
	r.current.Store(&snipedirectory.Upstream{
		ID: snipedirectory.StartID("e1", start), Name: "e1", Start: start, Restarted: start > 1,
		Address: netip.MustParseAddrPort("10.9.0.1:80"), Models: []string{model},
	})
	if old != nil {
		c.Forget(old.ID)
	}
}

// id returns the ID of the start that the directory shows.
func (r *registry) id() string {
	if u := r.current.Load(); u != nil {
		return u.ID
	}
	return ""
}

// TestRestarts guards against orders from before a restart that take effect after it. An engine
// restarts repeatedly under its name while orders are lost or arrive up to twelve seconds late; the
// next start accepts such an order if its own order count matches. The engine must never hold more
// than fits, adapters held before a restart must not count as held after it, and requested adapters
// must arrive.
func TestRestarts(t *testing.T) {
	const detectionDelay, starts = 700 * time.Millisecond, 8
	for name, late := range map[string]float64{"Lost": 0, "Late": 1, "LostOrLate": 0.5} {
		for seed := range uint64(16) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				runSimulation(t, seed, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
					e.setStart(1)
					e.setLoss(0.35, late)
					r := newRegistry(c)
					random := rand.New(rand.NewPCG(seed, 5))
					var all sync.WaitGroup
					for n := range 50 * starts {
						if n%50 == 49 {
							e.restart()
							start := int64(2 + n/50)
							time.AfterFunc(detectionDelay, func() { r.show(c, start) })
						}
						a := adapter(random.IntN(20))
						all.Go(func() { _, _ = c.Ensure(t.Context(), r.id(), a, 0, within(time.Minute)) })
						time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
					}
					all.Wait()
					must.False(t, e.exceededSlots())
					e.setLoss(0, 0)
					time.Sleep(time.Second)
					_, err := c.Ensure(t.Context(), r.id(), adapter(1), 0, within(time.Minute))
					must.NoError(t, err)
					must.True(t, e.holds(adapter(1)))
				})
			})
		}
	}
}

// TestReportOfAnotherStart checks that an engine whose report shows another start than the
// directory gets no order and that the directory is notified, and that the engine gets orders once
// the directory shows the reported start too.
func TestReportOfAnotherStart(t *testing.T) {
	tests := map[string]struct {
		reported  int64
		shown     int64
		restarted bool
	}{
		"Same":          {4, 4, false},
		"Later":         {5, 4, true},
		"ClockBack":     {3, 4, true},
		"ReportSilent":  {0, 4, false},
		"RegistryTells": {4, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 1, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				e.setStart(tt.reported)
				time.Sleep(2 * reportLag)
				r := newRegistry(c)
				r.show(c, tt.shown)
				_, err := c.Ensure(t.Context(), r.id(), adapter(1), 0, within(longWait))
				if !tt.restarted {
					must.NoError(t, err)
					return
				}
				must.ErrorIs(t, err, snipeadapter.ErrRestarted)
				must.Eq(t, 0, e.begun())
				must.Eq(t, "", r.id())
				r.show(c, tt.reported)
				_, err = c.Ensure(t.Context(), r.id(), adapter(1), 0, within(longWait))
				must.NoError(t, err)
			})
		})
	}
}

// TestReservedSlotAfterRestart checks that a slot stays free for a load from before the restart as
// long as this load may still be executed.
func TestReservedSlotAfterRestart(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		e.setStart(2)
		time.Sleep(2 * reportLag)
		r := newRegistry(c)
		r.show(c, 2)
		ensure := func(n int) {
			_, err := c.Ensure(t.Context(), r.id(), adapter(n), 0, within(longWait))
			must.NoError(t, err)
			time.Sleep(400 * time.Millisecond)
		}
		for n := range slots {
			ensure(n)
		}
		must.Eq(t, slots-1, e.count())
		time.Sleep(15 * time.Second)
		ensure(slots)
		must.Eq(t, slots, e.count())
	})
}

// count returns how many adapters the engine holds.
func (f *fakeEngine) count() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.held)
}

// TestResidencyOfStarts checks that reports about an ended start do not apply to the next one, and
// that they are dropped.
func TestResidencyOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &snipeadapter.Residency{}
		old := &snipedirectory.Upstream{ID: snipedirectory.StartID("e1", 1), Name: "e1", Start: 1}
		next := &snipedirectory.Upstream{ID: snipedirectory.StartID("e1", 2), Name: "e1", Start: 2}
		held := snipecatalog.Adapter{Model: model, Name: "a1"}
		r.Observe(old)
		r.RecordHeld(old.ID, held, 3)
		r.Forget(old.ID)
		r.Observe(next)
		_, ok := r.Holds(next, held)
		must.False(t, ok)
		r.RecordHeld(old.ID, held, 3)
		_, ok = r.Holds(next, held)
		must.False(t, ok)
		r.Retain(func(id string) bool { return id == next.ID })
		_, ok = r.Holds(old, held)
		must.False(t, ok)
	})
}

// TestEvictsLoadsOfPreviousOwner guards against slots that stay blocked after a change of owner.
// Adapters that were loading by orders of the previous owner when the engine was read must become
// evictable once they are loaded.
func TestEvictsLoadsOfPreviousOwner(t *testing.T) {
	runSimulation(t, 4, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		for n := range slots {
			e.execute(snipeadapter.Order{Action: snipeadapter.Load, Adapter: adapter(n), Expect: uint64(n)})
		}
		time.Sleep(reportLag)
		c.ReadEngine(t.Context(), c.Upstream("e1"))
		_, err := c.Ensure(t.Context(), "e1", adapter(slots), 0, within(longWait))
		must.NoError(t, err)
		must.Eq(t, slots, e.count())
	})
}

// TestUnlistedAdapters guards against filling an engine beyond its slots that has accepted loads for
// its previous start and holds no base model, so that its report does not list what they loaded.
func TestUnlistedAdapters(t *testing.T) {
	for name, before := range map[string]int{"One": 1, "Some": 4, "All": slots} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 6, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				e.setModels(nil)
				for n := range before {
					e.execute(snipeadapter.Order{Action: snipeadapter.Load, Adapter: adapter(n), Expect: uint64(n)})
				}
				time.Sleep(2 * reportLag)
				c.Model = func(*snipedirectory.Upstream) string { return model }
				c.ReadEngine(t.Context(), c.Upstream("e1"))
				time.Sleep(time.Second)
				for n := range 2 * slots {
					_, err := c.Ensure(t.Context(), "e1", adapter(100+n), 0, within(longWait))
					must.NoError(t, err)
				}
				must.False(t, e.exceededSlots())
			})
		})
	}
}
