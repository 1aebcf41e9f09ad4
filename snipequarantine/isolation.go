package snipequarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// maxWaitingSuspects bounds the suspects that wait at one upstream.
	maxWaitingSuspects = 32
	// retryPerSuspect is the Retry-After, for each suspect at an upstream, of a call
	// that is refused there because of suspects.
	retryPerSuspect = time.Second
)

// Isolation runs suspects alone at the upstreams that this instance owns. All calls of
// such an upstream pass through Enter. Exported fields are set before the first call.
type Isolation struct {
	// Linger is how long an upstream may still execute an abandoned call. The call
	// counts as running for that time.
	Linger time.Duration

	lock   sync.Mutex // guards states
	states map[string]*upstreamState
}

// upstreamState counts the calls that run at one upstream and queues its suspects.
type upstreamState struct {
	running int
	alone   bool
	waiting []chan struct{} // suspects in order of arrival; closing the first admits it
}

// Enter admits a call at its upstream. A suspect waits until no other call runs there or
// ctx ends; it is refused at once if maxWaitingSuspects wait already. While a suspect
// waits or runs, Enter refuses other calls at once, so that they are sent to other
// upstreams. The caller calls done with the call's failure, or nil, when the call ends.
func (i *Isolation) Enter(ctx context.Context, c *snipecall.Call) (done func(error), err error) {
	if c.Alone {
		return i.enterAlone(ctx, c)
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	s := i.state(c.Upstream)
	if s.alone || len(s.waiting) > 0 {
		return nil, busyError(c.Upstream, len(s.waiting)+1)
	}
	s.running++
	return i.releaser(c, s), nil
}

// busyError returns the error of a call that is refused at an upstream with the given
// number of suspects.
func busyError(upstream string, suspects int) error {
	wait := time.Duration(suspects) * retryPerSuspect
	return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "upstream "+upstream+" is kept free for a suspect").After(wait)
}

// enterAlone queues a suspect at its upstream and waits until it is admitted or ctx ends.
func (i *Isolation) enterAlone(ctx context.Context, c *snipecall.Call) (func(error), error) {
	upstream := c.Upstream
	i.lock.Lock()
	s := i.state(upstream)
	if len(s.waiting) >= maxWaitingSuspects {
		i.lock.Unlock()
		return nil, busyError(upstream, len(s.waiting))
	}
	admitted := make(chan struct{})
	s.waiting = append(s.waiting, admitted)
	i.admitNext(upstream, s)
	i.lock.Unlock()
	select {
	case <-admitted:
		return i.releaser(c, s), nil
	case <-ctx.Done():
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	n := slices.Index(s.waiting, admitted)
	if n < 0 {
		// The suspect was admitted just when ctx ended.
		return i.releaser(c, s), nil
	}
	s.waiting = slices.Delete(s.waiting, n, n+1)
	i.admitNext(upstream, s)
	kind := snipeerror.ErrCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = snipeerror.ErrDeadline
	}
	return nil, snipeerror.New(kind, snipeerror.NotRun, "while waiting to run alone at upstream "+upstream)
}

// releaser returns the function that ends a call. A call that may still run at the
// upstream ends after Linger.
func (i *Isolation) releaser(c *snipecall.Call, s *upstreamState) func(error) {
	return func(err error) {
		if e := classifyEnd(c, err); e == Answered || e == Refused {
			i.release(c.Upstream, s, c.Alone)
			return
		}
		time.AfterFunc(i.Linger, func() { i.release(c.Upstream, s, c.Alone) })
	}
}

// release ends a call at its upstream and admits the next suspect if nothing else runs.
func (i *Isolation) release(upstream string, s *upstreamState, alone bool) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if alone {
		s.alone = false
	} else {
		s.running--
	}
	i.admitNext(upstream, s)
}

// admitNext admits the first waiting suspect once nothing runs, and deletes the state
// of an upstream that is not in use. The lock is held.
func (i *Isolation) admitNext(upstream string, s *upstreamState) {
	if s.running > 0 || s.alone {
		return
	}
	if len(s.waiting) == 0 {
		delete(i.states, upstream)
		return
	}
	s.alone = true
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// state returns the state of an upstream and creates it if needed. The lock is held.
func (i *Isolation) state(upstream string) *upstreamState {
	if i.states == nil {
		i.states = map[string]*upstreamState{}
	}
	s, ok := i.states[upstream]
	if !ok {
		s = &upstreamState{}
		i.states[upstream] = s
	}
	return s
}
