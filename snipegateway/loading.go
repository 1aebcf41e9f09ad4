package snipegateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// loadTries is how many engines are asked to load an adapter soon, before the
	// first of them is asked to do it late.
	loadTries = 3
	// maxFailed bounds the engines that are asked in vain because they or their owners
	// do not answer: a quarter of all engines may have died a moment ago.
	maxFailed = 6
	// soon is the wait for a load at an engine that has no more to do than it does
	// at once.
	soon = 400 * time.Millisecond
	// askTimeout bounds one question to an engine's owner.
	askTimeout = 5 * time.Second
	// loadRetry is when an adapter that could not be loaded is worth asking for again:
	// twice the time of a load.
	loadRetry = 500 * time.Millisecond
)

// flightKey names a load that is waited for.
type flightKey struct {
	engine  string
	adapter snipecatalog.Adapter
	version int64
}

// flight is one question to an owner, shared by all that wait for its answer.
type flight struct {
	done    chan struct{}
	cancel  context.CancelFunc
	waiting int
	version int64
	err     error
}

// load has an engine load the adapter: the first of the best that can do it soon, or else
// the first that can do it within patience.
func (c *Chooser) load(ctx context.Context, all []*snipedirectory.Upstream, a snipecatalog.Adapter, required int64, patience time.Duration, fresh snipebalance.Filter) (Choice, error) {
	begun := time.Now()
	var refusal *snipeerror.CallError
	var failed []string
	for _, step := range loadSteps(patience) {
		tries := 0
		for u := range c.bestFirst(all, a) {
			if !fresh(u) || !c.loadable(u, a) || slices.Contains(failed, u.ID) {
				continue
			}
			if tries == step.tries || len(failed) == maxFailed {
				break
			}
			err := c.ask(ctx, u, a, required, step.patience)
			if err == nil {
				choice := c.choice(u, a)
				choice.Waited = time.Since(begun)
				return choice, nil
			}
			if refusal = refused(err); ctx.Err() != nil {
				return Choice{}, refusal
			}
			if isBusy(err) {
				tries++
			} else {
				failed = append(failed, u.ID)
			}
		}
	}
	if refusal == nil {
		refusal = c.nowhere(all, snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "no engine has an owner").After(loadRetry))
	}
	return Choice{}, refusal
}

// isBusy reports whether an engine could do a load, but later than it is wanted.
func isBusy(err error) bool {
	var busy *snipeadapter.BusyError
	return errors.As(err, &busy)
}

// loadStep is a round of questions to engines' owners.
type loadStep struct {
	patience time.Duration
	tries    int
}

// loadSteps returns the rounds for a request that waits for patience.
func loadSteps(patience time.Duration) []loadStep {
	if patience <= soon {
		return []loadStep{{patience, loadTries}}
	}
	return []loadStep{{soon, loadTries}, {patience, 1}}
}

// refused returns the failure of a request whose adapter was not loaded.
func refused(err error) *snipeerror.CallError {
	wait := loadRetry
	var busy *snipeadapter.BusyError
	if errors.As(err, &busy) {
		wait = busy.Wait
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, err.Error()).After(wait)
}

// loadable reports whether an engine can be asked for an adapter.
func (c *Chooser) loadable(u *snipedirectory.Upstream, a snipecatalog.Adapter) bool {
	_, serves := c.Residency.Holds(u, snipecatalog.Adapter{Model: a.Model})
	return serves && c.Balancer.Usable(u) && c.Owned(u)
}

// ask asks an engine's owner for an adapter, once for all requests that wait. When
// nobody waits any more the question is taken back.
func (c *Chooser) ask(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) error {
	f := c.join(u, a, version, patience)
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if f.waiting--; f.waiting == 0 {
		f.cancel()
	}
	return ctx.Err()
}

// join returns the question that is under way, or begins it.
func (c *Chooser) join(u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) *flight {
	key := flightKey{u.ID, a, version}
	c.lock.Lock()
	defer c.lock.Unlock()
	if f := c.flights[key]; f != nil && f.waiting > 0 {
		f.waiting++
		return f
	}
	if c.flights == nil {
		c.flights = make(map[flightKey]*flight)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	f := &flight{done: make(chan struct{}), cancel: cancel, waiting: 1}
	c.flights[key] = f
	go c.fly(ctx, key, f, u, patience)
	return f
}

func (c *Chooser) fly(ctx context.Context, key flightKey, f *flight, u *snipedirectory.Upstream, patience time.Duration) {
	defer f.cancel()
	begun := time.Now()
	f.version, f.err = c.Ensure(ctx, u, key.adapter, key.version, patience)
	switch {
	case f.err == nil:
		c.paces.of(u.Service).loaded(time.Since(begun))
		c.Residency.Tell(key.engine, key.adapter, f.version)
	case errors.Is(f.err, snipeadapter.ErrUnreached):
		c.Balancer.Unreached(key.engine)
	}
	c.lock.Lock()
	if c.flights[key] == f {
		delete(c.flights, key)
	}
	if f.err == nil {
		c.noteReplica(key.adapter, key.engine, f.version)
	}
	c.lock.Unlock()
	close(f.done)
}
