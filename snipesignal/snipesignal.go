// Package snipesignal keeps what upstreams say of themselves in their answers, beside what an
// answer says to its request, and which requests may go to them by it.
//
// Design. An upstream in need names how many requests a second it takes from all instances
// together. Each instance uses a part of that limit without asking anybody: Divide gives the parts
// to so few of them, by rank, that all together stay within the limit even if each sends its next
// request at the same moment. The others leave the upstream alone, but for a rare request by which
// they learn that the limit is over; instances tell each other of that as well.
//
// Invariants:
//
//   - What an upstream said stands until it has said otherwise in the answer to a request that
//     was sent after that: answers overtake each other.
//   - What is kept is kept by the identifier of one start of an upstream, and holds for no other.
//   - Between two requests of one instance to an upstream that names a limit lies its part's
//     interval.
package snipesignal

import (
	"maps"
	"sync"
	"time"
)

// Signal is what one answer says of its upstream.
type Signal struct {
	// Limit is how many requests a second the upstream takes from all instances together, where
	// it is Limited.
	Limit   float64
	Limited bool
	// Wrong is what could not be understood, for the log; empty for nothing.
	Wrong string
}

// State is what is known of an upstream.
type State struct {
	Limit   float64
	Limited bool
}

// sameLimit is by what part of it a limit may differ from another one that says the same.
const sameLimit = 0.1

// same reports whether two states say the same, by and large: limits may change with each answer.
func (s State) same(other State) bool {
	difference := max(s.Limit, other.Limit) - min(s.Limit, other.Limit)
	return s.Limited == other.Limited && difference <= sameLimit*max(s.Limit, other.Limit)
}

// Source is from whom a state is known.
type Source string

// The sources.
const (
	// Answer: an upstream's answer to this instance.
	Answer Source = "Answer"
	// Instance: another instance.
	Instance Source = "Instance"
)

// Change is a change of what is known of an upstream.
type Change struct {
	Upstream string
	Before   State
	Now      State
	Source   Source
	// Part is this instance's part of the limit.
	Part Part
}

// Book is what one instance knows. Exported fields are set before the first call; it is safe for
// concurrent use.
type Book struct {
	// Part returns this instance's part of an upstream's limit; nil for all of it.
	Part func(upstream string, limit float64) Part
	// Changed is told of each change, Wrong once of each upstream that says what cannot be
	// understood; nil for nobody. They are called without a lock.
	Changed func(c Change)
	Wrong   func(upstream, text string)

	lock  sync.Mutex // guards known
	known map[string]*entry
}

// entry is what is known of one upstream.
type entry struct {
	State
	// saidAt is when the upstream last said so, to whichever instance.
	saidAt time.Time
	// shown is the state of which Changed was told last.
	shown State
	// news is what others are told.
	news news
	// turn is which requests may go to the upstream.
	turn turn
	// wrong tells that it once said what cannot be understood.
	wrong bool
}

// Hear takes what an answer says that has just come; sent is when its request was.
func (b *Book) Hear(upstream string, sent time.Time, s Signal) {
	b.lock.Lock()
	if b.known[upstream] == nil && s == (Signal{}) {
		b.lock.Unlock()
		return
	}
	e := b.entry(upstream)
	wrong := s.Wrong != "" && !e.wrong
	e.wrong = e.wrong || wrong
	now := time.Now()
	if s.Limited || e.Limited && sent.After(e.saidAt) {
		b.say(upstream, e, State{Limit: s.Limit, Limited: s.Limited}, now, now)
		e.news.heard = true
	}
	change, changed := e.change(upstream, Answer)
	b.lock.Unlock()
	if wrong && b.Wrong != nil {
		b.Wrong(upstream, s.Wrong)
	}
	b.tell(change, changed)
}

// say notes a state as of when an upstream said it. The lock is held.
func (b *Book) say(upstream string, e *entry, s State, saidAt, now time.Time) {
	begins := s.Limited && !e.Limited
	changes := s.Limited && s.Limit != e.Limit
	e.State, e.saidAt = s, saidAt
	switch {
	case begins:
		e.turn.begin(b.part(upstream, s.Limit), now)
	case changes:
		e.turn.change(b.part(upstream, s.Limit), now)
	}
}

// entry returns what is known of an upstream, to be changed. The lock is held.
func (b *Book) entry(upstream string) *entry {
	if b.known == nil {
		b.known = make(map[string]*entry)
	}
	if b.known[upstream] == nil {
		b.known[upstream] = &entry{}
	}
	return b.known[upstream]
}

// change returns what has changed since Changed was told last, if anything has.
func (e *entry) change(upstream string, source Source) (Change, bool) {
	if e.same(e.shown) {
		return Change{}, false
	}
	c := Change{Upstream: upstream, Before: e.shown, Now: e.State, Source: source, Part: e.turn.part}
	e.shown = e.State
	return c, true
}

func (b *Book) tell(c Change, changed bool) {
	if changed && b.Changed != nil {
		b.Changed(c)
	}
}

// Limited reports whether an upstream names a limit.
func (b *Book) Limited(upstream string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.known[upstream]
	return e != nil && e.Limited
}

// CountLimited returns how many upstreams name a limit.
func (b *Book) CountLimited() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := 0
	for _, e := range b.known {
		if e.Limited {
			n++
		}
	}
	return n
}

// Keep forgets all upstreams but some.
func (b *Book) Keep(registered func(upstream string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	maps.DeleteFunc(b.known, func(id string, _ *entry) bool { return !registered(id) })
}
