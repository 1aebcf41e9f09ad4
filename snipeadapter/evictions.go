package snipeadapter

import (
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

// evictionTTL is how long an eviction is reported to other instances: an instance contacts each
// owner about every 0.7 s, and the registry shows the eviction to all a second later.
const evictionTTL = 1500 * time.Millisecond

// Eviction names an engine and an adapter that it has unloaded.
type Eviction struct {
	Engine  string
	Adapter snipecatalog.Adapter
}

// evictionLog records recent evictions. The zero value is ready to use.
type evictionLog struct {
	lock   sync.Mutex // guards the fields below
	all    []datedEviction
	number uint64
}

// datedEviction is an eviction with its time and its number; numbers increase.
type datedEviction struct {
	Eviction
	number uint64
	at     time.Time
}

// add records an eviction.
func (v *evictionLog) add(engine string, a snipecatalog.Adapter) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.prune()
	v.number++
	v.all = append(v.all, datedEviction{Eviction{engine, a}, v.number, time.Now()})
}

// drop removes an eviction because the engine holds the adapter again.
func (v *evictionLog) drop(engine string, a snipecatalog.Adapter) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.all = slices.DeleteFunc(v.all, func(d datedEviction) bool { return d.Eviction == Eviction{engine, a} })
}

// prune drops evictions that are no longer reported. The lock is held.
func (v *evictionLog) prune() {
	v.all = slices.DeleteFunc(v.all, func(d datedEviction) bool { return time.Since(d.at) > evictionTTL })
}

// Evictions returns the evictions of the last evictionTTL whose numbers are greater than after,
// without the adapters that their engines hold again. It also returns the number of the latest
// eviction, for the caller to pass as after in its next call.
func (c *Controller) Evictions(after uint64) (recent []Eviction, last uint64) {
	v := &c.evicted
	v.lock.Lock()
	defer v.lock.Unlock()
	v.prune()
	for _, d := range v.all {
		if d.number > after {
			recent = append(recent, d.Eviction)
		}
	}
	return recent, v.number
}
