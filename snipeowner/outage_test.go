package snipeowner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOutage guards against owners that stop ordering while the store answers no instance for
// ten seconds, although no other instance can take over their engines, against two instances that
// order an engine at the same time because the store answers only some instances, and against
// engines that no instance may order six seconds after the outage.
func TestOutage(t *testing.T) {
	const outage = 10 * time.Second
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	tests := map[string]struct {
		instances     int
		cut           []int
		unreachable   []int
		lapsed        []int // cut off from the beginning
		during, after int
	}{
		"All":       {3, all[:3], nil, nil, 6, 6},
		"AllButOne": {3, all[1:3], nil, nil, 6, 6},
		"OneIsAway": {3, all[:3], all[1:2], nil, 0, 6},
		"OneAlone":  {3, all[:1], nil, nil, 6, 6},
		"None":      {3, nil, nil, nil, 6, 6},
		"Standby":   {12, all, nil, nil, 6, 6},
		"OneIsGone": {3, all[:3], nil, all[1:2], 6, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 11, tt.instances, 6)
				defer s.shutDown()
				for _, n := range tt.lapsed {
					s.partition(n)
				}
				s.runAndCheck(12 * time.Second)
				for _, n := range tt.unreachable {
					s.setUnreachable(n, true)
				}
				for _, n := range tt.cut {
					s.links[n].setFaults(true, 0)
				}
				s.runAndCheck(outage)
				must.LessEq(t, 6, s.orderable())
				must.GreaterEq(t, tt.during, s.orderable())
				for n := range s.links {
					s.reconnect(n)
				}
				s.runAndCheck(6 * time.Second)
				must.Eq(t, tt.after, s.orderable())
			})
		})
	}
}

// TestOutageRecovery simulates outages of the store for 40 instances. Most of them are on standby,
// and not all of these are asked for lease extensions. After an outage other instances may read the
// rows before an owner that continued renews; none of them may order its engines. With these seeds,
// out of the first 60, an instance on standby took over an engine before its owner had renewed.
func TestOutageRecovery(t *testing.T) {
	for _, seed := range []uint64{5, 12, 14, 36, 52} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 7))
				s := newSimulation(t, seed, 40, 5)
				defer s.shutDown()
				s.runAndCheck(6 * time.Second)
				for range 6 {
					failFast := r.IntN(2) == 0
					for _, l := range s.links {
						l.setFailFast(failFast)
					}
					s.cutAll(true)
					s.runAndCheck(time.Duration(500+r.IntN(6000)) * time.Millisecond)
					s.cutAll(false)
					s.runAndCheck(time.Duration(3000+r.IntN(3000)) * time.Millisecond)
				}
				s.runAndCheck(8 * time.Second)
				must.Eq(t, 5, s.orderable())
			})
		})
	}
}
