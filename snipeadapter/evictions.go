package snipeadapter

import (
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

// evictionNews is for how long others are told of an eviction: an instance talks to each
// owner about every 0.7 s, and the registry shows it to all a second later.
const evictionNews = 1500 * time.Millisecond

// Eviction is an adapter that an engine no longer holds.
type Eviction struct {
	Engine  string
	Adapter snipecatalog.Adapter
}

// evictions are those of the last moment. The zero value is ready.
type evictions struct {
	lock   sync.Mutex // guards the fields below
	all    []datedEviction
	number uint64
}

// datedEviction is an eviction with its number, which grows.
type datedEviction struct {
	Eviction
	number uint64
	at     time.Time
}

// add notes an eviction.
func (v *evictions) add(engine string, a snipecatalog.Adapter) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.prune()
	v.number++
	v.all = append(v.all, datedEviction{Eviction{engine, a}, v.number, time.Now()})
}

// drop forgets an eviction: the engine holds the adapter again.
func (v *evictions) drop(engine string, a snipecatalog.Adapter) {
	v.lock.Lock()
	defer v.lock.Unlock()
	v.all = slices.DeleteFunc(v.all, func(d datedEviction) bool { return d.Eviction == Eviction{engine, a} })
}

// prune forgets what is no news any more. The lock is held.
func (v *evictions) prune() {
	v.all = slices.DeleteFunc(v.all, func(d datedEviction) bool { return time.Since(d.at) > evictionNews })
}

// Evictions returns the adapters that engines of this desk have lately unloaded and do
// not hold again, of those after a number, and the number of the last one.
func (d *Desk) Evictions(after uint64) (recent []Eviction, last uint64) {
	v := &d.evicted
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
