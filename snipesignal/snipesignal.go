// Package snipesignal tracks the signals that upstreams send about themselves in their answers (a
// limit, leaving, a requested backoff, brittleness), and decides from them which requests may be sent to
// an upstream.
//
// Design. An overloaded upstream names how many requests per second it accepts from all instances
// together. Each instance computes its share of that limit without a message to any other instance.
// Divide divides the limit among only a few instances, the first by rank: so few that they stay
// within the limit even if each of them sends its next request at the same moment. The other
// instances send the upstream only a rare request, called a probe, whose answer shows whether the
// limit has ended. Instances also notify each other of limits and of their end.
//
// Invariants:
//
//   - A limit holds until the answer to a request that was sent after the limit arrived names no
//     limit, or until another instance reports a later end: answers overtake each other. A newly
//     named limit replaces the previous one at once. Leaving holds for good.
//   - State is kept under the identifier of one start of an upstream, and applies to no other
//     start.
//   - An instance sends an upstream that names a limit at most one request in each interval of the
//     instance's share.
//   - An upstream that has asked an instance for a backoff receives no new request from that
//     instance until the backoff ends, and then one request each probeTimeout until it has served
//     one. A backoff applies to that instance only: other instances are not notified.
package snipesignal

import (
	"maps"
	"sync"
	"time"
)

// Signal is the signal that one answer carries about its upstream.
type Signal struct {
	// Limit is how many requests per second the upstream accepts from all instances together. It is
	// set only if Limited is true.
	Limit   float64
	Limited bool
	// Leaving reports that the upstream accepts no new work.
	Leaving bool
	// Backoff is the backoff that the upstream asks of the instance that it answers; zero for none.
	Backoff time.Duration
	// Brittle reports that the upstream crashes when it refuses more than MaxRefusals requests in a second
	// for want of room. A BrittleTracker records both.
	Brittle     bool
	MaxRefusals int
	// Invalid describes what could not be parsed, for the log; empty if everything could.
	Invalid string
}

// State is the known state of an upstream, from its answers to any instance. The fields mean the
// same as those of Signal.
type State struct {
	Limit   float64
	Limited bool
	Leaving bool
}

// limitTolerance is the relative difference up to which two limits count as the same.
const limitTolerance = 0.1

// similar reports whether two states are equal up to limitTolerance: an upstream may name a
// slightly different limit in each answer.
func (s State) similar(other State) bool {
	difference := max(s.Limit, other.Limit) - min(s.Limit, other.Limit)
	return s.Limited == other.Limited && s.Leaving == other.Leaving && difference <= limitTolerance*max(s.Limit, other.Limit)
}

// Source is the kind of sender from which a state was received.
type Source string

// Sources of a state.
const (
	// Answer is an answer of the upstream to this instance.
	Answer Source = "Answer"
	// Instance is another instance.
	Instance Source = "Instance"
)

// Change is a change of the known state of an upstream, from Before to Now.
type Change struct {
	Upstream string
	Before   State
	Now      State
	Source   Source
	// Share is the share of this instance in the last limit; the zero value if there never was one.
	Share Share
}

// Tracker tracks the signals of all upstreams for one instance. Exported fields are set before the
// first call. It is safe for concurrent use.
type Tracker struct {
	// Share returns the share of this instance in the limit of an upstream. If it is nil, the
	// instance uses the whole limit.
	Share func(upstream string, limit float64) Share
	// Changed is called for each change that limitTolerance does not cover, BackoffStarted when an
	// upstream asks for a backoff while none is in force, and Invalid once for each upstream that
	// sends a signal that cannot be parsed. Each of the three may be nil, and is called without the
	// lock held.
	Changed        func(c Change)
	BackoffStarted func(upstream string, backoff time.Duration)
	Invalid        func(upstream, text string)

	lock    sync.Mutex // guards entries
	entries map[string]*entry
}

// entry is the known state of one upstream.
type entry struct {
	State
	// signaledAt is when the upstream last sent its limit, or the end of its limit, to any
	// instance; zero if it never did.
	signaledAt time.Time
	// reported is the state that was last passed to Changed.
	reported State
	// notifications tracks what the other instances have been notified of.
	notifications notifications
	backoff       backoff
	// slots determines when requests may be sent while there is a limit.
	slots sendSlots
	// invalid reports whether the upstream has ever sent a signal that cannot be parsed.
	invalid bool
}

// Record records the signal of an answer that has just arrived. sent is when its request was sent.
// The zero Signal means that the upstream named nothing: it ends a limit that was named before
// sent, and confirms the end of a backoff that is over. It does not end leaving.
func (b *Tracker) Record(upstream string, sent time.Time, s Signal) {
	s.Brittle, s.MaxRefusals = false, 0
	b.lock.Lock()
	if b.entries[upstream] == nil && s == (Signal{}) {
		b.lock.Unlock()
		return
	}
	e := b.entry(upstream)
	now := time.Now()
	invalid, backedOff := e.recordInvalid(s), false
	if s.Backoff > 0 {
		backedOff = e.backoff.extend(s.Backoff, now)
	} else {
		e.backoff.recordServed(now)
	}
	if s.Limited || e.Limited && sent.After(e.signaledAt) {
		b.setLimit(upstream, e, s.Limit, s.Limited, now, now)
		e.notifications.received, e.notifications.ended = true, !s.Limited
	}
	if s.Leaving {
		e.Leaving, e.notifications.received = true, true
	}
	change, changed := e.pendingChange(upstream, Answer)
	b.lock.Unlock()
	if invalid && b.Invalid != nil {
		b.Invalid(upstream, s.Invalid)
	}
	if backedOff && b.BackoffStarted != nil {
		b.BackoffStarted(upstream, s.Backoff)
	}
	b.reportChange(change, changed)
}

// recordInvalid records whether the signal could not be parsed, and reports whether this is the
// first such signal of the upstream.
func (e *entry) recordInvalid(s Signal) bool {
	if s.Invalid == "" || e.invalid {
		return false
	}
	e.invalid = true
	return true
}

// setLimit records a limit, or the end of one, which the upstream sent at signaledAt. If
// a limit begins, the send slots start anew. If a limit replaces a different one, the share is
// computed again. The lock must be held.
func (b *Tracker) setLimit(upstream string, e *entry, limit float64, limited bool, signaledAt, now time.Time) {
	begins := limited && !e.Limited
	changes := limited && limit != e.Limit
	e.Limit, e.Limited, e.signaledAt = limit, limited, signaledAt
	switch {
	case begins:
		e.slots.begin(b.share(upstream, limit), now)
	case changes:
		e.slots.setShare(b.share(upstream, limit), now)
	}
}

// entry returns the entry of an upstream, and creates it if there is none. The lock must be held.
func (b *Tracker) entry(upstream string) *entry {
	if b.entries == nil {
		b.entries = make(map[string]*entry)
	}
	if b.entries[upstream] == nil {
		b.entries[upstream] = &entry{}
	}
	return b.entries[upstream]
}

// pendingChange returns the change of the state since the state that was last passed to Changed,
// and records the current state as passed. It returns false if the two are similar.
func (e *entry) pendingChange(upstream string, source Source) (Change, bool) {
	if e.similar(e.reported) {
		return Change{}, false
	}
	c := Change{Upstream: upstream, Before: e.reported, Now: e.State, Source: source, Share: e.slots.share}
	e.reported = e.State
	return c, true
}

// reportChange passes a change to Changed. The lock must not be held.
func (b *Tracker) reportChange(c Change, changed bool) {
	if changed && b.Changed != nil {
		b.Changed(c)
	}
}

// Limited reports whether an upstream has a limit in force, as far as this instance knows.
func (b *Tracker) Limited(upstream string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.entries[upstream]
	return e != nil && e.Limited
}

// Leaving reports whether an upstream has signaled to any instance that it is leaving.
func (b *Tracker) Leaving(upstream string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.entries[upstream]
	return e != nil && e.Leaving
}

// CountLimited returns how many upstreams have a limit in force.
func (b *Tracker) CountLimited() int {
	b.lock.Lock()
	defer b.lock.Unlock()
	n := 0
	for _, e := range b.entries {
		if e.Limited {
			n++
		}
	}
	return n
}

// Retain removes the state of all upstreams for which registered returns false.
func (b *Tracker) Retain(registered func(upstream string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	maps.DeleteFunc(b.entries, func(id string, _ *entry) bool { return !registered(id) })
}
