package snipeadapter

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipefair"
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
	// RetryAfter is when such a load is expected to be accepted; zero if not stated.
	RetryAfter time.Duration
	// Age is how long ago the owner named the wait; zero if it was asked.
	Age time.Duration
}

// Error implements error.
func (b *BusyError) Error() string {
	text := "too many loads wait: " + b.Wait.String()
	if b.Age > 0 {
		text += ", named " + b.Age.String() + " ago"
	}
	return text
}

// load is the load of an adapter or base model that is queued or in progress.
type load struct {
	adapter  snipecatalog.Adapter
	version  int64
	queuedAt time.Time
	// number increases from each load of the engine to the next.
	number int
	// reload reports that the engine probably loads the adapter from its own memory.
	reload bool
	// entry is the load's entry in its queue; nil if it is not in one. started is set when the load
	// starts, and startedAt is when.
	entry     *snipefair.Entry[*load]
	started   bool
	startedAt time.Time
	// waiters are the callers that wait for the load. A load without waiters is not started.
	waiters []*waiter
	// done is closed when the load has ended. err is the load's result, which is set before done
	// is closed.
	done chan struct{}
	err  error
}

// findOrQueue returns the version that the engine already holds if it is at least minVersion, or
// else a load of at least minVersion, with the caller counted as a waiter. It queues a load of the
// target version if none is pending; the error is a BusyError if that load is not expected to
// complete within the MaxWait of d. The caller waits for the load or calls removeWaiter.
func (e *engine) findOrQueue(a snipecatalog.Adapter, target, minVersion int64, d Demand) (*load, *waiter, int64, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := e.held[a]
	if h != nil {
		h.lastUsed = time.Now()
	}
	if h != nil && !h.loading && h.version >= minVersion {
		return nil, nil, h.version, nil
	}
	if l := e.loads[a]; l != nil && l.version >= minVersion {
		w := e.addWaiter(l, d)
		e.refuseDisplaced()
		return l, w, 0, nil
	}
	limit := d.MaxWait
	if d.Deadline > 0 {
		limit = min(limit, d.Deadline)
	}
	if wait := e.expectedWait(a, d); wait > limit {
		busy := &BusyError{Wait: wait, RetryAfter: e.retryAfter(wait, limit)}
		e.logRefusal(a, d.Priority, d.Workspace, busy, limit, false)
		return nil, nil, 0, busy
	}
	l, w := e.enqueue(a, target, d)
	return l, w, 0, nil
}

// queueRequired queues a load with a waiter that never leaves, so that the load is not dropped. If a
// load of this or a newer version is pending, queueRequired adds the waiter to that load instead.
func (e *engine) queueRequired(a snipecatalog.Adapter, version int64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if l := e.loads[a]; l != nil && l.version >= version {
		e.addWaiter(l, Demand{Target: loadTimeout})
		return
	}
	e.enqueue(a, version, Demand{Target: loadTimeout})
}

// await waits for a load and returns the version that the engine then holds. It gives up when ctx
// ends, at the waiter's deadline, and when the load is displaced.
func (e *engine) await(ctx context.Context, l *load, w *waiter) (int64, error) {
	var latestStart <-chan time.Time
	if !w.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, w.deadline)
		defer cancel()
		e.lock.Lock()
		timer := time.NewTimer(time.Until(w.useBy) - e.expectedTime(l))
		e.lock.Unlock()
		defer timer.Stop()
		latestStart = timer.C
	}
	for {
		select {
		case busy := <-w.refused:
			return 0, busy
		case <-l.done:
			return l.result(w)
		case <-latestStart:
			e.refuseIfQueued(l, w)
		case <-ctx.Done():
			e.lock.Lock()
			defer e.lock.Unlock()
			e.removeWaiter(l, w)
			return 0, ctx.Err()
		}
	}
}

// result returns the result of a load that has ended. A waiter that was refused gets the refusal
// instead, also if it was the load's last one, whose refusal has ended the load.
func (l *load) result(w *waiter) (int64, error) {
	select {
	case busy := <-w.refused:
		return 0, busy
	default:
	}
	if l.err != nil {
		return 0, l.err
	}
	return l.version, nil
}

// expectedWait returns how long a load that is queued now for a demand is expected to take. The lock
// is held.
func (e *engine) expectedWait(a snipecatalog.Adapter, d Demand) time.Duration {
	if e.isReload(a) {
		return e.controller.times.expectReload() + e.expectedSlotWait(e.reloads.Len(), 0)
	}
	ahead, start := e.storeStart(d)
	return start + e.expectedStoreTime() + e.expectedSlotWait(ahead, start)
}

// expectedStoreTime returns how long the engine's next load from the store is expected to take from
// its start. The lock is held.
func (e *engine) expectedStoreTime() time.Duration {
	return e.controller.times.expectNext(len(e.activeStoreLoads) >= maxActiveStoreLoads)
}

// isReload reports whether the engine probably has an adapter in its own memory.
func (e *engine) isReload(a snipecatalog.Adapter) bool {
	return a.Name != "" && e.controller.PreviouslyHeld != nil && e.controller.PreviouslyHeld(e.id, a)
}

// enqueue queues a load, which replaces a pending load of an older version in e.loads, and starts
// queued loads as far as the limits allow. The lock is held.
func (e *engine) enqueue(a snipecatalog.Adapter, version int64, d Demand) (*load, *waiter) {
	e.lastNumber++
	l := &load{adapter: a, version: version, queuedAt: time.Now(), number: e.lastNumber, reload: e.isReload(a), done: make(chan struct{})}
	w := e.addWaiter(l, d)
	e.loads[a] = l
	e.push(l)
	e.startLoads()
	return l, w
}

// startLoads starts queued loads as far as the limits allow, and refuses those that others displace.
// The lock is held.
func (e *engine) startLoads() {
	for len(e.activeLoads) < maxActiveLoads {
		l := e.takeNext()
		if l == nil {
			break
		}
		if !l.reload {
			e.activeStoreLoads[l] = true
		}
		l.started, l.startedAt = true, time.Now()
		e.activeLoads[l.adapter] = true
		go e.runLoad(l)
	}
	e.refuseDisplaced()
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
			adapterField: l.adapter.Name, "Waiting": e.waiterCount(l),
		}))
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if err == nil {
		e.recordLoaded(l)
	}
	e.finish(l, err)
	delete(e.activeStoreLoads, l)
	delete(e.activeLoads, l.adapter)
	e.resumeDeferred(l.adapter)
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
		e.enqueue(l.adapter, newest, Demand{Target: loadTimeout})
	}
}

// waiterCount returns how many callers wait for a load.
func (e *engine) waiterCount(l *load) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return len(l.waiters)
}

// recordLoaded records an adapter or a model that the engine now holds. Each waiter of the load
// counts as a use of the adapter; if none is left, one use is counted. The lock is held.
func (e *engine) recordLoaded(l *load) {
	if l.adapter.Name == "" {
		e.models[l.adapter.Model] = true
		// Reports do not show the model yet, nor the adapters that it lists.
		e.readAt = time.Now()
		return
	}
	h := &heldAdapter{version: l.version}
	h.inheritUse(e.held[l.adapter])
	h.recordUses(time.Now(), max(len(l.waiters), 1))
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
		adapterField: l.adapter.Name, "Version": l.version,
		"Milliseconds": time.Since(started).Milliseconds(), "Queued": started.Sub(l.queuedAt).Milliseconds(),
		"Ordered": orderTime.Milliseconds(),
	}))
	return nil
}
