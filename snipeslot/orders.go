package snipeslot

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
)

// Pauses between two tries to evict an alias.
const (
	firstPause = 200 * time.Millisecond
	lastPause  = 5 * time.Second
)

// maxGiven bounds the list of aliases that successors must not use. An alias
// stays on it only while an order for it may still be on its way.
const maxGiven = 256

// load runs on its own: it outlives the caller that asked first, since others
// may wait for it too. ctx ends when nobody waits before the permission came.
func (s *Slots) load(ctx context.Context, e *entry, path string) {
	defer e.cancel()
	err := s.tryLoad(ctx, e, path)
	if errors.Is(err, ErrRefused) && s.crowded(s.lifetime) {
		// Aliases that nobody knew of filled the slots. They are known now:
		// whoever waits tries again.
		err = errors.Wrap(ErrRefused, err.Error())
	} else if err != nil {
		err = &loadError{adapter: e.key.adapter, engine: s.Engine, cause: err}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.clock++
	e.err = err
	e.since = s.clock
	switch {
	case err == nil:
		e.state = resident
		s.Log.Log(snipelog.AdapterLoaded, s.fields(e))
	case e.unclear:
		// The alias may be there, or come: the slot is not free before the
		// engine has confirmed an order to unload it.
		s.Log.Error(snipelog.LoadFailed, err, s.fields(e))
		e.condemned = true
		s.evict(e)
	default:
		s.Log.Error(snipelog.LoadFailed, err, s.fields(e))
		s.remove(e)
	}
	close(e.done)
	s.wake()
}

// loadError is an ErrLoad that keeps its cause.
type loadError struct {
	adapter snipecall.Adapter
	engine  string
	cause   error
}

func (e *loadError) Error() string {
	return ErrLoad.Error() + ": " + e.adapter.String() + " at " + e.engine + ": " + e.cause.Error()
}

func (e *loadError) Unwrap() []error { return []error{ErrLoad, e.cause} }

func (s *Slots) fields(e *entry) snipelog.Fields {
	return snipelog.Fields{"Engine": s.Engine, "Alias": e.name}
}

// tryLoad gets permission and a slot, and orders the load.
func (s *Slots) tryLoad(ctx context.Context, e *entry, path string) error {
	for {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "load given up")
		}
		if err := s.claim(ctx); err != nil {
			return err
		}
		release, err := s.Budget(ctx, e.demand)
		if err != nil {
			s.unclaim()
			return errors.Wrap(err, "wait for the weight store")
		}
		e.demand.Expect(time.Time{})
		if !s.reserve(e) {
			// Whoever else waits for the store goes first.
			release(false)
			s.unclaim()
			continue
		}
		bounded, cancel := context.WithTimeout(s.lifetime, s.Timeout)
		err = s.ended(s.Load(bounded, e.name, path))
		cancel()
		e.unclear = errors.Is(err, ErrUnclear) // read by load alone until the entry is evicted
		release(err != nil && !errors.Is(err, ErrRefused))
		return err
	}
}

// ended closes the slots when an order was fenced off.
func (s *Slots) ended(err error) error {
	if errors.Is(err, ErrFenced) {
		s.Close()
	}
	return err
}

// crowded reads what the engine holds and reports whether aliases that were
// not known fill its slots.
func (s *Slots) crowded(ctx context.Context) bool {
	if s.audit(ctx) != nil {
		return false
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.slots) > s.Capacity
}

// drop tries until the alias is gone, or takes it back into use when nothing
// was ordered yet.
func (s *Slots) drop(e *entry) {
	pause := firstPause
	for !s.tryDrop(e) {
		t := time.NewTimer(pause)
		select {
		case <-s.lifetime.Done():
			t.Stop()
			return
		case <-t.C:
		}
		pause = min(2*pause, lastPause)
	}
}

// tryDrop makes one try and reports whether the eviction has ended.
func (s *Slots) tryDrop(e *entry) bool {
	ctx, cancel := context.WithTimeout(s.lifetime, s.Timeout)
	defer cancel()
	if err := s.commit(ctx, e); err != nil {
		return s.takeBack(e)
	}
	if e.alias.Fence != s.Fence && !s.idle(ctx, e) {
		return s.takeBack(e)
	}
	err := s.ended(s.Unload(ctx, e.name))
	s.lock.Lock()
	defer s.lock.Unlock()
	f := s.fields(e)
	if err != nil {
		// The order may be on its way: nobody uses the alias again.
		e.condemned = true
		e.unclear = e.unclear || errors.Is(err, ErrUnclear)
		s.Log.Error(snipelog.EvictionFailed, err, f)
		return s.closed
	}
	if !e.unclear {
		s.ungive(e.name)
	}
	s.remove(e)
	s.Log.Log(snipelog.AdapterEvicted, f)
	return true
}

// takeBack ends an eviction before its order was given. A condemned entry is
// tried again.
func (s *Slots) takeBack(e *entry) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if e.condemned {
		return false
	}
	if s.serving[e.key] != nil {
		// Another load of the adapter has begun meanwhile.
		e.condemned = true
		return false
	}
	e.state = resident
	e.notBefore = time.Now().Add(firstPause)
	s.serving[e.key] = e
	s.wake()
	time.AfterFunc(firstPause, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.wake()
	})
	return true
}

// idle reports that no call of an earlier owner is under way at the alias.
func (s *Slots) idle(ctx context.Context, e *entry) bool {
	if s.Busy != nil {
		busy, err := s.Busy(ctx)
		return err == nil && !busy[e.name]
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Since(s.opened) >= s.Settle
}

// commit makes sure that successors know that the alias is given up.
func (s *Slots) commit(ctx context.Context, e *entry) error {
	if s.GiveUp == nil {
		return nil
	}
	s.give(e.name)
	s.giving.Lock()
	defer s.giving.Unlock()
	s.lock.Lock()
	committed := s.given[e.name]
	list := slices.Clone(s.order)
	s.lock.Unlock()
	if committed {
		return nil
	}
	if err := s.GiveUp(ctx, list); err != nil {
		return errors.Wrapf(err, "commit that %s is given up", e.name)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, name := range list {
		if _, ok := s.given[name]; ok {
			s.given[name] = true
		}
	}
	return nil
}

// give puts an alias on the list of those given up.
func (s *Slots) give(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, ok := s.given[name]; ok {
		return
	}
	s.given[name] = false
	s.order = append(s.order, name)
	if len(s.order) > maxGiven {
		delete(s.given, s.order[0])
		s.order = s.order[1:]
	}
}

// ungive takes an alias off the list: every order for it has been answered, so
// that none can come late. The lock is held.
func (s *Slots) ungive(name string) {
	if _, ok := s.given[name]; !ok {
		return
	}
	delete(s.given, name)
	s.order = slices.DeleteFunc(s.order, func(n string) bool { return n == name })
}
