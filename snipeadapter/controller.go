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
	"snipepitch.example/snipepitch/snipefair"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// maxActiveLoads bounds the loads in progress on one engine, which accepts four at once.
	// maxActiveStoreLoads bounds those among them that come from the weight store, which serves one
	// to two loads per engine at full speed and becomes proportionally slower beyond that. A load
	// that waits in the queue instead can still be reordered or dropped.
	maxActiveLoads      = 4
	maxActiveStoreLoads = 2
	// orderTimeout bounds one order; an engine answers within milliseconds.
	orderTimeout = 150 * time.Millisecond
	// maxReportAge is how old an engine's report may be. After an order whose outcome is unknown
	// the controller waits this long, so that the next report shows the order's effect.
	maxReportAge = 300 * time.Millisecond
	// storeLoadTime is how long an adapter is expected to take to load from the weight store until
	// loads were observed (see loadTimes). reloadTime is the same for an adapter that the engine has
	// held recently and still has in its own memory. The first poll of a load, whichever it is, is
	// sent after reloadTime.
	storeLoadTime = 245 * time.Millisecond
	reloadTime    = 25 * time.Millisecond
	// pollInterval is the time between two polls for the completion of an order.
	pollInterval = 15 * time.Millisecond
	// loadTimeout bounds a load, including all its retries.
	loadTimeout = 6 * time.Second
	// modelTimeout bounds the load of a base model, which takes up to two seconds, and
	// proportionally longer when many engines load one at the same time.
	modelTimeout = 15 * time.Second
	// minIdle is how long an adapter must have been unused before it can be evicted. Uses are
	// seldom reported later than this after they begin. Shorter: a use that has begun but is not
	// reported yet could be missed, and the engine would accept no other order until that request
	// ends. Longer: too few adapters can be evicted under heavy load.
	minIdle = 300 * time.Millisecond
	// firstVersion is the version that engines list for an adapter before any version was
	// announced.
	firstVersion = 1
)

// adapterField is the log field with an adapter's name.
const adapterField = "Adapter"

// Controller gives orders to the engines that this instance owns. Exported fields are set before
// the first call; the methods are safe for concurrent use.
type Controller struct {
	Engine Engine
	// Fence returns the fencing number for an order, and whether this instance may give one.
	Fence Fence
	// Upstream returns the directory entry of an engine, or nil if there is none.
	Upstream func(id string) *snipedirectory.Upstream
	// Slots returns how many adapters an engine can hold.
	Slots func(u *snipedirectory.Upstream) int
	// Model returns the base model that an engine without one should hold; empty for none.
	Model func(u *snipedirectory.Upstream) string
	// Newest returns the newest announced version of an adapter; 0 if none was announced.
	Newest func(a snipecatalog.Adapter) int64
	// Redundant reports whether an engine can lose an adapter that is used perSecond times a second
	// there, because other engines hold it too; nil means that it never can.
	Redundant func(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool
	// EngineRestarted is called with the ID of the directory's entry when the engine's report
	// states another start than that entry.
	EngineRestarted func(id string)
	// PreviouslyHeld reports whether an engine held an adapter recently and does not hold it now,
	// so that the engine reloads it without the weight store; nil means never.
	PreviouslyHeld func(engine string, a snipecatalog.Adapter) bool
	// Refused is called for each caller whose load is refused for lack of time: displaced is set if
	// the load was queued before. It must not block; nil means that refusals are only logged.
	Refused func(priority int, displaced bool)
	// Holder is this instance's name in orders.
	Holder string
	Log    *snipelog.Logger

	evicted evictionLog

	unanswered unansweredLoads

	times loadTimes

	lock    sync.Mutex // guards engines
	engines map[string]*engine
}

// engine is the controller's state of one start of an engine.
type engine struct {
	controller *Controller
	id         string
	// name and restarted come from the directory entry (restarted: an earlier start had the same
	// name). discovered is when this controller first used this start of the engine.
	name       string
	restarted  bool
	discovered time.Time
	// orderLock serializes orders, because each states the number of orders before it. It is held
	// while an order is in progress, so waiting for it honors a context, unlike a mutex.
	orderLock ctxLock
	// fence is the fencing number under which the engine was last read; state that was read under
	// an earlier one is invalid.
	fence uint64
	// accepted is the number of orders that the engine has accepted since its start; it is valid
	// while stateKnown is true. stateKnown is false until the engine was read, and while it must be
	// read again.
	accepted   uint64
	stateKnown atomic.Bool
	// lastAnswered reports that this controller received the answer to the engine's latest order.
	// Otherwise an unanswered order, of this instance or of the previous owner, may still be
	// carried out.
	lastAnswered bool

	lock sync.Mutex // guards the fields below
	// readAt is when the engine was last read, or has loaded a base model since.
	readAt time.Time
	// models are the base models that the engine holds; nil until the engine was read.
	models map[string]bool
	held   map[snipecatalog.Adapter]*heldAdapter
	loads  map[snipecatalog.Adapter]*load
	// unlisted is the number of slots that adapters may take which the last report does not list.
	unlisted int
	// inFlightReports holds, for each instance that has requests in flight on the engine, its last
	// report of their adapters.
	inFlightReports map[string]inFlightReport
	// queue are the loads from the weight store that have not started yet, reloads those from the
	// engine's own memory. deferred are the loads of either kind that wait until the load of another
	// version of the adapter has ended. activeLoads are the adapters of the loads that have started,
	// activeStoreLoads those of these loads that come from the weight store.
	queue, reloads   snipefair.Queue[*load]
	deferred         []*load
	lastNumber       int // the number of the load that was queued last
	activeLoads      map[snipecatalog.Adapter]bool
	activeStoreLoads map[*load]bool
	// slotWait is the moving average of how long loads waited for a slot when all were in use; 0
	// until the first such wait.
	slotWait time.Duration
}

// ctxLock is a mutual exclusion lock whose acquisition honors a context.
type ctxLock chan struct{}

func (l ctxLock) acquire(ctx context.Context) error {
	select {
	case l <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l ctxLock) release() { <-l }

// heldAdapter is an adapter that takes a slot on an engine.
type heldAdapter struct {
	version int64
	// lastUsed is when the adapter was last used, useCount the decaying count of its uses, useRate
	// its recent rate of use.
	lastUsed time.Time
	useCount DecayingCount
	useRate  Rate
	// loading reports that the adapter takes a slot but cannot be used yet.
	loading bool
	// replacing reports that a newer version, which takes a slot of its own, is loading. Until it
	// is complete this version is used.
	replacing bool
}

// recordUses records n uses of the adapter, and that it was last used now, even if n is 0.
func (h *heldAdapter) recordUses(now time.Time, n int) {
	h.lastUsed = now
	h.useCount.Add(now, float64(n))
	h.useRate.Add(now, float64(n))
}

// inheritUse copies the use statistics from an earlier record of the same adapter.
func (h *heldAdapter) inheritUse(previous *heldAdapter) {
	if previous != nil {
		h.lastUsed, h.useCount, h.useRate = previous.lastUsed, previous.useCount, previous.useRate
	}
}

// Ensure waits until an engine holds an adapter in at least the given version and returns the
// version that it holds. If the adapter has to be loaded and no load of a sufficient version is
// pending, Ensure queues one, or returns a BusyError at once if that load is not expected to
// complete within the MaxWait of d. It also fails at once if the engine is unknown, if this instance
// may not order it, or if it is known not to hold the base model.
//
// If d states a Deadline, Ensure returns a BusyError also while the load is queued, as soon as the
// load is not expected to complete in time, because more urgent loads were queued or those in
// progress take longer: within the Target of d or its MaxWait, whichever is longer, and before its
// Deadline. When ctx ends or the Deadline passes, Ensure returns the error of ctx; a load that has
// started continues.
func (c *Controller) Ensure(ctx context.Context, id string, a snipecatalog.Adapter, version int64, d Demand) (int64, error) {
	u := c.Upstream(id)
	if u == nil {
		return 0, errors.Wrap(ErrUnknownEngine, id)
	}
	if _, ok := c.Fence(u.Address); !ok {
		return 0, errors.Wrap(ErrNotOwner, id)
	}
	e := c.engine(u)
	if !e.serves(a.Model) {
		return 0, errors.Wrap(ErrNoModel, id)
	}
	l, w, held, err := e.findOrQueue(a, c.target(a, version), version, d.bounded())
	if l == nil {
		return held, err
	}
	return e.await(ctx, l, w)
}

// target returns the version to load of an adapter that is requested in at least minVersion. It is
// never 0: a repeat of an order without a version would start the load of a version announced in
// the meantime, for which no slot is free.
func (c *Controller) target(a snipecatalog.Adapter, minVersion int64) int64 {
	return max(minVersion, c.Newest(a), firstVersion)
}

// UseRates returns the uses per second of an engine's adapters, without those below minRate. The
// map is nil if none remain or the engine has no state here.
func (c *Controller) UseRates(id string, minRate float64) map[snipecatalog.Adapter]float64 {
	c.lock.Lock()
	e := c.engines[id]
	c.lock.Unlock()
	if e == nil {
		return nil
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	var rates map[snipecatalog.Adapter]float64
	for a, h := range e.held {
		perSecond := h.useRate.PerSecond(now)
		if perSecond < minRate {
			continue
		}
		if rates == nil {
			rates = make(map[snipecatalog.Adapter]float64)
		}
		rates[a] = perSecond
	}
	return rates
}

// Refresh queues the load of a version of an adapter on each engine of this controller that holds
// an older version. It does not wait for the loads.
func (c *Controller) Refresh(a snipecatalog.Adapter, version int64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, e := range c.engines {
		e.lock.Lock()
		h := e.held[a]
		e.lock.Unlock()
		if h != nil && h.version < version {
			e.queueRequired(a, version)
		}
	}
}

// ReadEngine reads the state of an engine that this instance has come to own, so that the state is
// known before the first order; it waits for an order in progress. It then queues the load of a
// missing base model, or else of newer versions of the adapters that the engine holds. It does
// nothing if the state is already known under the current fencing number, or if this instance may
// not order the engine; a failed read is only logged.
func (c *Controller) ReadEngine(ctx context.Context, u *snipedirectory.Upstream) {
	fence, ok := c.Fence(u.Address)
	if !ok {
		return
	}
	e := c.engine(u)
	if err := e.orderLock.acquire(ctx); err != nil {
		return
	}
	defer e.orderLock.release()
	if e.stateKnown.Load() && e.fence == fence {
		return
	}
	if err := e.readState(ctx, u, fence); err != nil {
		c.Log.Error(snipelog.EngineUnread, err, e.logFields(nil))
		return
	}
	if model := c.Model(u); model != "" && !e.serves(model) {
		e.queueRequired(snipecatalog.Adapter{Model: model}, 0)
		return
	}
	for a, version := range e.outdated() {
		e.queueRequired(a, version)
	}
}

// Engines returns the IDs of the engines that this controller has used and that were not forgotten.
func (c *Controller) Engines() []string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return slices.Collect(maps.Keys(c.engines))
}

// Forget drops the state of an engine that no longer exists.
func (c *Controller) Forget(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.engines, id)
}

// engine returns the state of an engine's start, and creates it if there is none.
func (c *Controller) engine(u *snipedirectory.Upstream) *engine {
	c.lock.Lock()
	defer c.lock.Unlock()
	if e := c.engines[u.ID]; e != nil {
		return e
	}
	if c.engines == nil {
		c.engines = make(map[string]*engine)
	}
	e := &engine{
		controller: c, id: u.ID, name: u.Name, restarted: u.Restarted, discovered: time.Now(), orderLock: make(ctxLock, 1),
		held: make(map[snipecatalog.Adapter]*heldAdapter), loads: make(map[snipecatalog.Adapter]*load),
		activeLoads: make(map[snipecatalog.Adapter]bool), activeStoreLoads: make(map[*load]bool), inFlightReports: make(map[string]inFlightReport),
	}
	c.engines[u.ID] = e
	return e
}

// logFields adds the engine's ID to the fields of a log line.
func (e *engine) logFields(f snipelog.Fields) snipelog.Fields {
	if f == nil {
		f = snipelog.Fields{}
	}
	f["Engine"] = e.id
	return f
}

// serves reports whether the engine holds a base model; it is true while the engine's models are
// not known.
func (e *engine) serves(model string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	return e.models == nil || e.models[model]
}

// outdated returns the newest versions of the adapters that the engine holds in an older version.
func (e *engine) outdated() map[snipecatalog.Adapter]int64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	all := make(map[snipecatalog.Adapter]int64)
	for a, h := range e.held {
		if newest := e.controller.Newest(a); newest > h.version {
			all[a] = newest
		}
	}
	return all
}
