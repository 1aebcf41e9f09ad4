package snipeadapter_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
)

// TestInTimeFirst answers the pattern of a burst of rare adapters: more loads queue than come in
// time. One that would come too late for all that wait goes after those that come in time for
// somebody, however many wait for it.
func TestInTimeFirst(t *testing.T) {
	const late, soon, other = 50, 60, 70
	play(t, 16, func(t *testing.T, e *fakeEngine, d *snipeadapter.Desk, _ *bool) {
		var all sync.WaitGroup
		ask := func(n, callers int, patience time.Duration) {
			for range callers {
				all.Go(func() { _, _ = d.Ensure(t.Context(), "e1", adapter(n), 0, patience) })
			}
			time.Sleep(time.Millisecond)
		}
		ask(0, 1, time.Minute)
		ask(1, 1, time.Minute)
		ask(2, 4, time.Minute) // two loads that go before
		ask(3, 4, time.Minute)
		ask(late, 3, 740*time.Millisecond)
		time.Sleep(transfer)
		ask(soon, 1, time.Minute)
		ask(other, 1, time.Minute)
		time.Sleep(transfer + transfer/2)
		must.True(t, e.comes(soon) && e.comes(other))
		must.False(t, e.comes(late) || e.holds(adapter(late)))
		all.Wait()
		must.True(t, e.holds(adapter(late)))
	})
}

// comes reports whether an adapter is on its way to the engine.
func (f *fakeEngine) comes(n int) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	_, ok := f.coming[adapter(n)]
	return ok
}
