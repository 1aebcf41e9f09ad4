package snipeadapter

import (
	"cmp"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipefair"
	"snipepitch.example/snipepitch/snipelog"
)

// waiter is a caller that waits for a load.
type waiter struct {
	priority  int
	workspace string
	// target is when the caller's request misses its latency target.
	target time.Time
	// deadline is when the request ends; zero if none is stated.
	deadline time.Time
	// useBy is when a queued load must be complete. If it is not expected to be, the caller is
	// refused, because it could no longer be served in time and its load would delay others. Zero if
	// no deadline is stated.
	useBy time.Time
	// refused receives the refusal if the caller's load is displaced.
	refused chan *BusyError
}

// newWaiter returns the waiter of a demand, whose times are counted from now.
func newWaiter(d Demand, now time.Time) *waiter {
	w := &waiter{priority: d.Priority, workspace: d.Workspace, target: now.Add(d.Target), refused: make(chan *BusyError, 1)}
	if d.Deadline > 0 {
		w.deadline = now.Add(d.Deadline)
		w.useBy = now.Add(min(d.Deadline, max(d.Target, d.MaxWait)))
	}
	return w
}

// item returns the load's place in the order of loads: that of the most urgent of its waiters, with
// the latest of their targets, because a load that is in time for one of them is of use.
func (l *load) item() snipefair.Item {
	i := snipefair.Item{Queued: l.queuedAt, Tokens: 1}
	for n, w := range l.waiters {
		if n == 0 || w.priority < i.Priority {
			i.Priority, i.Workspace, i.Target = w.priority, w.workspace, w.target
		}
		if w.priority == i.Priority && w.target.After(i.Target) {
			i.Target = w.target
		}
	}
	return i
}

// queueOf returns the queue in which a load waits.
func (e *engine) queueOf(l *load) *snipefair.Queue[*load] {
	if l.reload {
		return &e.reloads
	}
	return &e.queue
}

// push adds a load to its queue. The lock is held.
func (e *engine) push(l *load) { l.entry = e.queueOf(l).Push(l.item(), l) }

// removeQueued removes a load that has not started from where it waits. The lock is held.
func (e *engine) removeQueued(l *load) {
	if l.entry != nil {
		e.queueOf(l).Remove(l.entry)
		l.entry = nil
	}
	e.deferred = slices.DeleteFunc(e.deferred, func(d *load) bool { return d == l })
}

// addWaiter adds a caller to a load, whose place in the queue may change. The lock is held.
func (e *engine) addWaiter(l *load, d Demand) *waiter {
	w := newWaiter(d, time.Now())
	l.waiters = append(l.waiters, w)
	e.updatePlace(l)
	return w
}

// removeWaiter removes a caller that no longer waits for a load. A queued load without waiters ends
// with ErrNoWaiter. The lock is held.
func (e *engine) removeWaiter(l *load, w *waiter) {
	n := slices.Index(l.waiters, w)
	if n < 0 {
		return // refused before
	}
	l.waiters = slices.Delete(l.waiters, n, n+1)
	if len(l.waiters) == 0 && !l.started {
		e.removeQueued(l)
		e.finish(l, ErrNoWaiter)
		return
	}
	e.updatePlace(l)
}

// updatePlace moves a queued load to the place that its waiters give it. The lock is held.
func (e *engine) updatePlace(l *load) {
	if previous := l.entry; previous != nil && previous.Item != l.item() {
		// Pushed first: a workspace with nothing in the queue would start again behind the others.
		e.push(l)
		e.queueOf(l).Remove(previous)
	}
}

// takeNext removes and returns the queued load to start next, or nil if none can start. Reloads go
// first because they delay no other load. The lock is held.
func (e *engine) takeNext() *load {
	now := time.Now()
	if l := e.takeFrom(&e.reloads, now, now.Add(e.controller.times.expectReload())); l != nil {
		return l
	}
	if len(e.activeStoreLoads) >= maxActiveStoreLoads {
		return nil
	}
	return e.takeFrom(&e.queue, now, now.Add(e.expectedStoreTime()))
}

// takeFrom removes and returns the first load of a queue whose adapter is not loading in another
// version, or nil; ready is when it would be complete. Such another version waits until the load of
// the version before it has completed: two at once would take one slot more than is counted. The
// lock is held.
func (e *engine) takeFrom(q *snipefair.Queue[*load], now, ready time.Time) *load {
	for _, l := range inOrder(q, now, ready) {
		if e.activeLoads[l.adapter] {
			e.removeQueued(l)
			e.deferred = append(e.deferred, l)
			continue
		}
		q.Take(l.entry)
		l.entry = nil
		chargeShares(q, l)
		return l
	}
	return nil
}

// rank identifies loads of a queue that snipefair orders only by the time at which they were queued:
// those of one priority and workspace that are all in time, or all late.
type rank struct {
	priority  int
	workspace string
	late      bool
}

// inOrder returns the loads of a queue in the order in which they start if no others are queued.
// snipefair decides which rank is next. Of the loads of one rank, that with the most waiters is first,
// then the oldest.
func inOrder(q *snipefair.Queue[*load], now, ready time.Time) []*load {
	order := make([]*load, 0, q.Len())
	ranks := make([]rank, 0, q.Len())
	members := make(map[rank][]*load)
	for x := range q.InOrder(now, ready) {
		r := rank{x.Item.Priority, x.Item.Workspace, x.Item.Late(ready)}
		ranks = append(ranks, r)
		members[r] = append(members[r], x.Value)
	}
	for _, all := range members {
		slices.SortStableFunc(all, func(a, b *load) int {
			return cmp.Or(cmp.Compare(len(b.waiters), len(a.waiters)), cmp.Compare(a.number, b.number))
		})
	}
	for _, r := range ranks {
		order = append(order, members[r][0])
		members[r] = members[r][1:]
	}
	return order
}

// chargeShares divides the charge for a load, which was that of one workspace, among the workspaces
// of its most urgent waiters.
func chargeShares(q *snipefair.Queue[*load], l *load) {
	i := l.item()
	var sharing []string
	for _, w := range l.waiters {
		if w.priority == i.Priority && !slices.Contains(sharing, w.workspace) {
			sharing = append(sharing, w.workspace)
		}
	}
	share := i.Tokens / float64(max(len(sharing), 1))
	for _, name := range sharing {
		if name == i.Workspace {
			q.Charge(i.Priority, name, share-i.Tokens)
		} else {
			q.Charge(i.Priority, name, share)
		}
	}
}

// resumeDeferred queues the loads that waited for the end of another version's load. The lock is
// held.
func (e *engine) resumeDeferred(a snipecatalog.Adapter) {
	for _, l := range slices.Clone(e.deferred) {
		if l.adapter == a {
			e.removeQueued(l)
			e.push(l)
		}
	}
}

// storeStart returns how many queued loads from the store would start before a load for a demand that
// is queued now, and after which time that load would start. Loads in progress count with the time
// that they are expected to take yet. The lock is held.
func (e *engine) storeStart(d Demand) (ahead int, start time.Duration) {
	now := time.Now()
	probe := &load{queuedAt: now, number: e.lastNumber + 1, waiters: []*waiter{newWaiter(d, now)}}
	e.push(probe)
	defer e.removeQueued(probe)
	took := e.expectedStoreTime()
	free := e.storeSlotTimes(now, took)
	for _, l := range inOrder(&e.queue, now, now.Add(took)) {
		next := earliest(free)
		if l == probe {
			return ahead, free[next].Sub(now)
		}
		free[next] = free[next].Add(took)
		ahead++
	}
	return ahead, 0
}

// displacement is a waiter that is refused, and when its load is expected to be complete.
type displacement struct {
	load   *load
	waiter *waiter
	ready  time.Time
}

// refuseDisplaced refuses each waiter with a deadline whose queued load is not expected to be
// complete in time for it. A refused caller can still try elsewhere or return, and a load that is of use
// to nobody takes no place before others. The lock is held.
func (e *engine) refuseDisplaced() {
	now := time.Now()
	took := e.expectedStoreTime()
	free := e.storeSlotTimes(now, took)
	var all []displacement
	for _, l := range inOrder(&e.queue, now, now.Add(took)) {
		next := earliest(free)
		ready := free[next].Add(took)
		remaining := len(l.waiters)
		for _, w := range l.waiters {
			if !w.useBy.IsZero() && ready.After(w.useBy) {
				all = append(all, displacement{l, w, ready})
				remaining--
			}
		}
		if remaining > 0 {
			free[next] = ready
		}
	}
	for _, d := range all {
		e.refuse(d)
	}
}

// earliest returns the index of the earliest of several times.
func earliest(times []time.Time) int {
	first := 0
	for n, t := range times {
		if t.Before(times[first]) {
			first = n
		}
	}
	return first
}

// storeSlotTimes returns when each of the engine's loads from the store that may be in progress at
// once is expected to end; now for those not in progress. The lock is held.
func (e *engine) storeSlotTimes(now time.Time, took time.Duration) []time.Time {
	free := make([]time.Time, 0, maxActiveStoreLoads)
	for l := range e.activeStoreLoads {
		end := l.startedAt.Add(took)
		if end.Before(now) {
			end = now
		}
		free = append(free, end)
	}
	for len(free) < maxActiveStoreLoads {
		free = append(free, now)
	}
	return free
}

// refuse refuses a waiter and removes it from its load. The lock is held.
func (e *engine) refuse(d displacement) {
	now := time.Now()
	busy := &BusyError{Wait: d.ready.Sub(now)}
	limit := d.waiter.useBy.Sub(now)
	busy.RetryAfter = e.retryAfter(busy.Wait, limit)
	e.logRefusal(d.load.adapter, d.waiter.priority, d.waiter.workspace, busy, limit, true)
	d.waiter.refused <- busy
	e.removeWaiter(d.load, d.waiter)
}

// retryAfter returns when a load that is expected to take wait would be accepted by a caller that
// waits for limit: not before the next load from the store ends. The lock is held.
func (e *engine) retryAfter(wait, limit time.Duration) time.Duration {
	return max(wait-limit, e.expectedStoreTime()/maxActiveStoreLoads)
}

// refuseIfQueued refuses a waiter whose load has not started. It is called at the latest start that
// would be in time for the waiter. Otherwise, waiters of loads behind one that does not end would be
// refused only at their deadline.
func (e *engine) refuseIfQueued(l *load, w *waiter) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if !l.started && slices.Contains(l.waiters, w) {
		e.refuse(displacement{l, w, time.Now().Add(e.expectedTime(l))})
	}
}

// expectedTime returns how long a load is expected to take from its start. The lock is held.
func (e *engine) expectedTime(l *load) time.Duration {
	if l.reload {
		return e.controller.times.expectReload()
	}
	return e.expectedStoreTime()
}

// logRefusal logs and counts the refusal of a load: at once, or of a queued one that is displaced.
func (e *engine) logRefusal(a snipecatalog.Adapter, priority int, workspace string, b *BusyError, limit time.Duration, displaced bool) {
	if e.controller.Refused != nil {
		e.controller.Refused(priority, displaced)
	}
	e.controller.Log.Log(snipelog.LoadRefused, e.logFields(snipelog.Fields{
		adapterField: a.Name, "Priority": priority, "Workspace": workspace, "Displaced": displaced,
		"ExpectedMilliseconds": b.Wait.Milliseconds(), "LimitMilliseconds": limit.Milliseconds(),
		"RetryMilliseconds": b.RetryAfter.Milliseconds(), "StoreMilliseconds": e.expectedStoreTime().Milliseconds(),
		"Waiting": e.queue.Len(), "Running": len(e.activeStoreLoads),
	}))
}

// Waiting returns the number of loads that are queued on all engines.
func (c *Controller) Waiting() int {
	c.lock.Lock()
	engines := make([]*engine, 0, len(c.engines))
	for _, e := range c.engines {
		engines = append(engines, e)
	}
	c.lock.Unlock()
	n := 0
	for _, e := range engines {
		e.lock.Lock()
		n += e.queue.Len() + e.reloads.Len() + len(e.deferred)
		e.lock.Unlock()
	}
	return n
}

// ExpectedStoreTime returns how long the next load from the weight store is expected to take.
func (c *Controller) ExpectedStoreTime() time.Duration { return c.times.expectNext(false) }
