package snipedispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipeslot"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
)

// watchInterval is the time between two looks at the ownerships.
const watchInterval = 500 * time.Millisecond

// settle is how long aliases of earlier owners stay at an engine that does not
// report which of them have calls.
const settle = 10 * time.Minute

// keepLost is how long the state of a lost ownership is kept: a lease that
// lapsed while the table was down may be renewed before anybody took over.
const keepLost = time.Minute

// errNotHeld is the reason for an order that was not sent.
var errNotHeld = errors.New("ownership does not stand")

// engine is one engine during one ownership.
type engine struct {
	fence  uint64
	client *snipeupstream.Engine
	slots  *snipeslot.Slots
	held   time.Time // when the ownership stood last; guarded by Dispatcher.lock
	// settings are those that the state was made or last changed for; guarded
	// by Dispatcher.lock.
	settings snipetree.Engine
}

// Watch takes over engines as soon as they are owned, so that no caller waits
// for it, and ends what belongs to lost ownerships.
func (d *Dispatcher) Watch(ctx context.Context) error {
	return snipetime.Every(ctx, watchInterval, d.watch)
}

func (d *Dispatcher) watch(ctx context.Context) {
	d.lock.Lock()
	for name, e := range d.engines {
		if d.Holds(name, e.fence) {
			e.held = time.Now()
		} else if time.Since(e.held) > keepLost {
			e.slots.Close()
			delete(d.engines, name)
		}
	}
	d.lock.Unlock()
	tree := d.Tree()
	if tree == nil {
		return
	}
	for name := range tree.Platform.Engines {
		e, err := d.engine(name)
		if err != nil {
			continue // another instance owns it
		}
		// A failed takeover is tried again at the next look or call.
		go func() {
			bounded, cancel := context.WithTimeout(ctx, watchInterval)
			defer cancel()
			_ = e.slots.Open(bounded)
		}()
	}
}

// adjust puts the settings of now in force on an engine and reports whether its
// state can go on. Another address, or another way with fencing numbers, needs
// a new state, which knows nothing of the calls under way: they end first, and
// new ones are refused meanwhile. The lock is held.
func (e *engine) adjust(now snipetree.Engine) (bool, error) {
	if e.settings.Address == now.Address && e.settings.ChecksFence == now.ChecksFence {
		e.slots.Resize(now.Slots)
		e.settings = now
		return true, nil
	}
	if e.slots.Idle() {
		return false, nil
	}
	reason := "calls at the former address of engine " + e.client.Name + " end first"
	return false, snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, reason).After(engineRetry)
}

func (d *Dispatcher) newEngine(name string, fence uint64, settings snipetree.Engine) *engine {
	client := &snipeupstream.Engine{
		Name: name, Address: settings.Address, Client: d.Client, Fresh: d.Fresh,
		Progress: d.Progress, FirstChunk: d.FirstChunk, Log: d.Log,
	}
	s := &snipeslot.Slots{
		Engine: name, Capacity: settings.Slots, Fence: fence, Number: func() uint64 { return d.loads.Add(1) },
		Load: d.order(name, fence, func(ctx context.Context, alias, path string) error {
			return client.Load(ctx, alias, path, fence)
		}),
		Aliases: client.Aliases, Busy: busy(client),
		Budget: d.Budget, Timeout: d.LoadTimeout, Settle: settle, Log: d.Log,
	}
	unload := d.order(name, fence, func(ctx context.Context, alias, _ string) error {
		return client.Unload(ctx, alias, fence)
	})
	s.Unload = func(ctx context.Context, alias string) error { return unload(ctx, alias, "") }
	if !settings.ChecksFence {
		r := d.Record(name, fence)
		s.GiveUp, s.Inherit = r.GiveUp, r.Inherit
	}
	return &engine{fence: fence, client: client, slots: s, held: time.Now(), settings: settings}
}

// order gives an order only while the ownership stands, and translates the
// result.
func (d *Dispatcher) order(
	name string, fence uint64, send func(ctx context.Context, alias, path string) error,
) func(ctx context.Context, alias, path string) error {
	return func(ctx context.Context, alias, path string) error {
		if !d.Holds(name, fence) {
			return errors.Wrapf(errNotHeld, "order for %s not sent", alias)
		}
		err := send(ctx, alias, path)
		switch {
		case errors.Is(err, snipeupstream.ErrFenced):
			return errors.Wrap(snipeslot.ErrFenced, err.Error())
		case errors.Is(err, snipeupstream.ErrOrderRefused):
			return errors.Wrap(snipeslot.ErrRefused, err.Error())
		case errors.Is(err, snipeupstream.ErrOrderUnknown):
			return errors.Wrap(snipeslot.ErrUnclear, err.Error())
		}
		return err
	}
}

func busy(client *snipeupstream.Engine) func(ctx context.Context) (map[string]bool, error) {
	return func(ctx context.Context) (map[string]bool, error) {
		r, err := client.Report(ctx)
		if err != nil {
			return nil, err
		}
		if !r.BusyKnown {
			return nil, errors.Wrapf(snipeupstream.ErrReport, "engine %s does not tell which aliases are busy", client.Name)
		}
		return r.Busy, nil
	}
}

// enter counts a call before the ownership is checked, so that Busy sees every
// call that passed the check.
func (d *Dispatcher) enter(name string) (leave func()) {
	d.count(name, 1)
	return func() { d.count(name, -1) }
}

func (d *Dispatcher) count(name string, change int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.calls == nil {
		d.calls = map[string]int{}
	}
	if d.calls[name] += change; d.calls[name] == 0 {
		delete(d.calls, name)
	}
}

// Busy reports that a call or a load is under way at an engine.
func (d *Dispatcher) Busy(name string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	e, ok := d.engines[name]
	return d.calls[name] > 0 || ok && e.slots.Orders() > 0
}

// Uses calls f for each adapter resident at an owned engine with its calls in
// flight.
func (d *Dispatcher) Uses(name string, f func(a snipecall.Adapter, inFlight int)) {
	d.lock.Lock()
	e, ok := d.engines[name]
	d.lock.Unlock()
	if ok {
		e.slots.Uses(f)
	}
}
