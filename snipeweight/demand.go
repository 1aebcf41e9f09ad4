package snipeweight

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
)

// classWeights is the cost of a second of waiting of a call in each class.
var classWeights = [snipecall.Classes]float64{16, 4, 1}

// Demand counts the calls that wait for one load, on the owner of the engine, and
// holds the expected end of the load. It is safe for concurrent use. Exported
// fields are set before the first call.
type Demand struct {
	// Engine is the engine that loads, Path the path of the weights and Team the
	// team that owns the adapter.
	Engine string
	Path   string
	Team   string

	lock    sync.Mutex // guards the fields below
	waiting [snipecall.Classes]int
	ready   time.Time     // when the load is expected to end; zero when not known
	changed chan struct{} // closed by the next call of Expect; nil if not yet requested
}

// Join adds a waiting call.
func (d *Demand) Join(c snipecall.Class) { d.add(c, 1) }

// Leave removes a waiting call of the class that Join added.
func (d *Demand) Leave(c snipecall.Class) { d.add(c, -1) }

func (d *Demand) add(c snipecall.Class, n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.waiting[c] += n
}

// Weight returns the cost of a second of waiting, summed over all waiting calls.
func (d *Demand) Weight() float64 {
	d.lock.Lock()
	defer d.lock.Unlock()
	sum := 0.0
	for c, n := range d.waiting {
		sum += float64(n) * classWeights[c]
	}
	return sum
}

// Expect sets the time at which the load is expected to end, zero if unknown.
func (d *Demand) Expect(t time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.ready = t
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Expected returns the time at which the load is expected to end, zero if
// unknown, and a channel that is closed by the next call of Expect.
func (d *Demand) Expected() (time.Time, <-chan struct{}) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.ready, d.changed
}
