package snipeadapter

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

// ErrNoWaiter reports that no caller waits for the load any more.
var ErrNoWaiter = errors.New("nobody waits for the adapter")

// errInUse reports that no adapter on the engine can be evicted because all are in use.
var errInUse = errors.New("all adapters of the engine are in use")

// evictionRetryInterval is the time between two attempts of a load to find an adapter that can be
// evicted, while all adapters of the engine are in use.
const evictionRetryInterval = 40 * time.Millisecond

// BusyError reports that a load would take longer than the caller waits.
type BusyError struct {
	// Wait is how long the load is expected to take.
	Wait time.Duration
}

// Error implements error.
func (b *BusyError) Error() string { return "too many loads wait: " + b.Wait.String() }

// load is the load of an adapter or base model that is queued or in progress.
type load struct {
	adapter  snipecatalog.Adapter
	version  int64
	queuedAt time.Time
	// reload reports that the engine probably loads the adapter from its own memory.
	reload bool
	// deadline is the latest time until which a caller waits for the load.
	deadline time.Time
	// waiters counts the callers that wait for the load. A load without waiters is not started.
	waiters int
	// done is closed when the load has ended. err is the load's result, which is set before done
	// is closed.
	done chan struct{}
	err  error
}

// findOrQueue returns the version that the engine already holds if it is at least minVersion, or
// else a load of at least minVersion, with the caller counted as a waiter. It queues a load of the
// target version if none is pending; the error is a BusyError if that load is not expected to
// complete within the MaxWait of d. The caller waits for the load or calls removeWaiter.
func (e *engine) findOrQueue(a snipecatalog.Adapter, target, minVersion int64, d Demand) (*load, int64, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := e.held[a]
	if h != nil {
		h.lastUsed = time.Now()
	}
	if h != nil && !h.loading && h.version >= minVersion {
		return nil, h.version, nil
	}
	if l := e.loads[a]; l != nil && l.version >= minVersion {
		l.addWaiter(d.MaxWait)
		return l, 0, nil
	}
	if wait := e.expectedWait(a); wait > d.MaxWait {
		return nil, 0, &BusyError{Wait: wait}
	}
	return e.enqueue(a, target, d.MaxWait), 0, nil
}

// addWaiter adds a caller that waits up to maxWait for the load. The engine's lock is held.
func (l *load) addWaiter(maxWait time.Duration) {
	l.waiters++
	if deadline := time.Now().Add(maxWait); deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

// queueRequired queues a load with a waiter that never leaves, so that the load is not dropped. If a
// load of this or a newer version is pending, queueRequired adds the waiter to that load instead.
func (e *engine) queueRequired(a snipecatalog.Adapter, version int64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if l := e.loads[a]; l != nil && l.version >= version {
		l.addWaiter(loadTimeout)
		return
	}
	e.enqueue(a, version, loadTimeout)
}

// expectedWait returns how long a load that is queued now is expected to take. The lock is held.
func (e *engine) expectedWait(a snipecatalog.Adapter) time.Duration {
	if e.isReload(a) {
		return e.controller.times.expectReload() + e.expectedSlotWait()
	}
	ahead := len(e.queue) + e.activeStoreLoads
	return time.Duration(1+ahead/maxActiveStoreLoads)*e.expectedStoreTime() + e.expectedSlotWait()
}

// expectedStoreTime returns how long the engine's next load from the store is expected to take from
// its start. The lock is held.
func (e *engine) expectedStoreTime() time.Duration {
	return e.controller.times.expectNext(e.activeStoreLoads >= maxActiveStoreLoads)
}

// isReload reports whether the engine probably has an adapter in its own memory.
func (e *engine) isReload(a snipecatalog.Adapter) bool {
	return a.Name != "" && e.controller.PreviouslyHeld != nil && e.controller.PreviouslyHeld(e.id, a)
}

// enqueue queues a load, which replaces a pending load of an older version in e.loads, and starts
// queued loads as far as the limits allow. The lock is held.
func (e *engine) enqueue(a snipecatalog.Adapter, version int64, maxWait time.Duration) *load {
	l := &load{adapter: a, version: version, queuedAt: time.Now(), reload: e.isReload(a), done: make(chan struct{})}
	l.addWaiter(maxWait)
	e.loads[a] = l
	e.queue = append(e.queue, l)
	e.startLoads()
	return l
}

// removeWaiter records that a caller no longer waits for a load.
func (e *engine) removeWaiter(l *load) {
	e.lock.Lock()
	defer e.lock.Unlock()
	l.waiters--
}

// startLoads starts queued loads as far as the limits allow. A load without waiters ends with
// ErrNoWaiter instead. The lock is held.
func (e *engine) startLoads() {
	for len(e.activeLoads) < maxActiveLoads {
		next := e.nextLoad()
		if next < 0 {
			return
		}
		l := e.queue[next]
		e.queue = slices.Delete(e.queue, next, next+1)
		if l.waiters <= 0 {
			e.finish(l, ErrNoWaiter)
			continue
		}
		if !l.reload {
			e.activeStoreLoads++
		}
		e.activeLoads[l.adapter] = true
		go e.runLoad(l)
	}
}

// nextLoad returns the index of the queued load to start next, or -1 if none can start. Reloads go
// first because they delay no other load. Then come loads that, if started now, complete before
// their deadline, then the others. Of equals, the load with the most waiters is first, then the
// oldest. In plain queue order an overload would make every
// load late; in this order the loads that are already too late get the remaining capacity. Another
// version of an adapter waits until the load of the version before it has completed: two at once
// would take one slot more than is counted. The lock is held.
func (e *engine) nextLoad() int {
	next := -1
	ready := time.Now().Add(e.expectedStoreTime())
	for n, l := range e.queue {
		if e.activeLoads[l.adapter] {
			continue
		}
		if l.reload {
			return n
		}
		if e.activeStoreLoads >= maxActiveStoreLoads {
			continue
		}
		if next < 0 || l.precedes(e.queue[next], ready) {
			next = n
		}
	}
	return next
}

// precedes reports whether a load starts before an older one. ready is when either of them would be
// complete if it started now.
func (l *load) precedes(older *load, ready time.Time) bool {
	if inTime := l.deadline.After(ready); inTime != older.deadline.After(ready) {
		return inTime
	}
	return l.waiters > older.waiters
}

// finish ends a load with its result. The lock is held.
func (e *engine) finish(l *load, err error) {
	if e.loads[l.adapter] == l {
		delete(e.loads, l.adapter)
	}
	l.err = err
	close(l.done)
}

// runLoad carries out one load, at most for loadTimeout or modelTimeout, records and logs its
// result, and starts the next loads.
func (e *engine) runLoad(l *load) {
	limit := loadTimeout
	if l.adapter.Name == "" {
		limit = modelTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := e.performLoad(ctx, l)
	if err != nil {
		e.controller.Log.Error(snipelog.LoadFailed, err, e.logFields(snipelog.Fields{
			"Adapter": l.adapter.Name, "Waiting": e.waiterCount(l),
		}))
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if err == nil {
		e.recordLoaded(l)
	}
	e.finish(l, err)
	if !l.reload {
		e.activeStoreLoads--
	}
	delete(e.activeLoads, l.adapter)
	if err == nil {
		e.queueNewest(l)
	}
	e.startLoads()
}

// queueNewest queues the newest version of an adapter that was loaded, if that version was
// announced while an older one was loading. The lock is held.
func (e *engine) queueNewest(l *load) {
	newest := e.controller.Newest(l.adapter)
	if newest > l.version && e.loads[l.adapter] == nil {
		e.enqueue(l.adapter, newest, loadTimeout)
	}
}

// waiterCount returns how many callers wait for a load.
func (e *engine) waiterCount(l *load) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return l.waiters
}

// recordLoaded records an adapter or a model that the engine now holds. Each waiter of the load
// counts as a use of the adapter; if none is left, one use is counted. The lock is held.
func (e *engine) recordLoaded(l *load) {
	if l.adapter.Name == "" {
		e.models[l.adapter.Model] = true
		return
	}
	h := &heldAdapter{version: l.version}
	h.inheritUse(e.held[l.adapter])
	h.recordUses(time.Now(), max(l.waiters, 1))
	e.held[l.adapter] = h
	e.controller.evicted.drop(e.id, l.adapter)
}

// performLoad orders the load and polls until it is complete. While all adapters of the engine are
// in use, it repeats the attempt every evictionRetryInterval as long as callers wait for the load.
func (e *engine) performLoad(ctx context.Context, l *load) error {
	started := time.Now()
	o := Order{Action: Load, Adapter: l.adapter, Version: l.version}
	reply, err := e.executeOrder(ctx, &o)
	waitedForSlot := errors.Is(err, errInUse)
	for errors.Is(err, errInUse) && e.waiterCount(l) > 0 && snipetime.Sleep(ctx, evictionRetryInterval) {
		reply, err = e.executeOrder(ctx, &o)
	}
	orderTime := time.Since(started)
	if waitedForSlot {
		e.recordSlotWait(orderTime)
	}
	if err != nil {
		return err
	}
	if reply == Taken {
		if err := e.awaitObserved(ctx, l, o); err != nil {
			// It is not known whether the adapter takes a slot on the engine.
			e.stateKnown.Store(false)
			return err
		}
	}
	e.controller.Log.Log(snipelog.AdapterPresent, e.logFields(snipelog.Fields{
		"Adapter": l.adapter.Name, "Version": l.version,
		"Milliseconds": time.Since(started).Milliseconds(), "Queued": started.Sub(l.queuedAt).Milliseconds(),
		"Ordered": orderTime.Milliseconds(),
	}))
	return nil
}
