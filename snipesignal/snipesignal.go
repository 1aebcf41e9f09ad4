// Package snipesignal keeps what upstreams say of themselves in their answers, beside what an
// answer says to its request.
//
// Invariants:
//
//   - What an upstream said stands until it has said otherwise in the answer to a request that
//     was sent after that: answers overtake each other.
//   - What is kept is kept by the identifier of one start of an upstream, and holds for no other.
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

// Book is what one instance knows. Exported fields are set before the first call; it is safe for
// concurrent use.
type Book struct {
	// Changed is told of each change, Wrong once of each upstream that says what cannot be
	// understood; nil for nobody. They are called without a lock.
	Changed func(upstream string, old, now State)
	Wrong   func(upstream, text string)

	lock  sync.Mutex // guards known
	known map[string]*entry
}

// entry is what is known of one upstream.
type entry struct {
	State
	// saidAt is when the upstream last said so.
	saidAt time.Time
	// wrong tells that it once said what cannot be understood.
	wrong bool
}

// Hear takes what an answer says that has just come; sent is when its request was.
func (b *Book) Hear(upstream string, sent time.Time, s Signal) {
	b.lock.Lock()
	e := b.known[upstream]
	if e == nil && s == (Signal{}) {
		b.lock.Unlock()
		return
	}
	e = b.entry(upstream)
	old, wrong := e.State, s.Wrong != "" && !e.wrong
	e.wrong = e.wrong || wrong
	switch {
	case s.Limited:
		e.State, e.saidAt = State{Limit: s.Limit, Limited: true}, time.Now()
	case e.Limited && sent.After(e.saidAt):
		e.State, e.saidAt = State{}, time.Now()
	}
	now := e.State
	b.lock.Unlock()
	if wrong && b.Wrong != nil {
		b.Wrong(upstream, s.Wrong)
	}
	if b.Changed != nil && old != now {
		b.Changed(upstream, old, now)
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

// State returns what is known of an upstream.
func (b *Book) State(upstream string) State {
	b.lock.Lock()
	defer b.lock.Unlock()
	if e := b.known[upstream]; e != nil {
		return e.State
	}
	return State{}
}

// Limited returns how many of the upstreams have named a limit.
func (b *Book) Limited() int {
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
