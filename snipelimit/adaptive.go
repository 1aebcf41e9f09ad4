package snipelimit

import (
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// refusalDecrease is the factor by which the limit falls after the upstream
	// refused a call, slowDecrease after a slow call.
	refusalDecrease, slowDecrease = 0.7, 0.98
	// slowFactor defines a slow call, which indicates an overload: it takes more
	// than slowFactor times the typical duration.
	slowFactor = 3
	// minDecreaseInterval is the shortest time between two decreases after
	// refusals. Refusals within it are taken to have the same cause and count once.
	minDecreaseInterval = 200 * time.Millisecond
	// batchHeadroom is the divisor of the batch that gives the number of calls, at
	// least one, by which the limit may exceed the batch. These calls wait at the
	// upstream, so that it fills a free batch slot at once.
	batchHeadroom = 8
	// unknownBatchLimit and unknownBatchMax are the initial and the highest limit
	// of an upstream whose batch size is unknown.
	unknownBatchLimit, unknownBatchMax = 16, 512
	// typicalWeight is the weight of the latest call in the typical duration.
	typicalWeight = 0.01
)

// loadResult is what the end of a call indicates about the load of its upstream.
type loadResult uint8

const (
	// served: the call succeeded.
	served loadResult = iota
	// refused: the upstream refused the call as overloaded.
	refused
	// inconclusive: the call failed for a reason other than load.
	inconclusive
)

// classify returns the loadResult of a call that ended with err.
func classify(err error) loadResult {
	switch {
	case err == nil:
		return served
	case errors.Is(err, snipeerror.ErrOverloaded):
		return refused
	}
	return inconclusive
}

// adaptive is a limit on concurrent calls. It increases additively while it is
// fully used, and decreases multiplicatively, strongly after refusals and
// slightly after slow calls. Its batch is the number of calls that the upstream
// executes at once.
type adaptive struct {
	batch           int
	value, maxValue float64
	typical         time.Duration // moving average of the duration of a call
	decreased       time.Time     // the last decrease after a refusal
}

// newAdaptive returns the initial limit of an upstream that executes batch calls
// at once; a batch below 1 is unknown.
func newAdaptive(batch int) adaptive {
	if batch < 1 {
		return adaptive{batch: batch, value: unknownBatchLimit, maxValue: unknownBatchMax}
	}
	return adaptive{batch: batch, value: float64(batch), maxValue: float64(batch + max(batch/batchHeadroom, 1))}
}

// resize sets the limit to the initial one of the new batch, and does nothing if the
// batch has not changed. It keeps the typical duration of a call.
func (a *adaptive) resize(batch int) {
	if batch == a.batch {
		return
	}
	typical := a.typical
	*a = newAdaptive(batch)
	a.typical = typical
}

// maxCalls returns how many calls may run at once, at least 1.
func (a *adaptive) maxCalls() int { return max(int(a.value), 1) }

// observe adjusts the limit after a call that took the given time and ended while
// running calls, itself included, were running. The limit increases after a served
// call that was not slow, if as many calls were running as the limit permits.
func (a *adaptive) observe(r loadResult, took time.Duration, running int) {
	now := time.Now()
	switch r {
	case refused:
		if now.Sub(a.decreased) >= minDecreaseInterval {
			a.value = max(a.value*refusalDecrease, 1)
			a.decreased = now
		}
		return
	case inconclusive:
		return
	}
	if a.typical == 0 {
		a.typical = took
	}
	a.typical += time.Duration(typicalWeight * float64(min(took, slowFactor*a.typical)-a.typical))
	switch {
	case took > slowFactor*a.typical:
		a.value = max(a.value*slowDecrease, 1)
	case running >= a.maxCalls():
		a.value = min(a.value+1/a.value, a.maxValue)
	}
}
