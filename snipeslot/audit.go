package snipeslot

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
)

// pendingOpen is the first audit of an ownership while it is in progress. All
// callers of Open wait for the same one.
type pendingOpen struct {
	done chan struct{}
	err  error
}

// Open runs the first audit of the ownership, which adopts or evicts the
// aliases that the engine holds. Once an audit has succeeded, later calls
// return nil at once; a failed audit is repeated by the next call. Acquire
// calls Open; the owner may call it earlier so that no caller waits for the
// audit. The error wraps ErrClosed or ErrEngine, or is that of ctx.
func (s *Slots) Open(ctx context.Context) error {
	s.lock.Lock()
	if !s.opened.IsZero() {
		s.lock.Unlock()
		return nil
	}
	if s.closed {
		s.lock.Unlock()
		return errors.Wrap(ErrClosed, s.Engine)
	}
	s.setup()
	a := s.opening
	if a == nil {
		a = &pendingOpen{done: make(chan struct{})}
		s.opening = a
		go s.takeOver(a)
	}
	s.lock.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.done:
		return a.err
	}
}

// setup creates the maps, the channel and the context of the orders, once.
// s.lock is held.
func (s *Slots) setup() {
	if s.slots != nil {
		return
	}
	s.slots = map[string]*entry{}
	s.serving = map[key]*entry{}
	s.retired = map[string]bool{}
	s.scores = map[key]useScore{}
	s.changed = make(chan struct{})
	s.lifetime, s.stop = context.WithCancel(context.Background())
}

// takeOver runs the first audit of the ownership and passes its result to the
// callers of Open.
func (s *Slots) takeOver(a *pendingOpen) {
	ctx, cancel := context.WithTimeout(s.lifetime, s.Timeout)
	defer cancel()
	err := s.neutralizeLateOrders(ctx)
	if err == nil {
		err = s.audit(ctx)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.opening = nil
	if err != nil {
		a.err = errors.Wrapf(ErrEngine, "%s: %v", s.Engine, err)
	} else {
		s.opened = time.Now()
		s.Log.Log(snipelog.EngineAudited, snipelog.Fields{
			"Engine": s.Engine, "Fence": s.Fence, "Adopted": s.residentCount(), "GivenUp": len(s.slots) - s.residentCount(),
		})
	}
	close(a.done)
}

// residentCount returns the number of resident aliases. s.lock is held.
func (s *Slots) residentCount() int {
	n := 0
	for _, e := range s.slots {
		if e.state == resident {
			n++
		}
	}
	return n
}

// neutralizeLateOrders ensures that late orders of earlier owners cannot unload
// an alias that this owner uses. An engine that checks fencing numbers refuses
// late orders as soon as it has received an order with the new number; that
// order is sent here, for an alias that is never loaded. At an engine that
// ignores fencing numbers, late orders can only unload aliases on the committed
// list of retired aliases, which the last owner can no longer extend.
func (s *Slots) neutralizeLateOrders(ctx context.Context) error {
	if s.CommitRetired == nil {
		barrier := Alias{Fence: s.Fence}
		err := s.closeIfFenced(s.Unload(ctx, barrier.String()))
		if err != nil && !errors.Is(err, ErrRefused) {
			return errors.Wrap(err, "first order of the ownership")
		}
		return nil
	}
	retired, err := s.ReadRetired(ctx)
	if err != nil {
		return errors.Wrap(err, "read what was given up")
	}
	for _, name := range retired {
		s.retire(name)
	}
	return nil
}

// audit reads the list of aliases that the engine holds. Resident entries that
// are not listed are removed (an engine that has restarted is empty), and
// unknown aliases are adopted or evicted. Entries that became resident while the
// list was read are kept, and entries that were removed meanwhile are not added
// again.
func (s *Slots) audit(ctx context.Context) error {
	s.auditing.Lock()
	defer s.auditing.Unlock()
	s.lock.Lock()
	s.removed = map[string]bool{}
	startClock := s.clock
	s.lock.Unlock()
	names, err := s.Aliases(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	removed := s.removed
	s.removed = nil
	if err != nil {
		return errors.Wrap(err, "read what the engine holds")
	}
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		if _, known := s.slots[name]; !known && !removed[name] {
			s.adoptOrEvict(name)
		}
	}
	lost := 0
	for name, e := range s.slots {
		if e.state == resident && e.residentSince <= startClock && !listed[name] {
			s.remove(e)
			lost++
		}
	}
	if lost > 1 {
		s.Log.Log(snipelog.EngineRestarted, snipelog.Fields{"Engine": s.Engine, "Lost": lost})
	}
	s.wake()
	return nil
}

// adoptOrEvict adds an entry for an alias that the engine holds and this owner
// does not know. The first audit adopts an alias of an earlier owner that is
// not retired, since earlier owners can no longer retire it, unless another
// alias already serves the same adapter and path. All other aliases are
// evicted: one that appears after the first audit was loaded by a late order,
// and a late order to unload it may follow. A name that is not an alias is
// ignored. s.lock is held.
func (s *Slots) adoptOrEvict(name string) {
	a, err := ParseAlias(name)
	if err != nil {
		return // not loaded under an Alias: the base model, for example
	}
	e := &entry{key: key{a.Adapter, a.Path}, alias: a, name: name, state: resident, lastUsed: time.Now(), residentSince: s.clock}
	s.slots[name] = e
	_, retired := s.retired[name]
	_, duplicate := s.serving[e.key]
	late := !s.opened.IsZero() || a.Fence >= s.Fence
	if retired || duplicate || late {
		e.mustEvict = true
		e.outcomeUnknown = true
		s.evict(e)
		return
	}
	s.serving[e.key] = e
}
