package snipeentry

import (
	"context"
	"sync"
	"time"
)

// maxStartupWait is how long after the start callers are held until routes and upstreams are known.
// It covers the discovery of other instances and one read of the store.
const maxStartupWait = maxDiscoveryWait + 300*time.Millisecond

// startupGate holds the requests that arrive before this instance knows routes and upstreams.
type startupGate struct {
	once     sync.Once
	opened   chan struct{} // closed when routes and upstreams are known
	deadline time.Time
}

func newStartupGate() *startupGate {
	return &startupGate{opened: make(chan struct{}), deadline: time.Now().Add(maxStartupWait)}
}

// release lets all held requests proceed. It is called once routes and upstreams are known.
func (g *startupGate) release() { g.once.Do(func() { close(g.opened) }) }

// wait waits until routes and upstreams are known, until the deadline passes, or until ctx ends.
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
