package snipeadapter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// mostOnTheWay bounds the adapters on their way to one engine, which takes four at once,
	// mostFromStore those of them that come from the weight store. It serves one to two an
	// engine at full speed, and takes longer in proportion beyond; what waits here meanwhile
	// can still be put in order and taken back.
	mostOnTheWay  = 4
	mostFromStore = 2
	// orderTimeout bounds one order: an engine answers within milliseconds.
	orderTimeout = 150 * time.Millisecond
	// reportAge is how old an engine's report may be.
	reportAge = 300 * time.Millisecond
	// loadTime is how long an adapter usually takes from the weight store, reloadTime
	// one that the engine has held lately, a tenth; it is asked for from then on.
	loadTime   = 245 * time.Millisecond
	reloadTime = 25 * time.Millisecond
	// askEvery is the time between two questions whether a load is complete.
	askEvery = 15 * time.Millisecond
	// loadTimeout bounds a load, over all its tries.
	loadTimeout = 6 * time.Second
	// modelTimeout bounds the load of a base model, which takes up to two seconds,
	// and in proportion longer when many engines load one.
	modelTimeout = 15 * time.Second
	// calmUse is how long an adapter must not have been used to be evicted: uses that
	// have begun are heard of later than that seldom. An engine that has to wait for an
	// answer before it unloads takes no other order; a longer calm leaves too few to
	// choose from under heavy load.
	calmUse = 300 * time.Millisecond
	// firstVersion is the version of an adapter before any was announced, as engines
	// list it.
	firstVersion = 1
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
	// Model returns the base model that an engine without one should hold; empty
	// for none.
	Model func(u *snipedirectory.Upstream) string
	// Newest returns the newest announced version of an adapter; 0 for none.
	Newest func(a snipecatalog.Adapter) int64
	// Spare reports whether an engine may lose an adapter that is used so many times a
	// second there, because others hold it too; nil for never.
	Spare func(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool
	// StartedAgain is told of a start of an engine that is over, as its report shows,
	// though the directory does not tell yet.
	StartedAgain func(id string)
	// Formerly reports whether an engine held an adapter lately, so that it brings it back
	// without the weight store; nil for never.
	Formerly func(engine string, a snipecatalog.Adapter) bool
	// Holder is this instance's name in orders.
	Holder string
	Log    *snipelog.Logger

	evicted evictions

	late lateOrders

	lock    sync.Mutex // guards engines
	engines map[string]*engine
}

// engine is the desk's knowledge of one engine.
type engine struct {
	desk *Desk
	id   string
	// name and again are the upstream's; learned is since when this desk knows this start.
	name    string
	again   bool
	learned time.Time
	// ordering serialises orders: each states the number of those before it. It is
	// held while an order is under way, so it is no mutex.
	ordering turn
	// fence is that under which the engine was last read; what was known under an
	// earlier one is void.
	fence uint64
	// orders is the number of orders that the engine has taken; it is known once
	// the engine was read.
	orders uint64
	read   atomic.Bool
	// sure tells that the last order of all got its answer here. Else one that got
	// none, of this instance or of the owner before, may still be carried out.
	sure bool

	lock sync.Mutex // guards the fields below
	// readAt is when the engine was last read.
	readAt time.Time
	// models are the base models that it holds; nil until it was read.
	models map[string]bool
	held   map[snipecatalog.Adapter]*holding
	loads  map[snipecatalog.Adapter]*load
	// flights are the adapters in flight, by the instance that reports them.
	flights map[string]flights
	// queue are the loads that wait for their turn, bringing the adapters of those that
	// have it, fromStore how many of these come from the weight store.
	queue     []*load
	bringing  map[snipecatalog.Adapter]bool
	fromStore int
	// forPlace is how long loads have waited of late for a place where all were in use.
	forPlace time.Duration
}

// turn is taken by one goroutine at a time.
type turn chan struct{}

func (t turn) take(ctx context.Context) error {
	select {
	case t <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t turn) leave() { <-t }

// holding is an adapter that an engine holds.
type holding struct {
	version int64
	// used is when it was last used, uses how often it is, rate how often of late.
	used time.Time
	uses Decay
	rate Rate
	// coming adapters take a place, and cannot be used yet.
	coming bool
	// replaced adapters are used while a newer version, which takes a place of its
	// own, is on its way.
	replaced bool
}

// note notes uses.
func (h *holding) note(now time.Time, n int) {
	h.used = now
	h.uses.Add(now, float64(n))
	h.rate.Add(now, float64(n))
}

// inherit takes the use of what was known of the same adapter before.
func (h *holding) inherit(known *holding) {
	if known != nil {
		h.used, h.uses, h.rate = known.used, known.uses, known.rate
	}
}

// Ensure waits until an engine holds an adapter in at least the given version and
// returns the version that it holds. A load that cannot be complete within patience
// is refused at once: the error is then a BusyError.
func (d *Desk) Ensure(ctx context.Context, id string, a snipecatalog.Adapter, version int64, patience time.Duration) (int64, error) {
	u := d.Upstream(id)
	if u == nil {
		return 0, errors.Wrap(ErrUnknownEngine, id)
	}
	if _, ok := d.Fence(u.Address); !ok {
		return 0, errors.Wrap(ErrNotOwner, id)
	}
	e := d.engine(u)
	if !e.serves(a.Model) {
		return 0, errors.Wrap(ErrNoModel, id)
	}
	l, held, err := e.want(a, d.target(a, version), version, patience)
	if l == nil {
		return held, err
	}
	select {
	case <-l.done:
	case <-ctx.Done():
		e.leave(l)
		return 0, ctx.Err()
	}
	if l.err != nil {
		return 0, l.err
	}
	return l.version, nil
}

// target returns the version to load of an adapter of which at least one version is
// asked for. It is always stated: the repeat of an order that states none would begin
// the load of a version that was announced meanwhile, which has no place.
func (d *Desk) target(a snipecatalog.Adapter, least int64) int64 {
	return max(least, d.Newest(a), firstVersion)
}

// Rates returns how often a second the adapters of an engine are used, of those that
// are used at least so often.
func (d *Desk) Rates(id string, least float64) map[snipecatalog.Adapter]float64 {
	d.lock.Lock()
	e := d.engines[id]
	d.lock.Unlock()
	if e == nil {
		return nil
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	var rates map[snipecatalog.Adapter]float64
	for a, h := range e.held {
		perSecond := h.rate.PerSecond(now)
		if perSecond < least {
			continue
		}
		if rates == nil {
			rates = make(map[snipecatalog.Adapter]float64)
		}
		rates[a] = perSecond
	}
	return rates
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
			e.must(a, version)
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
	e := d.engine(u)
	if err := e.ordering.take(ctx); err != nil {
		return
	}
	defer e.ordering.leave()
	if e.read.Load() && e.fence == fence {
		return
	}
	if err := e.readState(ctx, u, fence); err != nil {
		d.Log.Error(snipelog.EngineUnread, err, e.fields(nil))
		return
	}
	if model := d.Model(u); model != "" && !e.serves(model) {
		e.must(snipecatalog.Adapter{Model: model}, 0)
		return
	}
	for a, version := range e.outdated() {
		e.must(a, version)
	}
}

// Engines returns the engines that this desk has ordered and that are not gone.
func (d *Desk) Engines() []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	return slices.Collect(maps.Keys(d.engines))
}

// Forget drops an engine that is gone.
func (d *Desk) Forget(id string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.engines, id)
}

func (d *Desk) engine(u *snipedirectory.Upstream) *engine {
	d.lock.Lock()
	defer d.lock.Unlock()
	if e := d.engines[u.ID]; e != nil {
		return e
	}
	if d.engines == nil {
		d.engines = make(map[string]*engine)
	}
	e := &engine{
		desk: d, id: u.ID, name: u.Name, again: u.Again, learned: time.Now(), ordering: make(turn, 1),
		held: make(map[snipecatalog.Adapter]*holding), loads: make(map[snipecatalog.Adapter]*load),
		bringing: make(map[snipecatalog.Adapter]bool), flights: make(map[string]flights),
	}
	d.engines[u.ID] = e
	return e
}

// fields adds the engine to the fields of a log line.
func (e *engine) fields(f snipelog.Fields) snipelog.Fields {
	if f == nil {
		f = snipelog.Fields{}
	}
	f["Engine"] = e.id
	return f
}

// serves reports whether the engine holds a base model, as far as is known.
func (e *engine) serves(model string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.models == nil || e.models[model]
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
