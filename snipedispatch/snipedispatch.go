// Package snipedispatch executes calls at the engines that this instance owns
// and at plain services.
//
// All calls of an engine pass through its owner's Dispatcher, wherever their
// callers are connected. The Dispatcher keeps the slots of each owned engine
// for as long as one ownership lasts (one fencing number); a new ownership
// starts with empty slots and aliases of its own.
package snipedispatch

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeslot"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
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
	// Budget waits for the weight store's permission to load.
	Budget func(ctx context.Context) (func(), error)
	// Client and Fresh send requests; see snipeupstream.Service.
	Client, Fresh *http.Client
	// Progress is the longest time between two chunks, FirstChunk that before
	// the first one; LoadTimeout bounds a load.
	Progress, FirstChunk, LoadTimeout time.Duration
	// Meter and Log take metrics and events.
	Meter *snipemeter.Meter
	Log   *snipelog.Logger

	lock    sync.Mutex // guards engines
	engines map[string]*engine
}

// engine is one engine during one ownership.
type engine struct {
	fence  uint64
	client *snipeupstream.Engine
	slots  *snipeslot.Slots
}

// Run executes c at its upstream.
func (d *Dispatcher) Run(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if c.Service != "" {
		return d.service(ctx, c, sink)
	}
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
	use, err := e.slots.Acquire(ctx, c.Adapter, c.WeightPath)
	if err != nil {
		return acquireError(err)
	}
	defer use.Release()
	d.Meter.Observe(snipemeter.LoadStall, c.Team, c.Class.String(), use.Stalled)
	err = e.client.Call(ctx, c, use.Alias, sink)
	if errors.Is(err, snipeupstream.ErrNotResident) {
		e.slots.Forget(use.Alias)
	}
	return err
}

func acquireError(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "while waiting for the adapter")
	case errors.Is(err, context.Canceled):
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "while waiting for the adapter")
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
		return e, nil
	}
	if d.engines == nil {
		d.engines = map[string]*engine{}
	}
	e := d.newEngine(name, fence, settings)
	d.engines[name] = e
	return e, nil
}

func (d *Dispatcher) newEngine(name string, fence uint64, settings snipetree.Engine) *engine {
	client := &snipeupstream.Engine{
		Name: name, Address: settings.Address, Client: d.Client, Fresh: d.Fresh,
		Progress: d.Progress, FirstChunk: d.FirstChunk, Log: d.Log,
	}
	return &engine{
		fence:  fence,
		client: client,
		slots: &snipeslot.Slots{
			Engine: name, Capacity: settings.Slots, Prefix: strconv.FormatUint(fence, 10),
			Load: func(ctx context.Context, alias, path string) error {
				return client.Load(ctx, alias, path, fence)
			},
			Unload: func(ctx context.Context, alias string) error {
				return client.Unload(ctx, alias, fence)
			},
			Budget: d.Budget, Timeout: d.LoadTimeout, Log: d.Log,
		},
	}
}

// Busy reports that a call or an order is in flight at an engine.
func (d *Dispatcher) Busy(name string) bool {
	d.lock.Lock()
	e, ok := d.engines[name]
	d.lock.Unlock()
	return ok && e.slots.InFlight() > 0
}

// Resident returns the adapters resident at an owned engine and the calls in
// flight there.
func (d *Dispatcher) Resident(name string) ([]snipecall.Adapter, int) {
	d.lock.Lock()
	e, ok := d.engines[name]
	d.lock.Unlock()
	if !ok {
		return nil, 0
	}
	return e.slots.Resident(), e.slots.InFlight()
}

func (d *Dispatcher) service(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	u, ok := d.Tree().Platform.Services[c.Service].Upstreams[c.Upstream]
	if !ok {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "upstream "+c.Upstream)
	}
	s := &snipeupstream.Service{Name: c.Upstream, Address: u.Address, Client: d.Client, Fresh: d.Fresh, Progress: d.Progress}
	return s.Call(ctx, c, sink)
}
