package snipepolicy

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeslot"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	stepTime = 20 * time.Millisecond // of a batch of one
	stepMore = 2 * time.Millisecond  // for each further call in the batch
)

var errLoad = errors.New("load failed")

// store is the weight store: loads share its speed beyond the number that run
// at full speed, and start no faster than its rate.
type store struct {
	deployment deployment
	lock       sync.Mutex
	running    int
	next       time.Time
	loads      int
}

func (s *store) load(ctx context.Context) error {
	s.lock.Lock()
	now := time.Now()
	s.running++
	s.loads++
	wait := s.deployment.load
	if s.running > s.deployment.concurrent {
		wait = wait * time.Duration(s.running) / time.Duration(s.deployment.concurrent)
	}
	if s.next.Before(now) {
		s.next = now
	}
	wait += s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.deployment.perSecond))
	s.lock.Unlock()
	defer func() {
		s.lock.Lock()
		s.running--
		s.lock.Unlock()
	}()
	if !snipetime.Sleep(ctx, wait) {
		return ctx.Err()
	}
	return nil
}

// engine is a model engine: slots, and a batch whose steps take longer the
// fuller it is.
type engine struct {
	capacity int
	batch    chan struct{}
	store    *store
	fails    func(alias string) bool
	parts    int // engines that are pooled here

	lock    sync.Mutex
	loaded  map[string]bool
	evicted int
	running int
	busy    time.Duration // time with at least one call
	since   time.Time
	work    time.Duration // time of all calls
	waits   time.Duration // for a place in the batch
}

func (e *engine) load(ctx context.Context, alias, _ string) error {
	if err := e.store.load(ctx); err != nil {
		return errors.Wrap(snipeslot.ErrUnclear, err.Error())
	}
	if e.fails(alias) {
		return errLoad
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.loaded) >= e.capacity {
		return snipeslot.ErrRefused
	}
	e.loaded[alias] = true
	return nil
}

func (e *engine) unload(_ context.Context, alias string) error {
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.loaded, alias)
	e.evicted++
	return nil
}

func (e *engine) aliases(context.Context) ([]string, error) {
	e.lock.Lock()
	defer e.lock.Unlock()
	names := make([]string, 0, len(e.loaded))
	for n := range e.loaded {
		names = append(names, n)
	}
	return names, nil
}

func (e *engine) restart() {
	e.lock.Lock()
	defer e.lock.Unlock()
	clear(e.loaded)
}

// run answers a call and reports false when the alias is not there.
func (e *engine) run(alias string, tokens int) bool {
	start := time.Now()
	e.batch <- struct{}{}
	defer func() { <-e.batch }()
	e.lock.Lock()
	e.waits += time.Since(start)
	if !e.loaded[alias] {
		e.lock.Unlock()
		return false
	}
	if e.running == 0 {
		e.since = time.Now()
	}
	e.running++
	d := time.Duration(tokens) * (stepTime + time.Duration((e.running-1)/e.parts)*stepMore)
	e.work += d
	e.lock.Unlock()
	time.Sleep(d)
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.running--; e.running == 0 {
		e.busy += time.Since(e.since)
	}
	return true
}
