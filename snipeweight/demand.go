package snipeweight

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
)

// classWeights say what a second of waiting costs in each class.
var classWeights = [snipecall.Classes]float64{16, 4, 1}

// Demand is what waits for one load, on the owner of the engine. It is safe
// for concurrent use. Path, Engine and Team are set before the first call.
type Demand struct {
	// Engine is where the load goes, Path what is loaded, Team whose it is.
	Engine string
	Path   string
	Team   string

	lock    sync.Mutex // guards the fields below
	waiting [snipecall.Classes]int
	ready   time.Time // when the load is expected to end; zero when not known
	changed chan struct{}
}

// Join counts a waiting call; Leave ends its wait.
func (d *Demand) Join(c snipecall.Class) { d.add(c, 1) }

// Leave ends the wait of a call that joined.
func (d *Demand) Leave(c snipecall.Class) { d.add(c, -1) }

func (d *Demand) add(c snipecall.Class, n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.waiting[c] += n
}

// Weight is what a second of waiting costs all that wait.
func (d *Demand) Weight() float64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	sum := 0.0
	for c, n := range d.waiting {
		sum += float64(n) * classWeights[c]
	}
	return sum
}

// Expect notes when the load is expected to end.
func (d *Demand) Expect(t time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.ready = t
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Expected returns when the load is expected to end, and a channel that is
// closed when the expectation changes.
func (d *Demand) Expected() (time.Time, <-chan struct{}) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.ready, d.changed
}
