package snipeadapter_test

import (
	"context"
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

// emptyEngine is an engine that restarts without its base model. It has memory for one model and
// for as many adapters as it has slots.
type emptyEngine struct {
	lock     sync.Mutex
	rand     *rand.Rand
	start    int64
	orders   uint64
	memory   int // memory used, in sizes of one adapter; a model takes modelSize
	models   []string
	resident map[snipecatalog.Adapter]bool
	loading  bool
	lost     float64
	crashed  bool
}

const (
	modelSize     = 40
	modelLoadTime = 1500 * time.Millisecond
)

func (f *emptyEngine) restart() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.start++
	f.orders, f.memory, f.models, f.loading = 0, 0, nil, false
	f.resident = map[snipecatalog.Adapter]bool{}
}

func (f *emptyEngine) order(ctx context.Context, _ *snipedirectory.Upstream, o snipeadapter.Order) (snipeadapter.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	lost, delay := f.rand.Float64() < f.lost, time.Duration(f.rand.IntN(8000))*time.Millisecond
	f.lock.Unlock()
	if !lost {
		return f.execute(o), nil
	}
	time.AfterFunc(delay, func() { f.execute(o) })
	<-ctx.Done()
	return snipeadapter.Unanswered, ctx.Err()
}

func (f *emptyEngine) execute(o snipeadapter.Order) snipeadapter.Reply {
	f.lock.Lock()
	defer f.lock.Unlock()
	switch {
	case o.Expect != f.orders:
		return snipeadapter.Conflict
	case o.Adapter.Name != "":
		return f.executeAdapter(o)
	case slices.Contains(f.models, o.Adapter.Model):
		return snipeadapter.Holds
	case f.loading:
		return snipeadapter.Taken
	}
	f.allocate(modelSize)
	f.loading = true
	start := f.start
	time.AfterFunc(modelLoadTime, func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		if f.start == start {
			f.loading, f.models = false, []string{o.Adapter.Model}
		}
	})
	return snipeadapter.Taken
}

// executeAdapter executes an order for an adapter, without delay. The lock is held.
func (f *emptyEngine) executeAdapter(o snipeadapter.Order) snipeadapter.Reply {
	held := f.resident[o.Adapter]
	switch {
	case len(f.models) == 0:
		return snipeadapter.Refused
	case o.Action == snipeadapter.Load && !held:
		f.allocate(1)
		f.resident[o.Adapter] = true
	case o.Action == snipeadapter.Unload && held:
		f.allocate(-1)
		delete(f.resident, o.Adapter)
	}
	return snipeadapter.Holds
}

// allocate counts an order and the memory that it takes, or frees if negative. The lock is held.
func (f *emptyEngine) allocate(size int) {
	f.orders++
	f.memory += size
	f.crashed = f.crashed || f.memory > modelSize+slots
}

func (f *emptyEngine) read(context.Context, *snipedirectory.Upstream) (snipeadapter.Report, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	defer f.lock.Unlock()
	r := snipeadapter.Report{Start: f.start, Orders: f.orders, Models: slices.Clone(f.models)}
	for a := range f.resident {
		r.Resident = append(r.Resident, snipedirectory.Resident{Adapter: a, Version: 1})
	}
	return r, nil
}

// TestModelMemoryAfterRestart guards against late orders from before a restart filling the engine's
// memory. The engine restarts repeatedly without its base model while orders for the model and for
// adapters are executed up to eight seconds late. No start may hold more weights than fit, and the
// engine must serve requests in the end.
func TestModelMemoryAfterRestart(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &emptyEngine{rand: rand.New(rand.NewPCG(seed, 6)), lost: 0.3, resident: map[snipecatalog.Adapter]bool{}}
				c := &snipeadapter.Controller{
					Engine: snipeadapter.Engine{Order: f.order, Report: f.read},
					Fence:  func(netip.AddrPort) (uint64, bool) { return 1, true },
					Slots:  func(*snipedirectory.Upstream) int { return slots },
					Model:  func(*snipedirectory.Upstream) string { return model },
					Newest: func(snipecatalog.Adapter) int64 { return 0 },
					Holder: "one", Log: snipelog.Discard(),
				}
				r := newRegistry(c)
				f.restart()
				random := rand.New(rand.NewPCG(seed, 8))
				for n := range 120 {
					if n%30 == 29 {
						f.restart()
						r.show(c, int64(2+n/30))
					}
					if u := r.current.Load(); u != nil {
						c.ReadEngine(t.Context(), u)
					}
					a := adapter(random.IntN(20))
					go func() { _, _ = c.Ensure(t.Context(), r.id(), a, 0, within(time.Minute)) }()
					time.Sleep(100 * time.Millisecond)
				}
				f.lock.Lock()
				f.lost = 0
				f.lock.Unlock()
				time.Sleep(20 * time.Second)
				c.ReadEngine(t.Context(), r.current.Load())
				time.Sleep(2 * modelLoadTime)
				_, err := c.Ensure(t.Context(), r.id(), adapter(1), 0, within(time.Minute))
				must.NoError(t, err)
				f.lock.Lock()
				defer f.lock.Unlock()
				must.False(t, f.crashed)
			})
		})
	}
}
