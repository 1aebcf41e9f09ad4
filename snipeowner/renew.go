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
	switch {
	case self.Leaving:
		h.endOrders()
		changes = append(changes, h.releases()...)
	case !standby:
		changes = append(changes, h.conditions()...)
		wanted = h.wanted()
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
	h.instance[self.Peer] = sighting{Instance: self, version: version, since: sent}
	h.renewed(sent, version, wanted, self.Leaving)
	return nil
}

// maxChanges bounds the rows of one transaction; the store takes a hundred.
const maxChanges = 90

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

// releases give all engines up.
func (h *Holder) releases() []snipeplatform.Change {
	h.lock.Lock()
	defer h.lock.Unlock()
	var changes []snipeplatform.Change
	for engine, o := range h.holdings {
		// A struct of plain fields always has a JSON form.
		data, _ := json.Marshal(ownership{Fence: o.fence})
		changes = append(changes, snipeplatform.Change{Key: ownerKey(engine), Expect: o.version, Data: data})
	}
	return changes
}

// renewed notes a successful renewal.
func (h *Holder) renewed(sent time.Duration, version uint64, taken []takeover, leaving bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if leaving {
		h.holdings = make(map[netip.AddrPort]holding)
		h.until = 0
		return
	}
	h.until = sent + orderTime
	for engine, o := range h.holdings {
		o.confirmed = true
		h.holdings[engine] = o
	}
	for _, t := range taken {
		h.holdings[t.engine] = holding{fence: t.fence, version: version, from: t.from, confirmed: true}
		h.owners[t.engine] = ownerRow{version: version, seen: sent, ownership: ownership{
			Machine: h.Self.Peer, Incarnation: h.Self.Incarnation, Fence: t.fence,
		}}
		h.Log.Log(snipelog.OwnershipTaken, snipelog.Fields{
			"Engine": t.engine, "Fence": t.fence, "From": t.former, "OrdersIn": (t.from - sent).Milliseconds(),
		})
	}
}
