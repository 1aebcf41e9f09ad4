package snipequarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// SuspectTime is how long a fingerprint is watched or refused, unless it is released before.
const SuspectTime = time.Hour

const (
	// maxSuspects bounds the suspects that an instance holds, and the releases that it remembers.
	maxSuspects = 4096
	// maxUpstreams bounds the upstreams that a Suspect names.
	maxUpstreams = 8
)

// Suspect is the decision of a fingerprint's coordinators for all instances.
type Suspect struct {
	Fingerprint Fingerprint
	// Part is set if Fingerprint is the PartKey of a part of prompts: requests that hold it are watched or refused.
	Part bool
	// Round counts the releases of the fingerprint because of an answer. Messages of several
	// coordinators overtake each other, and a decision of a lower round is ignored.
	Round uint64
	// Refused is set if requests of the fingerprint are refused. Otherwise they are watched:
	// instances report when one is answered.
	Refused bool
	// Left is the time until the fingerprint is released; zero or less releases it now.
	Left time.Duration
	// Upstreams are starts of upstreams that ended while they ran requests of the fingerprint, at
	// most maxUpstreams.
	Upstreams []string
}

// ErrSuspect is wrapped by the errors of Check methods.
var ErrSuspect = errors.New("invalid message about a suspect")

// Bounds of what other instances may state.
const (
	maxUpstreamLength = 200
	maxRound          = 1 << 32
)

// ValidRound reports whether a round that another instance states can be true.
func ValidRound(round uint64) bool { return round <= maxRound }

// Check returns an error that wraps ErrSuspect if another instance cannot have decided this.
func (s Suspect) Check() error {
	switch {
	case !ValidRound(s.Round):
		return errors.Wrap(ErrSuspect, "round too high")
	case s.Left > SuspectTime:
		return errors.Wrap(ErrSuspect, "refused for too long")
	case len(s.Upstreams) > maxUpstreams:
		return errors.Wrap(ErrSuspect, "too many upstreams")
	}
	for _, u := range s.Upstreams {
		if len(u) > maxUpstreamLength {
			return errors.Wrap(ErrSuspect, "identifier too long")
		}
	}
	return nil
}

// Check returns an error that wraps ErrSuspect if another instance cannot have observed this.
func (c UpstreamCrash) Check() error {
	switch {
	case !ValidRound(c.Round):
		return errors.Wrap(ErrSuspect, "round too high")
	case c.Upstream == "", len(c.Upstream) > maxUpstreamLength:
		return errors.Wrap(ErrSuspect, "identifier missing or too long")
	}
	return nil
}

// Suspects holds the suspects that one instance knows. The zero value is ready to use; it is safe
// for concurrent use.
type Suspects struct {
	count atomic.Int64 // of all

	lock     sync.RWMutex // guards the fields below
	all      map[Fingerprint]knownSuspect
	released map[Fingerprint]release
}

// release is the round of the last release of a fingerprint and when it became known.
type release struct {
	round uint64
	at    time.Time
}

// knownSuspect is a Suspect and when it is released.
type knownSuspect struct {
	Suspect
	knownAt, releasedAt time.Time
}

// Empty reports whether no suspect is known, so that no request needs a fingerprint.
func (s *Suspects) Empty() bool { return s.count.Load() == 0 }

// Refused returns the time until the release of a fingerprint whose requests are refused, and false
// if they are not.
func (s *Suspects) Refused(f Fingerprint) (time.Duration, bool) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	known, ok := s.all[f]
	left := time.Until(known.releasedAt)
	return left, ok && known.Refused && left > 0
}

// Known reports whether a fingerprint is watched or refused.
func (s *Suspects) Known(f Fingerprint) bool {
	s.lock.RLock()
	defer s.lock.RUnlock()
	_, ok := s.all[f]
	return ok
}

// FirstRefused returns the first of several fingerprints whose requests are refused and the time until its release, and
// false if there is none.
func (s *Suspects) FirstRefused(all []Fingerprint) (f Fingerprint, left time.Duration, refused bool) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	for _, f := range all {
		known, ok := s.all[f]
		if !ok || !known.Refused {
			continue
		}
		if left := time.Until(known.releasedAt); left > 0 {
			return f, left, true
		}
	}
	return f, 0, false
}

// knownBefore returns those of several fingerprints that were watched or refused here before the given time.
func (s *Suspects) knownBefore(all []Fingerprint, at time.Time) []Fingerprint {
	s.lock.RLock()
	defer s.lock.RUnlock()
	var found []Fingerprint
	for _, f := range all {
		if known, ok := s.all[f]; ok && at.After(known.knownAt) {
			found = append(found, f)
		}
	}
	return found
}

// marks returns fingerprints of parts with their current rounds.
func (s *Suspects) marks(all []Fingerprint) []PartMark {
	marks := make([]PartMark, len(all))
	s.lock.RLock()
	defer s.lock.RUnlock()
	for n, f := range all {
		marks[n] = PartMark{Key: f, Round: s.released[f].round}
	}
	return marks
}

// get returns what is known of a fingerprint, with the time that is left.
func (s *Suspects) get(f Fingerprint) (Suspect, bool) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	known, ok := s.all[f]
	known.Left = time.Until(known.releasedAt)
	return known.Suspect, ok && known.Left > 0
}

// Apply records a decision and reports whether it changes what was known. A refused fingerprint
// stays refused if it is only watched elsewhere. New suspects beyond maxSuspects are ignored.
func (s *Suspects) Apply(x Suspect) (changed bool) {
	now := time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	defer func() { s.count.Store(int64(len(s.all))) }()
	before, wasKnown := s.all[x.Fingerprint]
	s.startRoundLocked(x.Fingerprint, x.Round, now)
	if x.Left <= 0 {
		return wasKnown && before.Round < x.Round
	}
	known, ok := s.all[x.Fingerprint]
	switch {
	case x.Round < s.released[x.Fingerprint].round, ok && known.Refused, !ok && len(s.all) >= maxSuspects:
		return false
	case s.all == nil:
		s.all = make(map[Fingerprint]knownSuspect)
	}
	if !ok {
		known.knownAt = now
	}
	s.all[x.Fingerprint] = knownSuspect{x, known.knownAt, now.Add(min(x.Left, SuspectTime))}
	return !wasKnown || before.Refused != x.Refused
}

// round returns the current round of a fingerprint.
func (s *Suspects) round(f Fingerprint) uint64 {
	s.lock.RLock()
	defer s.lock.RUnlock()
	return s.released[f].round
}

// startRound records that a round of a fingerprint has begun, which releases what was decided in an earlier
// one.
func (s *Suspects) startRound(f Fingerprint, round uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.startRoundLocked(f, round, time.Now())
	s.count.Store(int64(len(s.all)))
}

// startRoundLocked is startRound with the lock held. If maxSuspects releases are remembered, those older than
// SuspectTime are forgotten, and further ones are not remembered.
func (s *Suspects) startRoundLocked(f Fingerprint, round uint64, now time.Time) {
	if round <= s.released[f].round {
		return
	}
	if known, ok := s.all[f]; ok && known.Round < round {
		delete(s.all, f)
	}
	if s.released == nil {
		s.released = make(map[Fingerprint]release)
	}
	if len(s.released) >= maxSuspects {
		maps.DeleteFunc(s.released, func(_ Fingerprint, r release) bool { return now.Sub(r.at) >= SuspectTime })
	}
	if len(s.released) < maxSuspects {
		s.released[f] = release{round, now}
	}
}

// expire removes the suspects whose time is over and returns them.
func (s *Suspects) expire() []Suspect {
	if s.Empty() {
		return nil
	}
	now := time.Now()
	var expired []Suspect
	s.lock.Lock()
	defer s.lock.Unlock()
	for f, known := range s.all {
		if !now.Before(known.releasedAt) {
			delete(s.all, f)
			expired = append(expired, known.Suspect)
		}
	}
	s.count.Store(int64(len(s.all)))
	return expired
}

// listRefused returns the suspects whose requests are refused, with the time that is left.
func (s *Suspects) listRefused() []Suspect {
	if s.Empty() {
		return nil
	}
	now := time.Now()
	var refused []Suspect
	s.lock.RLock()
	defer s.lock.RUnlock()
	for _, known := range s.all {
		if left := known.releasedAt.Sub(now); known.Refused && left > 0 {
			known.Left = left
			refused = append(refused, known.Suspect)
		}
	}
	return refused
}

// Count returns how many suspects are refused and how many are only watched.
func (s *Suspects) Count() (refused, watched int) {
	s.lock.RLock()
	defer s.lock.RUnlock()
	for _, known := range s.all {
		if known.Refused {
			refused++
		}
	}
	return refused, len(s.all) - refused
}

// firstUpstreams returns a sorted copy of at most maxUpstreams identifiers.
func firstUpstreams(all map[string]bool) []string {
	sorted := slices.Sorted(maps.Keys(all))
	return sorted[:min(len(sorted), maxUpstreams)]
}
