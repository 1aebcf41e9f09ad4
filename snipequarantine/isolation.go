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
	// maxIsolated bounds the suspects that wait at one upstream.
	maxIsolated = 32
	// isolatedRetry is when a call refused for the sake of a suspect is
	// worthwhile again at the same upstream, for each suspect that waits.
	isolatedRetry = time.Second
)

// Isolation runs suspects alone at the upstreams that this instance owns: all
// calls of such an upstream pass through Enter. Exported fields are set before
// the first call.
type Isolation struct {
	// Linger is how long an upstream may still execute a call that was given
	// up; the call counts as running for as long.
	Linger time.Duration

	lock  sync.Mutex // guards lanes
	lanes map[string]*lane
}

// lane is one upstream.
type lane struct {
	running int
	alone   bool
	waiting []chan struct{} // suspects in order; the first is closed for its turn
}

// Enter waits until the call may run at its upstream. While a suspect waits or
// runs there, other calls are refused at once, so that they go elsewhere. The
// caller calls done with the call's failure.
func (i *Isolation) Enter(ctx context.Context, c *snipecall.Call) (done func(error), err error) {
	if c.Alone {
		return i.enterAlone(ctx, c)
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	l := i.lane(c.Upstream)
	if l.alone || len(l.waiting) > 0 {
		return nil, busy(c.Upstream, len(l.waiting)+1)
	}
	l.running++
	return i.leaver(c, l), nil
}

func busy(upstream string, suspects int) error {
	wait := time.Duration(suspects) * isolatedRetry
	return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "upstream "+upstream+" is kept free for a suspect").After(wait)
}

func (i *Isolation) enterAlone(ctx context.Context, c *snipecall.Call) (func(error), error) {
	upstream := c.Upstream
	i.lock.Lock()
	l := i.lane(upstream)
	if len(l.waiting) >= maxIsolated {
		i.lock.Unlock()
		return nil, busy(upstream, len(l.waiting))
	}
	turn := make(chan struct{})
	l.waiting = append(l.waiting, turn)
	i.next(upstream, l)
	i.lock.Unlock()
	select {
	case <-turn:
		return i.leaver(c, l), nil
	case <-ctx.Done():
	}
	i.lock.Lock()
	defer i.lock.Unlock()
	n := slices.Index(l.waiting, turn)
	if n < 0 {
		// The turn came at the same moment.
		return i.leaver(c, l), nil
	}
	l.waiting = slices.Delete(l.waiting, n, n+1)
	i.next(upstream, l)
	kind := snipeerror.ErrCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = snipeerror.ErrDeadline
	}
	return nil, snipeerror.New(kind, snipeerror.NotRun, "while waiting to run alone at upstream "+upstream)
}

// leaver returns what ends a call. One that may still run ends later.
func (i *Isolation) leaver(c *snipecall.Call, l *lane) func(error) {
	return func(err error) {
		if e := endOf(c, err); e == Answered || e == Refused {
			i.leave(c.Upstream, l, c.Alone)
			return
		}
		time.AfterFunc(i.Linger, func() { i.leave(c.Upstream, l, c.Alone) })
	}
}

func (i *Isolation) leave(upstream string, l *lane, alone bool) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if alone {
		l.alone = false
	} else {
		l.running--
	}
	i.next(upstream, l)
}

// next gives the turn to the first suspect once nothing runs, and forgets a
// lane that is not in use. The lock is held.
func (i *Isolation) next(upstream string, l *lane) {
	if l.running > 0 || l.alone {
		return
	}
	if len(l.waiting) == 0 {
		delete(i.lanes, upstream)
		return
	}
	l.alone = true
	close(l.waiting[0])
	l.waiting = l.waiting[1:]
}

// lane returns the lane of an upstream. The lock is held.
func (i *Isolation) lane(upstream string) *lane {
	if i.lanes == nil {
		i.lanes = map[string]*lane{}
	}
	l, ok := i.lanes[upstream]
	if !ok {
		l = &lane{}
		i.lanes[upstream] = l
	}
	return l
}
