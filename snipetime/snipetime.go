// Package snipetime provides a sleep and a periodic loop, which both end with their
// context. They use the clock of the runtime, so that tests can control the time with
// testing/synctest.
package snipetime

import (
	"context"
	"time"
)

// Sleep waits for d and returns true. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Every calls f at each interval until ctx ends, and then returns nil, as a loop of a
// run group is expected to do. The first call is after one interval. A call that lasts
// longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f(ctx)
		}
	}
}
