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
	stepTime    = 20 * time.Millisecond // duration of a step with one call in the batch
	stepPerCall = 2 * time.Millisecond  // additional duration for each further call in the batch
)

var errLoad = errors.New("load failed")

// store is a fake of the weight store. Loads start no faster than its rate. If more loads run than
// the store serves at full speed, they share the speed.
type store struct {
	deployment deployment
	lock       sync.Mutex // guards the fields below
	running    int
	next       time.Time // earliest start of the next load
	loads      int       // number of loads so far
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

// engine is a fake of a model engine. It has slots for adapters and a batch whose steps take longer
// the more calls it contains.
type engine struct {
	capacity int
	batch    chan struct{}
	store    *store
	fails    func(alias string) bool
	pooled   int // number of engines that this fake stands for

	lock       sync.Mutex // guards the fields below
	loaded     map[string]bool
	evicted    int
	running    int
	busy       time.Duration // time with at least one call in the batch
	busySince  time.Time
	callTime   time.Duration // sum of the execution times of all calls
	batchWaits time.Duration // sum of the waits for a free slot in the batch
}

func (e *engine) load(ctx context.Context, alias, _ string) error {
	if err := e.store.load(ctx); err != nil {
		return errors.Wrap(snipeslot.ErrOutcomeUnknown, err.Error())
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

// restart empties the slots, as a restart of the engine does.
func (e *engine) restart() {
	e.lock.Lock()
	defer e.lock.Unlock()
	clear(e.loaded)
}

// run executes a call. It returns false if the alias is not loaded.
func (e *engine) run(alias string, tokens int) bool {
	start := time.Now()
	e.batch <- struct{}{}
	defer func() { <-e.batch }()
	e.lock.Lock()
	e.batchWaits += time.Since(start)
	if !e.loaded[alias] {
		e.lock.Unlock()
		return false
	}
	if e.running == 0 {
		e.busySince = time.Now()
	}
	e.running++
	d := time.Duration(tokens) * (stepTime + time.Duration((e.running-1)/e.pooled)*stepPerCall)
	e.callTime += d
	e.lock.Unlock()
	time.Sleep(d)
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.running--; e.running == 0 {
		e.busy += time.Since(e.busySince)
	}
	return true
}
