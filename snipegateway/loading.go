package snipegateway

import (
	"cmp"
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
	// maxLoadTries is how many engines' owners are asked to load an adapter within shortLoadWait
	// and refuse because it would take longer. After these refusals, the owner that was asked first
	// is asked for a load within the request's full wait, if that is longer. maxLoadTries also
	// bounds how many engines are asked to load an adapter whose holder is overloaded.
	maxLoadTries = 3
	// maxFailedEngines bounds the engines whose load requests fail because they or their owners do
	// not answer: a quarter of all engines may have just failed.
	maxFailedEngines = 6
	// shortLoadWait is the longest wait for the load of an adapter on an engine that has no more
	// loads queued than it runs at once.
	shortLoadWait = 400 * time.Millisecond
	// loadRequestTimeout bounds one load request to an engine's owner.
	loadRequestTimeout = 5 * time.Second
	// loadRetryAfter is the retry time for a request whose adapter could not be loaded: twice the
	// time of a load.
	loadRetryAfter = 500 * time.Millisecond
)

// loadKey identifies a load that requests wait for.
type loadKey struct {
	engine  string
	adapter snipecatalog.Adapter
	version int64
	// priority is that of the requests: the owner must know of the most urgent request that waits,
	// which is not always the first.
	priority int
}

// sharedLoad is one load request to an owner, shared by all requests that wait for its result.
type sharedLoad struct {
	// done is closed when version and err are set.
	done   chan struct{}
	cancel context.CancelFunc
	// waiters counts the callers of joinLoad that have not stopped waiting. A caller that does not
	// wait for the result is counted until the end.
	waiters int
	version int64
	err     error
}

// load has an engine load the adapter, and waits for the load: the first of the best candidates
// that can do so within shortLoadWait, or else the first candidate if it can do so within maxWait.
// Candidates whose load request failed for another reason than time are passed over. If no engine
// loads the adapter, the error is that of the last load request.
func (c *Chooser) load(ctx context.Context, all []*snipedirectory.Upstream, q *Request, required int64, maxWait time.Duration, untried snipebalance.Filter) (Choice, error) {
	a, start := q.Adapter, time.Now()
	var refusal *snipeerror.CallError
	var failed []string
	for _, round := range loadRounds(maxWait) {
		tries := 0
		for u := range c.loadCandidates(all, a) {
			if !untried(u) || !c.loadable(u, a) || slices.Contains(failed, u.ID) {
				continue
			}
			if tries == round.tries || len(failed) == maxFailedEngines {
				break
			}
			err := c.requestLoad(ctx, u, a, required, q.demand(ctx, round.maxWait))
			if err == nil {
				choice := c.newChoice(u, a)
				choice.Waited = time.Since(start)
				return choice, nil
			}
			if refusal = loadRefusal(err); ctx.Err() != nil {
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
		refusal = c.refusalError(all, snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "no engine has an owner").After(loadRetryAfter))
	}
	return Choice{}, refusal
}

// demand returns what an engine's owner is told about the request, which waits for a load of at most
// maxWait, and no longer than until ctx ends.
func (q *Request) demand(ctx context.Context, maxWait time.Duration) snipeadapter.Demand {
	d := snipeadapter.Demand{MaxWait: maxWait, Priority: q.Priority, Workspace: q.Workspace, PromptTokens: q.PromptTokens}
	if !q.Target.IsZero() {
		d.Target = max(time.Until(q.Target), time.Millisecond)
	}
	if deadline, ok := ctx.Deadline(); ok {
		d.Deadline = max(time.Until(deadline), time.Millisecond)
	}
	return d
}

// isBusy reports whether an owner refused a load because it would take too long.
func isBusy(err error) bool {
	var busy *snipeadapter.BusyError
	return errors.As(err, &busy)
}

// loadRound is a round of load requests to engines' owners: the longest wait that is accepted, and
// how many busy owners are asked.
type loadRound struct {
	maxWait time.Duration
	tries   int
}

// loadRounds returns the rounds for a request that waits at most maxWait.
func loadRounds(maxWait time.Duration) []loadRound {
	if maxWait <= shortLoadWait {
		return []loadRound{{maxWait, maxLoadTries}}
	}
	return []loadRound{{shortLoadWait, maxLoadTries}, {maxWait, 1}}
}

// loadRefusal returns the error for a request whose adapter was not loaded, with a retry time: what a
// busy owner named, otherwise loadRetryAfter.
func loadRefusal(err error) *snipeerror.CallError {
	wait := loadRetryAfter
	var busy *snipeadapter.BusyError
	if errors.As(err, &busy) {
		wait = cmp.Or(busy.RetryAfter, busy.Wait)
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, err.Error()).After(wait)
}

// loadable reports whether an engine can be asked to load an adapter: it serves the adapter's base
// model, is usable and has an owner.
func (c *Chooser) loadable(u *snipedirectory.Upstream, a snipecatalog.Adapter) bool {
	_, serves := c.Residency.Holds(u, snipecatalog.Adapter{Model: a.Model})
	return serves && c.Balancer.Usable(u) && c.Owned(u)
}

// requestLoad asks an engine's owner to load an adapter and waits for the result or for the end of
// ctx. Concurrent calls of one priority for the same version share one load request, which is
// canceled when none of them waits any more. The demand of the call that started the load request
// applies to all of them.
func (c *Chooser) requestLoad(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) error {
	l := c.joinLoad(u, a, version, d)
	select {
	case <-l.done:
		return l.err
	case <-ctx.Done():
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if l.waiters--; l.waiters == 0 {
		l.cancel()
	}
	return ctx.Err()
}

// joinLoad returns the load request in flight for an adapter on an engine, or starts one, and
// counts the caller among its waiters. It does not wait.
func (c *Chooser) joinLoad(u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) *sharedLoad {
	key := loadKey{u.ID, a, version, d.Priority}
	c.lock.Lock()
	defer c.lock.Unlock()
	if l := c.loads[key]; l != nil && l.waiters > 0 {
		l.waiters++
		return l
	}
	if c.loads == nil {
		c.loads = make(map[loadKey]*sharedLoad)
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
	l := &sharedLoad{done: make(chan struct{}), cancel: cancel, waiters: 1}
	c.loads[key] = l
	go c.runLoad(ctx, key, l, u, d)
	return l
}

// runLoad sends a load request, waits for its result, records the result and releases the waiters.
func (c *Chooser) runLoad(ctx context.Context, key loadKey, l *sharedLoad, u *snipedirectory.Upstream, d snipeadapter.Demand) {
	defer l.cancel()
	start := time.Now()
	l.version, l.err = c.Ensure(ctx, u, key.adapter, key.version, d)
	switch {
	case l.err == nil:
		c.estimators.forService(u.Service).recordLoad(time.Since(start))
		c.Residency.RecordHeld(key.engine, key.adapter, l.version)
	case errors.Is(l.err, snipeadapter.ErrUnreached):
		c.Balancer.RecordUnreached(key.engine)
	}
	c.lock.Lock()
	if c.loads[key] == l {
		delete(c.loads, key)
	}
	if l.err == nil {
		c.recordReplica(key.adapter, key.engine, l.version)
	}
	c.lock.Unlock()
	close(l.done)
}
