package snipeadapter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// copyingEngine answers some orders with a copy of its answer to an earlier one. The connection has an answer too many then,
// which shows before the next call. It also refuses some orders because of another one.
type copyingEngine struct {
	*fakeEngine
	random  *rand.Rand
	earlier []snipeadapter.Reply
	surplus bool
	// calm ends the copies and the refusals.
	calm atomic.Bool
}

func (c *copyingEngine) order(ctx context.Context, u *snipedirectory.Upstream, o snipeadapter.Order) (snipeadapter.Reply, error) {
	if c.takeSurplus() {
		return snipeadapter.Unanswered, snipeadapter.ErrDoubtful
	}
	c.lock.Lock()
	busy, copied := !c.calm.Load() && c.random.IntN(10) == 0, !c.calm.Load() && c.random.IntN(10) == 0
	c.lock.Unlock()
	reply := snipeadapter.Conflict
	if !busy {
		reply, _ = c.fakeEngine.order(ctx, u, o)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.earlier = append(c.earlier, reply)
	if !copied {
		return reply, nil
	}
	c.surplus = true
	return c.earlier[max(len(c.earlier)-1-c.random.IntN(4), 0)], nil
}

func (c *copyingEngine) read(ctx context.Context, u *snipedirectory.Upstream) (snipeadapter.Report, error) {
	if c.takeSurplus() {
		return snipeadapter.Report{}, snipeadapter.ErrDoubtful
	}
	return c.fakeEngine.read(ctx, u)
}

func (c *copyingEngine) takeSurplus() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	surplus := c.surplus
	c.surplus = false
	return surplus
}

// TestCopiedReplies guards against an engine that is ordered beyond its slots because the answer to an earlier order was taken
// for that to a later one: a load that the engine has not taken is begun by its poll, for which no slot is free any more, or a
// load counts as complete that still takes the slot of the version before.
func TestCopiedReplies(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, seed, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				random := rand.New(rand.NewPCG(seed, 9))
				f := &copyingEngine{fakeEngine: e, random: rand.New(rand.NewPCG(seed, 8))}
				c.Engine = snipeadapter.Engine{Order: f.order, Report: f.read}
				var all sync.WaitGroup
				for range 300 {
					a, version := adapter(random.IntN(20)), int64(1+random.IntN(3))
					all.Go(func() { _, _ = c.Ensure(t.Context(), "e1", a, version, within(time.Minute)) })
					time.Sleep(time.Duration(random.IntN(90)) * time.Millisecond)
				}
				all.Wait()
				must.False(t, e.exceededSlots())
				f.calm.Store(true)
				// The first of them is sent in any case, and shows an answer too many that is left.
				for _, a := range []snipecatalog.Adapter{adapter(20), adapter(1)} {
					_, err := c.Ensure(t.Context(), "e1", a, 1, within(time.Minute))
					must.NoError(t, err)
					must.True(t, e.holds(a))
				}
			})
		})
	}
}
