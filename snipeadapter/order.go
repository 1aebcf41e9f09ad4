package snipeadapter

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

// executeOrder sends an order until the engine accepts it, replies that it is already in the
// ordered state, or refuses it, or until ctx ends. Before each attempt to load an adapter it frees
// a slot. It waits for an order in progress, and returns an error if the engine cannot be read, if
// this instance may not order it, or if no slot can be freed.
func (e *engine) executeOrder(ctx context.Context, o *Order) (Reply, error) {
	if err := e.orderLock.acquire(ctx); err != nil {
		return Unanswered, err
	}
	defer e.orderLock.release()
	for {
		u, err := e.ensureState(ctx)
		if err != nil {
			return Refused, err
		}
		if o.Action == Load && o.Adapter.Name != "" {
			if err := e.freeSlot(ctx, u); err != nil {
				return Refused, err
			}
		}
		reply, err := e.sendUntilAnswered(ctx, u, o)
		switch reply {
		case Taken, Holds:
			return reply, nil
		case Refused, Elsewhere, Outdated:
			return reply, errors.Wrapf(ErrRefused, "%s: %v", reply, err)
		}
		if err := ctx.Err(); err != nil {
			return reply, err
		}
	}
}

// ensureState returns the engine's directory entry. It reads the engine first unless the engine's
// state is known under the current fencing number. The caller holds orderLock.
func (e *engine) ensureState(ctx context.Context) (*snipedirectory.Upstream, error) {
	u := e.controller.Upstream(e.id)
	if u == nil {
		return nil, errors.Wrap(ErrUnknownEngine, e.id)
	}
	fence, ok := e.controller.Fence(u.Address)
	if !ok {
		return nil, errors.Wrap(ErrNotOwner, e.id)
	}
	if e.stateKnown.Load() && e.fence == fence {
		return u, nil
	}
	return u, e.readState(ctx, u, fence)
}

// sendUntilAnswered sends one order until the engine answers, maxRepeats is reached or ctx ends, and
// records the reply. After a conflict or without an answer the engine's state has to be read again. An order whose answer is
// doubtful is not repeated: the state by which a slot was free may be wrong.
func (e *engine) sendUntilAnswered(ctx context.Context, u *snipedirectory.Upstream, o *Order) (Reply, error) {
	reply, err := e.send(ctx, u, o)
	unanswered := false
	for range maxRepeats {
		if reply != Unanswered || errors.Is(err, ErrDoubtful) || ctx.Err() != nil {
			break
		}
		unanswered = true
		reply, err = e.send(ctx, u, o)
	}
	if reply == Conflict && unanswered && e.lastAnswered {
		// The engine accepted one of the earlier sends, whose answer was lost: no other instance's
		// order can be in progress. The order is sent again with the increased count.
		e.accepted++
		reply, err = e.send(ctx, u, o)
		if reply == Taken || reply == Holds && o.Action == Unload {
			e.accepted-- // recordReply counts this order
		}
	}
	e.recordReply(ctx, o, reply, err)
	return reply, err
}

// maxRepeats bounds how often an unanswered order is repeated. Repeats state the same order count,
// so the engine accepts only one of them.
const maxRepeats = 4

// send sends an order once, with the current order count and fencing number.
func (e *engine) send(ctx context.Context, u *snipedirectory.Upstream, o *Order) (Reply, error) {
	fence, ok := e.controller.Fence(u.Address)
	if !ok {
		return Refused, errors.Wrap(ErrNotOwner, e.id)
	}
	o.Expect, o.Holder, o.Fence = e.accepted, e.controller.Holder, fence
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := e.controller.Engine.Order(bounded, u, *o)
	if reply == Unanswered && o.Action == Load {
		e.controller.unanswered.add(e.name, o.Expect)
	}
	return reply, err
}

// recordReply updates the engine's state from the reply to an order, and logs the reply. If the
// outcome is unknown, it waits for maxReportAge, so that the next report of the engine shows the
// outcome.
func (e *engine) recordReply(ctx context.Context, o *Order, reply Reply, err error) {
	fields := e.logFields(snipelog.Fields{
		"Action": o.Action.String(), adapterField: o.Adapter.Name, "Version": o.Version,
		"Expect": o.Expect, "Fence": o.Fence, "Reply": reply.String(),
	})
	if err != nil {
		fields["Error"] = err.Error()
	}
	switch reply {
	case Taken:
		e.accepted++
		e.lastAnswered = true
		e.recordAccepted(o)
		e.controller.Log.Log(snipelog.OrderGiven, fields)
	case Holds:
		if o.Action == Unload {
			// The engine held the adapter and has unloaded it at once.
			e.accepted++
			e.lastAnswered = true
		} else {
			e.recordHeld(o)
		}
		e.controller.Log.Log(snipelog.OrderGiven, fields)
	case Conflict, Unanswered:
		e.controller.Log.Log(snipelog.OrderUnknown, fields)
		e.forgetState(ctx)
	default:
		e.controller.Log.Log(snipelog.OrderRefused, fields)
	}
}

// forgetState has the engine read before the next order, and waits until its report shows every order accepted so far.
func (e *engine) forgetState(ctx context.Context) {
	e.stateKnown.Store(false)
	// The result is ignored: the caller checks the context itself.
	snipetime.Sleep(ctx, maxReportAge)
}

// recordAccepted records the slot that an accepted load takes: that of a new adapter, or the second
// slot of an adapter whose older version is replaced. Other orders change no record.
func (e *engine) recordAccepted(o *Order) {
	if o.Action != Load || o.Adapter.Name == "" {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if h := e.held[o.Adapter]; h != nil && (!h.loading || h.version != o.Version) {
		// The record may be older than the state of the engine: the version before may be complete, so that the new one
		// takes a second slot.
		h.replacing = true
		return
	}
	e.held[o.Adapter] = &heldAdapter{version: o.Version, loading: true}
}

// recordHeld records an adapter that the engine already holds, before another order counts the
// slots.
func (e *engine) recordHeld(o *Order) {
	if o.Adapter.Name == "" {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.held[o.Adapter] == nil {
		e.held[o.Adapter] = &heldAdapter{version: o.Version, lastUsed: time.Now()}
	}
}

// readState replaces the recorded state of the engine by the engine's own report, and keeps the use
// statistics of the adapters that remain. If the report states another start than the directory
// entry, readState calls EngineRestarted and returns ErrRestarted. The caller holds orderLock.
func (e *engine) readState(ctx context.Context, u *snipedirectory.Upstream, fence uint64) error {
	r, err := e.readReport(ctx, u)
	if errors.Is(err, ErrDoubtful) {
		// The connection with the answer too many is closed. The answer in doubt may be that to the last order.
		e.controller.Log.Error(snipelog.EngineUnread, err, e.logFields(nil))
		e.forgetState(ctx)
		r, err = e.readReport(ctx, u)
	}
	if err != nil {
		return errors.Wrap(err, "read engine")
	}
	if r.Start != u.Start && r.Start != 0 && u.Start != 0 {
		e.controller.Log.Log(snipelog.EngineStartedAgain, e.logFields(snipelog.Fields{"Start": u.Start, "Reported": r.Start}))
		e.controller.EngineRestarted(u.ID)
		return errors.Wrap(ErrRestarted, e.id)
	}
	e.accepted, e.fence, e.lastAnswered = r.Orders, fence, false
	e.stateKnown.Store(true)
	unlisted := r.unlistedOrders()
	e.controller.Log.Log(snipelog.EngineRead, e.logFields(snipelog.Fields{
		"Orders": r.Orders, "Resident": len(r.Resident), "Coming": len(r.Loading), "Unlisted": unlisted, "Fence": fence,
	}))
	e.lock.Lock()
	defer e.lock.Unlock()
	e.readAt, e.unlisted = time.Now(), unlisted
	e.models = make(map[string]bool, len(r.Models))
	for _, m := range r.Models {
		e.models[m] = true
	}
	old := e.held
	e.held = make(map[snipecatalog.Adapter]*heldAdapter, len(r.Resident))
	for _, held := range r.Resident {
		e.addHeld(held, old, false)
	}
	for _, held := range r.Loading {
		if h := e.held[held.Adapter]; h != nil {
			h.replacing = true
			continue
		}
		e.addHeld(held, old, true)
	}
	e.keepActive(old)
	return nil
}

// keepActive keeps counting the slots of accepted loads that the report does not show: a new version that waits for the
// requests of the one before, and a load that the engine has not accepted because the reply was a copy (its next poll starts
// it). The lock is held.
func (e *engine) keepActive(old map[snipecatalog.Adapter]*heldAdapter) {
	for a, before := range old {
		if !e.activeLoads[a] || !before.loading && !before.replacing {
			continue
		}
		switch h := e.held[a]; {
		case h == nil:
			kept := *before
			kept.loading, kept.replacing = true, false
			e.held[a] = &kept
		case before.replacing:
			h.replacing = h.version == before.version // otherwise the new version has taken the slot of the old one
		default:
			h.replacing = h.version != before.version
		}
	}
}

// readReport reads the engine's report.
func (e *engine) readReport(ctx context.Context, u *snipedirectory.Upstream) (Report, error) {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.controller.Engine.Report(bounded, u)
}

// addHeld adds an adapter of a report to the state, with its use statistics in old. The lock is
// held.
func (e *engine) addHeld(held snipedirectory.Resident, old map[snipecatalog.Adapter]*heldAdapter, loading bool) {
	h := &heldAdapter{version: held.Version, loading: loading}
	h.inheritUse(old[held.Adapter])
	e.held[held.Adapter] = h
}

// awaitObserved waits for an accepted load, counts it among those in progress if it comes from the
// store, and records its time if it is that of an adapter.
func (e *engine) awaitObserved(ctx context.Context, l *load, o Order) error {
	times := &e.controller.times
	if l.reload {
		took, err := e.awaitLoad(ctx, o, storeLoadTime)
		if err == nil {
			times.recordReload(took)
		}
		return err
	}
	n := times.begin()
	defer times.end()
	took, err := e.awaitLoad(ctx, o, min(times.expectStore(n), storeLoadTime))
	if err == nil && o.Adapter.Name != "" {
		times.recordStore(n, took)
	}
	return err
}

// awaitLoad polls until an accepted load is complete, the engine refuses the order, this instance
// may no longer order the engine, or ctx ends. The poll is the order itself: an engine that holds
// the ordered adapter replies with Holds and does nothing. storeTime is the least time that a load
// from the store is expected to take. awaitLoad returns how long the load took. A load that was
// found complete at the first poll after storeTime counts as a tenth shorter, because it may have
// ended before; otherwise no time below storeTime would ever be observed.
func (e *engine) awaitLoad(ctx context.Context, o Order, storeTime time.Duration) (time.Duration, error) {
	started := time.Now()
	pause := reloadTime
	for {
		if !snipetime.Sleep(ctx, pause) {
			return 0, ctx.Err()
		}
		reply, err := e.poll(ctx, o)
		took := time.Since(started)
		if reply == Holds && pause > reloadTime {
			took -= took / 10
		}
		if reply == Holds {
			return took, nil
		}
		if err != nil && !errors.Is(err, ErrNoAnswer) {
			return 0, err
		}
		pause = nextPoll(o, took, storeTime)
	}
}

// nextPoll returns the time from a poll of a load to the next, given the time since the load was
// accepted. An adapter that is not loaded after twice reloadTime comes from the weight store, so
// the next poll waits until storeTime has passed.
func nextPoll(o Order, elapsed, storeTime time.Duration) time.Duration {
	if o.Adapter.Name != "" && elapsed >= 2*reloadTime {
		return max(storeTime-elapsed, pollInterval)
	}
	return pollInterval
}

// poll repeats an order to query its progress: an engine that holds the adapter replies with Holds,
// and an engine that is loading it does not count the repeat as a new order. It begins the load if the answer that
// said that it was accepted was that to another order; its slot is kept free (keepActive).
func (e *engine) poll(ctx context.Context, o Order) (Reply, error) {
	if err := e.orderLock.acquire(ctx); err != nil {
		return Unanswered, err
	}
	defer e.orderLock.release()
	u, err := e.ensureState(ctx)
	if errors.Is(err, ErrNotOwner) || errors.Is(err, ErrUnknownEngine) {
		return Refused, err
	}
	if err != nil {
		return Unanswered, errors.Wrapf(ErrNoAnswer, "%v", err)
	}
	reply, err := e.send(ctx, u, &o)
	switch {
	case reply == Conflict:
		e.stateKnown.Store(false)
	case errors.Is(err, ErrDoubtful):
		e.recordReply(ctx, &o, Unanswered, err)
		return reply, errors.Wrapf(ErrNoAnswer, "%v", err)
	case reply == Elsewhere, reply == Outdated, reply == Refused:
		return reply, errors.Wrap(ErrRefused, reply.String())
	case err != nil:
		return reply, errors.Wrapf(ErrNoAnswer, "%v", err)
	}
	return reply, nil
}
