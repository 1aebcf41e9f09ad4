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

// emptyEngine is an engine that starts again without its base model. It has memory for one model
// and for as many adapters as it has places.
type emptyEngine struct {
	lock     sync.Mutex
	rand     *rand.Rand
	start    int64
	orders   uint64
	weights  int // in adapters; a model weighs modelWeights
	models   []string
	resident map[snipecatalog.Adapter]bool
	loading  bool
	lost     float64
	crashed  bool
}

const (
	modelWeights = 40
	modelLoad    = 1500 * time.Millisecond
)

func (f *emptyEngine) startAgain() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.start++
	f.orders, f.weights, f.models, f.loading = 0, 0, nil, false
	f.resident = map[snipecatalog.Adapter]bool{}
}

func (f *emptyEngine) order(ctx context.Context, _ *snipedirectory.Upstream, o snipeadapter.Order) (snipeadapter.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	f.lock.Lock()
	lost, delay := f.rand.Float64() < f.lost, time.Duration(f.rand.IntN(8000))*time.Millisecond
	f.lock.Unlock()
	if !lost {
		return f.carryOut(o), nil
	}
	time.AfterFunc(delay, func() { f.carryOut(o) })
	<-ctx.Done()
	return snipeadapter.Unanswered, ctx.Err()
}

func (f *emptyEngine) carryOut(o snipeadapter.Order) snipeadapter.Reply {
	f.lock.Lock()
	defer f.lock.Unlock()
	switch {
	case o.Expect != f.orders:
		return snipeadapter.Conflict
	case o.Adapter.Name != "":
		return f.adapter(o)
	case slices.Contains(f.models, o.Adapter.Model):
		return snipeadapter.Holds
	case f.loading:
		return snipeadapter.Taken
	}
	f.take(modelWeights)
	f.loading = true
	start := f.start
	time.AfterFunc(modelLoad, func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		if f.start == start {
			f.loading, f.models = false, []string{o.Adapter.Model}
		}
	})
	return snipeadapter.Taken
}

// adapter carries out an order for an adapter, at once. The lock is held.
func (f *emptyEngine) adapter(o snipeadapter.Order) snipeadapter.Reply {
	held := f.resident[o.Adapter]
	switch {
	case len(f.models) == 0:
		return snipeadapter.Refused
	case o.Action == snipeadapter.Load && !held:
		f.take(1)
		f.resident[o.Adapter] = true
	case o.Action == snipeadapter.Unload && held:
		f.take(-1)
		delete(f.resident, o.Adapter)
	}
	return snipeadapter.Holds
}

// take notes an order that changes the weights. The lock is held.
func (f *emptyEngine) take(weights int) {
	f.orders++
	f.weights += weights
	f.crashed = f.crashed || f.weights > modelWeights+places
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

// TestWeightsAfterStart plays an engine that starts again and again without its base model while
// orders of before, for the model and for adapters, come up to eight seconds late: the next start
// never holds more weights than it has memory for, and serves in the end.
func TestWeightsAfterStart(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &emptyEngine{rand: rand.New(rand.NewPCG(seed, 6)), lost: 0.3, resident: map[snipecatalog.Adapter]bool{}}
				d := &snipeadapter.Desk{
					Engine: snipeadapter.Engine{Order: f.order, Report: f.read},
					Fence:  func(netip.AddrPort) (uint64, bool) { return 1, true },
					Slots:  func(*snipedirectory.Upstream) int { return places },
					Model:  func(*snipedirectory.Upstream) string { return model },
					Newest: func(snipecatalog.Adapter) int64 { return 0 },
					Holder: "one", Log: snipelog.Discard(),
				}
				r := newRegistry(d)
				f.startAgain()
				random := rand.New(rand.NewPCG(seed, 8))
				for n := range 120 {
					if n%30 == 29 {
						f.startAgain()
						r.show(d, int64(2+n/30))
					}
					if u := r.now.Load(); u != nil {
						d.Take(t.Context(), u)
					}
					a := adapter(random.IntN(20))
					go func() { _, _ = d.Ensure(t.Context(), r.id(), a, 0, time.Minute) }()
					time.Sleep(100 * time.Millisecond)
				}
				f.lock.Lock()
				f.lost = 0
				f.lock.Unlock()
				time.Sleep(20 * time.Second)
				d.Take(t.Context(), r.now.Load())
				time.Sleep(2 * modelLoad)
				_, err := d.Ensure(t.Context(), r.id(), adapter(1), 0, time.Minute)
				must.NoError(t, err)
				f.lock.Lock()
				defer f.lock.Unlock()
				must.False(t, f.crashed)
			})
		})
	}
}
