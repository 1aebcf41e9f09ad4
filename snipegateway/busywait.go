package snipegateway

import (
	"cmp"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
)

const (
	// busyWaitTTL is how long the wait that an engine's owner named is taken as known. It is less than
	// half of the time of a load: after a longer time another load may have ended there.
	busyWaitTTL = 100 * time.Millisecond
	// maxKnownBusy bounds the engines that are passed over for one request because they are known to
	// be busy. The request is then refused without looking at further ones.
	maxKnownBusy = 3
	// maxBusyWaits bounds the waits that are remembered: some for each of 600 engines.
	maxBusyWaits = 2048
)

// busyKey identifies the requests to which a named wait applies: those of an engine that are as urgent
// or less.
type busyKey struct {
	engine   string
	priority int
}

// busyWait is a wait that an owner named: when it was named, and when the load would have been
// complete and when it would have been accepted.
type busyWait struct {
	at, ready, retry time.Time
}

// busyWaits remembers for a short time the waits that engines' owners named when they refused loads.
// The zero value is ready to use. It is safe for concurrent use.
type busyWaits struct {
	lock  sync.Mutex // guards waits
	waits map[busyKey]busyWait
}

// record remembers a refusal. If too many are remembered, it first forgets the outdated ones, and
// does nothing if none is outdated.
func (b *busyWaits) record(engine string, priority int, e *snipeadapter.BusyError) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	if len(b.waits) >= maxBusyWaits {
		for k, w := range b.waits {
			if now.Sub(w.at) > busyWaitTTL {
				delete(b.waits, k)
			}
		}
	}
	if b.waits == nil {
		b.waits = make(map[busyKey]busyWait)
	}
	if len(b.waits) < maxBusyWaits {
		b.waits[busyKey{engine, priority}] = busyWait{now, now.Add(e.Wait), now.Add(cmp.Or(e.RetryAfter, e.Wait))}
	}
}

// known returns the refusal to expect for a request of a priority that waits for at most maxWait, or
// nil if none is known. A wait that was named to a more urgent request applies too, but not one that
// was named to a less urgent one, and none after the load would have been accepted.
func (b *busyWaits) known(engine string, priority int, maxWait time.Duration) *snipeadapter.BusyError {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var longest *snipeadapter.BusyError
	for p := range min(max(priority, 0), snipeadapter.MaxPriority) + 1 {
		w, ok := b.waits[busyKey{engine, p}]
		if !ok || now.Sub(w.at) > busyWaitTTL || !now.Before(w.retry) || w.ready.Sub(now) <= maxWait {
			continue
		}
		if e := (&snipeadapter.BusyError{Wait: w.ready.Sub(now), RetryAfter: w.retry.Sub(now), Age: now.Sub(w.at)}); longest == nil || e.Wait > longest.Wait {
			longest = e
		}
	}
	return longest
}

// sooner returns the refusal that names the earlier time to return; either may be nil.
func sooner(a, b *snipeadapter.BusyError) *snipeadapter.BusyError {
	if a == nil || b != nil && retryTime(b) < retryTime(a) {
		return b
	}
	return a
}

// retryTime returns when a request whose load was refused should return.
func retryTime(b *snipeadapter.BusyError) time.Duration { return cmp.Or(b.RetryAfter, b.Wait) }
