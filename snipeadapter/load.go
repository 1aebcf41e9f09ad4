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

// ErrUnwanted says that nobody waits for the load any more.
var ErrUnwanted = errors.New("nobody waits for the adapter")

// errInUse: all adapters that the engine holds were used a moment ago.
var errInUse = errors.New("all adapters of the engine are in use")

// calmPause is the time between two looks for an adapter that is no longer used.
const calmPause = 40 * time.Millisecond

// BusyError is the error of a load that would take too long.
type BusyError struct {
	// Wait is when there will be room for it.
	Wait time.Duration
}

// Error implements error.
func (b *BusyError) Error() string { return "too many loads wait: " + b.Wait.String() }

// load is an adapter that is on its way, or waits for its turn.
type load struct {
	adapter snipecatalog.Adapter
	version int64
	since   time.Time
	// quick loads come from the engine's own memory, as far as is known.
	quick bool
	// due is until when the last of those who wait counts on it.
	due time.Time
	// waiting counts those who wait for it. One that nobody waits for is not begun.
	waiting int
	done    chan struct{}
	err     error
}

// want returns the load that brings an adapter, queueing it if none is under way,
// or the version that the engine holds already if that will do. The caller waits
// for the load, or leaves it.
func (e *engine) want(a snipecatalog.Adapter, target, least int64, patience time.Duration) (*load, int64, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	h := e.held[a]
	if h != nil {
		h.used = time.Now()
	}
	if h != nil && !h.coming && h.version >= least {
		return nil, h.version, nil
	}
	if l := e.loads[a]; l != nil && l.version >= least {
		l.join(patience)
		return l, 0, nil
	}
	if wait := e.wait(a); wait > patience {
		return nil, 0, &BusyError{Wait: wait}
	}
	return e.enqueue(a, target, patience), 0, nil
}

// join notes that somebody waits for the load who has patience. The engine's lock is held.
func (l *load) join(patience time.Duration) {
	l.waiting++
	if due := time.Now().Add(patience); due.After(l.due) {
		l.due = due
	}
}

// must queues a load that somebody always waits for.
func (e *engine) must(a snipecatalog.Adapter, version int64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if l := e.loads[a]; l != nil && l.version >= version {
		l.join(loadTimeout)
		return
	}
	e.enqueue(a, version, loadTimeout)
}

// wait is how long a load that is queued now will take. The lock is held.
func (e *engine) wait(a snipecatalog.Adapter) time.Duration {
	if e.quick(a) {
		return reloadTime + e.placeWait()
	}
	ahead := len(e.queue) + e.fromStore
	return loadTime + time.Duration(ahead/mostFromStore)*loadTime + e.placeWait()
}

// quick reports whether the engine has an adapter in its own memory, as far as is known.
func (e *engine) quick(a snipecatalog.Adapter) bool {
	return a.Name != "" && e.desk.Formerly != nil && e.desk.Formerly(e.id, a)
}

// enqueue queues a load. The lock is held.
func (e *engine) enqueue(a snipecatalog.Adapter, version int64, patience time.Duration) *load {
	l := &load{adapter: a, version: version, since: time.Now(), quick: e.quick(a), done: make(chan struct{})}
	l.join(patience)
	e.loads[a] = l
	e.queue = append(e.queue, l)
	e.begin()
	return l
}

// leave notes that somebody no longer waits.
func (e *engine) leave(l *load) {
	e.lock.Lock()
	defer e.lock.Unlock()
	l.waiting--
}

// begin starts the loads whose turn it is. The lock is held.
func (e *engine) begin() {
	for len(e.bringing) < mostOnTheWay {
		next := e.nextLoad()
		if next < 0 {
			return
		}
		l := e.queue[next]
		e.queue = slices.Delete(e.queue, next, next+1)
		if l.waiting <= 0 {
			e.end(l, ErrUnwanted)
			continue
		}
		if !l.quick {
			e.fromStore++
		}
		e.bringing[l.adapter] = true
		go e.run(l)
	}
}

// nextLoad returns which of the queued loads is next, or -1: quick ones, which hold up nobody,
// then those that come in time for somebody, then the one that most wait for, the oldest first.
// Where all are served in the order of their numbers, an overload makes everybody late: those for
// whom it is too late get what the others leave. Another version of an adapter waits until the
// one before it has come: two at once would take a place more than is counted. The lock is held.
func (e *engine) nextLoad() int {
	next := -1
	ready := time.Now().Add(loadTime)
	for n, l := range e.queue {
		if e.bringing[l.adapter] {
			continue
		}
		if l.quick {
			return n
		}
		if e.fromStore >= mostFromStore {
			continue
		}
		if next < 0 || l.before(e.queue[next], ready) {
			next = n
		}
	}
	return next
}

// before reports whether a load goes before an older one, if both would be complete at a time.
func (l *load) before(older *load, ready time.Time) bool {
	if inTime := l.due.After(ready); inTime != older.due.After(ready) {
		return inTime
	}
	return l.waiting > older.waiting
}

// end ends a load. The lock is held.
func (e *engine) end(l *load, err error) {
	if e.loads[l.adapter] == l {
		delete(e.loads, l.adapter)
	}
	l.err = err
	close(l.done)
}

// run brings one adapter onto the engine.
func (e *engine) run(l *load) {
	limit := loadTimeout
	if l.adapter.Name == "" {
		limit = modelTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := e.bring(ctx, l)
	if err != nil {
		e.desk.Log.Error(snipelog.LoadFailed, err, e.fields(snipelog.Fields{
			"Adapter": l.adapter.Name, "Waiting": e.waiting(l),
		}))
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if err == nil {
		e.arrived(l)
	}
	e.end(l, err)
	if !l.quick {
		e.fromStore--
	}
	delete(e.bringing, l.adapter)
	if err == nil {
		e.renew(l)
	}
	e.begin()
}

// renew queues the newest version of an adapter that has come, if it was announced
// while an older one was on its way. The lock is held.
func (e *engine) renew(l *load) {
	newest := e.desk.Newest(l.adapter)
	if newest > l.version && e.loads[l.adapter] == nil {
		e.enqueue(l.adapter, newest, loadTimeout)
	}
}

// waiting returns how many wait for a load.
func (e *engine) waiting(l *load) int {
	e.lock.Lock()
	defer e.lock.Unlock()
	return l.waiting
}

// arrived notes an adapter or a model that the engine now holds. The lock is held.
func (e *engine) arrived(l *load) {
	if l.adapter.Name == "" {
		e.models[l.adapter.Model] = true
		return
	}
	h := &holding{version: l.version}
	h.inherit(e.held[l.adapter])
	h.note(time.Now(), max(l.waiting, 1))
	e.held[l.adapter] = h
	e.desk.evicted.drop(e.id, l.adapter)
}

// bring orders the load and waits until it is complete.
func (e *engine) bring(ctx context.Context, l *load) error {
	begun := time.Now()
	o := Order{Action: Load, Adapter: l.adapter, Version: l.version}
	reply, err := e.order(ctx, &o)
	crowded := errors.Is(err, errInUse)
	for errors.Is(err, errInUse) && e.waiting(l) > 0 && snipetime.Sleep(ctx, calmPause) {
		reply, err = e.order(ctx, &o)
	}
	ordered := time.Since(begun)
	if crowded {
		e.notePlaceWait(ordered)
	}
	if err != nil {
		return err
	}
	if reply == Taken {
		if err := e.await(ctx, o); err != nil {
			// Whether it takes a place on the engine is not known.
			e.read.Store(false)
			return err
		}
	}
	e.desk.Log.Log(snipelog.AdapterPresent, e.fields(snipelog.Fields{
		"Adapter": l.adapter.Name, "Version": l.version,
		"Milliseconds": time.Since(begun).Milliseconds(), "Queued": begun.Sub(l.since).Milliseconds(),
		"Ordered": ordered.Milliseconds(),
	}))
	return nil
}
