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

// makeRoom unloads adapters until there is room for one more, the least recently
// used first. The caller holds ordering.
func (e *engine) makeRoom(ctx context.Context, u *snipedirectory.Upstream) error {
	for {
		victim, full := e.victim(u)
		if !full {
			return nil
		}
		if e.strays() {
			e.read.Store(false)
			if _, err := e.known(ctx); err != nil {
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

// strays reports whether adapters should have come meanwhile that were on their way when the
// engine was last read, by orders of which this instance awaits no end: of the owner before,
// or given up. Until the engine is read again they take places and cannot be evicted.
func (e *engine) strays() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if time.Since(e.readAt) < strayAge {
		return false
	}
	for a, h := range e.held {
		if (h.coming || h.replaced) && !e.bringing[a] {
			return true
		}
	}
	return false
}

// strayAge is how old the reading of an engine may be that showed an adapter on its way: two
// loads are over by then, and reading an engine costs as much as an order.
const strayAge = 500 * time.Millisecond

// unload takes an adapter off the engine and waits until its place is free. The
// caller holds ordering: meanwhile the engine takes no other order.
func (e *engine) unload(ctx context.Context, u *snipedirectory.Upstream, victim snipecatalog.Adapter) error {
	away := Order{Action: Unload, Adapter: victim}
	reply, err := e.give(ctx, u, &away)
	for reply == Taken {
		if !snipetime.Sleep(ctx, askEvery) {
			return ctx.Err()
		}
		if reply, err = e.send(ctx, u, &away); reply == Unanswered {
			reply = Taken // asked again
		}
	}
	switch reply {
	case Holds:
		e.lock.Lock()
		delete(e.held, victim)
		e.lock.Unlock()
		e.desk.evicted.add(e.id, victim)
		return nil
	case Conflict, Unanswered:
		_, err := e.known(ctx)
		return err
	default:
		return errors.Wrapf(ErrRefused, "unload: %s: %v", reply, err)
	}
}

// victim returns the adapter to unload so that another one finds room, and whether
// the engine is full. A new version takes a place beside the one that it replaces.
func (e *engine) victim(u *snipedirectory.Upstream) (snipecatalog.Adapter, bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	slots := e.desk.Slots(u)
	if e.placesTaken() < slots-e.reserved(slots) {
		return snipecatalog.Adapter{}, false
	}
	a, _ := e.leastUsed(u)
	return a, true
}

// placesTaken returns how many places are taken. The lock is held.
func (e *engine) placesTaken() int {
	taken := len(e.held)
	for _, h := range e.held {
		if h.replaced {
			taken++
		}
	}
	return taken
}

// evictable reports whether an adapter may make way: it was not used for calmUse, and no
// request for it is in flight. One whose newer version only waits for its turn may: if all
// did that, none of them would find room. The lock is held.
func (e *engine) evictable(a snipecatalog.Adapter, h *holding, inFlight map[snipecatalog.Adapter]bool, now time.Time) bool {
	return !h.coming && !h.replaced && !e.bringing[a] && !inFlight[a] && now.Sub(h.used) >= calmUse
}

// leastUsed returns the adapter whose loss costs least, of those that may make way. The lock
// is held.
func (e *engine) leastUsed(u *snipedirectory.Upstream) (snipecatalog.Adapter, bool) {
	var least snipecatalog.Adapter
	var lowest float64
	found := false
	now := time.Now()
	inFlight := e.inFlight(now)
	for a, h := range e.held {
		if !e.evictable(a, h, inFlight, now) {
			continue
		}
		if score := e.worth(u, a, h, now); !found || score < lowest {
			least, lowest, found = a, score, true
		}
	}
	return least, found
}

const (
	// silentUses is how many uses were due in the time that an adapter has not been used:
	// a demand that has ended shows after three times the pause between its requests.
	silentUses = 3
	// spareWorth is what an adapter is worth that other engines hold too, as a share of
	// one that they do not: its loss costs a few refusals until it is known, no load.
	spareWorth = 0.05
)

// worth is what an engine loses with an adapter: the uses of late, no more than the time
// without any allows, and little of that where other engines do as well.
func (e *engine) worth(u *snipedirectory.Upstream, a snipecatalog.Adapter, h *holding, now time.Time) float64 {
	uses := h.uses.At(now)
	if silent := now.Sub(h.used); silent > 0 {
		uses = min(uses, silentUses*float64(halfLife)/math.Ln2/float64(silent))
	}
	perSecond := uses * math.Ln2 / halfLife.Seconds()
	if e.desk.Spare != nil && e.desk.Spare(u, a, perSecond) {
		return spareWorth * uses
	}
	return uses
}
