package snipesoak

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPortsDiffer: no two instances are given the same port, though each is drawn as often as
// there are instances.
func TestPortsDiffer(t *testing.T) {
	all := []*instance{{}, {}, {}}
	draws := 0
	must.NoError(t, reserve(all, func() uint16 {
		draws++
		return uint16(lowestPort + draws/len(all))
	}))
	seen := make(map[netip.AddrPort]bool)
	for _, i := range all {
		for _, a := range []netip.AddrPort{i.callers, i.ready, i.peers, i.metrics} {
			must.False(t, seen[a], must.Sprint(a))
			seen[a] = true
		}
	}
}

// TestNoPort: a port that is never free is an error.
func TestNoPort(t *testing.T) {
	all := []*instance{{}}
	must.Error(t, reserve(all, func() uint16 { return lowestPort }))
}
