package snipeadapter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
)

// TestFullEngine guards against callers waiting for a slot on an engine with few slots, all in use,
// while other engines may have a free slot. Such a request must be refused at once. If one slot is
// not in use, the request gets it.
func TestFullEngine(t *testing.T) {
	const maxWait = 400 * time.Millisecond
	tests := map[string]struct {
		inFlight int
		queued   int // loads queued before the request
		busy     bool
	}{
		"OneIsIdle":      {slots - 1, 0, false},
		"AllAreInFlight": {slots, 0, true},
		"IdleIsTaken":    {slots - 1, 1, true},
		"TwoAreIdle":     {slots - 2, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, 21, func(t *testing.T, _ *fakeEngine, c *snipeadapter.Controller, _ *bool) {
				uses := map[snipecatalog.Adapter]snipeadapter.Use{}
				for n := range slots {
					_, err := c.Ensure(t.Context(), "e1", adapter(n), 0, within(longWait))
					must.NoError(t, err)
					if n < tt.inFlight {
						uses[adapter(n)] = snipeadapter.Use{Begun: 1, Running: true}
					}
				}
				time.Sleep(500 * time.Millisecond)
				c.RecordUse("e1", "i1", uses)
				for n := range tt.queued {
					go func() { _, _ = c.Ensure(t.Context(), "e1", adapter(slots+1+n), 0, within(longWait)) }()
					time.Sleep(time.Millisecond)
				}
				begun := time.Now()
				_, err := c.Ensure(t.Context(), "e1", adapter(slots), 0, within(maxWait))
				var busy *snipeadapter.BusyError
				must.Eq(t, tt.busy, errors.As(err, &busy))
				if tt.busy {
					must.Eq(t, 0, time.Since(begun))
					must.Greater(t, maxWait, busy.Wait)
					return
				}
				must.NoError(t, err)
				must.Less(t, maxWait, time.Since(begun))
			})
		})
	}
}
