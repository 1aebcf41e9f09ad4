package snipelimit

import (
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// decrease is the factor of the limit after a refusal, slowDecrease after a
	// call that took much longer than usual.
	decrease, slowDecrease = 0.7, 0.98
	// slowCall is how many times the usual time a call takes that shows an
	// overload.
	slowCall = 3
	// shrinkPause is the shortest time between two decreases after refusals:
	// refusals of one moment are one sign.
	shrinkPause = 200 * time.Millisecond
	// batchSpare is the part of a batch that may wait at the upstream, so that a
	// place that gets free is filled at once.
	batchSpare = 8
	// unknownStart and unknownTop are the first and the highest limit of an
	// upstream that states no batch.
	unknownStart, unknownTop = 16, 512
	// usualWeight is the weight of the last call in the usual time.
	usualWeight = 0.01
)

// verdict is what a call has shown of its upstream's load.
type verdict uint8

const (
	served verdict = iota
	refused
	nothing
)

// verdictOf reads a call's failure.
func verdictOf(err error) verdict {
	switch {
	case err == nil:
		return served
	case errors.Is(err, snipeerror.ErrOverloaded):
		return refused
	}
	return nothing
}

// adaptive is a limit of concurrent calls: additive increase while it is used,
// multiplicative decrease at refusals, and slowly at calls that take long.
type adaptive struct {
	batch      int
	value, top float64
	usual      time.Duration
	shrunk     time.Time
}

func newAdaptive(batch int) adaptive {
	if batch < 1 {
		return adaptive{batch: batch, value: unknownStart, top: unknownTop}
	}
	return adaptive{batch: batch, value: float64(batch), top: float64(batch + max(batch/batchSpare, 1))}
}

// resize starts anew for another batch; the usual time of a call stays.
func (a *adaptive) resize(batch int) {
	if batch == a.batch {
		return
	}
	usual := a.usual
	*a = newAdaptive(batch)
	a.usual = usual
}

// calls returns how many calls may run at once.
func (a *adaptive) calls() int { return max(int(a.value), 1) }

// observe takes the end of a call with so many under way.
func (a *adaptive) observe(v verdict, took time.Duration, running int) {
	now := time.Now()
	switch v {
	case refused:
		if now.Sub(a.shrunk) >= shrinkPause {
			a.value = max(a.value*decrease, 1)
			a.shrunk = now
		}
		return
	case nothing:
		return
	}
	if a.usual == 0 {
		a.usual = took
	}
	a.usual += time.Duration(usualWeight * float64(min(took, slowCall*a.usual)-a.usual))
	switch {
	case took > slowCall*a.usual:
		a.value = max(a.value*slowDecrease, 1)
	case running >= a.calls():
		a.value = min(a.value+1/a.value, a.top)
	}
}
