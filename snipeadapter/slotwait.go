package snipeadapter

import "time"

const (
	// initialSlotWait is the expected wait for a slot until a wait was observed.
	initialSlotWait = 300 * time.Millisecond
	// slotWaitWeight is the weight of a new observation in the moving average.
	slotWaitWeight = 0.2
)

// expectedSlotWait returns how long a load that would start after a time is expected to wait for a
// slot then. The wait is zero if more slots are free now or evictable then than the loads ahead of it
// need: the given number of queued ones, and those that have started but do not take a slot yet. It
// is zero also while the engine's state is unknown, the last report did not list all adapters, or the
// engine is not in the directory. The lock is held.
func (e *engine) expectedSlotWait(ahead int, start time.Duration) time.Duration {
	u := e.controller.Upstream(e.id)
	if u == nil || !e.stateKnown.Load() || e.unlisted > 0 {
		return 0
	}
	slots := e.controller.Slots(u)
	free := slots - e.reservedSlots(slots) - e.slotsTaken()
	now := time.Now()
	inFlight := e.inFlight(now)
	for a, h := range e.held {
		if e.evictable(a, h, inFlight, now.Add(start)) {
			free++
		}
	}
	for a := range e.activeLoads {
		if h := e.held[a]; h == nil || !h.loading && !h.replacing {
			ahead++
		}
	}
	if free > ahead {
		return 0
	}
	if e.slotWait == 0 {
		return initialSlotWait
	}
	return e.slotWait
}

// recordSlotWait adds an observed wait for a slot to the moving average, which starts at
// initialSlotWait.
func (e *engine) recordSlotWait(d time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.slotWait == 0 {
		e.slotWait = initialSlotWait
	}
	e.slotWait += time.Duration(slotWaitWeight * float64(d-e.slotWait))
}
