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

// TestOwnersWithoutFaults: all engines have an owner soon after the start, and keep
// it.
func TestOwnersWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 1, 9, 12)
		defer p.end()
		p.watch(5 * time.Second)
		must.Eq(t, 12, p.owned())
		p.watch(10 * time.Second)
		must.Eq(t, 12, p.owned())
	})
}

// TestStrongOwn: where enough instances have at least twice the power of the others they
// own all engines; where there are too few of them the others do their part.
func TestStrongOwn(t *testing.T) {
	tests := map[string]struct {
		strong   int
		weakOwns bool
	}{"Enough": {6, false}, "TooFew": {3, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPowerPlay(t, 8, 9, 30, func(n int) float64 {
					if n < tt.strong {
						return 0.8
					}
					return 0.2
				})
				defer p.end()
				p.watch(8 * time.Second)
				must.Eq(t, 30, p.owned())
				weak := 0
				for _, h := range p.holders[tt.strong:] {
					for _, e := range p.engines {
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

// TestViews: every instance knows the same owners of engines, itself not among the others, and
// the same order of duties; a step that shows no change keeps what was known.
func TestViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 4, 3, 12)
		defer p.end()
		p.watch(8 * time.Second)
		for n, h := range p.holders {
			v := h.View()
			must.MapLen(t, 12, v.Owners)
			must.Len(t, 2, v.Others)
			must.False(t, slices.Contains(v.Others, peerAddress(n)))
			must.True(t, slices.Equal(p.holders[0].View().Ranked, v.Ranked))
			must.MapLen(t, len(v.Ranked), v.Live)
		}
		before := p.holders[0].View()
		p.watch(3 * time.Second)
		after := p.holders[0].View()
		must.Greater(t, 0, after.Read.Sub(before.Read))
		must.True(t, maps.Equal(before.Owners, after.Owners))
		p.stops[1]()
		p.watch(8 * time.Second)
		v := p.holders[0].View()
		must.MapLen(t, 12, v.Owners)
		must.True(t, slices.Equal([]netip.AddrPort{peerAddress(2)}, v.Others))
		must.Len(t, 2, v.Ranked)
	})
}

// TestOwnersAtSize: beyond some hundred engines the owners do not grow with them, as long as
// each has room to take over those of lost ones.
func TestOwnersAtSize(t *testing.T) {
	tests := map[string]struct{ engines, least, most int }{
		"Few": {12, 6, 9}, "Today": {84, 10, 12}, "Planned": {600, 30, 45}, "Thousands": {3000, 45, 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCrowd(t, 70, tt.engines)
				for range 12 {
					w.step(t)
				}
				must.Between(t, tt.least, w.owners(), tt.most)
				must.Eq(t, tt.engines, w.ordered())
			})
		})
	}
}

// TestManyEngines: an instance that is to own more engines than fit into one transaction
// of the table takes them one part after the other, gives them up so, and owns no more
// than it can hold all conditions of.
func TestManyEngines(t *testing.T) {
	tests := map[string]struct{ engines, owned int }{"Few": {40, 40}, "Many": {70, 70}, "TooMany": {120, 97}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t, 9, 2, tt.engines)
				defer p.end()
				p.links[1].set(true, 0)
				p.stops[1]()
				p.watch(20 * time.Second)
				must.Eq(t, tt.owned, p.owned())
				p.start(1)
				p.watch(5 * time.Second)
				p.holders[0].Leave()
				p.watch(20 * time.Second)
				must.Eq(t, tt.owned, p.owned())
			})
		})
	}
}

// TestCopyBehind: rows that are read from a copy which does not yet show what this
// instance has written take nothing away from it.
func TestCopyBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 5, 2, 4)
		defer p.end()
		for _, l := range p.links {
			l.fallBehind()
		}
		p.watch(5 * time.Second)
		must.Eq(t, 4, p.owned())
		for range 100 {
			p.watch(100 * time.Millisecond)
			must.Eq(t, 4, p.owned())
		}
	})
}

// TestOwnerDies: the engines of an instance that died have another owner after the
// lease.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 2, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.links[0].set(true, 0)
		p.stops[0]()
		p.watch(6 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestOwnerLeaves: a planned stop frees the engines at once.
func TestOwnerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 3, 3, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.holders[1].Leave()
		p.watch(4 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestLeftWritesNoMore: an instance that has given all up and said that it leaves writes
// nothing more while its last requests end.
func TestLeftWritesNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 3, 1, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.holders[0].Leave()
		p.watch(2 * time.Second)
		writes := p.table.writes()
		p.watch(6 * time.Second)
		must.Eq(t, writes, p.table.writes())
	})
}

// TestOwnerLeavesUnanswered: the next owner may order as soon as it reads that an engine
// was given up, so the former one must not, whether it learns of its own write or not.
func TestOwnerLeavesUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 3, 2, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.links[1].silence()
		p.holders[1].Leave()
		p.watch(4 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// TestNoTurnsOverStart: an instance that gave engines up and starts again leaves the
// gap between its former orders and the next ones, though it does not know of them.
func TestNoTurnsOverStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(t, 6, 2, 6)
		defer p.end()
		p.watch(5 * time.Second)
		p.holders[0].Leave()
		p.watch(600 * time.Millisecond)
		p.start(0)
		p.holders[1].Leave()
		p.watch(6 * time.Second)
		must.Eq(t, 6, p.owned())
	})
}

// trouble is one of the kinds of faults that TestOneOwner plays.
func (p *play) trouble(n, kind int) {
	switch kind {
	case 0:
		p.links[n].set(true, 0)
	case 1:
		p.join(n)
		p.links[n].set(false, 0.4)
	case 2:
		p.start(n)
	case 3:
		p.holders[n].Leave()
		p.watch(time.Second)
		p.start(n)
	case 4:
		p.cutAll(true)
	case 5:
		p.cutAll(true)
		p.join(n)
	case 6:
		p.partition(n)
	default:
		p.join(n)
	}
}

// TestOneOwner plays random faults: cuts, lost and late writes, restarts, planned
// stops. Whatever happens, two instances never order an engine at once, nor by turns
// within the gap, and fencing numbers grow.
func TestOneOwner(t *testing.T) {
	seeds := []uint64{131, 1144, 1611} // an owner went on while one that had started again took over
	for seed := range uint64(100) {
		seeds = append(seeds, seed)
	}
	testOneOwner(t, seeds, false)
}

// TestOneOwnerRelayed plays the same where instances make each other's writes: a write may be
// made by its sender's way, by another's, by both in any order, or late, and takes effect once.
func TestOneOwnerRelayed(t *testing.T) {
	var seeds []uint64
	for seed := range uint64(60) {
		seeds = append(seeds, 5000+seed)
	}
	testOneOwner(t, seeds, true)
}

func testOneOwner(t *testing.T, seeds []uint64, relays bool) {
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 99))
				p := newPlay(t, seed, 4, 5)
				p.relays.Store(relays)
				defer p.end()
				p.watch(4 * time.Second)
				for range 25 {
					p.trouble(r.IntN(len(p.holders)), r.IntN(9))
					p.watch(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
				for n := range p.links {
					p.join(n)
				}
				p.watch(15 * time.Second)
				must.Eq(t, 5, p.owned())
			})
		})
	}
}
