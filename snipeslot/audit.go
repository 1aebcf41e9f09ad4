package snipeslot

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
)

// attempt is an audit in progress that others wait for.
type attempt struct {
	done chan struct{}
	err  error
}

// Open takes over what the engine holds, once in an ownership. Acquire calls
// it; the owner may call it earlier, so that no caller waits for it.
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
		a = &attempt{done: make(chan struct{})}
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

// setup makes the maps. The lock is held.
func (s *Slots) setup() {
	if s.slots != nil {
		return
	}
	s.slots = map[string]*entry{}
	s.serving = map[key]*entry{}
	s.given = map[string]bool{}
	s.heats = map[key]heat{}
	s.changed = make(chan struct{})
	s.lifetime, s.stop = context.WithCancel(context.Background())
}

// takeOver runs the first audit of the ownership.
func (s *Slots) takeOver(a *attempt) {
	ctx, cancel := context.WithTimeout(s.lifetime, s.Timeout)
	defer cancel()
	err := s.prepare(ctx)
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
			"Engine": s.Engine, "Fence": s.Fence, "Adopted": s.residents(), "GivenUp": len(s.slots) - s.residents(),
		})
	}
	close(a.done)
}

// residents returns the number of adapters that serve. The lock is held.
func (s *Slots) residents() int {
	n := 0
	for _, e := range s.slots {
		if e.state == resident {
			n++
		}
	}
	return n
}

// prepare makes late orders of earlier owners harmless. At an engine that
// refuses them the first order with the new number does it; it names an alias
// that nobody has. At an engine that ignores the number the committed list
// tells which aliases they can hit: the last owner cannot add to it any more.
func (s *Slots) prepare(ctx context.Context) error {
	if s.GiveUp == nil {
		barrier := Alias{Fence: s.Fence}
		err := s.ended(s.Unload(ctx, barrier.String()))
		if err != nil && !errors.Is(err, ErrRefused) {
			return errors.Wrap(err, "first order of the ownership")
		}
		return nil
	}
	given, err := s.Inherit(ctx)
	if err != nil {
		return errors.Wrap(err, "read what was given up")
	}
	for _, name := range given {
		s.give(name)
	}
	return nil
}

// audit reads what the engine holds: entries that are gone are forgotten (an
// engine that has restarted is empty), aliases that are not known are adopted
// or given up.
func (s *Slots) audit(ctx context.Context) error {
	s.auditing.Lock()
	defer s.auditing.Unlock()
	s.lock.Lock()
	s.removed = map[string]bool{}
	mark := s.clock
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
			s.meet(name)
		}
	}
	gone := 0
	for name, e := range s.slots {
		if e.state == resident && e.since <= mark && !listed[name] {
			s.remove(e)
			gone++
		}
	}
	if gone > 1 {
		s.Log.Log(snipelog.EngineRestarted, snipelog.Fields{"Engine": s.Engine, "Lost": gone})
	}
	s.wake()
	return nil
}

// meet takes an alias that the engine holds and this owner does not know. It
// is adopted at the takeover when the earlier owner never gave it up and could
// not give it up any more. Otherwise it is evicted: it came late, and an order
// to unload it may follow. The lock is held.
func (s *Slots) meet(name string) {
	a, err := ParseAlias(name)
	if err != nil {
		return // not an adapter of ours: the base model, for example
	}
	e := &entry{key: key{a.Adapter, a.Path}, alias: a, name: name, state: resident, lastUsed: time.Now(), since: s.clock}
	s.slots[name] = e
	_, given := s.given[name]
	_, taken := s.serving[e.key]
	late := !s.opened.IsZero() || a.Fence >= s.Fence
	if given || taken || late {
		e.condemned = true
		e.unclear = true
		s.evict(e)
		return
	}
	s.serving[e.key] = e
}
