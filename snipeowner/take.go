package snipeowner

import (
	"encoding/json"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// takeover is an engine that this instance is about to take over, and the changes that do it.
type takeover struct {
	engine   netip.AddrPort
	previous netip.AddrPort
	fence    uint64
	// ordersFrom is when orders may begin, since when the previous owner's right has ended.
	ordersFrom, since time.Duration
	// ended is set if the previous owner's process is known to have ended.
	ended   bool
	changes []snipeplatform.Change
}

// takeovers returns the engines without a live owner for which this instance ranks first among
// the live instances, from settleTime after the start, and at any time the engines that an earlier
// start of this instance owned. It returns as many as fit into capacity entries (conditions and
// writes) of a transaction, and none if the rows could not be read in this step.
func (h *Holder) takeovers(capacity int) []takeover {
	if h.readFailed {
		return nil
	}
	now := h.Clock()
	settled := now-h.started >= settleTime
	rivals := h.rivals()
	var all []takeover
	for _, engine := range h.Engines() {
		// Most engines have an owner that renews: the cheap checks come first.
		own := h.owners[engine].Peer == h.Self.Peer
		if !own && (!settled || h.ownerRenews(engine, now) || !h.ranksFirst(engine, rivals)) {
			continue
		}
		t, ok := h.planTakeover(engine, now)
		if !ok {
			continue
		}
		if capacity -= entryCount(t.changes); capacity < 0 {
			return all
		}
		all = append(all, t)
	}
	return all
}

// rivals returns the address hashes of the other instances that could take over an engine: live
// instances that are neither leaving, on standby nor detached.
func (h *Holder) rivals() []uint64 {
	var all []uint64
	for peer, r := range h.instances {
		if peer != h.Self.Peer && !r.Leaving && !r.Standby && !r.Detached && h.live(r) && !h.hasEnded(r.Instance) {
			all = append(all, r.hash)
		}
	}
	return all
}

// ownerRenews reports whether an engine's owner has renewed its row within observationTime, so
// that no instance may take over the engine.
func (h *Holder) ownerRenews(engine netip.AddrPort, now time.Duration) bool {
	row, known := h.owners[engine]
	if !known || !row.Peer.IsValid() {
		return false
	}
	r, exists := h.instances[row.Peer]
	return exists && r.Incarnation == row.Incarnation && now-r.observedAt < observationTime && !h.hasEnded(r.Instance)
}

// hasEnded reports whether a start of another instance is known to have ended.
func (h *Holder) hasEnded(i Instance) bool { return h.Ended != nil && h.Ended(i) }

// ranksFirst reports whether this instance ranks before all rivals for an engine.
func (h *Holder) ranksFirst(engine netip.AddrPort, rivals []uint64) bool {
	key := addressHash(engine)
	own := score(key, addressHash(h.Self.Peer))
	for _, rival := range rivals {
		if score(key, rival) > own {
			return false
		}
	}
	return true
}

// Successor returns the instance that would take an address over if the given instance had ended, and false if there is
// none.
func (h *Holder) Successor(address, ended netip.AddrPort) (netip.AddrPort, bool) {
	key := addressHash(address)
	var best netip.AddrPort
	var highest uint64
	for peer, i := range h.View().Live {
		if peer == ended || i.Leaving || i.Standby || i.Detached || h.hasEnded(i) {
			continue
		}
		if s := score(key, addressHash(peer)); !best.IsValid() || s > highest {
			best, highest = peer, s
		}
	}
	return best, best.IsValid()
}

// planTakeover returns the takeover of an engine, and false when this instance owns the engine
// already or its owner may still order it.
func (h *Holder) planTakeover(engine netip.AddrPort, now time.Duration) (takeover, bool) {
	row, known := h.owners[engine]
	if known && h.ownedBySelf(row.ownership) {
		return takeover{}, false
	}
	t := takeover{engine: engine, previous: row.Peer, fence: row.Fence + 1, ordersFrom: now, since: now}
	// A struct of plain fields always has a JSON form.
	data, _ := json.Marshal(ownership{Peer: h.Self.Peer, Incarnation: h.Self.Incarnation, Fence: t.fence})
	t.changes = []snipeplatform.Change{{Key: ownerKey(engine), Expect: row.version, Data: data}}
	switch {
	case !known:
		return t, true
	case row.Peer == h.Self.Peer:
		// An earlier start of this instance owned the engine.
		t.ordersFrom = h.outage.ownOrdersFrom(now)
		return t, true
	case !row.Peer.IsValid():
		// The owner released the engine, and had ended its orders before.
		t.ordersFrom = h.orderGapEnd(engine, now)
		return t, true
	}
	return h.planFromOwner(t, row, now)
}

// planFromOwner completes the takeover of an engine whose owner did not release it, and returns
// false when the owner may still order it.
func (h *Holder) planFromOwner(t takeover, row ownerRow, now time.Duration) (takeover, bool) {
	previous, exists := h.instances[row.Peer]
	t.ended = exists && previous.Incarnation == row.Incarnation && h.hasEnded(previous.Instance)
	if !t.ended && (now < h.outage.takeoverAllowedAt() || h.outage.renewalUnanswered()) {
		// The owner may be ordering the engine under a lease extension that this instance granted.
		return takeover{}, false
	}
	switch {
	case !exists || previous.Incarnation != row.Incarnation:
		// The owner's instance row is missing or belongs to another start: the owner's last
		// renewal was before this row was first read.
		observedAt := row.observedAt
		if exists {
			observedAt = max(observedAt, previous.observedAt)
		}
		t.ordersFrom = observedAt + orderTime + margin
		t.since = max(now, t.ordersFrom)
	case now-previous.observedAt < observationTime && !t.ended:
		return takeover{}, false
	default:
		// Orders of an owner that has ended may still be on their way.
		t.ordersFrom = previous.observedAt + orderTime + margin
		t.changes = append(t.changes, snipeplatform.Change{Key: instanceKey(row.Peer), Expect: previous.version})
	}
	t.ordersFrom = max(t.ordersFrom, h.orderGapEnd(t.engine, now))
	return t, true
}

// orderGapEnd returns the earliest time, not before now, at which OrderGap permits this instance to
// order an engine that it takes over from another instance: OrderGap after it last owned the
// engine. It is unknown which engines an earlier start of this instance owned; that start had ended
// when this one began, so the gap of every other engine is counted from there.
func (h *Holder) orderGapEnd(engine netip.AddrPort, now time.Duration) time.Duration {
	at, ok := h.lastOwned[engine]
	if !ok {
		at = h.started
	}
	return max(now, at+h.OrderGap)
}
