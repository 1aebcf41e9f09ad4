package snipeadapter_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
)

// TestLoadsMeetingDeadlineFirst guards against one load that is already too late delaying others
// that can still be in time. During a burst of rarely used adapters more loads are queued than can
// complete in time. A load that is too late for all of its waiters must start after the loads that
// are in time for at least one waiter, however many callers wait for the late one.
func TestLoadsMeetingDeadlineFirst(t *testing.T) {
	const late, soon, other = 50, 60, 70
	runSimulation(t, 16, func(t *testing.T, e *fakeEngine, c *snipeadapter.Controller, _ *bool) {
		var all sync.WaitGroup
		ensure := func(n, callers int, maxWait time.Duration) {
			for range callers {
				all.Go(func() { _, _ = c.Ensure(t.Context(), "e1", adapter(n), 0, within(maxWait)) })
			}
			time.Sleep(time.Millisecond)
		}
		ensure(0, 1, time.Minute)
		ensure(1, 1, time.Minute)
		ensure(2, 4, time.Minute) // these two loads start before the others
		ensure(3, 4, time.Minute)
		ensure(late, 3, 740*time.Millisecond)
		time.Sleep(storeLoadTime)
		ensure(soon, 1, time.Minute)
		ensure(other, 1, time.Minute)
		time.Sleep(storeLoadTime + storeLoadTime/2)
		must.True(t, e.isLoading(soon) && e.isLoading(other))
		must.False(t, e.isLoading(late) || e.holds(adapter(late)))
		all.Wait()
		must.True(t, e.holds(adapter(late)))
	})
}

// isLoading reports whether an adapter is loading on the engine.
func (f *fakeEngine) isLoading(n int) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	_, ok := f.loading[adapter(n)]
	return ok
}
