package snipepolicy

import (
	"context"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipetime"
)

// previousSlots are the slots as they were before: least recently used goes
// first, and it goes before the load has permission. With no budget and calls
// spread in turn they are the naive baseline.
type previousSlots struct {
	capacity int
	engine   *engine
	budget   func(ctx context.Context) (func(), error) // nil loads as it likes

	lock    sync.Mutex
	entries map[snipecall.Adapter]*previousEntry
	changed chan struct{}
}

type previousEntry struct {
	resident bool
	leaving  bool
	inFlight int
	used     time.Time
	done     chan struct{}
	err      error
}

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

// evictOne evicts at once: orders to unload take no time here.
func (s *previousSlots) evictOne() {
	var victim snipecall.Adapter
	var least *previousEntry
	for a, e := range s.entries {
		if e.resident && e.inFlight == 0 && (least == nil || e.used.Before(least.used)) {
			victim, least = a, e
		}
	}
	if least != nil {
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
	s.wake()
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
	s.wake()
}

func (s *previousSlots) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops an adapter that the engine has lost.
func (s *previousSlots) forget(a snipecall.Adapter) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if e, ok := s.entries[a]; ok && e.resident {
		delete(s.entries, a)
		s.wake()
	}
}

// previousBudget is an instance's fixed part of the store's budget.
type previousBudget struct {
	perSecond float64
	running   chan struct{}
	lock      sync.Mutex
	next      time.Time
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
