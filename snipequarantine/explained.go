package snipequarantine

import (
	"maps"
	"time"
)

// explainedCrashes holds the starts of upstreams whose crash something that is refused explains, and since when. The zero
// value is ready to use. It is not safe for concurrent use.
type explainedCrashes struct{ since map[string]time.Time }

// add records upstreams, and drops those that were recorded SuspectTime ago.
func (e *explainedCrashes) add(upstreams []string) {
	now := time.Now()
	if e.since == nil {
		e.since = make(map[string]time.Time)
	}
	maps.DeleteFunc(e.since, func(_ string, at time.Time) bool { return now.Sub(at) >= SuspectTime })
	for _, u := range upstreams {
		e.since[u] = now
	}
}

// has reports whether the crash of an upstream is explained.
func (e *explainedCrashes) has(upstream string) bool {
	_, ok := e.since[upstream]
	return ok
}
