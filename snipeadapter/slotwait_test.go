package snipeadapter_test

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
)

// TestFullEngine answers the pattern of engines with few places, all of which are in use: whoever
// asks such an engine for one more adapter is told so at once, while others may have a place,
// and not after having waited for one. Where one place is not in use it gets the adapter.
func TestFullEngine(t *testing.T) {
	const patience = 400 * time.Millisecond
	tests := map[string]struct {
		inFlight int
		queued   int // loads that are ahead
		busy     bool
	}{
		"OneIsIdle":      {places - 1, 0, false},
		"AllAreInFlight": {places, 0, true},
		"IdleIsTaken":    {places - 1, 1, true},
		"TwoAreIdle":     {places - 2, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			play(t, 21, func(t *testing.T, _ *fakeEngine, d *snipeadapter.Desk, _ *bool) {
				uses := map[snipecatalog.Adapter]snipeadapter.Use{}
				for n := range places {
					_, err := d.Ensure(t.Context(), "e1", adapter(n), 0, patient)
					must.NoError(t, err)
					if n < tt.inFlight {
						uses[adapter(n)] = snipeadapter.Use{Begun: 1, Running: true}
					}
				}
				time.Sleep(500 * time.Millisecond)
				d.Used("e1", "i1", uses)
				for n := range tt.queued {
					go func() { _, _ = d.Ensure(t.Context(), "e1", adapter(places+1+n), 0, patient) }()
					time.Sleep(time.Millisecond)
				}
				begun := time.Now()
				_, err := d.Ensure(t.Context(), "e1", adapter(places), 0, patience)
				var busy *snipeadapter.BusyError
				must.Eq(t, tt.busy, errors.As(err, &busy))
				if tt.busy {
					must.Eq(t, 0, time.Since(begun))
					must.Greater(t, patience, busy.Wait)
					return
				}
				must.NoError(t, err)
				must.Less(t, patience, time.Since(begun))
			})
		})
	}
}
