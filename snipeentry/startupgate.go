package snipeentry

import (
	"context"
	"sync"
	"time"
)

// maxStartupWait is how long after the start of the instance requests are held while routes and
// upstreams are unknown. It covers the discovery of other instances and one read of the store.
const maxStartupWait = maxDiscoveryWait + 300*time.Millisecond

// startupGate holds the requests that arrive before this instance knows routes and upstreams.
type startupGate struct {
	once     sync.Once
	opened   chan struct{} // closed when routes and upstreams are known
	deadline time.Time     // after it, no request is held
}

func newStartupGate() *startupGate {
	return &startupGate{opened: make(chan struct{}), deadline: time.Now().Add(maxStartupWait)}
}

// release lets all requests proceed, held and later ones. It is called when routes and upstreams
// are known, and may be called repeatedly: only the first call has an effect.
func (g *startupGate) release() { g.once.Do(func() { close(g.opened) }) }

// wait blocks until routes and upstreams are known, until the deadline passes, or until ctx ends.
// It returns at once after the deadline, also if routes and upstreams are still unknown.
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
