package snipeslot

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
)

// Request describes the adapter that a call needs.
type Request struct {
	// Adapter is the adapter version and Path the path of its weights.
	Adapter snipecall.Adapter
	Path    string
	// Class is the class of the call that needs it.
	Class snipecall.Class
}

// LateError is returned if the adapter is not expected to be resident before
// the call's deadline.
type LateError struct {
	// After is the time until the adapter is expected to be resident.
	After time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	return "adapter is expected in " + e.After.Round(time.Millisecond).String() + ", after the deadline"
}

// Use keeps an adapter resident for one call. Release must be called once.
type Use struct {
	// Alias is the adapter's name at the engine.
	Alias string
	// Stalled is how long Acquire took, including the wait for a load.
	Stalled time.Duration
	slots   *Slots
	entry   *entry
}

// Acquire waits until the adapter is resident, loading it if necessary, and
// counts a use of it. A load that the engine refused because aliases unknown to
// this owner filled its slots is tried again. The error is a *LateError, wraps
// ErrLoad, ErrEngine or ErrClosed, or is that of ctx.
func (s *Slots) Acquire(ctx context.Context, r Request) (*Use, error) {
	start := time.Now()
	if err := s.Open(ctx); err != nil {
		return nil, err
	}
	k := key{r.Adapter, HashPath(r.Path)}
	s.recordUse(k)
	for {
		e, wait := s.useOrWait(k, r)
		switch {
		case e == nil:
			return nil, errors.Wrap(ErrClosed, s.Engine)
		case wait == nil:
			return &Use{Alias: e.name, Stalled: time.Since(start), slots: s, entry: e}, nil
		}
		err := e.await(ctx)
		s.leave(e, r.Class)
		if err == nil && !errors.Is(e.err, ErrRefused) {
			err = e.err
		}
		if err != nil {
			return nil, err
		}
	}
}

// useOrWait counts a use of a resident adapter and returns a nil channel.
// Otherwise it starts a load if none is queued or in progress, counts a waiter
// for it and returns a channel that is closed when the load ends. The entry is
// nil if the ownership has ended.
func (s *Slots) useOrWait(k key, r Request) (*entry, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return nil, nil
	}
	e, ok := s.serving[k]
	if ok && e.state == resident {
		e.inFlight++
		e.lastUsed = time.Now()
		return e, nil
	}
	if !ok {
		e = s.startLoad(k, r.Path)
	}
	e.waiters++
	e.demand.Join(r.Class)
	return e, e.done
}

// await waits until a load has ended; the result of the load is in e.err. It
// returns a *LateError as soon as the load is expected to end after the
// deadline of ctx.
func (e *entry) await(ctx context.Context) error {
	deadline, bounded := ctx.Deadline()
	for {
		ready, changed := e.demand.Expected()
		if bounded && ready.After(deadline) {
			return &LateError{After: time.Until(ready)}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.done:
			return nil
		case <-changed:
		}
	}
}

// leave ends a wait. A queued load that has no more waiters is canceled.
func (s *Slots) leave(e *entry, c snipecall.Class) {
	s.lock.Lock()
	defer s.lock.Unlock()
	e.demand.Leave(c)
	e.waiters--
	if e.waiters == 0 && e.state == queued {
		e.cancel()
		if s.serving[e.key] == e {
			delete(s.serving, e.key)
		}
	}
}

// Release ends the use. Once an adapter has no use in flight, it may be evicted.
func (u *Use) Release() {
	u.slots.lock.Lock()
	defer u.slots.lock.Unlock()
	u.entry.inFlight--
	u.entry.lastUsed = time.Now()
	if u.entry.inFlight == 0 {
		u.slots.wake()
	}
}
