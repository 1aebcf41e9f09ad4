package snipeadapter

import "time"

const (
	// firstPlaceWait stands for the wait for a place until one was waited for.
	firstPlaceWait = 300 * time.Millisecond
	// placeWaitShare is the part of one wait that the expected wait takes over.
	placeWaitShare = 0.2
)

// placeWait is how long one more load is expected to wait for a place: not at all where one is
// free or held by what nobody uses, beyond those that the loads ahead of it take. The lock is
// held.
func (e *engine) placeWait() time.Duration {
	u := e.desk.Upstream(e.id)
	if u == nil || !e.read.Load() {
		return 0
	}
	slots := e.desk.Slots(u)
	places := slots - e.reserved(slots) - e.placesTaken()
	now := time.Now()
	inFlight := e.inFlight(now)
	for a, h := range e.held {
		if e.evictable(a, h, inFlight, now) {
			places++
		}
	}
	ahead := len(e.queue)
	for a := range e.bringing {
		if h := e.held[a]; h == nil || !h.coming && !h.replaced {
			ahead++
		}
	}
	if places > ahead {
		return 0
	}
	if e.forPlace == 0 {
		return firstPlaceWait
	}
	return e.forPlace
}

// notePlaceWait notes how long a load has waited for a place.
func (e *engine) notePlaceWait(d time.Duration) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.forPlace == 0 {
		e.forPlace = firstPlaceWait
	}
	e.forPlace += time.Duration(placeWaitShare * float64(d-e.forPlace))
}
