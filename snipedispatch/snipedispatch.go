// Package snipedispatch executes calls at the engines that this instance owns
// and at plain services.
//
// All calls to an engine pass through its owner's Dispatcher, whichever instance
// their callers are connected to. The Dispatcher keeps the slots of each owned
// engine for the time of one ownership (one fencing number). A new ownership
// starts from the aliases that the engine reports.
//
// An owner cannot prevent one race by itself. The owner's process may be
// suspended after it has checked its lease and before it sends a call. The
// successor may then evict the alias after the engine has reported that no call
// runs under it, and before the call arrives. The last chunk of a call whose
// ownership has ended is therefore passed on only if the engine still lists the
// alias after sending that chunk. An evicted alias is never loaded again, so a
// listed alias was loaded during the whole call.
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

// maxAttempts bounds the attempts of one call at its engine. Another attempt is
// made only if the engine has lost the adapter, which is then loaded again.
const maxAttempts = 2

// Dispatcher executes calls. Exported fields are set before the first call.
type Dispatcher struct {
	// Tree returns the settings in force. Only Watch accepts nil, which means that
	// no settings are known yet.
	Tree func() *snipetree.Tree
	// Fence returns the fencing number of this instance's ownership of an engine,
	// and whether this instance owns the engine. Each ownership of an engine has a
	// higher number than the ones before it.
	Fence func(engine string) (uint64, bool)
	// Holds reports whether the ownership with the fencing number is still held.
	Holds func(engine string, fence uint64) bool
	// Record returns the record of the retired aliases, which no later owner may
	// use, of an engine that ignores fencing numbers.
	Record func(engine string, fence uint64) *snipeslot.RetiredRecord
	// Budget waits for the weight store's permission to load. The returned
	// function is called when the load has ended, and reports whether it failed.
	Budget func(ctx context.Context, d *snipeweight.Demand) (func(failed bool), error)
	// Client sends the calls that may be repeated, over reused connections. Fresh
	// sends all other requests, each over a new connection.
	Client, Fresh *http.Client
	// Progress is the longest time between two chunks, and FirstChunk the longest
	// time before the first one. LoadTimeout is Slots.Timeout, which bounds loads,
	// evictions and audits.
	Progress, FirstChunk, LoadTimeout time.Duration
	// Gate is called before each call at an upstream, with the alias that the call
	// runs under (empty for services). The returned function is called with the
	// error of the call when it has ended. A nil Gate admits every call.
	Gate func(ctx context.Context, c *snipecall.Call, alias string) (done func(error), err error)
	// Meter and Log receive metrics and events.
	Meter *snipemeter.Meter
	Log   *snipelog.Logger

	loads atomic.Uint64 // numbers the loads of all ownerships

	lock    sync.Mutex         // guards the fields below
	engines map[string]*engine // the state of owned engines, and for a time of lost ones
	calls   map[string]int     // calls in flight by engine, counted before the ownership is checked
}

// Run executes c at its upstream and passes the chunks of the answer to sink. A call
// at an engine fails with ErrNotOwner if this instance does not own the engine, and
// may wait until its adapter is loaded.
func (d *Dispatcher) Run(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if c.Service != "" {
		return d.service(ctx, c, sink)
	}
	defer d.enter(c.Upstream)()
	e, err := d.engine(c.Upstream)
	if err != nil {
		return err
	}
	for range maxAttempts {
		err = d.attempt(ctx, e, c, sink)
		if !errors.Is(err, snipeupstream.ErrNotResident) {
			return err
		}
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "engine "+c.Upstream+" lost the adapter again")
}

// attempt executes c once. It returns ErrNotResident if the engine has lost the
// adapter; the alias is then dropped, and the next attempt loads the adapter.
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
		return e.client.Call(ctx, c, use.Alias, d.verifiedSink(ctx, e, use.Alias, sink))
	})
	if errors.Is(err, snipeupstream.ErrNotResident) {
		e.slots.Forget(use.Alias)
	}
	return err
}

// gated executes call after Gate has admitted it, and then passes the error of call to
// the function that Gate returned.
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
		// The engine refused the call without running it. ErrNotResident is not a
		// CallError, and the gate takes any other error to mean that the caller has
		// abandoned a call that may still run.
		done(snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "not resident"))
		return err
	}
	done(err)
	return err
}

// verifiedSink returns a sink that passes chunks on to sink. Before the last chunk
// of a call whose ownership has ended, it checks that no successor has evicted the
// alias. If the engine does not list the alias, or the list cannot be read, the
// sink fails with ErrIncomplete instead.
func (d *Dispatcher) verifiedSink(ctx context.Context, e *engine, alias string, sink snipecall.Sink) snipecall.Sink {
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

// engineRetry is the retry time that a caller receives when an engine does not answer,
// or when calls at its previous address have not ended.
const engineRetry = time.Second

// acquireError converts an error of Slots.Acquire. The outcome is always NotRun,
// since no call was sent.
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

// engine returns the state of an owned engine in the current ownership. For a new
// ownership, and after a change of settings that requires it, it creates the state
// and closes the previous one. It fails if the engine is not owned or not in the
// settings, or if calls at its previous address have not ended.
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
		if kept, err := e.applySettings(settings); kept || err != nil {
			return e, err
		}
	}
	if d.engines == nil {
		d.engines = map[string]*engine{}
	}
	if previous, ok := d.engines[name]; ok {
		previous.slots.Close()
	}
	e := d.newEngine(name, fence, settings)
	d.engines[name] = e
	return e, nil
}

// Resident returns the adapters resident at an owned engine and the number of calls
// of this instance in flight there, including those that wait for their adapter. The
// adapters are nil if this instance has no state of the engine.
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

// service executes a call at an upstream of a plain service.
func (d *Dispatcher) service(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	u, ok := d.Tree().Platform.Services[c.Service].Upstreams[c.Upstream]
	if !ok {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "upstream "+c.Upstream)
	}
	s := &snipeupstream.Service{Name: c.Upstream, Address: u.Address, Pooled: d.Client, Fresh: d.Fresh, Progress: d.Progress}
	return d.gated(ctx, c, "", func() error { return s.Call(ctx, c, sink) })
}
