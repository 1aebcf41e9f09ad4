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
//   - An upstream that has asked an instance for rest gets nothing from it until the end of that,
//     and then one request first. Rest is between the two: other instances are not told.
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
	// Leaving upstreams take no new work.
	Leaving bool
	// Rest is for how long the upstream wants to be left alone by the instance that it has
	// answered; zero for no time.
	Rest time.Duration
	// Wrong is what could not be understood, for the log; empty for nothing.
	Wrong string
}

// State is what is known of an upstream, by whichever instance.
type State struct {
	Limit   float64
	Limited bool
	Leaving bool
}

// sameLimit is by what part of it a limit may differ from another one that says the same.
const sameLimit = 0.1

// same reports whether two states say the same, by and large: limits may change with each answer.
func (s State) same(other State) bool {
	difference := max(s.Limit, other.Limit) - min(s.Limit, other.Limit)
	return s.Limited == other.Limited && s.Leaving == other.Leaving && difference <= sameLimit*max(s.Limit, other.Limit)
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
	// Changed is told of each change, Rested when an upstream asks for rest that did not rest,
	// Wrong once of each upstream that says what cannot be understood; nil for nobody. They are
	// called without a lock.
	Changed func(c Change)
	Rested  func(upstream string, rest time.Duration)
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
	rest rest
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
	now := time.Now()
	wrong, rested := e.hearWrong(s), false
	if s.Rest > 0 {
		rested = e.rest.ask(s.Rest, now)
	} else {
		e.rest.served(now)
	}
	if s.Limited || e.Limited && sent.After(e.saidAt) {
		b.say(upstream, e, s.Limit, s.Limited, now, now)
		e.news.heard, e.news.ended = true, !s.Limited
	}
	if s.Leaving {
		e.Leaving, e.news.heard = true, true
	}
	change, changed := e.change(upstream, Answer)
	b.lock.Unlock()
	if wrong && b.Wrong != nil {
		b.Wrong(upstream, s.Wrong)
	}
	if rested && b.Rested != nil {
		b.Rested(upstream, s.Rest)
	}
	b.tell(change, changed)
}

// hearWrong notes what cannot be understood, and reports whether it is the first time.
func (e *entry) hearWrong(s Signal) bool {
	if s.Wrong == "" || e.wrong {
		return false
	}
	e.wrong = true
	return true
}

// say notes a limit, or that there is none, as of when an upstream said it. The lock is held.
func (b *Book) say(upstream string, e *entry, limit float64, limited bool, saidAt, now time.Time) {
	begins := limited && !e.Limited
	changes := limited && limit != e.Limit
	e.Limit, e.Limited, e.saidAt = limit, limited, saidAt
	switch {
	case begins:
		e.turn.begin(b.part(upstream, limit), now)
	case changes:
		e.turn.change(b.part(upstream, limit), now)
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

// Leaving reports whether an upstream has said that it leaves.
func (b *Book) Leaving(upstream string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.known[upstream]
	return e != nil && e.Leaving
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
