package snipegateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestFormerFirst answers the pattern of a long tail of adapters that do not all fit: most that
// are asked for again were evicted a while ago, and the engine that held one brings it back in a
// tenth of the time, without the weight store.
func TestFormerFirst(t *testing.T) {
	const count = 6
	home := firstInRank(t, count)
	other := "e0"
	if home == other {
		other = "e1"
	}
	tests := map[string]struct {
		former  []string
		crowded []string
		busy    map[string]time.Duration
		want    string
	}{
		"Nowhere":       {want: home},
		"Elsewhere":     {former: []string{other}, want: other},
		"AtHome":        {former: []string{home}, want: home},
		"Both":          {former: []string{home, other}, want: home},
		"CrowdedThere":  {former: []string{other}, crowded: []string{other}, want: home},
		"NoTimeThere":   {former: []string{other}, busy: map[string]time.Duration{other: time.Minute}, want: home},
		"CrowdedAtHome": {former: []string{other}, crowded: []string{home}, want: other},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChooser(&owners{busy: tt.busy}, count)
				for _, id := range tt.former {
					c.Residency.Tell(id, request.Adapter, 1)
					c.Residency.Deny(id, request.Adapter)
				}
				for _, id := range tt.crowded {
					c.Balancer.Begin(id, crowd)
				}
				choice, err := c.Choose(t.Context(), service, request, nil, objective)
				must.NoError(t, err)
				must.Eq(t, tt.want, choice.Upstream.ID)
			})
		})
	}
}
