package snipeowner

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// Owner is who may order an engine.
type Owner struct {
	Instance Instance
	// Self tells that it is this instance.
	Self bool
}

// View is an immutable snapshot of what is known of the others.
type View struct {
	// Live are the instances that renew, by address, and Ranked the same in the order in
	// which duties for all go to them.
	Live   map[netip.AddrPort]Instance
	Ranked []Instance
	// Lapsed are those that have not renewed for a while.
	Lapsed []netip.AddrPort
	// Owners are the live owners of engines, by the engine's address, and Others where those
	// of them are reached that are other instances.
	Owners map[netip.AddrPort]Owner
	Others []netip.AddrPort
	// Read is when the rows were read.
	Read time.Time
}

// View returns the last snapshot; never nil.
func (h *Holder) View() *View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// publish makes a new view. It shares with the last one what has not changed: most steps
// show that all go on as they were.
func (h *Holder) publish() {
	last := h.View()
	v := &View{Live: make(map[netip.AddrPort]Instance, len(last.Live)), Read: time.Now()}
	for peer, s := range h.instance {
		switch {
		case h.live(s):
			v.Live[peer] = s.Instance
		case h.heardAt()-s.since < lapsedMemory:
			v.Lapsed = append(v.Lapsed, peer)
		}
	}
	same := maps.Equal(v.Live, last.Live)
	if same {
		v.Live, v.Ranked = last.Live, last.Ranked
	} else {
		v.Ranked = h.ranked(v.Live)
	}
	if same && !h.moved && last.Owners != nil {
		v.Owners, v.Others = last.Owners, last.Others
	} else {
		v.Owners, v.Others = h.ownersAmong(v.Live)
	}
	h.moved = false
	h.view.Store(v)
}

// ranked returns the live instances in the order in which duties for all go to them.
func (h *Holder) ranked(live map[netip.AddrPort]Instance) []Instance {
	sightings := make([]sighting, 0, len(live))
	for peer := range live {
		sightings = append(sightings, h.instance[peer])
	}
	slices.SortFunc(sightings, comparePower)
	all := make([]Instance, 0, len(sightings))
	for _, s := range sightings {
		all = append(all, s.Instance)
	}
	return all
}

// ownersAmong returns the owners of engines that are among the live instances, and where
// those are reached that are other instances.
func (h *Holder) ownersAmong(live map[netip.AddrPort]Instance) (owners map[netip.AddrPort]Owner, others []netip.AddrPort) {
	owners = make(map[netip.AddrPort]Owner, len(h.owners))
	peers := make(map[netip.AddrPort]bool)
	for engine, o := range h.owners {
		if h.mine(o.ownership) {
			owners[engine] = Owner{Instance: h.Self, Self: true}
			continue
		}
		// One that has started again takes its engines back at once.
		if i, ok := live[o.Machine]; ok {
			owners[engine] = Owner{Instance: i}
			if i.Peer != h.Self.Peer {
				peers[i.Peer] = true
			}
		}
	}
	return owners, slices.Collect(maps.Keys(peers))
}

// live reports whether an instance's row has changed within a lease's duration.
// While the table does not answer nobody's row changes and all stay as they were.
func (h *Holder) live(s sighting) bool {
	if s.Peer == h.Self.Peer {
		return true
	}
	limit := orderTime + margin + staleRows
	if s.Standby {
		limit += 2 * standbyEvery
	}
	return h.heardAt()-s.since < limit
}

// heardAt is the time as of which the rows tell who lives: the last step in which the table
// answered.
func (h *Holder) heardAt() time.Duration {
	if h.lost || h.stale {
		return h.heard
	}
	return h.Clock()
}

// comparePower orders instances where duties for all are given to a few: the strongest
// first.
func comparePower(a, b sighting) int {
	return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(rank(forAll, b.hash), rank(forAll, a.hash)))
}

// forAll stands for the engine where instances rank for duties that concern no engine.
var forAll = addressHash(netip.AddrPort{})

// addressHash is an address's part of a rank.
func addressHash(a netip.AddrPort) uint64 { return sniperoute.Hash(a.String()) }

// rank returns the value by which an instance ranks for an engine, given by the hashes of
// their addresses.
func rank(engine, instance uint64) uint64 { return sniperoute.Score(engine, instance) }
