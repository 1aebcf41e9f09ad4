package snipeowner

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// read reads the rows that have changed and makes the holdings match them.
func (h *Holder) read(ctx context.Context) error {
	rows, position, err := h.Table.List(ctx, Partition, h.position)
	if err != nil {
		return errors.Wrap(err, "read ownership")
	}
	h.position = position
	// The clock is read after the rows: a version may have been written during the read.
	now := h.Clock()
	h.outage.recordRead(now, h.rowsAge())
	h.recordDivisionRead(now, h.rowsAge())
	h.recordRows(rows, now)
	if _, known := h.instances[h.Self.Peer]; known && h.joinedAt.IsZero() && h.renewedAt == 0 {
		h.joinedAt = time.Unix(0, 0)
	}
	h.reconcileHoldings()
	return nil
}

// rowsAge returns the age of the rows that were just read, or zero if it is unknown.
func (h *Holder) rowsAge() time.Duration {
	if h.RowsAge == nil {
		return 0
	}
	return h.RowsAge()
}

// recordRows records the rows that were read. A row that cannot be decoded does not prevent the
// others from being recorded. A known row that was not returned stays recorded: rows are never
// deleted, so the row is unchanged, or this instance has just written it and the copy that was
// read does not contain it yet.
func (h *Holder) recordRows(rows []snipeplatform.Row, now time.Duration) {
	for _, r := range rows {
		var err error
		if engine, ok := strings.CutPrefix(r.Sort, ownerPrefix); ok {
			err = h.recordOwner(engine, r, now)
		} else {
			err = h.recordInstance(r, now)
		}
		if err != nil {
			h.Log.Error(snipelog.OwnershipRowWrong, err, snipelog.Fields{"Row": r.Sort})
		}
	}
}

func (h *Holder) recordInstance(r snipeplatform.Row, now time.Duration) error {
	row := instanceRow{version: r.Version, observedAt: now}
	if err := json.Unmarshal(r.Data, &row.Instance); err != nil {
		return err
	}
	if old, ok := h.instances[row.Peer]; ok && old.version >= row.version {
		return nil
	}
	row.hash = addressHash(row.Peer)
	h.instances[row.Peer] = row
	return nil
}

func (h *Holder) recordOwner(name string, r snipeplatform.Row, now time.Duration) error {
	engine, err := netip.ParseAddrPort(name)
	if err != nil {
		return err
	}
	if old, ok := h.owners[engine]; ok && old.version >= r.Version {
		return nil
	}
	row := ownerRow{version: r.Version, observedAt: now}
	if err := json.Unmarshal(r.Data, &row.ownership); err != nil {
		return err
	}
	h.owners[engine] = row
	h.ownersChanged = true
	return nil
}

// ownedBySelf reports whether an owner row names this start of this instance.
func (h *Holder) ownedBySelf(o ownership) bool {
	return o.Peer == h.Self.Peer && o.Incarnation == h.Self.Incarnation
}

// reconcileHoldings makes the holdings match the owner rows: it removes the engines that this
// instance no longer owns, and adds those that an owner row unexpectedly assigns to it. The added
// ones cannot be ordered until the next successful renewal.
func (h *Holder) reconcileHoldings() {
	h.lock.Lock()
	defer h.lock.Unlock()
	for engine, o := range h.holdings {
		row := h.owners[engine]
		if h.ownedBySelf(row.ownership) && row.Fence == o.fence {
			continue
		}
		delete(h.holdings, engine)
		h.lastOwned[engine] = h.Clock()
		h.Log.Log(snipelog.OwnershipLost, snipelog.Fields{"Engine": engine, "Fence": o.fence})
	}
	for engine, row := range h.owners {
		o, held := h.holdings[engine]
		switch {
		case !h.ownedBySelf(row.ownership):
		case held:
			o.version = row.version
			h.holdings[engine] = o
		default:
			// A write whose outcome was unknown has taken effect. It is unknown how long ago the
			// previous owner could order, so this instance waits for the full time.
			from := h.Clock() + orderTime + margin
			h.holdings[engine] = holding{fence: row.Fence, version: row.version, ordersFrom: h.orderGapEnd(engine, from), since: from}
		}
	}
}
