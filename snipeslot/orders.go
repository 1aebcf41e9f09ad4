package snipeslot

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
)

// Pauses between two attempts to evict an alias. The pause doubles with each
// attempt.
const (
	initialRetryPause = 200 * time.Millisecond
	maxRetryPause     = 5 * time.Second
)

// maxRetired bounds the list of aliases that later owners must not use. An
// alias stays on the list only while an order for it may still arrive.
const maxRetired = 256

// load loads an adapter and passes the result to its waiters. It runs in a
// goroutine that outlives the caller that started it, since other callers may
// wait for the same load. ctx is canceled if the last waiter leaves while the
// load is still queued.
func (s *Slots) load(ctx context.Context, e *entry, path string) {
	defer e.cancel()
	err := s.tryLoad(ctx, e, path)
	if errors.Is(err, ErrRefused) && s.overCapacity(s.lifetime) {
		// Aliases unknown to this owner filled the engine's slots. The audit has
		// added them to s.slots, so the waiters try again.
		err = errors.Wrap(ErrRefused, err.Error())
	} else if err != nil {
		err = &loadError{adapter: e.key.adapter, engine: s.Engine, cause: err}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.clock++
	e.err = err
	e.residentSince = s.clock
	switch {
	case err == nil:
		e.state = resident
		s.Log.Log(snipelog.AdapterLoaded, s.logFields(e))
	case e.outcomeUnknown:
		// The alias may be loaded now or later: the slot is free only after the
		// engine has confirmed an order to unload it.
		s.Log.Error(snipelog.LoadFailed, err, s.logFields(e))
		e.mustEvict = true
		s.evict(e)
	default:
		s.Log.Error(snipelog.LoadFailed, err, s.logFields(e))
		s.remove(e)
	}
	close(e.done)
	s.wake()
}

// loadError wraps both ErrLoad and the cause of a failed load.
type loadError struct {
	adapter snipecall.Adapter
	engine  string
	cause   error
}

func (e *loadError) Error() string {
	return ErrLoad.Error() + ": " + e.adapter.String() + " at " + e.engine + ": " + e.cause.Error()
}

func (e *loadError) Unwrap() []error { return []error{ErrLoad, e.cause} }

func (s *Slots) logFields(e *entry) snipelog.Fields {
	return snipelog.Fields{"Engine": s.Engine, "Alias": e.name}
}

// tryLoad waits for the weight store's permission and for a slot, and orders
// the load.
func (s *Slots) tryLoad(ctx context.Context, e *entry, path string) error {
	for {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "load given up")
		}
		if err := s.claim(ctx); err != nil {
			return err
		}
		release, err := s.AcquirePermission(ctx, e.demand)
		if err != nil {
			s.releaseClaim()
			return errors.Wrap(err, "wait for the weight store")
		}
		e.demand.Expect(time.Time{})
		if !s.reserve(e) {
			// No slot became free in time. Return the permission, so that other
			// loads can use the weight store meanwhile.
			release(false)
			s.releaseClaim()
			continue
		}
		bounded, cancel := context.WithTimeout(s.lifetime, s.Timeout)
		err = s.closeIfFenced(s.Load(bounded, e.name, path))
		cancel()
		e.outcomeUnknown = errors.Is(err, ErrOutcomeUnknown) // only load reads it before the entry is evicted
		release(err != nil && !errors.Is(err, ErrRefused))
		return err
	}
}

// closeIfFenced ends the ownership if the engine refused an order because a
// later owner exists. It returns err.
func (s *Slots) closeIfFenced(err error) error {
	if errors.Is(err, ErrFenced) {
		s.Close()
	}
	return err
}

// overCapacity audits the engine and reports whether aliases that were unknown
// until then leave no slot for the load that was refused. It reports false if
// the audit fails.
func (s *Slots) overCapacity(ctx context.Context) bool {
	if s.audit(ctx) != nil {
		return false
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.slots) > s.Capacity
}

// runEviction tries to unload an alias until the engine confirms it, the
// eviction is canceled before an order was sent, or the ownership ends.
func (s *Slots) runEviction(e *entry) {
	pause := initialRetryPause
	for !s.tryEvict(e) {
		t := time.NewTimer(pause)
		select {
		case <-s.lifetime.Done():
			t.Stop()
			return
		case <-t.C:
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// tryEvict makes one attempt to unload an alias, and reports whether the eviction
// has ended: the engine has confirmed it, it was canceled before an order was
// sent, or the ownership has ended.
func (s *Slots) tryEvict(e *entry) bool {
	ctx, cancel := context.WithTimeout(s.lifetime, s.Timeout)
	defer cancel()
	if err := s.commitRetired(ctx, e); err != nil {
		return s.cancelEviction(e)
	}
	if e.alias.Fence != s.Fence && !s.aliasIdle(ctx, e) {
		return s.cancelEviction(e)
	}
	err := s.closeIfFenced(s.Unload(ctx, e.name))
	s.lock.Lock()
	defer s.lock.Unlock()
	f := s.logFields(e)
	if err != nil {
		// The order may still be carried out, so the alias is not used again.
		e.mustEvict = true
		e.outcomeUnknown = e.outcomeUnknown || errors.Is(err, ErrOutcomeUnknown)
		s.Log.Error(snipelog.EvictionFailed, err, f)
		return s.closed
	}
	if !e.outcomeUnknown {
		s.unretire(e.name)
	}
	s.remove(e)
	s.Log.Log(snipelog.AdapterEvicted, f)
	return true
}

// cancelEviction returns an alias to use before an order to unload it was sent,
// and reports whether it did. It does not cancel the eviction of an entry that
// must be evicted; the caller tries again.
func (s *Slots) cancelEviction(e *entry) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if e.mustEvict {
		return false
	}
	if s.serving[e.key] != nil {
		// Another load of the adapter has started in the meantime.
		e.mustEvict = true
		return false
	}
	e.state = resident
	e.notBefore = time.Now().Add(initialRetryPause)
	s.serving[e.key] = e
	s.wake()
	time.AfterFunc(initialRetryPause, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.wake()
	})
	return true
}

// aliasIdle reports whether no call of an earlier owner runs or waits under the
// alias. It reports false if Busy fails. If Busy is nil, it reports true once
// PreviousCallTime has passed since the first audit.
func (s *Slots) aliasIdle(ctx context.Context, e *entry) bool {
	if s.Busy != nil {
		busy, err := s.Busy(ctx)
		return err == nil && !busy[e.name]
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	return time.Since(s.opened) >= s.PreviousCallTime
}

// commitRetired ensures that the committed list, which the next owner reads,
// contains the alias. It does nothing if the engine refuses late orders.
func (s *Slots) commitRetired(ctx context.Context, e *entry) error {
	if s.CommitRetired == nil {
		return nil
	}
	s.retire(e.name)
	s.retiring.Lock()
	defer s.retiring.Unlock()
	s.lock.Lock()
	committed := s.retired[e.name]
	list := slices.Clone(s.retiredOrder)
	s.lock.Unlock()
	if committed {
		return nil
	}
	if err := s.CommitRetired(ctx, list); err != nil {
		return errors.Wrapf(err, "commit that %s is retired", e.name)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, name := range list {
		if _, ok := s.retired[name]; ok {
			s.retired[name] = true
		}
	}
	return nil
}

// retire adds an alias to the list of retired aliases, not yet committed. If
// the list is full, the oldest alias is removed from it: if the engine still
// holds that alias, a later owner may then use it while a late order to unload
// it may follow.
func (s *Slots) retire(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, ok := s.retired[name]; ok {
		return
	}
	s.retired[name] = false
	s.retiredOrder = append(s.retiredOrder, name)
	if len(s.retiredOrder) > maxRetired {
		delete(s.retired, s.retiredOrder[0])
		s.retiredOrder = s.retiredOrder[1:]
	}
}

// unretire removes an alias from the list of retired aliases: every order for
// it has been answered, so none can arrive late. The committed list contains the
// alias until the next commit. s.lock is held.
func (s *Slots) unretire(name string) {
	if _, ok := s.retired[name]; !ok {
		return
	}
	delete(s.retired, name)
	s.retiredOrder = slices.DeleteFunc(s.retiredOrder, func(n string) bool { return n == name })
}
