package snipebalance_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
)

// TestBoard checks that the load of an upstream is the sum of the newest report of each instance,
// and that the reports of an instance that has stopped reporting expire. Otherwise an instance
// that is gone would be counted forever.
func TestBoard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipebalance.Board{}
		for n := range 20 {
			b.Report("e1", fmt.Sprint("i", n), 9)
			b.Report("e1", fmt.Sprint("i", n), 0.5)
		}
		b.Report("e2", "i1", 3)
		must.Eq(t, map[string]float64{"e1": 10, "e2": 3}, b.Loads())
		time.Sleep(1400 * time.Millisecond)
		b.Report("e1", "i1", 1)
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, map[string]float64{"e1": 1, "e2": 0}, b.Loads())
		must.Eq(t, map[string]float64{"e1": 1}, b.Loads())
	})
}

// TestManyBalancers runs many instances with two requests each in flight at six upstreams. With
// the totals of a board, the busiest upstream has little more than the mean load. When each
// instance counts only its own requests, the busiest upstream has much more than the mean.
func TestManyBalancers(t *testing.T) {
	const instances, inFlight, rounds, count = 60, 2, 20, 6
	tests := map[string]struct {
		shared      bool    // whether the balancers receive the totals of the board
		least, most float64 // load of the busiest upstream as a multiple of the mean
	}{"Shared": {true, 1, 1.15}, "Alone": {false, 1.8, count}}
	var all []*snipedirectory.Upstream
	for n := range count {
		all = append(all, &snipedirectory.Upstream{ID: fmt.Sprint("e", n), Slots: 24})
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := &snipebalance.Board{}
				balancers := make([]snipebalance.Balancer, instances)
				running := make([][]func(), instances)
				for n := range rounds * instances {
					own := n % instances
					b := &balancers[own]
					if tt.shared {
						for id, load := range board.Loads() {
							b.SetLoad(id, load)
						}
					}
					if len(running[own]) == inFlight {
						running[own][0]()
						running[own] = running[own][1:]
					}
					running[own] = append(running[own], b.Begin(b.Pick(all, every, nil).ID, 1))
					for _, u := range all {
						board.Report(u.ID, fmt.Sprint(own), b.InFlight(u.ID))
					}
				}
				busiest := 0.0
				for _, load := range board.Loads() {
					busiest = max(busiest, load*count/(instances*inFlight))
				}
				must.Between(t, tt.least, busiest, tt.most)
			})
		})
	}
}
