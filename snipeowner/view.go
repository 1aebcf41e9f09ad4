package snipeowner

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// Owner describes the instance that owns an engine.
type Owner struct {
	Instance Instance
	// Self reports that the owner is this instance.
	Self bool
}

// View is an immutable snapshot of the live instances and the owners of engines.
type View struct {
	// Live maps addresses to the instances that renew their rows, and to this instance once its row
	// was read or written. Ranked holds the same instances in the order in which they are chosen
	// for duties for all instances.
	Live   map[netip.AddrPort]Instance
	Ranked []Instance
	// Lapsed holds the addresses of the instances that stopped renewing within the last
	// lapsedRetention.
	Lapsed []netip.AddrPort
	// Recent holds the instances that are not live and whose rows have changed within recentTime.
	Recent []Instance
	// Owners maps the addresses of engines to their live owners. OtherOwners holds the addresses of
	// the owners other than this instance.
	Owners      map[netip.AddrPort]Owner
	OtherOwners []netip.AddrPort
	// CreatedAt is when the view was created. Run creates one after its first read, at the end of
	// each step and after each successful read between two steps. A step does so also if its read
	// or its renewal failed, but not while no rows were ever available (ErrNotRead).
	CreatedAt time.Time
	// JoinedAt is when this instance learned that its row was in the table: at its first read if an earlier start of it
	// had written one, otherwise at its first successful renewal. It is far in the past in the first case, since
	// the other instances have known the row before, and zero before both.
	JoinedAt time.Time
	// Division is how this instance takes part in limits on all instances together.
	Division Division
}

// View returns the last snapshot. It is never nil, but empty until the rows were first read.
func (h *Holder) View() *View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// publish creates a new view. The new view shares unchanged parts with the last one, since most
// steps find no change.
func (h *Holder) publish() {
	last := h.View()
	v := &View{Live: make(map[netip.AddrPort]Instance, len(last.Live)), CreatedAt: time.Now(), JoinedAt: h.joinedAt, Division: h.division()}
	for peer, r := range h.instances {
		switch {
		case h.live(r):
			v.Live[peer] = r.Instance
		case h.livenessTime()-r.observedAt < lapsedRetention:
			v.Lapsed = append(v.Lapsed, peer)
			if h.livenessTime()-r.observedAt < recentTime {
				v.Recent = append(v.Recent, r.Instance)
			}
		}
	}
	unchanged := maps.Equal(v.Live, last.Live)
	if unchanged {
		v.Live, v.Ranked = last.Live, last.Ranked
	} else {
		v.Ranked = h.rankInstances(v.Live)
	}
	if unchanged && !h.ownersChanged && last.Owners != nil {
		v.Owners, v.OtherOwners = last.Owners, last.OtherOwners
	} else {
		v.Owners, v.OtherOwners = h.ownersAmong(v.Live)
	}
	h.ownersChanged = false
	h.view.Store(v)
}

// rankInstances returns the live instances in the order in which they are chosen for duties for
// all instances.
func (h *Holder) rankInstances(live map[netip.AddrPort]Instance) []Instance {
	rows := make([]instanceRow, 0, len(live))
	for peer := range live {
		rows = append(rows, h.instances[peer])
	}
	slices.SortFunc(rows, comparePower)
	all := make([]Instance, 0, len(rows))
	for _, r := range rows {
		all = append(all, r.Instance)
	}
	return all
}

// ownersAmong returns the owners of engines that are among the live instances, and the addresses
// of those owners that are other instances.
func (h *Holder) ownersAmong(live map[netip.AddrPort]Instance) (owners map[netip.AddrPort]Owner, others []netip.AddrPort) {
	owners = make(map[netip.AddrPort]Owner, len(h.owners))
	peers := make(map[netip.AddrPort]bool)
	for engine, o := range h.owners {
		if h.ownedBySelf(o.ownership) {
			owners[engine] = Owner{Instance: h.Self, Self: true}
			continue
		}
		// The incarnation is not compared: an owner that has restarted takes its engines back at
		// once.
		if i, ok := live[o.Peer]; ok {
			owners[engine] = Owner{Instance: i}
			if i.Peer != h.Self.Peer {
				peers[i.Peer] = true
			}
		}
	}
	return owners, slices.Collect(maps.Keys(peers))
}

// live reports whether an instance's row has changed within the duration of a lease and maxRowAge,
// or, for an instance on standby, within two standbyInterval more. This instance is always live.
// While the table does not answer, no row changes and the liveness of all instances stays as it
// was.
func (h *Holder) live(r instanceRow) bool {
	if r.Peer == h.Self.Peer {
		return true
	}
	limit := orderTime + margin + maxRowAge
	if r.Standby {
		limit += 2 * standbyInterval
	}
	return h.livenessTime()-r.observedAt < limit
}

// livenessTime returns the time as of which the rows show which instances are live: now, or the
// last step in which the table answered.
func (h *Holder) livenessTime() time.Duration {
	if h.renewalFailed || h.readFailed {
		return h.answeredAt
	}
	return h.Clock()
}

// comparePower orders instances for duties that a few perform for all: by decreasing power, then
// by rank.
func comparePower(a, b instanceRow) int {
	return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(score(noEngineHash, b.hash), score(noEngineHash, a.hash)))
}

// noEngineHash takes the place of an engine's hash where instances are ranked for duties that
// concern no engine.
var noEngineHash = addressHash(netip.AddrPort{})

// addressHash returns the hash of an address from which ranks are calculated.
func addressHash(a netip.AddrPort) uint64 { return sniperoute.Hash(a.String()) }

// score returns the score of an instance for an engine in the rendezvous hash; the instance with
// the highest score ranks first. Both are given by the hashes of their addresses.
func score(engine, instance uint64) uint64 { return sniperoute.Score(engine, instance) }
