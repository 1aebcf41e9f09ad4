package snipeowner

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// renew writes this instance's row, under the condition that it still owns what
// it believes to own, together with the engines that it takes or gives up.
func (h *Holder) renew(ctx context.Context, standby bool) error {
	self := h.Self
	self.Leaving, self.Standby = h.leaving.Load(), standby
	data, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	changes := []snipeplatform.Change{{
		Key:    instanceKey(self.Peer),
		Expect: h.instance[self.Peer].version, Data: data,
	}}
	var wanted []takeover
	var released []netip.AddrPort
	switch {
	case self.Leaving:
		h.endOrders()
		var given []snipeplatform.Change
		given, released = h.releases(maxEntries - entries(changes))
		changes = append(changes, given...)
	case !standby:
		changes = append(changes, h.conditions()...)
		wanted = h.wanted(maxEntries - entries(changes))
		for _, t := range wanted {
			changes = append(changes, t.changes...)
		}
	}
	changes = unique(changes)
	sent := h.Clock()
	h.triedAt = sent
	version, err := h.Table.Write(ctx, h.Operation(), changes)
	if err != nil {
		return errors.Wrap(err, "renew")
	}
	h.renewedAt = sent
	h.instance[self.Peer] = sighting{Instance: self, hash: addressHash(self.Peer), version: version, since: sent}
	if self.Leaving {
		h.released(released)
		return nil
	}
	h.renewed(sent, version, wanted)
	return nil
}

// maxEntries is how many conditions and writes the store takes in one transaction. A
// renewal holds a condition for each engine that is owned, so that it also bounds those.
const maxEntries = 100

// entries counts the conditions and writes of changes: each has a condition.
func entries(changes []snipeplatform.Change) int {
	n := len(changes)
	for _, c := range changes {
		if c.Data != nil || c.Delete {
			n++
		}
	}
	return n
}

// unique drops conditions on a row that is already among the changes.
func unique(changes []snipeplatform.Change) []snipeplatform.Change {
	seen := make(map[snipeplatform.Key]bool, len(changes))
	return slices.DeleteFunc(changes, func(c snipeplatform.Change) bool {
		again := seen[c.Key]
		seen[c.Key] = true
		return again
	})
}

func ownerKey(engine netip.AddrPort) snipeplatform.Key {
	return snipeplatform.Key{Partition: Partition, Sort: ownerPrefix + engine.String()}
}

func instanceKey(peer netip.AddrPort) snipeplatform.Key {
	return snipeplatform.Key{Partition: Partition, Sort: instancePrefix + peer.String()}
}

// conditions hold each owner row of this instance to what it knows.
func (h *Holder) conditions() []snipeplatform.Change {
	h.lock.Lock()
	defer h.lock.Unlock()
	changes := make([]snipeplatform.Change, 0, len(h.holdings))
	for engine, o := range h.holdings {
		changes = append(changes, snipeplatform.Change{Key: ownerKey(engine), Expect: o.version})
	}
	return changes
}

// endOrders ends the right to order for good. It comes before the write that gives
// engines up: the next owner orders as soon as it reads that, also if this instance
// never learns that the write was made.
func (h *Holder) endOrders() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.until = 0
}

// releases give engines up, as many as fit into so many entries.
func (h *Holder) releases(room int) (changes []snipeplatform.Change, released []netip.AddrPort) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for engine, o := range h.holdings {
		// A struct of plain fields always has a JSON form.
		data, _ := json.Marshal(ownership{Fence: o.fence})
		change := []snipeplatform.Change{{Key: ownerKey(engine), Expect: o.version, Data: data}}
		if room -= entries(change); room < 0 {
			break
		}
		changes, released = append(changes, change...), append(released, engine)
	}
	return changes, released
}

// released notes that engines were given up. This instance has no right to order any
// more; what did not fit follows with the next renewal.
func (h *Holder) released(engines []netip.AddrPort) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.until = 0
	for _, engine := range engines {
		delete(h.holdings, engine)
	}
}

// renewed notes a successful renewal.
func (h *Holder) renewed(sent time.Duration, version uint64, taken []takeover) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.until = sent + orderTime
	observed := h.outage.observed()
	for engine, o := range h.holdings {
		if !o.confirmed {
			o.confirmed, o.from = true, max(o.from, observed)
		}
		h.holdings[engine] = o
	}
	for _, t := range taken {
		// A promise may have been given while the renewal was under way.
		switch {
		case t.former == h.Self.Peer:
			t.from = max(t.from, h.outage.ownFrom(t.from))
		case t.former.IsValid():
			t.from = max(t.from, observed)
		}
		h.holdings[t.engine] = holding{fence: t.fence, version: version, from: t.from, confirmed: true}
		h.moved = true
		h.owners[t.engine] = ownerRow{version: version, seen: sent, ownership: ownership{
			Machine: h.Self.Peer, Incarnation: h.Self.Incarnation, Fence: t.fence,
		}}
		h.Log.Log(snipelog.OwnershipTaken, snipelog.Fields{
			"Engine": t.engine, "Fence": t.fence, "From": t.former, "OrdersIn": (t.from - sent).Milliseconds(),
		})
	}
}
