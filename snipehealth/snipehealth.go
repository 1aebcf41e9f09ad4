// Package snipehealth finds upstreams that do not answer, fail or have become
// slow, takes them out and lets them back in gradually.
//
// Design. The owner of an engine sees all its calls and watches them with Run;
// an instance watches plain services for itself. What the owner has found it
// announces, since at the size to design for another instance sends an engine
// too few calls to see anything. A Tracker is one instance's knowledge, found
// and heard; Mark takes it into the choice of an upstream.
//
// Invariants:
//
//   - An upstream that does not answer, or is leaving, gets no new work.
//   - Upstreams that are only slow or failing are left out only while two
//     thirds of the candidates remain: taking out more would overload the rest.
//   - An upstream comes back by a probe first, then by a share of calls that
//     grows over rampTime; if it fails then, it stays out twice as long.
package snipehealth

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

// State is how far an upstream takes part.
type State uint8

// The states.
const (
	// Up: all calls.
	Up State = iota
	// Ramp: a growing share of calls.
	Ramp
	// Out: no calls.
	Out
	states
)

var stateNames = [states]string{"Up", "Ramp", "Out"}

// String returns the state's name.
func (s State) String() string { return stateNames[min(s, states-1)] }

// Reason is why an upstream is out.
type Reason uint8

// The reasons.
const (
	None Reason = iota
	// Unreachable: it takes no connections.
	Unreachable
	// Leaving: it says itself that it is leaving.
	Leaving
	// Failing: many of its answers break or fail.
	Failing
	// Slow: its chunks come much more slowly than before, or than its peers'.
	Slow
	reasons
)

var reasonNames = [reasons]string{"None", "Unreachable", "Leaving", "Failing", "Slow"}

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[min(r, reasons-1)] }

// hard reports whether an upstream that is out for r gets no work at all.
func (r Reason) hard() bool { return r == Unreachable || r == Leaving }

const (
	// rampTime is how long an upstream takes to get its full share again, and
	// rampFirst the share that it starts with.
	rampTime  = 10 * time.Second
	rampFirst = 0.05
	// minOut and maxOut bound the time before the next probe.
	minOut = 500 * time.Millisecond
	maxOut = 16 * time.Second
	// recent is the weight of the last call in the averages, past that in the
	// baseline of an upstream's own speed.
	recent = 0.2
	past   = 0.005
	// enough is how many calls are seen before one is judged, and enoughRamp
	// how many of one that comes back.
	enough     = 5
	enoughRamp = 2
	// failingRate is the share of failures above which an upstream is out.
	failingRate = 0.5
	// slowFactor is how much slower than its reference an upstream is when it
	// is out, and slowGap the time between chunks that is slow in any case.
	slowFactor = 4
	slowGap    = time.Second
	// fastGap is a time between chunks that is never slow.
	fastGap = 20 * time.Millisecond
	// keepNumerator and keepDenominator are the share of candidates that
	// remains.
	keepNumerator, keepDenominator = 2, 3
)

// Tracker is an instance's knowledge of upstreams. Exported fields are set
// before the first call. It is safe for concurrent use.
type Tracker struct {
	// Announce tells all instances the state of an upstream; nil for none.
	Announce func(upstream string, s State, r Reason)
	// Log takes events.
	Log *snipelog.Logger

	lock      sync.Mutex // guards the fields below; not held during Announce
	upstreams map[string]*upstream
	// troubled are the upstreams that do not take all calls: the marks of a call
	// cost nothing while there are none.
	troubled map[string]*upstream
}

// upstream is what is known of one upstream.
type upstream struct {
	state  State
	reason Reason
	since  time.Time
	until  time.Time     // when it is probed, while it is out
	out    time.Duration // the time before the last probe
	// refused is until when it has asked for a pause.
	refused time.Time
	// heard is until when an announcement counts.
	heard time.Time

	group    string
	inFlight int
	calls    int     // seen in this state
	failures float64 // recent share
	gap      float64 // recent time between chunks, in seconds
	baseline float64 // its long average
}

// Observation is what one call has shown of its upstream.
type Observation struct {
	// Reached tells that the upstream took the call, Failed that it did not
	// answer it.
	Reached, Failed bool
	// Refused is how long the upstream asked to be left alone.
	Refused time.Duration
	// Gap is the average time between two chunks, or the time of an answer that
	// is one; zero when it is not known.
	Gap time.Duration
	// Group is what the upstream can be compared within.
	Group string
}

// Observe takes what a call has shown.
func (t *Tracker) Observe(name string, o Observation) {
	t.lock.Lock()
	now := time.Now()
	u := t.upstream(name, now)
	before, why := u.state, u.reason
	u.group = o.Group
	u.observe(o, t.peers(name, o.Group), now)
	after, reason := u.state, u.reason
	t.note(name, u, now)
	t.lock.Unlock()
	t.tell(name, before, after, why, reason)
}

// observe changes the state by one call; peers is the typical gap of other
// upstreams, or 0.
func (u *upstream) observe(o Observation, peers float64, now time.Time) {
	u.calls++
	switch {
	case o.Refused > 0:
		if until := now.Add(o.Refused); until.After(u.refused) {
			u.refused = until
		}
		return
	case !o.Reached:
		u.leave(Unreachable, now)
		return
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	u.failures += recent * (failed - u.failures)
	if o.Gap > 0 {
		u.speed(o.Gap.Seconds())
	}
	least := enough
	if u.state == Ramp {
		least = enoughRamp
	}
	switch {
	case u.state == Out || u.calls < least:
	case u.failures > failingRate:
		u.leave(Failing, now)
	case u.slow(peers):
		u.leave(Slow, now)
	}
}

func (u *upstream) speed(gap float64) {
	if u.baseline == 0 {
		u.gap, u.baseline = gap, gap
	}
	u.gap += recent * (gap - u.gap)
	// A slow time must not become the measure of itself.
	u.baseline += past * (min(gap, 2*u.baseline) - u.baseline)
}

func (u *upstream) slow(peers float64) bool {
	reference := u.baseline
	if peers > 0 {
		reference = min(reference, peers)
	}
	return u.gap > slowGap.Seconds() || u.gap > max(slowFactor*reference, fastGap.Seconds())
}

// leave takes the upstream out.
func (u *upstream) leave(r Reason, now time.Time) {
	switch u.state {
	case Out:
		// A call that was under way already says nothing new.
		if r.hard() {
			u.reason = r
		}
		return
	case Ramp:
		u.out = min(2*u.out, maxOut)
	default:
		u.out = minOut
	}
	u.enter(Out, r, now)
	u.until = now.Add(u.out)
}

func (u *upstream) enter(s State, r Reason, now time.Time) {
	u.state, u.reason, u.since = s, r, now
	u.calls, u.failures = 0, 0
	if s == Ramp {
		u.gap = u.baseline
	}
}

// settle ends a ramp whose time is over, and what was heard long ago.
func (u *upstream) settle(now time.Time) {
	if !u.heard.IsZero() && now.After(u.heard) {
		u.heard = time.Time{}
		u.enter(Up, None, now)
	}
	if u.state == Ramp && now.Sub(u.since) >= rampTime {
		u.enter(Up, None, now)
		u.out = 0
	}
}

// share returns the part of the calls that the upstream gets.
func (u *upstream) share(now time.Time) float64 {
	if now.Before(u.refused) {
		return 0
	}
	switch u.state {
	case Out:
		return 0
	case Ramp:
		return rampFirst + (1-rampFirst)*float64(now.Sub(u.since))/float64(rampTime)
	}
	return 1
}

// Hear takes an announcement of another instance, which counts for ttl. An
// upstream whose own calls have shown this instance something keeps that.
func (t *Tracker) Hear(name string, s State, r Reason, ttl time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	u := t.upstream(name, now)
	if u.heard.IsZero() && u.state != Up || s >= states || r >= reasons {
		return
	}
	if u.state != s || u.reason != r {
		u.enter(s, r, now)
	}
	u.heard = now.Add(ttl)
	t.note(name, u, now)
}

// note keeps the troubled ones in step with an upstream's state. The lock is
// held.
func (t *Tracker) note(name string, u *upstream, now time.Time) {
	if u.share(now) >= 1 {
		delete(t.troubled, name)
		return
	}
	if t.troubled == nil {
		t.troubled = map[string]*upstream{}
	}
	t.troubled[name] = u
}

// Outs returns the upstreams that this instance has found to be out, with the
// reasons.
func (t *Tracker) Outs() map[string]Reason {
	t.lock.Lock()
	defer t.lock.Unlock()
	outs := map[string]Reason{}
	for name, u := range t.upstreams {
		if u.state == Out && u.heard.IsZero() {
			outs[name] = u.reason
		}
	}
	return outs
}

// Forget drops upstreams that are no longer in the settings.
func (t *Tracker) Forget(known func(name string) bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for name, u := range t.upstreams {
		if u.inFlight == 0 && !known(name) {
			delete(t.upstreams, name)
			delete(t.troubled, name)
		}
	}
}

// State returns what an upstream's state is, and why.
func (t *Tracker) State(name string) (State, Reason) {
	t.lock.Lock()
	defer t.lock.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return Up, None
	}
	u.settle(time.Now())
	return u.state, u.reason
}

// upstream returns an upstream's state, made if need be. The lock is held.
func (t *Tracker) upstream(name string, now time.Time) *upstream {
	if t.upstreams == nil {
		t.upstreams = map[string]*upstream{}
	}
	u, ok := t.upstreams[name]
	if !ok {
		u = &upstream{since: now}
		t.upstreams[name] = u
	}
	u.settle(now)
	return u
}

// minPeers is how many other upstreams make a reference.
const minPeers = 3

// peers returns the mean gap of the other upstreams of a group that are up, or
// 0 when there are too few. The lock is held.
func (t *Tracker) peers(name, group string) float64 {
	n, sum := 0, 0.0
	for other, u := range t.upstreams {
		if other != name && u.group == group && u.state == Up && u.gap > 0 && u.calls >= enough {
			n++
			sum += u.gap
		}
	}
	if n < minPeers {
		return 0
	}
	return sum / float64(n)
}

func (t *Tracker) tell(name string, before, after State, why, reason Reason) {
	if before == after && why == reason {
		return
	}
	f := snipelog.Fields{"Upstream": name, "State": after.String(), "Reason": reason.String()}
	if after == Out {
		t.Log.Log(snipelog.UpstreamDown, f)
	} else {
		t.Log.Log(snipelog.UpstreamUp, f)
	}
	if t.Announce != nil {
		t.Announce(name, after, reason)
	}
}
