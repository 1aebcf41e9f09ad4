package snipeowner

import (
	"encoding/json"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// takeover is an engine that this instance is about to own.
type takeover struct {
	engine netip.AddrPort
	former netip.AddrPort
	fence  uint64
	// from is when orders may begin.
	from    time.Duration
	changes []snipeplatform.Change
}

// wanted returns the engines without a live owner for which this instance ranks
// first among the live ones, and those that an earlier start of it owned, as many as
// fit into so many entries of a transaction.
func (h *Holder) wanted(room int) []takeover {
	if h.stale {
		return nil
	}
	now := h.Clock()
	settled := now-h.started >= settleTime
	rivals := h.rivals()
	var all []takeover
	for _, engine := range h.Engines() {
		// Most engines have an owner that renews: what is cheap to tell goes first.
		own := h.owners[engine].Machine == h.Self.Peer
		if !own && (!settled || h.renewing(engine, now) || !h.first(engine, rivals)) {
			continue
		}
		t, ok := h.takeOver(engine, now)
		if !ok {
			continue
		}
		if room -= entries(t.changes); room < 0 {
			return all
		}
		all = append(all, t)
	}
	return all
}

// rivals returns the hashes of the other instances that could take an engine: the live
// ones that stay.
func (h *Holder) rivals() []uint64 {
	var all []uint64
	for peer, s := range h.instance {
		if peer != h.Self.Peer && !s.Leaving && !s.Standby && h.live(s) {
			all = append(all, s.hash)
		}
	}
	return all
}

// renewing reports whether an engine's owner has renewed its row so lately that nobody may
// take the engine.
func (h *Holder) renewing(engine netip.AddrPort, now time.Duration) bool {
	row, known := h.owners[engine]
	if !known || !row.Machine.IsValid() {
		return false
	}
	s, exists := h.instance[row.Machine]
	return exists && s.Incarnation == row.Incarnation && now-s.since < observation
}

// first reports whether this instance ranks before all rivals for an engine.
func (h *Holder) first(engine netip.AddrPort, rivals []uint64) bool {
	key := addressHash(engine)
	own := rank(key, addressHash(h.Self.Peer))
	for _, rival := range rivals {
		if rank(key, rival) > own {
			return false
		}
	}
	return true
}

// takeOver returns how to take an engine, if its owner can no longer order it.
func (h *Holder) takeOver(engine netip.AddrPort, now time.Duration) (takeover, bool) {
	row, known := h.owners[engine]
	if known && h.mine(row.ownership) {
		return takeover{}, false
	}
	t := takeover{engine: engine, former: row.Machine, fence: row.Fence + 1, from: now}
	// A struct of plain fields always has a JSON form.
	data, _ := json.Marshal(ownership{Machine: h.Self.Peer, Incarnation: h.Self.Incarnation, Fence: t.fence})
	t.changes = []snipeplatform.Change{{Key: ownerKey(engine), Expect: row.version, Data: data}}
	switch {
	case !known:
		return t, true
	case row.Machine == h.Self.Peer:
		// An earlier start of this machine has ordered it.
		t.from = h.outage.ownFrom(now)
		return t, true
	case !row.Machine.IsValid():
		// Its owner gave it up, and its orders had ended before.
		t.from = h.afterOwn(engine, now)
		return t, true
	}
	return h.takeFrom(t, row, now)
}

// takeFrom returns how to take an engine from an owner that did not give it up.
func (h *Holder) takeFrom(t takeover, row ownerRow, now time.Duration) (takeover, bool) {
	if now < h.outage.observed() || h.outage.broken() {
		// Its owner may be ordering it by this instance's promise.
		return takeover{}, false
	}
	former, exists := h.instance[row.Machine]
	switch {
	case !exists || former.Incarnation != row.Incarnation:
		// Its row is gone or another start's: the owner's last renewal lies before
		// this row was first read.
		since := row.seen
		if exists {
			since = max(since, former.since)
		}
		t.from = since + orderTime + margin
	case now-former.since < observation:
		return takeover{}, false
	default:
		t.from = former.since + orderTime + margin
		t.changes = append(t.changes, snipeplatform.Change{Key: instanceKey(row.Machine), Expect: former.version})
	}
	t.from = max(t.from, h.afterOwn(t.engine, now))
	return t, true
}

// afterOwn is when this instance may order an engine again that was another's since
// it was its own. What an earlier start of it owned is not known, only that it had
// ended when this one began.
func (h *Holder) afterOwn(engine netip.AddrPort, now time.Duration) time.Duration {
	at, ok := h.ended[engine]
	if !ok {
		at = h.started
	}
	return max(now, at+h.OrderGap)
}
