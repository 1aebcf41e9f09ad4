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

// read takes the rows that have changed and drops what this instance no longer owns.
func (h *Holder) read(ctx context.Context) error {
	rows, mark, err := h.Table.List(ctx, Partition, h.mark)
	if err != nil {
		return errors.Wrap(err, "read ownership")
	}
	h.mark = mark
	// Counted from after the read: a version may have been written while the read
	// was under way.
	now := h.Clock()
	h.outage.see(now, h.rowsAge())
	h.take(rows, now)
	h.settle()
	return nil
}

// rowsAge returns how old the rows are that were just read; zero when that is not known.
func (h *Holder) rowsAge() time.Duration {
	if h.RowsAge == nil {
		return 0
	}
	return h.RowsAge()
}

// take notes the rows. A row that cannot be decoded hides no other. Rows are never
// removed: one that is missing was written here a moment ago, and the copy that is
// read does not show it yet.
func (h *Holder) take(rows []snipeplatform.Row, now time.Duration) {
	for _, r := range rows {
		var err error
		if engine, ok := strings.CutPrefix(r.Sort, ownerPrefix); ok {
			err = h.takeOwner(engine, r, now)
		} else {
			err = h.takeInstance(r, now)
		}
		if err != nil {
			h.Log.Error(snipelog.OwnershipRowWrong, err, snipelog.Fields{"Row": r.Sort})
		}
	}
}

func (h *Holder) takeInstance(r snipeplatform.Row, now time.Duration) error {
	s := sighting{version: r.Version, since: now}
	if err := json.Unmarshal(r.Data, &s.Instance); err != nil {
		return err
	}
	if old, ok := h.instance[s.Peer]; ok && old.version >= s.version {
		return nil
	}
	s.hash = addressHash(s.Peer)
	h.instance[s.Peer] = s
	return nil
}

func (h *Holder) takeOwner(name string, r snipeplatform.Row, now time.Duration) error {
	engine, err := netip.ParseAddrPort(name)
	if err != nil {
		return err
	}
	if old, ok := h.owners[engine]; ok && old.version >= r.Version {
		return nil
	}
	o := ownerRow{version: r.Version, seen: now}
	if err := json.Unmarshal(r.Data, &o.ownership); err != nil {
		return err
	}
	h.owners[engine] = o
	h.moved = true
	return nil
}

func (h *Holder) mine(o ownership) bool {
	return o.Machine == h.Self.Peer && o.Incarnation == h.Self.Incarnation
}

// settle makes the holdings what the owner rows say.
func (h *Holder) settle() {
	h.lock.Lock()
	defer h.lock.Unlock()
	for engine, o := range h.holdings {
		row := h.owners[engine]
		if h.mine(row.ownership) && row.Fence == o.fence {
			continue
		}
		delete(h.holdings, engine)
		h.ended[engine] = h.Clock()
		h.Log.Log(snipelog.OwnershipLost, snipelog.Fields{"Engine": engine, "Fence": o.fence})
	}
	for engine, row := range h.owners {
		o, held := h.holdings[engine]
		switch {
		case !h.mine(row.ownership):
		case held:
			o.version = row.version
			h.holdings[engine] = o
		default:
			// A write whose outcome was not known took effect after all. How long
			// ago the former owner could order is not known: wait the whole time.
			from := h.afterOwn(engine, h.Clock()+orderTime+margin)
			h.holdings[engine] = holding{fence: row.Fence, version: row.version, from: from}
		}
	}
}
