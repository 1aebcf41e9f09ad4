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

// renew writes the row of this instance, together with the owner rows of the engines that it takes
// over or, after Leave and while it is detached, releases. Unless the instance releases its engines or is on
// standby, the write succeeds only if the instance still owns all engines in its holdings.
func (h *Holder) renew(ctx context.Context, standby bool) error {
	self := h.Self
	self.Leaving, self.Standby = h.leaving.Load(), standby
	self.Detached = h.Detached != nil && h.Detached()
	releases := self.Leaving || self.Detached
	data, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	changes := []snipeplatform.Change{{
		Key:    instanceKey(self.Peer),
		Expect: h.instances[self.Peer].version, Data: data,
	}}
	var taken []takeover
	var released []netip.AddrPort
	switch {
	case releases:
		h.endOrders()
		var planned []snipeplatform.Change
		planned, released = h.planReleases(maxEntries - entryCount(changes))
		changes = append(changes, planned...)
	case !standby:
		changes = append(changes, h.ownershipConditions()...)
		taken = h.takeovers(maxEntries - entryCount(changes))
		for _, t := range taken {
			changes = append(changes, t.changes...)
		}
	}
	changes = deduplicate(changes)
	sent := h.Clock()
	h.attemptedAt = sent
	h.beginDivisionRenewal(standby)
	version, err := h.Table.Write(ctx, h.Operation(), changes)
	if err != nil {
		return errors.Wrap(err, "renew")
	}
	h.recordDivisionRenewal(h.renewedAt, sent, standby)
	h.renewedAt = sent
	if h.joinedAt.IsZero() {
		h.joinedAt = time.Now()
	}
	h.instances[self.Peer] = instanceRow{Instance: self, hash: addressHash(self.Peer), version: version, observedAt: sent}
	if releases {
		h.recordReleases(released)
		return nil
	}
	h.recordRenewal(sent, version, taken)
	return nil
}

// maxEntries is the maximum number of conditions and writes that the store accepts in one
// transaction. A renewal contains a condition for each owned engine, so this also limits the
// number of engines that an instance owns.
const maxEntries = 100

// entryCount returns the number of conditions and writes of changes: each change has a
// condition.
func entryCount(changes []snipeplatform.Change) int {
	n := len(changes)
	for _, c := range changes {
		if c.Data != nil || c.Delete {
			n++
		}
	}
	return n
}

// deduplicate keeps only the first change of each row: several takeovers from one owner each have a
// condition on that owner's row.
func deduplicate(changes []snipeplatform.Change) []snipeplatform.Change {
	seen := make(map[snipeplatform.Key]bool, len(changes))
	return slices.DeleteFunc(changes, func(c snipeplatform.Change) bool {
		duplicate := seen[c.Key]
		seen[c.Key] = true
		return duplicate
	})
}

func ownerKey(engine netip.AddrPort) snipeplatform.Key {
	return snipeplatform.Key{Partition: Partition, Sort: ownerPrefix + engine.String()}
}

func instanceKey(peer netip.AddrPort) snipeplatform.Key {
	return snipeplatform.Key{Partition: Partition, Sort: instancePrefix + peer.String()}
}

// ownershipConditions returns a condition for each engine that this instance owns: its owner row
// must be in the version that this instance last read or wrote.
func (h *Holder) ownershipConditions() []snipeplatform.Change {
	h.lock.Lock()
	defer h.lock.Unlock()
	changes := make([]snipeplatform.Change, 0, len(h.holdings))
	for engine, o := range h.holdings {
		changes = append(changes, snipeplatform.Change{Key: ownerKey(engine), Expect: o.version})
	}
	return changes
}

// endOrders ends the right to order, until a renewal that releases nothing. It is called before the write that releases
// engines: the next owner orders as soon as it reads this write, even if this instance never
// receives the outcome of the write.
func (h *Holder) endOrders() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.orderDeadline = 0
}

// planReleases returns the changes that release engines, as many as fit into capacity entries of
// a transaction, and these engines.
func (h *Holder) planReleases(capacity int) (changes []snipeplatform.Change, released []netip.AddrPort) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for engine, o := range h.holdings {
		// A struct of plain fields always has a JSON form.
		data, _ := json.Marshal(ownership{Fence: o.fence})
		change := []snipeplatform.Change{{Key: ownerKey(engine), Expect: o.version, Data: data}}
		if capacity -= entryCount(change); capacity < 0 {
			break
		}
		changes, released = append(changes, change...), append(released, engine)
	}
	return changes, released
}

// recordReleases removes released engines from the holdings. This instance no longer has a right
// to order; engines that did not fit into the transaction are released by the next renewal.
func (h *Holder) recordReleases(engines []netip.AddrPort) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.orderDeadline = 0
	for _, engine := range engines {
		delete(h.holdings, engine)
		h.lastOwned[engine] = h.Clock()
		h.Log.Log(snipelog.OwnershipReleased, snipelog.Fields{"Engine": engine})
	}
}

// recordRenewal extends the right to order after a successful renewal and adds the engines that
// it took over to the holdings.
func (h *Holder) recordRenewal(sent time.Duration, version uint64, taken []takeover) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.orderDeadline = sent + orderTime
	allowedAt := h.outage.takeoverAllowedAt()
	for engine, o := range h.holdings {
		if !o.confirmed {
			o.confirmed, o.ordersFrom, o.since = true, max(o.ordersFrom, allowedAt), max(o.since, allowedAt)
		}
		h.holdings[engine] = o
	}
	for _, t := range taken {
		// A lease extension may have been granted during the renewal.
		switch {
		case t.previous == h.Self.Peer:
			t.ordersFrom = max(t.ordersFrom, h.outage.ownOrdersFrom(t.ordersFrom))
			t.since = max(t.since, h.outage.ownOrdersFrom(t.since))
		case t.previous.IsValid():
			t.ordersFrom = max(t.ordersFrom, allowedAt)
			if !t.ended {
				t.since = max(t.since, allowedAt)
			}
		}
		h.holdings[t.engine] = holding{fence: t.fence, version: version, ordersFrom: t.ordersFrom, since: t.since, confirmed: true}
		h.ownersChanged = true
		h.owners[t.engine] = ownerRow{version: version, observedAt: sent, ownership: ownership{
			Peer: h.Self.Peer, Incarnation: h.Self.Incarnation, Fence: t.fence,
		}}
		h.Log.Log(snipelog.OwnershipTaken, snipelog.Fields{
			"Engine": t.engine, "Fence": t.fence, "From": t.previous, "OrdersIn": (t.ordersFrom - sent).Milliseconds(),
		})
	}
}
