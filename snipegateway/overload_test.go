package snipegateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// overloadWeight is the weight of requests that overloads an engine, which has 64 slots, before
// anything is observed.
const overloadWeight = 66

// TestOverloaded guards against requests that queue at an overloaded engine while others are idle,
// because many requests for an adapter arrive at once. A request goes to an engine that is not
// overloaded, after that engine has loaded the adapter. It goes to an overloaded one only if every
// other engine is overloaded, has more than half of the load, or cannot load the adapter in time.
func TestOverloaded(t *testing.T) {
	const count = 6
	home := firstInRank(t, count)
	tests := map[string]struct {
		homeHolds  bool // whether the home engine, the first in rank, holds the adapter
		overloaded []string
		otherLoad  float64                  // weight of the requests in flight at every other engine
		busy       map[string]time.Duration // wait for a load, by engine
		moved      bool                     // whether the request goes to another engine than the home
		waited     time.Duration
	}{
		"HolderIsNot":      {homeHolds: true},
		"HolderIs":         {homeHolds: true, overloaded: []string{home}, moved: true, waited: loadTime},
		"AllAre":           {homeHolds: true, overloaded: engineNames(count)},
		"OthersAreHalf":    {homeHolds: true, overloaded: []string{home}, otherLoad: 34},
		"OthersHaveNoTime": {homeHolds: true, overloaded: []string{home}, busy: busyEngines(count)},
		"HomeIsNot":        {waited: loadTime},
		"HomeIs":           {overloaded: []string{home}, moved: true, waited: loadTime},
		"AllHomesAre":      {overloaded: engineNames(count), waited: loadTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &fakeOwners{busy: tt.busy}
				c := newChooser(o, count)
				if tt.homeHolds {
					c.Residency.RecordHeld(home, request.Adapter, 1)
				}
				for _, id := range engineNames(count) {
					c.Balancer.Begin(id, tt.otherLoad)
				}
				for _, id := range tt.overloaded {
					c.Balancer.Begin(id, overloadWeight-tt.otherLoad)
				}
				choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, tt.moved, choice.Upstream.ID != home)
				must.Eq(t, tt.waited, choice.Waited)
			})
		})
	}
}

// TestSlowOffload guards against a load on another engine that takes longer than expected and
// delays a request by half a second or more. The request must then go to the overloaded holder.
func TestSlowOffload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := "e0"
		o := &fakeOwners{busy: map[string]time.Duration{}, extraTime: 3 * time.Second}
		c := newChooser(o, 2)
		c.Residency.RecordHeld(home, request.Adapter, 1)
		c.Balancer.Begin(home, overloadWeight)
		begun := time.Now()
		choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.Eq(t, home, choice.Upstream.ID)
		must.Less(t, 500*time.Millisecond, time.Since(begun))
	})
}

// firstInRank returns the engine that loads the request's adapter when all engines are idle.
func firstInRank(t *testing.T, count int) (home string) {
	synctest.Test(t, func(t *testing.T) {
		choice, err := newChooser(&fakeOwners{}, count).Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		home = choice.Upstream.ID
	})
	return home
}

func engineNames(count int) []string {
	var all []string
	for n := range count {
		all = append(all, fmt.Sprint("e", n))
	}
	return all
}

// busyEngines returns a map in which the owners of all engines have loads queued for longer than
// any request waits.
func busyEngines(count int) map[string]time.Duration {
	busy := make(map[string]time.Duration)
	for _, id := range engineNames(count) {
		busy[id] = 2 * time.Second
	}
	return busy
}
