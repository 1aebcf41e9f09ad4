package snipeowner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestOutage answers the pattern of a store that answers nobody for ten seconds: those who own
// engines go on to order them, since nobody else can take them. Where the store answers
// some, or where one who may reach it says nothing, the right ends with the lease.
func TestOutage(t *testing.T) {
	const outage = 10 * time.Second
	twelve := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	tests := map[string]struct {
		instances    int
		cut          []int
		away         []int
		gone         []int // for good, long before
		during, then int
	}{
		"All":       {3, twelve[:3], nil, nil, 6, 6},
		"AllButOne": {3, twelve[1:3], nil, nil, 6, 6},
		"OneIsAway": {3, twelve[:3], twelve[1:2], nil, 0, 6},
		"OneAlone":  {3, twelve[:1], nil, nil, 6, 6},
		"None":      {3, nil, nil, nil, 6, 6},
		"Standby":   {12, twelve, nil, nil, 6, 6},
		"OneIsGone": {3, twelve[:3], nil, twelve[1:2], 6, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlay(t, 11, tt.instances, 6)
				defer p.end()
				for _, n := range tt.gone {
					p.partition(n)
				}
				p.watch(12 * time.Second)
				for _, n := range tt.away {
					p.silence(n, true)
				}
				for _, n := range tt.cut {
					p.links[n].set(true, 0)
				}
				p.watch(outage)
				must.LessEq(t, 6, p.owned())
				must.GreaterEq(t, tt.during, p.owned())
				for n := range p.links {
					p.join(n)
				}
				p.watch(6 * time.Second)
				must.Eq(t, tt.then, p.owned())
			})
		})
	}
}

// TestOutageEnds plays outages of the store for all of forty instances, most of which stand
// by and are not all asked. When it is back an owner that went on renews a moment later than
// others read; nobody may order its engines meanwhile. In these seeds of the first sixty one
// on standby took an engine over before its owner had renewed.
func TestOutageEnds(t *testing.T) {
	for _, seed := range []uint64{5, 12, 14, 36, 52} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 7))
				p := newPlay(t, seed, 40, 5)
				defer p.end()
				p.watch(6 * time.Second)
				for range 6 {
					quick := r.IntN(2) == 0
					for _, l := range p.links {
						l.refuse(quick)
					}
					p.cutAll(true)
					p.watch(time.Duration(500+r.IntN(6000)) * time.Millisecond)
					p.cutAll(false)
					p.watch(time.Duration(3000+r.IntN(3000)) * time.Millisecond)
				}
				p.watch(8 * time.Second)
				must.Eq(t, 5, p.owned())
			})
		})
	}
}
