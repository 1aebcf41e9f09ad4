package snipegateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// crowd is the weight of the requests at an engine that has more of them than slots, as long as
// nothing was observed.
const crowd = 66

// TestCrowded answers the pattern of an adapter that many ask for at once while one engine
// holds it, or of one whose first engine in rank is slow: a request goes to an engine that
// is not crowded, after a load, and to the crowded one only where nothing else helps.
func TestCrowded(t *testing.T) {
	const count = 6
	home := firstInRank(t, count)
	tests := map[string]struct {
		held    bool // by home
		crowded []string
		load    float64 // of all others
		busy    map[string]time.Duration
		moved   bool
		waited  time.Duration
	}{
		"HolderIsNot":      {held: true},
		"HolderIs":         {held: true, crowded: []string{home}, moved: true, waited: loadTakes},
		"AllAre":           {held: true, crowded: engineNames(count)},
		"OthersAreHalf":    {held: true, crowded: []string{home}, load: 34},
		"OthersHaveNoTime": {held: true, crowded: []string{home}, busy: busyEngines(count)},
		"HomeIsNot":        {waited: loadTakes},
		"HomeIs":           {crowded: []string{home}, moved: true, waited: loadTakes},
		"AllHomesAre":      {crowded: engineNames(count), waited: loadTakes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &owners{busy: tt.busy}
				c := newChooser(o, count)
				if tt.held {
					c.Residency.Tell(home, request.Adapter, 1)
				}
				for _, id := range engineNames(count) {
					c.Balancer.Begin(id, tt.load)
				}
				for _, id := range tt.crowded {
					c.Balancer.Begin(id, crowd-tt.load)
				}
				choice, err := c.Choose(t.Context(), service, request, nil, objective)
				must.NoError(t, err)
				must.Eq(t, tt.moved, choice.Upstream.ID != home)
				must.Eq(t, tt.waited, choice.Waited)
			})
		})
	}
}

// TestSlowRelief: a load that takes longer than expected holds a request up for less than
// half a second.
func TestSlowRelief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := "e0"
		o := &owners{busy: map[string]time.Duration{}, slow: 3 * time.Second}
		c := newChooser(o, 2)
		c.Residency.Tell(home, request.Adapter, 1)
		c.Balancer.Begin(home, crowd)
		begun := time.Now()
		choice, err := c.Choose(t.Context(), service, request, nil, objective)
		must.NoError(t, err)
		must.Eq(t, home, choice.Upstream.ID)
		must.Less(t, 500*time.Millisecond, time.Since(begun))
	})
}

// firstInRank returns the engine that loads the request's adapter when all are idle.
func firstInRank(t *testing.T, count int) (home string) {
	synctest.Test(t, func(t *testing.T) {
		choice, err := newChooser(&owners{}, count).Choose(t.Context(), service, request, nil, objective)
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

// busyEngines are engines whose owners have loads queued for longer than anybody waits.
func busyEngines(count int) map[string]time.Duration {
	busy := make(map[string]time.Duration)
	for _, id := range engineNames(count) {
		busy[id] = 2 * time.Second
	}
	return busy
}
