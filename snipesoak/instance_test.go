package snipesoak

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

// TestPortsDiffer guards against giving two instances the same port, which could happen if a port
// was released before the others were drawn. Each port is drawn as often as there are instances.
func TestPortsDiffer(t *testing.T) {
	all := []*instance{{}, {}, {}}
	draws := 0
	must.NoError(t, reservePorts(all, func() uint16 {
		draws++
		return uint16(lowestPort + draws/len(all))
	}))
	used := make(map[netip.AddrPort]bool)
	for _, i := range all {
		for _, a := range []netip.AddrPort{i.callers, i.ready, i.peers, i.metrics} {
			must.False(t, used[a], must.Sprint(a))
			used[a] = true
		}
	}
}

// TestNoFreePort guards against an endless search when no free port can be drawn.
func TestNoFreePort(t *testing.T) {
	all := []*instance{{}}
	must.Error(t, reservePorts(all, func() uint16 { return lowestPort }))
}
