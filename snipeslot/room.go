package snipeslot

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"
)

const (
	// reserveTime is how long a permission is kept while its load has no slot.
	reserveTime = time.Second
	// heatTime is the time in which the worth of a use falls to 1/e.
	heatTime = 4 * time.Minute
	// maxHeats bounds the adapters whose use is remembered, for each slot.
	maxHeats = 64
	// minHeat is the worth below which a use is forgotten when room is needed.
	minHeat = 0.01
)

// heat is the worth of an adapter's recent uses: each use adds 1, which decays
// with heatTime. It stands for the cost of loading the adapter again, since all
// loads cost the store the same.
type heat struct {
	value float64
	at    time.Time
}

func (h heat) now(t time.Time) float64 {
	return h.value * math.Exp(-float64(t.Sub(h.at))/float64(heatTime))
}

// warm counts a use.
func (s *Slots) warm(k key) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if len(s.heats) >= maxHeats*s.Capacity {
		s.cool(now)
	}
	s.heats[k] = heat{s.heats[k].now(now) + 1, now}
}

// cool forgets the adapters of least worth. The lock is held.
func (s *Slots) cool(now time.Time) {
	limit := minHeat
	for len(s.heats) >= maxHeats*s.Capacity {
		for k, h := range s.heats {
			if h.now(now) < limit {
				delete(s.heats, k)
			}
		}
		limit *= 2
	}
}

// claim waits until the slots could take one more load.
func (s *Slots) claim(ctx context.Context) error {
	for {
		s.lock.Lock()
		wait := s.changed
		ok := s.claims < s.room()
		if ok {
			s.claims++
		}
		s.lock.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a slot")
		case <-wait:
		}
	}
}

func (s *Slots) unclaim() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.claims--
	s.wake()
}

// room returns the number of slots that are free or can be freed now. The lock
// is held.
func (s *Slots) room() int {
	n := s.Capacity - len(s.slots)
	now := time.Now()
	for _, e := range s.slots {
		if e.state == evicting && !e.condemned || s.evictable(e, now) {
			n++
		}
	}
	return n
}

func (s *Slots) evictable(e *entry, now time.Time) bool {
	return e.state == resident && e.inFlight == 0 && !now.Before(e.notBefore)
}

// reserve turns a claim into a slot and reports false when none becomes free
// soon.
func (s *Slots) reserve(e *entry) bool {
	t := time.NewTimer(reserveTime)
	defer t.Stop()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.seeking++
	defer func() { s.seeking-- }()
	for len(s.slots) >= s.Capacity {
		s.evictOne()
		wait := s.changed
		s.lock.Unlock()
		ok := false
		select {
		case <-wait:
			ok = true
		case <-t.C:
		case <-s.lifetime.Done():
		}
		s.lock.Lock()
		if !ok {
			return false
		}
	}
	s.claims--
	s.slots[e.name] = e
	e.state = loading
	return true
}

// worth says what keeping an adapter is worth. The lock is held.
func (s *Slots) worth(k key, now time.Time) float64 {
	if s.Worth != nil {
		return s.Worth(k.adapter)
	}
	return s.heats[k].now(now)
}

// Pressure returns the worth of what the next load would evict: 0 while there
// is a free slot.
func (s *Slots) Pressure() float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.slots) < s.Capacity {
		return 0
	}
	least := math.Inf(1)
	now := time.Now()
	for _, e := range s.slots {
		if s.evictable(e, now) {
			least = min(least, s.worth(e.key, now))
		}
	}
	return least
}

// evictOne starts to evict the adapter of least worth with no use in flight,
// unless as many evictions are in progress as loads wait for their slot. The
// lock is held.
func (s *Slots) evictOne() {
	var victim *entry
	var least float64
	now := time.Now()
	evictions := 0
	for _, e := range s.slots {
		if e.state == evicting && !e.condemned {
			evictions++
		}
		if !s.evictable(e, now) {
			continue
		}
		worth := s.worth(e.key, now)
		if victim == nil || worth < least || worth == least && e.lastUsed.Before(victim.lastUsed) {
			victim, least = e, worth
		}
	}
	if victim != nil && evictions < s.seeking {
		s.evict(victim)
	}
}
