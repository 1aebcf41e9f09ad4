package snipeadapter_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
)

// TestReloadsBypassStoreQueue guards against a reload waiting behind loads that are queued for the
// weight store. An adapter that the engine loads from its own memory must not wait for these loads,
// and all loads together must not exceed the engine's slots.
func TestReloadsBypassStoreQueue(t *testing.T) {
	const reloaded, queued = 99, 10
	runSimulation(t, 14, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		c.PreviouslyHeld = func(_ string, a snipecatalog.Adapter) bool { return a == adapter(reloaded) }
		e.remember(adapter(reloaded))
		var all sync.WaitGroup
		for n := range queued {
			all.Go(func() { _, _ = c.Ensure(t.Context(), "e1", adapter(n), 0, within(time.Minute)) })
		}
		synctest.Wait()
		begun := time.Now()
		_, err := c.Ensure(t.Context(), "e1", adapter(reloaded), 0, within(reloadTime))
		must.NoError(t, err)
		must.Less(t, storeLoadTime/2, time.Since(begun))
		all.Wait()
		must.False(t, e.exceededSlots())
	})
}

// TestConcurrentStoreLoads checks that two adapters load from the weight store at a time while more
// loads are queued, and that all of them are loaded in the end.
func TestConcurrentStoreLoads(t *testing.T) {
	runSimulation(t, 15, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		var all sync.WaitGroup
		for n := range slots {
			all.Go(func() { _, _ = c.Ensure(t.Context(), "e1", adapter(n), 0, within(time.Minute)) })
		}
		time.Sleep(storeLoadTime / 2)
		must.Eq(t, 2, e.begun())
		all.Wait()
		must.Eq(t, slots, e.begun())
	})
}

// remember adds an adapter to the engine's own memory.
func (f *fakeEngine) remember(a snipecatalog.Adapter) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.inMemory[a] = true
}
