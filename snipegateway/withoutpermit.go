package snipegateway

import (
	"maps"
	"sync"
)

// attemptCounter counts the attempts in progress by upstream. It is safe for concurrent use.
type attemptCounter struct {
	lock  sync.Mutex // guards count
	count map[string]int
}

// enter counts an attempt until the returned function is called.
func (a *attemptCounter) enter(upstream string) (leave func()) {
	a.add(upstream, 1)
	return func() { a.add(upstream, -1) }
}

func (a *attemptCounter) add(upstream string, n int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.count == nil {
		a.count = make(map[string]int)
	}
	a.count[upstream] += n
	if a.count[upstream] == 0 {
		delete(a.count, upstream)
	}
}

func (a *attemptCounter) all() map[string]int {
	a.lock.Lock()
	defer a.lock.Unlock()
	return maps.Clone(a.count)
}

// WithoutStrictPermit returns the numbers of attempts in progress without a permit that is lent strictly, by upstream.
func (g *Gateway) WithoutStrictPermit() map[string]int { return g.withoutPermit.all() }
