package snipegateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestPreviousHolderFirst guards against avoidable loads from the weight store. When not all
// adapters fit on the engines, most adapters requested again were evicted some time before, and the
// engine that held one recently reloads it in a tenth of the time without the weight store. Such an
// engine must be asked first, unless it is overloaded or cannot load the adapter in time.
func TestPreviousHolderFirst(t *testing.T) {
	const count = 6
	home := firstInRank(t, count)
	other := "e0"
	if home == other {
		other = "e1"
	}
	tests := map[string]struct {
		previous   []string
		overloaded []string
		busy       map[string]time.Duration
		want       string
	}{
		"Nowhere":       {want: home},
		"Elsewhere":     {previous: []string{other}, want: other},
		"AtHome":        {previous: []string{home}, want: home},
		"Both":          {previous: []string{home, other}, want: home},
		"CrowdedThere":  {previous: []string{other}, overloaded: []string{other}, want: home},
		"NoTimeThere":   {previous: []string{other}, busy: map[string]time.Duration{other: time.Minute}, want: home},
		"CrowdedAtHome": {previous: []string{other}, overloaded: []string{home}, want: other},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChooser(&fakeOwners{busy: tt.busy}, count)
				for _, id := range tt.previous {
					c.Residency.RecordHeld(id, request.Adapter, 1)
					c.Residency.RecordAbsent(id, request.Adapter)
				}
				for _, id := range tt.overloaded {
					c.Balancer.Begin(id, overloadWeight)
				}
				choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, tt.want, choice.Upstream.ID)
			})
		})
	}
}
