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
	// deadline is until when the owner waits for the load, because the call that started the load
	// request waits no longer; zero if that call stated no deadline.
	deadline time.Time
	version  int64
	err      error
}

// deadlineRounding is more than the part of a millisecond by which an owner ends a wait too early,
// because messages state whole milliseconds.
const deadlineRounding = 2 * time.Millisecond

// endedForStarter reports whether a load request has failed although it might not have for a call
// with the given demand, which waits longer than the one that started the load request.
func (l *sharedLoad) endedForStarter(err error, d snipeadapter.Demand) bool {
	if busy := asBusy(err); busy != nil {
		return busy.Wait <= d.MaxWait
	}
	return err != nil && !l.deadline.IsZero() && time.Until(l.deadline) < deadlineRounding
}

// load has an engine load the adapter, and waits for the load: the first of the best candidates
// that can do so within shortLoadWait, or else the first candidate that can do so within maxWait.
// Candidates that are known to be too busy for the request, and those whose load request failed for
// another reason than time, are passed over. If no engine loads the adapter for lack of time, the
// error names the least of the times to return, otherwise it is that of the last load request.
func (c *Chooser) load(ctx context.Context, all []*snipedirectory.Upstream, q *Request, required int64, maxWait time.Duration, untried snipebalance.Filter) (Choice, error) {
	s := loadSearch{chooser: c, all: all, request: q, required: required, untried: untried}
	start := time.Now()
	for _, round := range loadRounds(maxWait) {
		u := s.run(ctx, round)
		if u != nil {
			choice := c.newChoice(u, q.Adapter)
			choice.Waited = time.Since(start)
			return choice, nil
		}
		if err := ctx.Err(); err != nil {
			if s.lastErr != nil {
				err = s.lastErr
			}
			return Choice{}, loadRefusal(err)
		}
	}
	switch {
	case s.busy != nil:
		return Choice{}, loadRefusal(s.busy)
	case s.lastErr != nil:
		return Choice{}, loadRefusal(s.lastErr)
	}
	return Choice{}, c.refusalError(all, snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "no engine has an owner").After(loadRetryAfter))
}

// loadSearch is the search for an engine that loads an adapter for a request.
type loadSearch struct {
	chooser  *Chooser
	all      []*snipedirectory.Upstream
	request  *Request
	required int64
	untried  snipebalance.Filter
	// failed are the engines whose load requests failed for another reason than time.
	failed []string
	// busy is the refusal for lack of time that names the earliest time to return, lastErr the error
	// of the last load request; nil if there was none.
	busy    *snipeadapter.BusyError
	lastErr error
	// displaced is how long the request has waited for queued loads that were refused later; it
	// counts as a part of the wait that the request accepts.
	displaced time.Duration
}

// run asks the candidates of one round and returns the engine that has loaded the adapter, or nil.
func (s *loadSearch) run(ctx context.Context, round loadRound) *snipedirectory.Upstream {
	c, q := s.chooser, s.request
	tries, passedOver := 0, 0
	for u := range c.loadCandidates(s.all, q.Adapter) {
		if !s.untried(u) || !c.loadable(u, q.Adapter) || slices.Contains(s.failed, u.ID) {
			continue
		}
		maxWait := max(round.maxWait-s.displaced, 0)
		if tries == round.tries || passedOver == maxKnownBusy || len(s.failed) == maxFailedEngines {
			return nil
		}
		if busy := c.knownBusy(u, q, s.required, maxWait); busy != nil {
			s.busy = sooner(s.busy, busy)
			passedOver++
			continue
		}
		asked := time.Now()
		err := c.requestLoad(ctx, u, q.Adapter, s.required, q.demand(ctx, maxWait))
		if err == nil {
			return u
		}
		s.lastErr = err
		if ctx.Err() != nil {
			return nil
		}
		if busy := asBusy(err); busy != nil {
			s.busy = sooner(s.busy, busy)
			s.displaced += time.Since(asked)
			tries++
		} else {
			s.failed = append(s.failed, u.ID)
		}
	}
	return nil
}

// knownBusy returns the refusal that an engine's owner is expected to answer, or nil if it should be
// asked: if no such wait is known, if this instance already waits for that load, and if the engine
// loads the adapter from its own memory, for which it needs no place in the queue.
func (c *Chooser) knownBusy(u *snipedirectory.Upstream, q *Request, required int64, maxWait time.Duration) *snipeadapter.BusyError {
	busy := c.busyWaits.known(u.ID, q.Priority, maxWait)
	if busy == nil || c.Residency.PreviouslyHeld(u.ID, q.Adapter) {
		return nil
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.loads[loadKey{u.ID, q.Adapter, required, q.Priority}] != nil {
		return nil
	}
	return busy
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

// asBusy returns the error of an owner that refused a load because it would take too long, or nil.
func asBusy(err error) *snipeadapter.BusyError {
	if busy := (*snipeadapter.BusyError)(nil); errors.As(err, &busy) {
		return busy
	}
	return nil
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
	if busy := asBusy(err); busy != nil {
		wait = retryTime(busy)
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
// applies to all of them; a call that would have waited longer than that one asks once more.
func (c *Chooser) requestLoad(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) error {
	l, joined := c.joinLoad(u, a, version, d)
	err := c.awaitLoad(ctx, l)
	if joined && ctx.Err() == nil && l.endedForStarter(err, d) {
		l, _ = c.joinLoad(u, a, version, d)
		err = c.awaitLoad(ctx, l)
	}
	return err
}

// awaitLoad waits for the result of a load request, which counts the caller among its waiters, or for
// the end of ctx.
func (c *Chooser) awaitLoad(ctx context.Context, l *sharedLoad) error {
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
// counts the caller among its waiters. joined is set if the load request was in flight before. It does
// not wait.
func (c *Chooser) joinLoad(u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (l *sharedLoad, joined bool) {
	key := loadKey{u.ID, a, version, d.Priority}
	c.lock.Lock()
	defer c.lock.Unlock()
	if l := c.loads[key]; l != nil && l.waiters > 0 {
		l.waiters++
		return l, true
	}
	if c.loads == nil {
		c.loads = make(map[loadKey]*sharedLoad)
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadRequestTimeout)
	l = &sharedLoad{done: make(chan struct{}), cancel: cancel, waiters: 1}
	if d.Deadline > 0 {
		l.deadline = time.Now().Add(d.Deadline)
	}
	c.loads[key] = l
	go c.runLoad(ctx, key, l, u, d)
	return l, false
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
	case asBusy(l.err) != nil:
		c.busyWaits.record(key.engine, d.Priority, asBusy(l.err))
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
