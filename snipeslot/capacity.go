package snipeslot

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"
)

const (
	// reserveTimeout is how long a load keeps its permission while it waits for
	// a slot.
	reserveTimeout = time.Second
	// scoreDecayTime is the time in which a use score falls to 1/e.
	scoreDecayTime = 4 * time.Minute
	// maxScores bounds the number of use scores that are kept, per slot.
	maxScores = 64
	// minScore is the use score below which a score is removed first when there
	// are too many.
	minScore = 0.01
)

// useScore is a decaying count of an adapter's recent uses: each use adds 1,
// which falls to 1/e within scoreDecayTime. It estimates the cost of evicting
// the adapter and loading it again; the cost of a single load is left out, since
// all loads cost the weight store the same.
type useScore struct {
	value   float64
	updated time.Time
}

func (u useScore) decayed(t time.Time) float64 {
	return u.value * math.Exp(-float64(t.Sub(u.updated))/float64(scoreDecayTime))
}

// recordUse adds one use to an adapter's score.
func (s *Slots) recordUse(k key) {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if len(s.scores) >= maxScores*s.Capacity {
		s.pruneScores(now)
	}
	s.scores[k] = useScore{s.scores[k].decayed(now) + 1, now}
}

// pruneScores removes the lowest scores until one more fits. s.lock is held.
func (s *Slots) pruneScores(now time.Time) {
	limit := minScore
	for len(s.scores) >= maxScores*s.Capacity {
		for k, u := range s.scores {
			if u.decayed(now) < limit {
				delete(s.scores, k)
			}
		}
		limit *= 2
	}
}

// claim waits until a slot is available for one more load, and counts the load
// in s.claims.
func (s *Slots) claim(ctx context.Context) error {
	for {
		s.lock.Lock()
		wait := s.changed
		ok := s.claims < s.availableSlots()
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

func (s *Slots) releaseClaim() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.claims--
	s.wake()
}

// availableSlots returns the number of slots that are free, are being freed or
// can be freed now. It leaves out entries that must be evicted, because their
// eviction may have to be repeated for long. s.lock is held.
func (s *Slots) availableSlots() int {
	n := s.Capacity - len(s.slots)
	now := time.Now()
	for _, e := range s.slots {
		if e.state == evicting && !e.mustEvict || s.evictable(e, now) {
			n++
		}
	}
	return n
}

// evictable reports whether an entry may be evicted now to free its slot.
func (s *Slots) evictable(e *entry, now time.Time) bool {
	return e.state == resident && e.inFlight == 0 && !now.Before(e.notBefore)
}

// reserve turns a claim into a slot for e, and evicts an adapter if no slot is
// free. It reports false, and keeps the claim, if no slot becomes free within
// reserveTimeout or the ownership ends.
func (s *Slots) reserve(e *entry) bool {
	t := time.NewTimer(reserveTimeout)
	defer t.Stop()
	s.lock.Lock()
	defer s.lock.Unlock()
	s.awaitingSlot++
	defer func() { s.awaitingSlot-- }()
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

// value returns the value of keeping an adapter. s.lock is held.
func (s *Slots) value(k key, now time.Time) float64 {
	if s.Value != nil {
		return s.Value(k.adapter)
	}
	return s.scores[k].decayed(now)
}

// EvictionValue returns the value of the adapter that the next load would
// evict: 0 while a slot is free, +Inf if no adapter can be evicted now.
func (s *Slots) EvictionValue() float64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.slots) < s.Capacity {
		return 0
	}
	least := math.Inf(1)
	now := time.Now()
	for _, e := range s.slots {
		if s.evictable(e, now) {
			least = min(least, s.value(e.key, now))
		}
	}
	return least
}

// evictOne starts to evict the adapter of lowest value that has no use in
// flight, the least recently used one of equals. It does nothing if as many
// evictions are in progress as loads wait for a slot. s.lock is held.
func (s *Slots) evictOne() {
	var victim *entry
	var least float64
	now := time.Now()
	evictions := 0
	for _, e := range s.slots {
		if e.state == evicting && !e.mustEvict {
			evictions++
		}
		if !s.evictable(e, now) {
			continue
		}
		value := s.value(e.key, now)
		if victim == nil || value < least || value == least && e.lastUsed.Before(victim.lastUsed) {
			victim, least = e, value
		}
	}
	if victim != nil && evictions < s.awaitingSlot {
		s.evict(victim)
	}
}
