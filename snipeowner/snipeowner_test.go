package snipeowner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOwnersWithoutFaults checks that all engines have an owner soon after the start, and that
// they keep having one.
func TestOwnersWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 1, 9, 12)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		must.Eq(t, 12, s.orderable())
		s.runAndCheck(10 * time.Second)
		must.Eq(t, 12, s.orderable())
	})
}

// TestStrongInstancesOwn checks that instances with at least twice the power of the others own all
// engines if there are enough of them, and that weak instances own engines too if there are not.
func TestStrongInstancesOwn(t *testing.T) {
	tests := map[string]struct {
		strong   int
		weakOwns bool
	}{"Enough": {6, false}, "TooFew": {3, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulationWithPower(t, 8, 9, 30, func(n int) float64 {
					if n < tt.strong {
						return 0.8
					}
					return 0.2
				})
				defer s.shutDown()
				s.runAndCheck(8 * time.Second)
				must.Eq(t, 30, s.orderable())
				weak := 0
				for _, h := range s.holders[tt.strong:] {
					for _, e := range s.engines {
						if _, ok := h.Fence(e); ok {
							weak++
						}
					}
				}
				must.Eq(t, tt.weakOwns, weak > 0)
			})
		})
	}
}

// TestViews checks that the views of all instances agree on the owners of engines and on the
// ranking, that OtherOwners does not contain the instance itself, and that steps without changes
// keep the owners. After an instance has stopped, the views no longer contain it and other
// instances own its engines.
func TestViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 4, 3, 12)
		defer s.shutDown()
		s.runAndCheck(8 * time.Second)
		for n, h := range s.holders {
			v := h.View()
			must.MapLen(t, 12, v.Owners)
			must.Len(t, 2, v.OtherOwners)
			must.False(t, slices.Contains(v.OtherOwners, peerAddress(n)))
			must.True(t, slices.Equal(s.holders[0].View().Ranked, v.Ranked))
			must.MapLen(t, len(v.Ranked), v.Live)
		}
		before := s.holders[0].View()
		s.runAndCheck(3 * time.Second)
		after := s.holders[0].View()
		must.Greater(t, 0, after.CreatedAt.Sub(before.CreatedAt))
		must.True(t, maps.Equal(before.Owners, after.Owners))
		s.stops[1]()
		s.runAndCheck(8 * time.Second)
		v := s.holders[0].View()
		must.MapLen(t, 12, v.Owners)
		must.True(t, slices.Equal([]netip.AddrPort{peerAddress(2)}, v.OtherOwners))
		must.Len(t, 2, v.Ranked)
	})
}

// TestOwnerCount checks how many of 70 instances own engines, for 12 to 3000 engines, and that all
// engines may be ordered. Above a few hundred engines the number of owners hardly grows with the
// engines; see maxOwners in standby.go.
func TestOwnerCount(t *testing.T) {
	tests := map[string]struct{ engines, least, most int }{
		"Few": {12, 6, 9}, "Today": {84, 10, 12}, "Planned": {600, 30, 45}, "Thousands": {3000, 45, 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLockstep(t, 70, tt.engines)
				for range 12 {
					l.step(t)
				}
				must.Between(t, tt.least, l.owners(), tt.most)
				must.Eq(t, tt.engines, l.orderable())
			})
		})
	}
}

// TestManyEngines checks that an instance that should own more engines than fit into one
// transaction of the table takes over and releases them in several transactions, and owns no
// more engines than the conditions of one transaction cover.
func TestManyEngines(t *testing.T) {
	tests := map[string]struct{ engines, owned int }{"Few": {40, 40}, "Many": {70, 70}, "TooMany": {120, 97}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 9, 2, tt.engines)
				defer s.shutDown()
				s.links[1].setFaults(true, 0)
				s.stops[1]()
				s.runAndCheck(20 * time.Second)
				must.Eq(t, tt.owned, s.orderable())
				s.start(1)
				s.runAndCheck(5 * time.Second)
				s.holders[0].Leave()
				s.runAndCheck(20 * time.Second)
				must.Eq(t, tt.owned, s.orderable())
			})
		})
	}
}

// TestStaleCopy guards against an instance that loses its engines because it reads the rows from
// a copy that does not yet contain its own last write.
func TestStaleCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 5, 2, 4)
		defer s.shutDown()
		for _, l := range s.links {
			l.makeStale()
		}
		s.runAndCheck(5 * time.Second)
		must.Eq(t, 4, s.orderable())
		for range 100 {
			s.runAndCheck(100 * time.Millisecond)
			must.Eq(t, 4, s.orderable())
		}
	})
}

// TestOwnerDies checks that all engines may be ordered again six seconds after the death of an
// instance.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 2, 3, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		s.links[0].setFaults(true, 0)
		s.stops[0]()
		s.runAndCheck(6 * time.Second)
		must.Eq(t, 6, s.orderable())
	})
}

// TestTakeoverFromEnded guards against an owner that is known to have ended and keeps what it owned until its lease ends,
// and against orders of the next owner before that, while those of the ended one may still be on their way.
func TestTakeoverFromEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 6, 3, 12)
		defer s.shutDown()
		s.runAndCheck(8 * time.Second)
		var owned []netip.AddrPort
		for _, e := range s.engines {
			if _, ok := s.holders[1].Fence(e); ok {
				owned = append(owned, e)
			}
		}
		must.SliceNotEmpty(t, owned)
		s.end(1)
		s.runAndCheck(time.Second)
		for _, e := range owned {
			rights, orders := 0, 0
			for _, n := range []int{0, 2} {
				if _, ok := s.holders[n].Right(e); ok {
					rights++
				}
				if _, ok := s.holders[n].Fence(e); ok {
					orders++
				}
			}
			must.Eq(t, 1, rights)
			must.Zero(t, orders)
		}
		s.runAndCheck(5 * time.Second)
		must.Eq(t, 12, s.orderable())
	})
}

// TestOwnerLeaves checks that all engines may be ordered again four seconds after the begin of the
// planned stop of an instance.
func TestOwnerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 3, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		s.holders[1].Leave()
		s.runAndCheck(4 * time.Second)
		must.Eq(t, 6, s.orderable())
	})
}

// TestNoRenewalAfterLeave guards against an instance that keeps writing its row while its last
// requests end, although it has released all engines and its row states that it is leaving.
func TestNoRenewalAfterLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 1, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		s.holders[0].Leave()
		s.runAndCheck(2 * time.Second)
		writes := s.table.writes()
		s.runAndCheck(6 * time.Second)
		must.Eq(t, writes, s.table.writes())
	})
}

// TestOwnerLeavesUnanswered guards against two instances that order an engine at the same time
// when the release of the engine is written but not answered: the next owner orders as soon as
// it reads the release, so the previous owner must have ended its orders before.
func TestOwnerLeavesUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 3, 2, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		s.links[1].loseReplies()
		s.holders[1].Leave()
		s.runAndCheck(4 * time.Second)
		must.Eq(t, 6, s.orderable())
	})
}

// TestOrderGapAcrossRestart guards against an instance that releases engines, restarts, and orders
// them again within OrderGap, since it has no record of the orders before its restart.
func TestOrderGapAcrossRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 6, 2, 6)
		defer s.shutDown()
		s.runAndCheck(5 * time.Second)
		s.holders[0].Leave()
		s.runAndCheck(600 * time.Millisecond)
		s.start(0)
		s.holders[1].Leave()
		s.runAndCheck(6 * time.Second)
		must.Eq(t, 6, s.orderable())
	})
}

// injectFault applies one of the kinds of faults of TestOneOwner to an instance.
func (s *simulation) injectFault(n, kind int) {
	switch kind {
	case 0:
		s.links[n].setFaults(true, 0)
	case 1:
		s.reconnect(n)
		s.links[n].setFaults(false, 0.4)
	case 2:
		s.start(n)
	case 3:
		s.holders[n].Leave()
		s.runAndCheck(time.Second)
		s.start(n)
	case 4:
		s.cutAll(true)
	case 5:
		s.cutAll(true)
		s.reconnect(n)
	case 6:
		s.partition(n)
	default:
		s.reconnect(n)
	}
}

// TestOneOwner simulates random faults: cut connections, lost and late writes, restarts and
// planned stops. It guards against two instances that order an engine at the same time or
// alternate within OrderGap, and against fencing numbers that do not grow.
func TestOneOwner(t *testing.T) {
	seeds := []uint64{131, 1144, 1611} // an owner continued while a restarted instance took over
	for seed := range uint64(100) {
		seeds = append(seeds, seed)
	}
	testOneOwner(t, seeds, false)
}

// TestOneOwnerRelayed simulates the same faults where instances relay each other's writes. A write
// may reach the table by its sender's link, by the link of another instance, by both in any
// order, or late. The test guards against the same failures as TestOneOwner.
func TestOneOwnerRelayed(t *testing.T) {
	var seeds []uint64
	for seed := range uint64(60) {
		seeds = append(seeds, 5000+seed)
	}
	testOneOwner(t, seeds, true)
}

func testOneOwner(t *testing.T, seeds []uint64, relayWrites bool) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 99))
				s := newSimulation(t, seed, 4, 5)
				s.relayWrites.Store(relayWrites)
				defer s.shutDown()
				s.runAndCheck(4 * time.Second)
				for range 25 {
					s.injectFault(r.IntN(len(s.holders)), r.IntN(9))
					s.runAndCheck(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
				for n := range s.links {
					s.reconnect(n)
				}
				s.runAndCheck(15 * time.Second)
				must.Eq(t, 5, s.orderable())
			})
		})
	}
}

// TestDetached guards against engines that keep an owner which cannot reach them, and against two owners of an engine
// when an instance is detached and comes back again and again.
func TestDetached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 6, 3, 12)
		defer s.shutDown()
		detached := false
		s.holders[0].Detached = func() bool { return detached }
		s.runAndCheck(8 * time.Second)
		must.Eq(t, 12, s.orderable())
		for range 5 {
			detached = true
			s.runAndCheck(6 * time.Second)
			must.False(t, s.holders[0].Owns())
			must.Eq(t, 12, s.orderable())
			detached = false
			s.runAndCheck(3 * time.Second)
			must.Eq(t, 12, s.orderable())
		}
	})
}
