package snipeadapter

import (
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

// maxPrevious bounds the adapters recorded as previously held by one engine: a few times as many as
// an engine holds. A wrong record affects only the order in which callers try engines and the
// expected duration of a load.
const maxPrevious = 100

// previousAdapters are the adapters that an engine has held recently, with the time until which it
// held them. The zero value is ready to use.
type previousAdapters struct {
	lastHeld map[snipecatalog.Adapter]time.Time
}

// add records that the engine held an adapter until now. If there are too many records, it drops
// the oldest and returns its adapter.
func (p *previousAdapters) add(a snipecatalog.Adapter) (dropped snipecatalog.Adapter, full bool) {
	if p.lastHeld == nil {
		p.lastHeld = make(map[snipecatalog.Adapter]time.Time)
	}
	p.lastHeld[a] = time.Now()
	if len(p.lastHeld) <= maxPrevious {
		return snipecatalog.Adapter{}, false
	}
	oldest := a
	for other, at := range p.lastHeld {
		if at.Before(p.lastHeld[oldest]) {
			oldest = other
		}
	}
	delete(p.lastHeld, oldest)
	return oldest, true
}

// contains reports whether an adapter is among the recorded ones.
func (p *previousAdapters) contains(a snipecatalog.Adapter) bool {
	_, ok := p.lastHeld[a]
	return ok
}
