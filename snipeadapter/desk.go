package snipeadapter

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// onTheWay bounds the adapters on their way to one engine. Engines take four
	// at once; the weight store serves about two an engine at full speed over all
	// engines, and more make each slower.
	onTheWay = 3
	// orderTimeout bounds one order: an engine answers within milliseconds.
	orderTimeout = 400 * time.Millisecond
	// reportAge is how old an engine's report may be.
	reportAge = 300 * time.Millisecond
	// loadTime is how long an adapter usually takes; it is asked for from then on.
	loadTime = 245 * time.Millisecond
	// askEvery is the time between two questions whether a load is complete.
	askEvery = 15 * time.Millisecond
	// loadTimeout bounds a load, over all its tries.
	loadTimeout = 6 * time.Second
	// calmUse is how long an adapter must not have been used to be evicted while
	// there is another choice: a usual answer's time and that of a report of use. An
	// engine that has to wait for an answer before it unloads takes no other order.
	calmUse = 1500 * time.Millisecond
)

// Desk gives orders to the engines that this instance owns. Exported fields are
// set before the first call; it is safe for concurrent use.
type Desk struct {
	Engine Engine
	// Fence returns the right to order.
	Fence Fence
	// Upstream returns an engine of the directory; nil when it is not there.
	Upstream func(id string) *snipedirectory.Upstream
	// Slots returns how many adapters an engine can hold.
	Slots func(u *snipedirectory.Upstream) int
	// Newest returns the newest announced version of an adapter; 0 for none.
	Newest func(a snipecatalog.Adapter) int64
	// Holder is this instance's name in orders.
	Holder string
	Log    *snipelog.Logger

	lock    sync.Mutex // guards engines
	engines map[string]*engine
}

// engine is the desk's knowledge of one engine.
type engine struct {
	desk *Desk
	id   string
	// transit bounds the loads on their way.
	transit chan struct{}

	// ordering serialises orders: each states the number of those before it.
	ordering sync.Mutex
	// fence is that under which the engine was last read; what was known under an
	// earlier one is void.
	fence uint64
	// orders is the number of orders that the engine has taken; it is known once
	// the engine was read.
	orders uint64
	read   bool

	lock  sync.Mutex // guards the fields below
	held  map[snipecatalog.Adapter]*holding
	loads map[snipecatalog.Adapter]*load
}

// holding is an adapter that an engine holds.
type holding struct {
	version int64
	// used is when it was last used, uses how often it is.
	used time.Time
	uses Decay
	// coming adapters take a place, and cannot be used yet.
	coming bool
}

// note notes uses.
func (h *holding) note(now time.Time, n int) {
	h.used = now
	h.uses.Add(now, float64(n))
}

// load is an adapter that is on its way, or waits for its turn.
type load struct {
	version int64
	done    chan struct{}
	err     error
}

// Ensure waits until an engine holds an adapter in at least the given version and
// returns the version that it holds.
func (d *Desk) Ensure(ctx context.Context, id string, a snipecatalog.Adapter, version int64) (int64, error) {
	u := d.Upstream(id)
	if u == nil {
		return 0, errors.Wrap(ErrUnknownEngine, id)
	}
	if _, ok := d.Fence(u.Address); !ok {
		return 0, errors.Wrap(ErrNotOwner, id)
	}
	e := d.engine(id)
	l, held := e.want(a, max(version, d.Newest(a)), version)
	if l == nil {
		return held, nil
	}
	select {
	case <-l.done:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	if l.err != nil {
		return 0, l.err
	}
	return l.version, nil
}

// Used notes how often adapters were used on an engine since the last report.
func (d *Desk) Used(id string, uses map[snipecatalog.Adapter]int) {
	d.lock.Lock()
	e := d.engines[id]
	d.lock.Unlock()
	if e == nil {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	for a, n := range uses {
		if h := e.held[a]; h != nil {
			h.note(now, n)
		}
	}
}

// Refresh replaces an adapter by a newer version on all engines of this desk that
// hold it.
func (d *Desk) Refresh(a snipecatalog.Adapter, version int64) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for _, e := range d.engines {
		e.lock.Lock()
		h := e.held[a]
		e.lock.Unlock()
		if h != nil && h.version < version {
			e.want(a, version, version)
		}
	}
}

// Take reads an engine that this instance has come to own, so that what it holds
// is known before the first order.
func (d *Desk) Take(ctx context.Context, u *snipedirectory.Upstream) {
	fence, ok := d.Fence(u.Address)
	if !ok {
		return
	}
	e := d.engine(u.ID)
	e.ordering.Lock()
	defer e.ordering.Unlock()
	if e.read && e.fence == fence {
		return
	}
	_ = e.readState(ctx, u, fence)
	for a, version := range e.outdated() {
		e.want(a, version, version)
	}
}

// Forget drops an engine that is gone.
func (d *Desk) Forget(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.engines, id)
}

func (d *Desk) engine(id string) *engine {
	d.lock.Lock()
	defer d.lock.Unlock()
	if e := d.engines[id]; e != nil {
		return e
	}
	if d.engines == nil {
		d.engines = make(map[string]*engine)
	}
	e := &engine{
		desk: d, id: id, transit: make(chan struct{}, onTheWay),
		held: make(map[snipecatalog.Adapter]*holding), loads: make(map[snipecatalog.Adapter]*load),
	}
	d.engines[id] = e
	return e
}

// outdated returns the adapters that the engine holds in an older version than the
// newest one.
func (e *engine) outdated() map[snipecatalog.Adapter]int64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	all := make(map[snipecatalog.Adapter]int64)
	for a, h := range e.held {
		if newest := e.desk.Newest(a); newest > h.version {
			all[a] = newest
		}
	}
	return all
}

// want returns the load that brings an adapter, starting it if none is under way,
// or the version that the engine holds already if that will do.
func (e *engine) want(a snipecatalog.Adapter, target, least int64) (*load, int64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := e.held[a]
	if h != nil {
		h.used = time.Now()
	}
	if h != nil && !h.coming && h.version >= least {
		return nil, h.version
	}
	if l := e.loads[a]; l != nil && l.version >= least {
		return l, 0
	}
	l := &load{version: target, done: make(chan struct{})}
	e.loads[a] = l
	go e.run(a, l)
	return l, 0
}

// run brings one adapter onto the engine.
func (e *engine) run(a snipecatalog.Adapter, l *load) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	l.err = e.bring(ctx, a, l)
	e.lock.Lock()
	if e.loads[a] == l {
		delete(e.loads, a)
	}
	if l.err == nil {
		h := &holding{version: l.version}
		if known := e.held[a]; known != nil {
			h.uses = known.uses
		}
		h.note(time.Now(), 1)
		e.held[a] = h
	}
	e.lock.Unlock()
	close(l.done)
}

// bring orders the load and waits until it is complete.
func (e *engine) bring(ctx context.Context, a snipecatalog.Adapter, l *load) error {
	select {
	case e.transit <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-e.transit }()
	begun := time.Now()
	o := Order{Action: Load, Adapter: a, Version: l.version}
	reply, err := e.order(ctx, &o)
	if err != nil {
		return err
	}
	if reply == Taken {
		if err := e.await(ctx, o); err != nil {
			return err
		}
	}
	e.desk.Log.Log(snipelog.AdapterPresent, snipelog.Fields{
		"Engine": e.id, "Adapter": a.Name, "Version": l.version, "Milliseconds": time.Since(begun).Milliseconds(),
	})
	return nil
}
