// Package snipedispatch executes calls at the engines that this instance owns
// and at plain services.
//
// All calls of an engine pass through its owner's Dispatcher, wherever their
// callers are connected. The Dispatcher keeps the slots of each owned engine
// for as long as one ownership lasts (one fencing number); a new ownership
// starts with what the engine says it holds.
//
// What no owner can exclude by itself: it is frozen after its last look at its
// lease and before it sends a call, and a successor evicts the alias in the
// moment between the engine's report that nothing runs there and the call's
// arrival. The answer of a call whose ownership ended meanwhile is therefore
// passed on whole only if the engine still holds the alias after the last
// chunk: no alias comes back, so it was there all the time.
package snipedispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeslot"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
	"snipepitch.example/snipepitch/snipeweight"
)

// maxReloads bounds how often a call loads its adapter again because the
// engine lost it.
const maxReloads = 2

// Dispatcher executes calls. Exported fields are set before the first call.
type Dispatcher struct {
	// Tree returns the settings in force.
	Tree func() *snipetree.Tree
	// Fence returns the fencing number of an owned engine.
	Fence func(engine string) (uint64, bool)
	// Holds reports that the ownership with the fencing number still stands.
	Holds func(engine string, fence uint64) bool
	// Record returns the list of given-up aliases of an engine that ignores
	// fencing numbers.
	Record func(engine string, fence uint64) *snipeslot.Record
	// Budget waits for the weight store's permission to load.
	Budget func(ctx context.Context, d *snipeweight.Demand) (func(failed bool), error)
	// Client and Fresh send requests; see snipeupstream.Service.
	Client, Fresh *http.Client
	// Progress is the longest time between two chunks, FirstChunk that before
	// the first one; LoadTimeout bounds a load.
	Progress, FirstChunk, LoadTimeout time.Duration
	// Gate is entered around each call at an upstream, with the alias that it
	// runs under (empty for services); done takes the call's failure. Nil is no
	// gate.
	Gate func(ctx context.Context, c *snipecall.Call, alias string) (done func(error), err error)
	// Meter and Log take metrics and events.
	Meter *snipemeter.Meter
	Log   *snipelog.Logger

	loads atomic.Uint64 // numbers the loads of all ownerships

	lock    sync.Mutex // guards the fields below
	engines map[string]*engine
	calls   map[string]int // calls under way by engine, counted before the ownership is checked
}

// Run executes c at its upstream.
func (d *Dispatcher) Run(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if c.Service != "" {
		return d.service(ctx, c, sink)
	}
	defer d.enter(c.Upstream)()
	e, err := d.engine(c.Upstream)
	if err != nil {
		return err
	}
	for range maxReloads {
		err = d.attempt(ctx, e, c, sink)
		if !errors.Is(err, snipeupstream.ErrNotResident) {
			return err
		}
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "engine "+c.Upstream+" lost the adapter again")
}

func (d *Dispatcher) attempt(ctx context.Context, e *engine, c *snipecall.Call, sink snipecall.Sink) error {
	use, err := e.slots.Acquire(ctx, snipeslot.Request{Adapter: c.Adapter, Path: c.WeightPath, Class: c.Class})
	if err != nil {
		return acquireError(err)
	}
	defer use.Release()
	if !d.Holds(c.Upstream, e.fence) {
		return snipeerror.New(snipeerror.ErrNotOwner, snipeerror.NotRun, "engine "+c.Upstream)
	}
	d.Meter.Observe(snipemeter.LoadStall, c.Team, c.Class.String(), use.Stalled)
	err = d.gated(ctx, c, use.Alias, func() error {
		return e.client.Call(ctx, c, use.Alias, d.verified(ctx, e, use.Alias, sink))
	})
	if errors.Is(err, snipeupstream.ErrNotResident) {
		e.slots.Forget(use.Alias)
	}
	return err
}

// gated makes a call within the gate.
func (d *Dispatcher) gated(ctx context.Context, c *snipecall.Call, alias string, call func() error) error {
	if d.Gate == nil {
		return call()
	}
	done, err := d.Gate(ctx, c, alias)
	if err != nil {
		return err
	}
	err = call()
	if errors.Is(err, snipeupstream.ErrNotResident) {
		// The engine has refused the call; it is no failure of its caller's side.
		done(snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "not resident"))
		return err
	}
	done(err)
	return err
}

// verified passes chunks on. Before the last one of a call whose ownership has
// ended it makes sure that nobody evicted the alias meanwhile.
func (d *Dispatcher) verified(ctx context.Context, e *engine, alias string, sink snipecall.Sink) snipecall.Sink {
	return func(k snipecall.Chunk) error {
		if !k.Last || d.Holds(e.client.Name, e.fence) {
			return sink(k)
		}
		names, err := e.client.Aliases(ctx)
		if err != nil || !slices.Contains(names, alias) {
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun,
				"ownership of engine "+e.client.Name+" ended and the adapter is gone")
		}
		return sink(k)
	}
}

// engineRetry is what a caller is told to wait when an engine does not answer.
const engineRetry = time.Second

func acquireError(err error) error {
	var late *snipeslot.LateError
	var backoff *snipeweight.BackoffError
	switch {
	case errors.As(err, &late):
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, err.Error()).After(late.After)
	case errors.As(err, &backoff):
		return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, err.Error()).After(backoff.After)
	case errors.Is(err, context.DeadlineExceeded):
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "while waiting for the adapter")
	case errors.Is(err, context.Canceled):
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "while waiting for the adapter")
	case errors.Is(err, snipeslot.ErrClosed):
		return snipeerror.New(snipeerror.ErrNotOwner, snipeerror.NotRun, err.Error())
	case errors.Is(err, snipeslot.ErrEngine):
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, err.Error()).After(engineRetry)
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, err.Error())
}

// engine returns the state of an owned engine in the current ownership.
func (d *Dispatcher) engine(name string) (*engine, error) {
	fence, ok := d.Fence(name)
	if !ok {
		return nil, snipeerror.New(snipeerror.ErrNotOwner, snipeerror.NotRun, "engine "+name)
	}
	settings, ok := d.Tree().Platform.Engines[name]
	if !ok {
		return nil, snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "engine "+name+" is not in the settings")
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if e, ok := d.engines[name]; ok && e.fence == fence {
		if goesOn, err := e.adjust(settings); goesOn || err != nil {
			return e, err
		}
	}
	if d.engines == nil {
		d.engines = map[string]*engine{}
	}
	if old, ok := d.engines[name]; ok {
		old.slots.Close()
	}
	e := d.newEngine(name, fence, settings)
	d.engines[name] = e
	return e, nil
}

// Resident returns the adapters resident at an owned engine and the calls in
// flight there.
func (d *Dispatcher) Resident(name string) ([]snipecall.Adapter, int) {
	d.lock.Lock()
	e, ok := d.engines[name]
	calls := d.calls[name]
	d.lock.Unlock()
	if !ok {
		return nil, calls
	}
	return e.slots.Resident(), calls
}

func (d *Dispatcher) service(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	u, ok := d.Tree().Platform.Services[c.Service].Upstreams[c.Upstream]
	if !ok {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "upstream "+c.Upstream)
	}
	s := &snipeupstream.Service{Name: c.Upstream, Address: u.Address, Client: d.Client, Fresh: d.Fresh, Progress: d.Progress}
	return d.gated(ctx, c, "", func() error { return s.Call(ctx, c, sink) })
}
