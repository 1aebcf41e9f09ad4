package snipeadapter

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// loadTimeWeight is the weight of a new observation in the moving averages of load times.
	loadTimeWeight = 0.2
	// maxLoadTimeStep bounds an observation to the expected time divided and multiplied by this
	// factor, so that one load during a fault does not change the expectation for many.
	maxLoadTimeStep = 2
	// loadTimeHold is how long after the last observation an average keeps its value; without it, the
	// average would lie below all observations where these are few. loadTimeHalfLife is the time in
	// which the difference between an average and its initial value then fades by half. If it did
	// not, an average above all the waits that callers accept would cause the refusal of each load,
	// and so would never be corrected.
	loadTimeHold     = time.Second
	loadTimeHalfLife = 2 * time.Second
	// storeClasses is the number of averages for loads from the store, by how many are in progress:
	// 1, 2, up to 4, up to 8, up to 16, and more.
	storeClasses = 6
)

// loadTimes holds the moving averages of the times that the loads of a controller's engines take,
// from the accepted order to its completion. The zero value is ready to use, and expects
// storeLoadTime and reloadTime.
type loadTimes struct {
	lock sync.Mutex // guards the fields below
	// storeLoads is the number of loads from the store in progress on the engines of this
	// controller.
	storeLoads int
	store      [storeClasses]loadAverage
	reload     loadAverage
}

// loadAverage is a moving average; at is when it last changed, zero if it has no observation.
type loadAverage struct {
	value time.Duration
	at    time.Time
}

// expected returns the average, faded toward its initial value by its age.
func (a *loadAverage) expected(initial time.Duration, now time.Time) time.Duration {
	if a.at.IsZero() {
		return initial
	}
	unobserved := max(now.Sub(a.at)-loadTimeHold, 0)
	rest := math.Exp2(-float64(unobserved) / float64(loadTimeHalfLife))
	return initial + time.Duration(rest*float64(a.value-initial))
}

// record moves the average, which stands at old, toward an observation.
func (a *loadAverage) record(old, observed time.Duration, now time.Time) {
	observed = min(max(observed, old/maxLoadTimeStep), old*maxLoadTimeStep)
	a.value = min(max(old+time.Duration(loadTimeWeight*float64(observed-old)), reloadTime/maxLoadTimeStep), loadTimeout)
	a.at = now
}

// storeClass returns the index of the average for a load with n loads from the store in progress,
// including itself.
func storeClass(n int) int { return min(bits.Len(uint(max(n, 1)-1)), storeClasses-1) }

// expectStore returns how long a load from the store is expected to take with n in progress,
// including itself. Without an observation for that number, it is the expectation for the next
// lower number with one.
func (t *loadTimes) expectStore(n int) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.expectClass(storeClass(n), time.Now())
}

// expectClass returns the expected time of a class of loads from the store. The lock is held.
func (t *loadTimes) expectClass(class int, now time.Time) time.Duration {
	for ; class > 0 && t.store[class].at.IsZero(); class-- {
	}
	return t.store[class].expected(storeLoadTime, now)
}

// expectNext returns how long a load from the store is expected to take that starts next: beside the
// loads in progress, or in the place of one of them.
func (t *loadTimes) expectNext(inPlace bool) time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	n := t.storeLoads
	if !inPlace {
		n++
	}
	return t.expectClass(storeClass(n), time.Now())
}

// expectReload returns how long a load from an engine's own memory is expected to take.
func (t *loadTimes) expectReload() time.Duration {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.reload.expected(reloadTime, time.Now())
}

// begin counts a load from the store that an engine has accepted, and returns how many are in
// progress with it.
func (t *loadTimes) begin() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.storeLoads++
	return t.storeLoads
}

// end removes a load from the count.
func (t *loadTimes) end() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.storeLoads--
}

// recordStore records the time of a load that was expected to come from the store, with n in
// progress at its start. A time in which only a reload ends is ignored.
func (t *loadTimes) recordStore(n int, took time.Duration) {
	if took <= 2*reloadTime {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	now, class := time.Now(), storeClass(n)
	t.store[class].record(t.expectClass(class, now), took, now)
}

// recordReload records the time of a load that was expected to come from the engine's own memory. A
// time in which a load from the store ends is ignored.
func (t *loadTimes) recordReload(took time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if took > storeLoadTime/2 {
		return
	}
	now := time.Now()
	t.reload.record(t.reload.expected(reloadTime, now), took, now)
}
