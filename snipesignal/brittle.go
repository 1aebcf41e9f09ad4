package snipesignal

import (
	"maps"
	"sync"
	"time"
)

// brittleSettleTime is how long after the last statement that a service is brittle a request must have
// been sent for its answer, without such a statement, to end the state. Upstreams of a service begin and end to
// state it at slightly different times.
const brittleSettleTime = time.Second

// Brittleness is the state of a service whose upstreams crash when they refuse too many requests for want of
// room.
type Brittleness struct {
	// MaxRefusals is the number of requests that an upstream can refuse in a second without a crash.
	MaxRefusals int
	// Since is when this instance learned of it, StatedAt when an upstream last stated it.
	Since, StatedAt time.Time
	// Refusals counts the requests of this instance that upstreams refused for want of room since then,
	// Broken the starts of upstreams that broke an answer to it or could not be connected to.
	Refusals, Broken int
}

// BrittleChange is the beginning of a service's brittleness, or its end.
type BrittleChange struct {
	Service string
	Brittle bool
	Brittleness
	// Upstream is the upstream whose answer brought the change; empty if Source is Instance.
	Upstream string
	Source   Source
}

// BrittleTracker tracks which services are brittle. Exported fields are set before the first call. It is safe
// for concurrent use.
//
// The state is kept by service and not by upstream: all upstreams of a service state it, and one that has
// crashed is back as another start, of which nothing is known yet.
type BrittleTracker struct {
	// Changed is called for each change, without the lock held; nil for none.
	Changed func(c BrittleChange)

	lock     sync.Mutex // guards services
	services map[string]*brittleService
}

// brittleService is a service that is brittle.
type brittleService struct {
	Brittleness
	// broken holds the starts that Broken counts.
	broken map[string]bool
}

// Record records what an answer of a service's upstream states. sent is when its request was sent.
func (b *BrittleTracker) Record(service, upstream string, sent time.Time, s Signal) {
	change, changed := b.record(service, sent, s)
	if !changed || b.Changed == nil {
		return
	}
	change.Upstream, change.Source = upstream, Answer
	b.Changed(change)
}

func (b *BrittleTracker) record(service string, sent time.Time, s Signal) (BrittleChange, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	known := b.services[service]
	switch {
	case s.Brittle:
		return b.state(service, s.MaxRefusals, time.Now())
	case known != nil && sent.After(known.StatedAt.Add(brittleSettleTime)):
		delete(b.services, service)
		return BrittleChange{Service: service, Brittleness: known.Brittleness}, true
	}
	return BrittleChange{}, false
}

// state records that a service was stated to be brittle, and returns the change if that is new. The lock is
// held.
func (b *BrittleTracker) state(service string, maxRefusals int, statedAt time.Time) (BrittleChange, bool) {
	if b.services == nil {
		b.services = make(map[string]*brittleService)
	}
	known := b.services[service]
	if known == nil {
		known = &brittleService{Brittleness: Brittleness{Since: time.Now()}, broken: make(map[string]bool)}
		b.services[service] = known
	}
	begins := known.StatedAt.IsZero()
	if statedAt.After(known.StatedAt) {
		known.MaxRefusals, known.StatedAt = maxRefusals, statedAt
	}
	return BrittleChange{Service: service, Brittle: true, Brittleness: known.Brittleness}, begins
}

// Get returns the state of a service, or false if it is not brittle.
func (b *BrittleTracker) Get(service string) (Brittleness, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if known := b.services[service]; known != nil {
		return known.Brittleness, true
	}
	return Brittleness{}, false
}

// RecordRefusal counts a request that an upstream refused for want of room. It returns the number so far, and
// false if the service is not brittle.
func (b *BrittleTracker) RecordRefusal(service string) (n int, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	known := b.services[service]
	if known == nil {
		return 0, false
	}
	known.Refusals++
	return known.Refusals, true
}

// maxBroken bounds the starts of upstreams that are counted as broken for one service.
const maxBroken = 1024

// RecordBroken counts a start of an upstream that broke an answer or could not be connected to, if its service
// is brittle.
func (b *BrittleTracker) RecordBroken(service, upstream string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if known := b.services[service]; known != nil && len(known.broken) < maxBroken {
		known.broken[upstream] = true
		known.Broken = len(known.broken)
	}
}

// Count returns the number of services that are brittle.
func (b *BrittleTracker) Count() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	return len(b.services)
}

// Retain drops the state of the services for which declared returns false.
func (b *BrittleTracker) Retain(declared func(service string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	maps.DeleteFunc(b.services, func(service string, _ *brittleService) bool { return !declared(service) })
}
