package snipehealth

import (
	"time"
)

// State is the state of an upstream, which determines how many calls it gets.
type State uint8

// The states.
const (
	// Up: the upstream gets all calls that are routed to it.
	Up State = iota
	// Ramp: the upstream gets a growing share of these calls.
	Ramp
	// Out: the upstream gets no calls.
	Out
	states
)

var stateNames = [states]string{"Up", "Ramp", "Out"}

// String returns the state's name.
func (s State) String() string { return stateNames[min(s, states-1)] }

// Reason is the reason why an upstream is out, or was out before its ramp.
type Reason uint8

// The reasons.
const (
	// None: the upstream has not been out, or has recovered.
	None Reason = iota
	// Unreachable: a call did not reach the upstream, or a probe failed.
	Unreachable
	// Leaving: the upstream has signaled that it is leaving. A Tracker never detects
	// this by itself, but accepts it in an announcement.
	Leaving
	// Failing: many answers of the upstream fail or are incomplete.
	Failing
	// Slow: the upstream sends chunks much more slowly than before or than the
	// other upstreams of its group, or with a gap above slowGap.
	Slow
	reasons
)

var reasonNames = [reasons]string{"None", "Unreachable", "Leaving", "Failing", "Slow"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[min(r, reasons-1)] }

// unconditional reports whether an upstream that is out for r is excluded even if
// too few candidates remain.
func (r Reason) unconditional() bool { return r == Unreachable || r == Leaving }

// State returns the state of an upstream and its reason. It returns Up and None
// for an upstream without observations or announcements.
func (t *Tracker) State(name string) (State, Reason) {
	t.lock.Lock()
	defer t.lock.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return Up, None
	}
	u.expire(time.Now())
	return u.state, u.reason
}
