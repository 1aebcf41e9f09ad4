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

// order gives one order, with room made before a load, until the engine has taken
// it, holds what it orders, or will not take it.
func (e *engine) order(ctx context.Context, o *Order) (Reply, error) {
	if err := e.ordering.take(ctx); err != nil {
		return Unanswered, err
	}
	defer e.ordering.leave()
	for {
		u, err := e.known(ctx)
		if err != nil {
			return Refused, err
		}
		if o.Action == Load && o.Adapter.Name != "" {
			if err := e.makeRoom(ctx, u); err != nil {
				return Refused, err
			}
		}
		reply, err := e.give(ctx, u, o)
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

// known returns the engine once its state under the present right to order it is
// known. The caller holds ordering.
func (e *engine) known(ctx context.Context) (*snipedirectory.Upstream, error) {
	u := e.desk.Upstream(e.id)
	if u == nil {
		return nil, errors.Wrap(ErrUnknownEngine, e.id)
	}
	fence, ok := e.desk.Fence(u.Address)
	if !ok {
		return nil, errors.Wrap(ErrNotOwner, e.id)
	}
	if e.read.Load() && e.fence == fence {
		return u, nil
	}
	return u, e.readState(ctx, u, fence)
}

// give sends one order until the engine has said what became of it. After a conflict
// the engine's state has to be read again.
func (e *engine) give(ctx context.Context, u *snipedirectory.Upstream, o *Order) (Reply, error) {
	reply, err := e.send(ctx, u, o)
	unanswered := false
	for range mostRepeats {
		if reply != Unanswered || ctx.Err() != nil {
			break
		}
		unanswered = true
		reply, err = e.send(ctx, u, o)
	}
	if reply == Conflict && unanswered && e.sure {
		// One of the repeats was taken: nobody else's order can be under way.
		e.orders++
		reply, err = e.send(ctx, u, o)
		if reply == Taken || reply == Holds && o.Action == Unload {
			e.orders-- // the order is counted below
		}
	}
	e.note(ctx, o, reply, err)
	return reply, err
}

// mostRepeats bounds how often an order is repeated that gets no answer. Repeats
// state the same number of orders, so that the engine takes one of them.
const mostRepeats = 4

// send sends one order.
func (e *engine) send(ctx context.Context, u *snipedirectory.Upstream, o *Order) (Reply, error) {
	fence, ok := e.desk.Fence(u.Address)
	if !ok {
		return Refused, errors.Wrap(ErrNotOwner, e.id)
	}
	o.Expect, o.Holder, o.Fence = e.orders, e.desk.Holder, fence
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := e.desk.Engine.Order(bounded, u, *o)
	if reply == Unanswered && o.Action == Load {
		e.desk.late.add(e.name, o.Expect)
	}
	return reply, err
}

// note takes what became of an order.
func (e *engine) note(ctx context.Context, o *Order, reply Reply, err error) {
	fields := e.fields(snipelog.Fields{
		"Action": o.Action.String(), "Adapter": o.Adapter.Name, "Version": o.Version,
		"Expect": o.Expect, "Fence": o.Fence, "Reply": reply.String(),
	})
	if err != nil {
		fields["Error"] = err.Error()
	}
	switch reply {
	case Taken:
		e.orders++
		e.sure = true
		e.taken(o)
		e.desk.Log.Log(snipelog.OrderGiven, fields)
	case Holds:
		if o.Action == Unload {
			// The engine held it, and has unloaded it at once.
			e.orders++
			e.sure = true
		} else {
			e.present(o)
		}
		e.desk.Log.Log(snipelog.OrderGiven, fields)
	case Conflict, Unanswered:
		e.desk.Log.Log(snipelog.OrderUnknown, fields)
		e.read.Store(false)
		// Not answered in time: the caller looks at the context itself.
		snipetime.Sleep(ctx, reportAge)
	default:
		e.desk.Log.Log(snipelog.OrderRefused, fields)
	}
}

// taken notes the place of an adapter that is on its way.
func (e *engine) taken(o *Order) {
	if o.Action != Load || o.Adapter.Name == "" {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if h := e.held[o.Adapter]; h != nil && !h.coming {
		h.replaced = true
		return
	}
	e.held[o.Adapter] = &holding{version: o.Version, coming: true}
}

// present notes an adapter that the engine says it holds, before another order
// counts the places.
func (e *engine) present(o *Order) {
	if o.Adapter.Name == "" {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.held[o.Adapter] == nil {
		e.held[o.Adapter] = &holding{version: o.Version, used: time.Now()}
	}
}

// readState reads what the engine holds. The caller holds ordering.
func (e *engine) readState(ctx context.Context, u *snipedirectory.Upstream, fence uint64) error {
	bounded, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := e.desk.Engine.Report(bounded, u)
	if err != nil {
		return errors.Wrap(err, "read engine")
	}
	if r.Start != u.Start && r.Start != 0 && u.Start != 0 {
		e.desk.Log.Log(snipelog.EngineStartedAgain, e.fields(snipelog.Fields{"Start": u.Start, "Reported": r.Start}))
		e.desk.StartedAgain(u.ID)
		return errors.Wrap(ErrStartedAgain, e.id)
	}
	e.orders, e.fence, e.sure = r.Orders, fence, false
	e.read.Store(true)
	e.desk.Log.Log(snipelog.EngineRead, e.fields(snipelog.Fields{
		"Orders": r.Orders, "Resident": len(r.Resident), "Coming": len(r.Coming), "Fence": fence,
	}))
	e.lock.Lock()
	defer e.lock.Unlock()
	e.readAt = time.Now()
	e.models = make(map[string]bool, len(r.Models))
	for _, m := range r.Models {
		e.models[m] = true
	}
	old := e.held
	e.held = make(map[snipecatalog.Adapter]*holding, len(r.Resident))
	for _, held := range r.Resident {
		e.hold(held, old, false)
	}
	for _, held := range r.Coming {
		if h := e.held[held.Adapter]; h != nil {
			h.replaced = true
			continue
		}
		e.hold(held, old, true)
	}
	return nil
}

// hold notes an adapter of a report. The lock is held.
func (e *engine) hold(held snipedirectory.Resident, old map[snipecatalog.Adapter]*holding, coming bool) {
	h := &holding{version: held.Version, coming: coming}
	h.inherit(old[held.Adapter])
	e.held[held.Adapter] = h
}

// await asks until the load that was taken is complete. The question is the order
// itself: an engine that holds what is ordered says so and does nothing.
func (e *engine) await(ctx context.Context, o Order) error {
	begun := time.Now()
	if !snipetime.Sleep(ctx, reloadTime) {
		return ctx.Err()
	}
	for {
		reply, err := e.ask(ctx, o)
		if reply == Holds {
			return nil
		}
		if err != nil && !errors.Is(err, ErrNoAnswer) {
			return err
		}
		if !snipetime.Sleep(ctx, untilAsked(o, time.Since(begun))) {
			return ctx.Err()
		}
	}
}

// untilAsked is the time to the next question about a load. An adapter that was
// not there after the time of a reload comes from the weight store.
func untilAsked(o Order, since time.Duration) time.Duration {
	if o.Adapter.Name != "" && since >= 2*reloadTime {
		return max(loadTime-since, askEvery)
	}
	return askEvery
}

// ask repeats an order as a question: an engine that holds the adapter says so, one
// that is about to takes note of nothing new.
func (e *engine) ask(ctx context.Context, o Order) (Reply, error) {
	if err := e.ordering.take(ctx); err != nil {
		return Unanswered, err
	}
	defer e.ordering.leave()
	u, err := e.known(ctx)
	if errors.Is(err, ErrNotOwner) || errors.Is(err, ErrUnknownEngine) {
		return Refused, err
	}
	if err != nil {
		return Unanswered, errors.Wrapf(ErrNoAnswer, "%v", err)
	}
	reply, err := e.send(ctx, u, &o)
	switch {
	case reply == Conflict:
		e.read.Store(false)
	case reply == Elsewhere, reply == Outdated, reply == Refused:
		return reply, errors.Wrap(ErrRefused, reply.String())
	case err != nil:
		return reply, errors.Wrapf(ErrNoAnswer, "%v", err)
	}
	return reply, nil
}
