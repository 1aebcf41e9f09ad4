// Package snipeweight keeps loads within the weight store's budget: a rate at
// which loads may start and a number that may run at once.
package snipeweight

import (
	"context"
	"sync"
	"time"
)

// Budget hands out the permission to load. Its exported fields are set before
// the first call of Acquire.
type Budget struct {
	// Limits returns the share of this instance: loads that may start in a
	// second, and loads at once.
	Limits func() (perSecond float64, concurrent int)

	lock    sync.Mutex // guards the fields below
	running int
	next    time.Time
	changed chan struct{}
}

// Acquire waits for permission to load. The returned function ends the load.
func (b *Budget) Acquire(ctx context.Context) (func(), error) {
	for {
		wait, changed, ok := b.try()
		if ok {
			return b.release, nil
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil, ctx.Err()
		case <-changed:
			t.Stop()
		case <-t.C:
		}
	}
}

// idleWait bounds the wait for a running load to end, after which the limits
// are read again.
const idleWait = time.Second

func (b *Budget) try() (time.Duration, <-chan struct{}, bool) {
	perSecond, concurrent := b.Limits()
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	now := time.Now()
	if b.running >= max(concurrent, 1) {
		return idleWait, b.changed, false
	}
	if perSecond <= 0 {
		return idleWait, b.changed, false
	}
	if now.Before(b.next) {
		return b.next.Sub(now), b.changed, false
	}
	b.running++
	b.next = now.Add(time.Duration(float64(time.Second) / perSecond))
	return 0, nil, true
}

func (b *Budget) release() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.running--
	close(b.changed)
	b.changed = make(chan struct{})
}
