package snipeadapter

import (
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

// mostFormer bounds the adapters that are remembered of one engine: a few times as many as it
// holds. A wrong memory costs nothing but the order in which engines are asked.
const mostFormer = 100

// former are the adapters that an engine has held lately, with the time at which they were
// last seen there. The zero value is ready.
type former struct {
	seen map[snipecatalog.Adapter]time.Time
}

// add notes that an adapter was there until now, and returns the one that is forgotten for
// it, if there are too many.
func (f *former) add(a snipecatalog.Adapter) (forgotten snipecatalog.Adapter, full bool) {
	if f.seen == nil {
		f.seen = make(map[snipecatalog.Adapter]time.Time)
	}
	f.seen[a] = time.Now()
	if len(f.seen) <= mostFormer {
		return snipecatalog.Adapter{}, false
	}
	oldest := a
	for other, at := range f.seen {
		if at.Before(f.seen[oldest]) {
			oldest = other
		}
	}
	delete(f.seen, oldest)
	return oldest, true
}

// has reports whether an adapter was there lately.
func (f *former) has(a snipecatalog.Adapter) bool {
	_, ok := f.seen[a]
	return ok
}
