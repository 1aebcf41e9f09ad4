package snipegateway

import (
	"sync"
	"time"
)

const (
	// delayQuantile is the quantile of the time to the first chunk that is estimated: one request
	// in five waits that long or longer, and this delay counts as the cost of a busy engine.
	delayQuantile = 0.8
	// delayStep sets how far one request moves the estimated delay. Some forty requests move the
	// estimate by half, and an instance serves that many in a few seconds. A smaller step would
	// follow changes later; with a larger one, single requests would change the estimate more.
	delayStep = 0.05
	// minBusy is the occupancy (see overloadThreshold) below which a request does not change the
	// estimate: at less busy engines, network transfer and processing of the prompt make up most of
	// the time to the first chunk.
	minBusy = 0.4
	// initialDelay is the assumed delay at an engine whose slots are all occupied, until requests
	// to busy engines are observed.
	initialDelay = 300 * time.Millisecond
	// initialLoadWait is the assumed wait for a load of an adapter, until one is observed.
	initialLoadWait = 300 * time.Millisecond
	// loadWaitWeight is the weight of the latest load in the moving average of load waits.
	loadWaitWeight = 0.1
	// maxReloadTime is the time below which a load is taken for a reload from the engine's own
	// memory, without the weight store, and is ignored.
	maxReloadTime = 100 * time.Millisecond
)

// estimator estimates, for the engines of one service, how long a request is delayed by a busy
// engine, and how long it would wait instead for a load on another engine. Both differ between
// deployments and change over time. The zero value is ready to use.
type estimator struct {
	lock sync.Mutex // guards the fields below
	// firstChunkDelay is the estimated delayQuantile of the time to the first chunk at an engine
	// with an occupancy of 1; zero until a request to a busy engine is observed. The delay is
	// assumed to be proportional to the occupancy.
	firstChunkDelay time.Duration
	// loadWait is the moving average of the wait for a load of an adapter; zero until one is
	// observed.
	loadWait time.Duration
}

// recordFirstChunk records the time from sending a request to the first chunk of its answer. busy
// is the occupancy of the engine, which can exceed 1 (see overloadThreshold). If it is below
// minBusy, the time is ignored.
func (e *estimator) recordFirstChunk(d time.Duration, busy float64) {
	if busy < minBusy {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.firstChunkDelay == 0 {
		e.firstChunkDelay = initialDelay
	}
	if float64(d)/busy > float64(e.firstChunkDelay) {
		e.firstChunkDelay += time.Duration(delayStep * delayQuantile * float64(e.firstChunkDelay))
		return
	}
	e.firstChunkDelay -= time.Duration(delayStep * (1 - delayQuantile) * float64(e.firstChunkDelay))
}

// recordLoad records the wait for a load of an adapter. A wait below maxReloadTime is ignored.
func (e *estimator) recordLoad(d time.Duration) {
	if d < maxReloadTime {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.loadWait == 0 {
		e.loadWait = initialLoadWait
	}
	e.loadWait += time.Duration(loadWaitWeight * float64(d-e.loadWait))
}

// overloadThreshold returns the occupancy of an engine from which on the estimated delay of a
// request there is at least the estimated wait for a load of its adapter on another engine.
// Occupancy is the weight of all requests in flight at the engine, divided by its slots. It can
// exceed 1 (see snipebalance.Balancer.Busy). The delay is assumed to be proportional to it.
func (e *estimator) overloadThreshold() float64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	delay, wait := e.firstChunkDelay, e.loadWait
	if delay == 0 {
		delay = initialDelay
	}
	if wait == 0 {
		wait = initialLoadWait
	}
	return float64(wait) / float64(delay)
}

// expectedLoadWait returns the estimated wait for a load of an adapter.
func (e *estimator) expectedLoadWait() time.Duration {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.loadWait == 0 {
		return initialLoadWait
	}
	return e.loadWait
}

// estimators holds one estimator for each service. The zero value is ready to use.
type estimators struct {
	lock sync.Mutex // guards all
	all  map[string]*estimator
}

// forService returns the estimator of a service and creates it if needed.
func (e *estimators) forService(service string) *estimator {
	e.lock.Lock()
	defer e.lock.Unlock()
	if found := e.all[service]; found != nil {
		return found
	}
	if e.all == nil {
		e.all = make(map[string]*estimator)
	}
	created := &estimator{}
	e.all[service] = created
	return created
}
