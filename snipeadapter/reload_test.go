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

// TestQuickPasses answers the pattern of an adapter that comes back while new ones queue for the
// weight store: what the engine brings from its own memory waits for none of them, and none of
// them longer for it.
func TestQuickPasses(t *testing.T) {
	const quick, queued = 99, 10
	play(t, 14, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		d.Formerly = func(_ string, a snipecatalog.Adapter) bool { return a == adapter(quick) }
		e.remember(adapter(quick))
		var all sync.WaitGroup
		for n := range queued {
			all.Go(func() { _, _ = d.Ensure(t.Context(), "e1", adapter(n), 0, time.Minute) })
		}
		synctest.Wait()
		begun := time.Now()
		_, err := d.Ensure(t.Context(), "e1", adapter(quick), 0, reloadTime)
		must.NoError(t, err)
		must.Less(t, transfer/2, time.Since(begun))
		all.Wait()
		must.False(t, e.overfull())
	})
}

// TestTwoFromStore: two adapters at a time come from the weight store, in addition to those
// from the engine's own memory.
func TestTwoFromStore(t *testing.T) {
	play(t, 15, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		var all sync.WaitGroup
		for n := range places {
			all.Go(func() { _, _ = d.Ensure(t.Context(), "e1", adapter(n), 0, time.Minute) })
		}
		time.Sleep(transfer / 2)
		must.Eq(t, 2, e.begun())
		all.Wait()
		must.Eq(t, places, e.begun())
	})
}

// remember makes the engine have an adapter in its own memory.
func (f *fakeEngine) remember(a snipecatalog.Adapter) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.before[a] = true
}
