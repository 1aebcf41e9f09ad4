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

// startAgain makes the engine start again: it holds nothing and counts anew.
func (f *fakeEngine) startAgain() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.start++
	f.orders = 0
	clear(f.held)
	clear(f.coming)
}

// setStart makes the engine's start another one, as of its beginning.
func (f *fakeEngine) setStart(start int64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.start = start
}

// lose makes a share of the orders get no answer, a share of which come late.
func (f *fakeEngine) lose(lost, late float64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lost, f.late = lost, late
}

// registry is a directory that shows an engine's starts a while later.
type registry struct {
	now atomic.Pointer[snipedirectory.Upstream]
}

func newRegistry(d *snipeadapter.Desk) *registry {
	r := &registry{}
	d.Upstream = func(id string) *snipedirectory.Upstream {
		if u := r.now.Load(); u != nil && u.ID == id {
			return u
		}
		return nil
	}
	d.StartedAgain = func(id string) {
		if u := r.now.Load(); u != nil && u.ID == id {
			r.now.CompareAndSwap(u, nil)
		}
	}
	r.show(d, 1)
	return r
}

// show puts a start of the engine into the directory.
func (r *registry) show(d *snipeadapter.Desk, start int64) {
	old := r.now.Load()
	r.now.Store(&snipedirectory.Upstream{
		ID: snipedirectory.StartID("e1", start), Name: "e1", Start: start, Again: start > 1,
		Address: netip.MustParseAddrPort("10.9.0.1:80"), Models: []string{model},
	})
	if old != nil {
		d.Forget(old.ID)
	}
}

// id returns the start that the directory shows.
func (r *registry) id() string {
	if u := r.now.Load(); u != nil {
		return u.ID
	}
	return ""
}

// TestStartsAgain plays an engine that starts again under its name, again and again, while
// orders get lost and come up to twelve seconds late: they may be taken by the next start,
// whose count meets theirs. It never holds more than it can, nothing is thought to be
// resident that was so before, and all that is asked for arrives.
func TestStartsAgain(t *testing.T) {
	const noticed, starts = 700 * time.Millisecond, 8
	for name, late := range map[string]float64{"Lost": 0, "Late": 1, "LostOrLate": 0.5} {
		for seed := range uint64(16) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				play(t, seed, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
					e.setStart(1)
					e.lose(0.35, late)
					r := newRegistry(d)
					random := rand.New(rand.NewPCG(seed, 5))
					var all sync.WaitGroup
					for n := range 50 * starts {
						if n%50 == 49 {
							e.startAgain()
							start := int64(2 + n/50)
							time.AfterFunc(noticed, func() { r.show(d, start) })
						}
						a := adapter(random.IntN(20))
						all.Go(func() { _, _ = d.Ensure(t.Context(), r.id(), a, 0, time.Minute) })
						time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
					}
					all.Wait()
					must.False(t, e.overfull())
					e.lose(0, 0)
					time.Sleep(time.Second)
					_, err := d.Ensure(t.Context(), r.id(), adapter(1), 0, time.Minute)
					must.NoError(t, err)
					must.True(t, e.holds(adapter(1)))
				})
			})
		}
	}
}

// TestReportOfAnotherStart: an engine whose report tells of another start than the
// directory is not ordered, and the directory is told, until it shows that start too.
func TestReportOfAnotherStart(t *testing.T) {
	tests := map[string]struct {
		reported int64
		shown    int64
		again    bool
	}{
		"Same":          {4, 4, false},
		"Later":         {5, 4, true},
		"ClockBack":     {3, 4, true},
		"ReportSilent":  {0, 4, false},
		"RegistryTells": {4, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, 1, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
				e.setStart(tt.reported)
				time.Sleep(2 * reportLag)
				r := newRegistry(d)
				r.show(d, tt.shown)
				_, err := d.Ensure(t.Context(), r.id(), adapter(1), 0, patient)
				if !tt.again {
					must.NoError(t, err)
					return
				}
				must.ErrorIs(t, err, snipeadapter.ErrRestarted)
				must.Eq(t, 0, e.begun())
				must.Eq(t, "", r.id())
				r.show(d, tt.reported)
				_, err = d.Ensure(t.Context(), r.id(), adapter(1), 0, patient)
				must.NoError(t, err)
			})
		})
	}
}

// TestPlacesAfterStart: a place stays free for a load of before the restart as long as it
// may come.
func TestPlacesAfterStart(t *testing.T) {
	play(t, 3, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		e.setStart(2)
		time.Sleep(2 * reportLag)
		r := newRegistry(d)
		r.show(d, 2)
		ensure := func(n int) {
			_, err := d.Ensure(t.Context(), r.id(), adapter(n), 0, patient)
			must.NoError(t, err)
			time.Sleep(400 * time.Millisecond)
		}
		for n := range places {
			ensure(n)
		}
		must.Eq(t, places-1, e.count())
		time.Sleep(15 * time.Second)
		ensure(places)
		must.Eq(t, places, e.count())
	})
}

// count returns how many adapters the engine holds.
func (f *fakeEngine) count() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return len(f.held)
}

// TestResidencyOfStarts: what was said of a start that is over says nothing of the next
// one, and does not stay.
func TestResidencyOfStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &snipeadapter.Residency{}
		old := &snipedirectory.Upstream{ID: snipedirectory.StartID("e1", 1), Name: "e1", Start: 1}
		next := &snipedirectory.Upstream{ID: snipedirectory.StartID("e1", 2), Name: "e1", Start: 2}
		held := snipecatalog.Adapter{Model: model, Name: "a1"}
		r.Observe(old)
		r.Tell(old.ID, held, 3)
		r.Forget(old.ID)
		r.Observe(next)
		_, ok := r.Holds(next, held)
		must.False(t, ok)
		r.Tell(old.ID, held, 3)
		_, ok = r.Holds(next, held)
		must.False(t, ok)
		r.Keep(func(id string) bool { return id == next.ID })
		_, ok = r.Holds(old, held)
		must.False(t, ok)
	})
}

// TestComingFromBefore: adapters that were on their way when an engine was read, by orders of
// the owner before, can be evicted once they have come.
func TestComingFromBefore(t *testing.T) {
	play(t, 4, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		for n := range places {
			e.carryOut(snipeadapter.Order{Action: snipeadapter.Load, Adapter: adapter(n), Expect: uint64(n)})
		}
		time.Sleep(reportLag)
		d.Take(t.Context(), d.Upstream("e1"))
		_, err := d.Ensure(t.Context(), "e1", adapter(places), 0, patient)
		must.NoError(t, err)
		must.Eq(t, places, e.count())
	})
}
