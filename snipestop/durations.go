package snipestop

import (
	"sync"
	"time"
)

const (
	// durationSpan is how long the longest time of an answer counts, at least; twice as long at most.
	durationSpan = 30 * time.Second
	// maxDurations bounds the kinds of requests whose times are kept, more than the routes of a catalog. Beyond it all are forgotten.
	maxDurations = 1 << 14
)

// Durations keeps, by kind of request, how long upstreams took at most for a whole answer lately. The zero value is ready to
// use. It is safe for concurrent use.
type Durations struct {
	lock  sync.Mutex // guards kinds
	kinds map[string]*duration
}

// duration holds the longest times of the span that began at since, and of the one before.
type duration struct {
	since         time.Time
	now, previous time.Duration
}

// Record records the time of an answer, from when the request was sent until all of the answer was delivered.
func (d *Durations) Record(kind string, took time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.kinds == nil || len(d.kinds) >= maxDurations {
		d.kinds = make(map[string]*duration)
	}
	t := d.kinds[kind]
	if t == nil {
		t = &duration{since: time.Now()}
		d.kinds[kind] = t
	}
	t.advance()
	t.now = max(t.now, took)
}

// Longest returns the longest time of a kind; zero if there is none.
func (d *Durations) Longest(kind string) time.Duration {
	d.lock.Lock()
	defer d.lock.Unlock()
	t := d.kinds[kind]
	if t == nil {
		return 0
	}
	t.advance()
	return max(t.now, t.previous)
}

// advance begins a new span if the present one is over.
func (t *duration) advance() {
	switch age := time.Since(t.since); {
	case age < durationSpan:
	case age < 2*durationSpan:
		t.previous, t.now, t.since = t.now, 0, t.since.Add(durationSpan)
	default:
		t.previous, t.now, t.since = 0, 0, time.Now()
	}
}
