package snipepolicy

import (
	"context"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipetime"
)

// previousSlots are the slots of an engine in the previous version. They evict the least recently
// used adapter, and they evict it before the load has a permit. Without a budget, and with calls
// sent to the engines in turn, they are the naive baseline.
type previousSlots struct {
	capacity int
	engine   *engine
	budget   func(ctx context.Context) (func(), error) // nil for loads without a budget

	lock    sync.Mutex // guards the fields below
	entries map[snipecall.Adapter]*previousEntry
	changed chan struct{} // closed and replaced when an entry changes
}

// previousEntry is an adapter that occupies a slot.
type previousEntry struct {
	resident bool
	leaving  bool
	inFlight int
	used     time.Time     // last use
	done     chan struct{} // closed when the load has ended
	err      error         // of the load
}

// acquire waits until a slot holds the adapter, loading it if necessary, and returns the function
// that ends its use. It fails if a load for which it waits fails, or if ctx ends.
func (s *previousSlots) acquire(ctx context.Context, a snipecall.Adapter) (func(), error) {
	for {
		e, wait := s.find(a)
		if wait == nil {
			return func() { s.release(e) }, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait:
		}
		if e != nil && e.err != nil {
			return nil, e.err
		}
	}
}

// find returns the entry of a resident adapter, now in use. Otherwise it returns the channel to
// wait for, which belongs to a started load of the entry or, without an entry, to the next change.
func (s *previousSlots) find(a snipecall.Adapter) (*previousEntry, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	e, ok := s.entries[a]
	switch {
	case ok && e.leaving:
		return nil, s.changed
	case ok && e.resident:
		e.inFlight++
		e.used = time.Now()
		return e, nil
	case ok:
		return e, e.done
	}
	if len(s.entries) >= s.capacity {
		s.evictOne()
		if len(s.entries) >= s.capacity {
			return nil, s.changed
		}
	}
	e = &previousEntry{used: time.Now(), done: make(chan struct{})}
	s.entries[a] = e
	go s.load(a, e)
	return e, e.done
}

// evictOne evicts the least recently used idle adapter, if there is one. The caller holds the lock,
// also during the order to unload, which takes no time in the simulation.
func (s *previousSlots) evictOne() {
	var victim snipecall.Adapter
	var oldest *previousEntry
	for a, e := range s.entries {
		if e.resident && e.inFlight == 0 && (oldest == nil || e.used.Before(oldest.used)) {
			victim, oldest = a, e
		}
	}
	if oldest != nil {
		_ = s.engine.unload(context.Background(), victim.String())
		delete(s.entries, victim)
	}
}

func (s *previousSlots) load(a snipecall.Adapter, e *previousEntry) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := s.tryLoad(ctx, a)
	s.lock.Lock()
	defer s.lock.Unlock()
	e.err = err
	e.resident = err == nil
	if err != nil {
		delete(s.entries, a)
	}
	close(e.done)
	s.notify()
}

func (s *previousSlots) tryLoad(ctx context.Context, a snipecall.Adapter) error {
	if s.budget != nil {
		release, err := s.budget(ctx)
		if err != nil {
			return err
		}
		defer release()
	}
	return s.engine.load(ctx, a.String(), "")
}

func (s *previousSlots) release(e *previousEntry) {
	s.lock.Lock()
	defer s.lock.Unlock()
	e.inFlight--
	e.used = time.Now()
	s.notify()
}

// notify wakes the calls that wait for a change. The caller holds the lock.
func (s *previousSlots) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget removes an adapter that the engine no longer holds.
func (s *previousSlots) forget(a snipecall.Adapter) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if e, ok := s.entries[a]; ok && e.resident {
		delete(s.entries, a)
		s.notify()
	}
}

// previousBudget is an instance's fixed share of the store's budget: its loads per second and, by
// the capacity of running, its concurrent loads.
type previousBudget struct {
	perSecond float64
	running   chan struct{}
	lock      sync.Mutex // guards next
	next      time.Time  // earliest start of the next load
}

func (b *previousBudget) acquire(ctx context.Context) (func(), error) {
	select {
	case b.running <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	b.lock.Lock()
	now := time.Now()
	if b.next.Before(now) {
		b.next = now
	}
	wait := b.next.Sub(now)
	b.next = b.next.Add(time.Duration(float64(time.Second) / b.perSecond))
	b.lock.Unlock()
	if !snipetime.Sleep(ctx, wait) {
		<-b.running
		return nil, ctx.Err()
	}
	return func() { <-b.running }, nil
}
