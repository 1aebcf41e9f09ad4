package snipeentry

import (
	"context"
	"sync"
	"time"
)

// maxStartupWait is how long after the start callers are held until routes and upstreams are known:
// the wait for other instances and a reading of the store.
const maxStartupWait = maxDiscoveryWait + 300*time.Millisecond

// beginning holds the requests of callers that are faster than what this instance has to learn.
type startupGate struct {
	once     sync.Once
	opened   chan struct{} // closed when routes and upstreams are known
	deadline time.Time
}

func newStartupGate() *startupGate {
	return &startupGate{opened: make(chan struct{}), deadline: time.Now().Add(maxStartupWait)}
}

// note notes that routes and upstreams are known.
func (g *startupGate) release() { g.once.Do(func() { close(g.opened) }) }

// wait waits until routes and upstreams are known, or for so long that they may take long.
func (g *startupGate) wait(ctx context.Context) {
	left := time.Until(g.deadline)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-g.opened:
	}
}
