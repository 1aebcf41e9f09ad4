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

// watchInterval is the time between two checks of the ownerships, and bounds how
// long Watch waits for a takeover.
const watchInterval = 500 * time.Millisecond

// earlierAliasLifetime is Slots.PreviousCallTime. It has no effect at present, since
// Slots.Busy is always set: at an engine that does not report which aliases have
// calls, aliases of earlier owners are not evicted.
const earlierAliasLifetime = 10 * time.Minute

// lostStateLifetime is how long the state of a lost ownership is kept. A lease that
// expired while the table was unavailable may be renewed before another instance
// takes over.
const lostStateLifetime = time.Minute

// errNotHeld means that an order was not sent because the ownership is not held.
var errNotHeld = errors.New("ownership does not stand")

// engine is the state of one engine during one ownership.
type engine struct {
	fence    uint64
	client   *snipeupstream.Engine
	slots    *snipeslot.Slots
	lastHeld time.Time // when the ownership was last found to be held; guarded by Dispatcher.lock
	// settings are the settings that the state was created for or last changed to;
	// guarded by Dispatcher.lock.
	settings snipetree.Engine
}

// Watch takes over engines within watchInterval after they become owned, so that
// callers need not wait for the takeover, and closes the state of an ownership once
// it has been lost for lostStateLifetime. It runs until ctx ends.
func (d *Dispatcher) Watch(ctx context.Context) error {
	return snipetime.Every(ctx, watchInterval, d.watch)
}

func (d *Dispatcher) watch(ctx context.Context) {
	d.lock.Lock()
	for name, e := range d.engines {
		if d.Holds(name, e.fence) {
			e.lastHeld = time.Now()
		} else if time.Since(e.lastHeld) > lostStateLifetime {
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
			continue // not owned here, or not usable yet; tried again at the next check
		}
		// A failed takeover is tried again at the next check or call.
		go func() {
			bounded, cancel := context.WithTimeout(ctx, watchInterval)
			defer cancel()
			_ = e.slots.Open(bounded)
		}()
	}
}

// applySettings applies the current settings to an engine and reports whether its
// state can be kept. A change of the address, or of whether the engine checks
// fencing numbers, requires a new state, which would not include the calls and loads
// in progress. The state is therefore replaced only once no call or load is in
// progress, and until then the error refuses new calls. Dispatcher.lock is held.
func (e *engine) applySettings(current snipetree.Engine) (bool, error) {
	if e.settings.Address == current.Address && e.settings.ChecksFence == current.ChecksFence {
		e.slots.Resize(current.Slots)
		e.settings = current
		return true, nil
	}
	if e.slots.Idle() {
		return false, nil
	}
	reason := "calls at the former address of engine " + e.client.Name + " end first"
	return false, snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, reason).After(engineRetry)
}

// newEngine returns the state of an engine for a new ownership. It sends nothing to
// the engine.
func (d *Dispatcher) newEngine(name string, fence uint64, settings snipetree.Engine) *engine {
	client := &snipeupstream.Engine{
		Name: name, Address: settings.Address, Pooled: d.Client, Fresh: d.Fresh,
		Progress: d.Progress, FirstChunk: d.FirstChunk, Log: d.Log,
	}
	s := &snipeslot.Slots{
		Engine: name, Capacity: settings.Slots, Fence: fence, Number: func() uint64 { return d.loads.Add(1) },
		Load: d.order(name, fence, func(ctx context.Context, alias, path string) error {
			return client.Load(ctx, alias, path, fence)
		}),
		Aliases: client.Aliases, Busy: busyAliases(client),
		AcquirePermission: d.Budget, Timeout: d.LoadTimeout, PreviousCallTime: earlierAliasLifetime, Log: d.Log,
	}
	unload := d.order(name, fence, func(ctx context.Context, alias, _ string) error {
		return client.Unload(ctx, alias, fence)
	})
	s.Unload = func(ctx context.Context, alias string) error { return unload(ctx, alias, "") }
	if !settings.ChecksFence {
		record := d.Record(name, fence)
		s.CommitRetired, s.ReadRetired = record.Commit, record.Read
	}
	return &engine{fence: fence, client: client, slots: s, lastHeld: time.Now(), settings: settings}
}

// order returns a function that sends an order only while the ownership is held,
// and fails with errNotHeld otherwise. It converts the errors of snipeupstream to
// those of snipeslot.
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
			return errors.Wrap(snipeslot.ErrOutcomeUnknown, err.Error())
		}
		return err
	}
}

// busyAliases returns a function that reads from the engine which aliases have
// calls. The function fails if the engine does not report this.
func busyAliases(client *snipeupstream.Engine) func(ctx context.Context) (map[string]bool, error) {
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

// enter counts a call at an engine until leave is called. Calls are counted before
// the ownership is checked, so that Busy includes every call that has passed the
// check.
func (d *Dispatcher) enter(name string) (leave func()) {
	d.addCalls(name, 1)
	return func() { d.addCalls(name, -1) }
}

func (d *Dispatcher) addCalls(name string, change int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.calls == nil {
		d.calls = map[string]int{}
	}
	if d.calls[name] += change; d.calls[name] == 0 {
		delete(d.calls, name)
	}
}

// Busy reports whether a call or a load of this instance is in progress at an
// engine. A call that waits for its adapter counts as in progress.
func (d *Dispatcher) Busy(name string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	e, ok := d.engines[name]
	return d.calls[name] > 0 || ok && e.slots.LoadsInProgress() > 0
}

// Uses calls f for each adapter resident at an owned engine, with the number of its
// calls in flight. It does nothing if this instance has no state of the engine.
func (d *Dispatcher) Uses(name string, f func(a snipecall.Adapter, inFlight int)) {
	d.lock.Lock()
	e, ok := d.engines[name]
	d.lock.Unlock()
	if ok {
		e.slots.Uses(f)
	}
}
