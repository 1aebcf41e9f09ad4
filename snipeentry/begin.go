package snipeentry

import (
	"context"
	"sync"
	"time"
)

// beginPatience is how long after the start callers are held until routes and upstreams are known:
// the wait for other instances and a reading of the store.
const beginPatience = acquaintance + 300*time.Millisecond

// beginning holds the requests of callers that are faster than what this instance has to learn.
type beginning struct {
	once  sync.Once
	known chan struct{} // closed when routes and upstreams are known
	end   time.Time
}

func newBeginning() *beginning {
	return &beginning{known: make(chan struct{}), end: time.Now().Add(beginPatience)}
}

// note notes that routes and upstreams are known.
func (b *beginning) note() { b.once.Do(func() { close(b.known) }) }

// wait waits until routes and upstreams are known, or for so long that they may take long.
func (b *beginning) wait(ctx context.Context) {
	left := time.Until(b.end)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-b.known:
	}
}
