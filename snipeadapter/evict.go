package snipeadapter

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// foreignLoadAge is how long after a read of the engine that showed an adapter as loading, or not all
	// adapters, the read is repeated. Shorter: the adapter may still be loading, since two loads take this long, and a read
	// costs as much as an order. Longer: the adapter cannot be evicted for longer.
	foreignLoadAge = 500 * time.Millisecond
	// missedUses limits the rate assumed for an adapter that is idle for time t to missedUses/t:
	// the end of demand shows after three times the interval between its requests.
	missedUses = 3
	// replicatedFactor scales the value of an adapter that other engines hold too: its loss costs a
	// few refusals until callers know of it, but no load.
	replicatedFactor = 0.05
)

// freeSlot unloads adapters, those of least value first, until a slot is free. If the engine is
// full and foreignLoadsDue is true, freeSlot reads the engine again first. The error wraps errInUse
// if no adapter can be evicted now. The caller holds orderLock.
func (e *engine) freeSlot(ctx context.Context, u *snipedirectory.Upstream) error {
	for {
		victim, full := e.victim(u)
		if !full {
			return nil
		}
		if e.foreignLoadsDue() {
			e.stateKnown.Store(false)
			if _, err := e.ensureState(ctx); err != nil {
				return err
			}
			continue
		}
		if victim.Name == "" {
			return errors.Wrap(errInUse, e.id)
		}
		if err := e.unload(ctx, u, victim); err != nil {
			return err
		}
	}
}

// foreignLoadsDue reports whether the engine must be read again, because loads that were in
// progress when it was last read should be complete by now and this controller does not wait for
// them: loads of the previous owner, or loads that this controller has abandoned. The same holds for
// orders whose adapters the report did not list. Until the engine is read again these take slots and
// cannot be evicted.
func (e *engine) foreignLoadsDue() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if time.Since(e.readAt) < foreignLoadAge {
		return false
	}
	if e.unlisted > 0 {
		return true
	}
	for a, h := range e.held {
		if (h.loading || h.replacing) && !e.activeLoads[a] {
			return true
		}
	}
	return false
}

// unload unloads an adapter and waits until its slot is free. If the outcome is unknown, it reads
// the engine again and returns nil, so that the caller checks for a free slot again. The caller
// holds orderLock: the engine accepts no other order meanwhile.
func (e *engine) unload(ctx context.Context, u *snipedirectory.Upstream, victim snipecatalog.Adapter) error {
	order := Order{Action: Unload, Adapter: victim}
	reply, err := e.sendUntilAnswered(ctx, u, &order)
	for reply == Taken {
		if !snipetime.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
		if reply, err = e.send(ctx, u, &order); errors.Is(err, ErrDoubtful) {
			e.recordReply(ctx, &order, Unanswered, err)
		} else if reply == Unanswered {
			reply = Taken // poll again
		}
	}
	switch reply {
	case Holds:
		e.lock.Lock()
		delete(e.held, victim)
		e.lock.Unlock()
		e.controller.evicted.add(e.id, victim)
		return nil
	case Conflict, Unanswered:
		_, err := e.ensureState(ctx)
		return err
	default:
		return errors.Wrapf(ErrRefused, "unload: %s: %v", reply, err)
	}
}

// victim returns the adapter to unload so that a slot becomes free, and whether the engine is full,
// apart from the reserved slots. The adapter is the zero value if the engine is not full or no
// adapter can be evicted.
func (e *engine) victim(u *snipedirectory.Upstream) (snipecatalog.Adapter, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	slots := e.controller.Slots(u)
	if e.slotsTaken() < slots-e.reservedSlots(slots) {
		return snipecatalog.Adapter{}, false
	}
	a, _ := e.leastValuable(u)
	return a, true
}

// slotsTaken returns how many slots are taken, those of unlisted adapters included: a new version
// that is loading takes a slot beside the version that it replaces. The lock is held.
func (e *engine) slotsTaken() int {
	taken := len(e.held) + e.unlisted
	for _, h := range e.held {
		if h.replacing {
			taken++
		}
	}
	return taken
}

// leastValuable returns the evictable adapter whose loss costs least, and false if none is
// evictable. The lock is held.
func (e *engine) leastValuable(u *snipedirectory.Upstream) (snipecatalog.Adapter, bool) {
	var least snipecatalog.Adapter
	var lowest float64
	found := false
	now := time.Now()
	inFlight := e.inFlight(now)
	for a, h := range e.held {
		if !e.evictable(a, h, inFlight, now) {
			continue
		}
		if score := e.value(u, a, h, now); !found || score < lowest {
			least, lowest, found = a, score, true
		}
	}
	return least, found
}

// evictable reports whether an adapter can be evicted: it was not used for minIdle, no request for
// it is in flight, and neither it nor a newer version is loading. An adapter whose newer version is
// still queued can be evicted: otherwise, if all adapters had a newer version queued, none of these
// loads would get a slot. The lock is held.
func (e *engine) evictable(a snipecatalog.Adapter, h *heldAdapter, inFlight map[snipecatalog.Adapter]bool, now time.Time) bool {
	return !h.loading && !h.replacing && !e.activeLoads[a] && !inFlight[a] && now.Sub(h.lastUsed) >= minIdle
}

// value returns the cost of evicting an adapter: its decaying use count, limited by the time since
// its last use, and scaled by replicatedFactor if other engines can serve it instead.
func (e *engine) value(u *snipedirectory.Upstream, a snipecatalog.Adapter, h *heldAdapter, now time.Time) float64 {
	uses := h.useCount.At(now)
	if idle := now.Sub(h.lastUsed); idle > 0 {
		uses = min(uses, missedUses*float64(halfLife)/math.Ln2/float64(idle))
	}
	perSecond := uses * math.Ln2 / halfLife.Seconds()
	if e.controller.Redundant != nil && e.controller.Redundant(u, a, perSecond) {
		return replicatedFactor * uses
	}
	return uses
}
