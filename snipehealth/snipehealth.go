// Package snipehealth detects upstreams that are unreachable, fail or have become
// slow, excludes them from the choice of an upstream, and readmits them gradually.
//
// Design. All calls of an engine pass through the instance that owns it, which
// observes them with Watch. Calls of plain services are observed by each instance
// separately. The owner of an engine announces the state that it has detected,
// because in a deployment of the intended size another instance sends too few
// calls to one engine to detect anything. A Tracker combines the states that its
// instance has detected with those announced by others, and MarkUnusable applies
// them to the choice of an upstream.
//
// The speed of an upstream is judged by its gap, the average time between two
// chunks of an answer. The gaps of upstreams of one group can be compared: engines
// of one base model, or upstreams of one service.
//
// Invariants:
//
//   - An upstream that is unreachable or leaving gets no new calls.
//   - Upstreams that are only slow or failing are excluded only while two thirds
//     of the candidates remain usable: excluding more would overload the rest.
//   - An upstream that this instance has detected as out gets calls again only after
//     it has passed a probe: a check, by the function that Step is given, that the
//     upstream is up. Then its share of the calls grows over rampTime. If it fails in
//     that time, the time before its next probe doubles. A state announced by another
//     instance ends when it expires.
package snipehealth

import (
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

const (
	// rampTime is the time in which the share of an upstream in the state Ramp
	// grows to 1, and rampFirst the share at its start.
	rampTime  = 10 * time.Second
	rampFirst = 0.05
	// minProbeDelay and maxProbeDelay bound the time before the next probe of an
	// upstream that is out.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 16 * time.Second
	// recentWeight is the weight of the latest call in the moving averages of failures and
	// of the gap. baselineWeight is its weight in the baseline, the long-term average of the
	// upstream's gap.
	recentWeight   = 0.2
	baselineWeight = 0.005
	// minCalls is how many calls are observed before an upstream may be taken
	// out as failing or slow, and minRampCalls the same in the state Ramp.
	minCalls     = 5
	minRampCalls = 2
	// failingRate is the share of failures above which an upstream is failing.
	failingRate = 0.5
	// slowFactor: an upstream is slow if its gap exceeds slowFactor times its reference,
	// which is described at the method slow. slowGap is the gap above which it is slow
	// whatever the reference is.
	slowFactor = 4
	slowGap    = time.Second
	// fastGap is the gap up to which an upstream is never slow.
	fastGap = 20 * time.Millisecond
	// keepNumerator and keepDenominator are the share of the candidates that must remain
	// usable. Slow and failing ones are not excluded if fewer would remain.
	keepNumerator, keepDenominator = 2, 3
)

// Tracker holds the health of the upstreams, as one instance has detected it or
// received it from others. The exported fields must be set before the first call.
// Tracker is safe for concurrent use.
type Tracker struct {
	// Announce is called with each change of a state that follows from a call or a
	// probe of this instance, to send it to all instances; nil means that states are
	// not announced. It is not called when a ramp ends or an announced state expires.
	Announce func(upstream string, s State, r Reason)
	// Log records the same changes.
	Log *snipelog.Logger

	lock      sync.Mutex // guards the fields below; not held during Announce
	upstreams map[string]*upstream
	// restricted holds the upstreams that do not get all calls. While it is empty,
	// MarkUnusable returns without a look-up for each candidate.
	restricted map[string]*upstream
}

// upstream holds the health of one upstream.
type upstream struct {
	state  State
	reason Reason
	since  time.Time // the last call of setState
	// nextProbe is the time of the next probe while the upstream is out, and
	// probeDelay the time between the last probe or failure and the next probe.
	nextProbe  time.Time
	probeDelay time.Duration
	// backoffUntil is the end of the latest-ending backoff that was observed.
	backoffUntil time.Time
	// announcedUntil is when the state expires, if another instance announced it;
	// it is zero if this instance detected the state.
	announcedUntil time.Time

	group    string
	inFlight int
	calls    int     // observed since the last call of setState
	failures float64 // moving average of the share of failed calls
	gap      float64 // moving average of Observation.Gap, in seconds
	baseline float64 // long-term average of Observation.Gap, in seconds
}

// Observation is what one call indicates about the health of its upstream.
type Observation struct {
	// Reached reports whether the upstream accepted the call, Failed whether its
	// answer failed or was incomplete.
	Reached, Failed bool
	// Backoff is how long the upstream must get no calls from this instance. It does
	// not shorten an earlier backoff. If it is positive, Reached, Failed and Gap are
	// ignored.
	Backoff time.Duration
	// Gap is the average time between two chunks, or the response time of a plain
	// service that answers with a single chunk; zero if unknown.
	Gap time.Duration
	// Group names the upstreams with which this one can be compared.
	Group string
}

// Observe records the observation of one call, and logs and announces a change of
// the upstream's state.
func (t *Tracker) Observe(name string, o Observation) {
	t.lock.Lock()
	now := time.Now()
	u := t.upstream(name, now)
	oldState, oldReason := u.state, u.reason
	u.group = o.Group
	u.observe(o, t.groupGap(name, o.Group), now)
	newState, newReason := u.state, u.reason
	t.updateRestricted(name, u, now)
	t.lock.Unlock()
	t.report(name, oldState, newState, oldReason, newReason)
}

// observe updates the upstream after one call. groupGap is the mean gap, in seconds,
// of the other upstreams of its group, or 0 if unknown.
func (u *upstream) observe(o Observation, groupGap float64, now time.Time) {
	u.calls++
	switch {
	case o.Backoff > 0:
		if until := now.Add(o.Backoff); until.After(u.backoffUntil) {
			u.backoffUntil = until
		}
		return
	case !o.Reached:
		u.takeOut(Unreachable, now)
		return
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	u.failures += recentWeight * (failed - u.failures)
	if o.Gap > 0 {
		u.recordGap(o.Gap.Seconds())
	}
	required := minCalls
	if u.state == Ramp {
		required = minRampCalls
	}
	switch {
	case u.state == Out || u.calls < required:
	case u.failures > failingRate:
		u.takeOut(Failing, now)
	case u.slow(groupGap):
		u.takeOut(Slow, now)
	}
}

// recordGap updates the moving average and the baseline by one gap, in seconds.
func (u *upstream) recordGap(gap float64) {
	if u.baseline == 0 {
		u.gap, u.baseline = gap, gap
	}
	u.gap += recentWeight * (gap - u.gap)
	// A gap counts for at most twice the baseline, so that an upstream that has
	// become slow does not quickly raise its own reference.
	u.baseline += baselineWeight * (min(gap, 2*u.baseline) - u.baseline)
}

// slow reports whether the recent gap exceeds slowGap, or slowFactor times the
// reference, which is the lower of the baseline and groupGap, or the baseline if
// groupGap is 0. A gap up to fastGap is never slow.
func (u *upstream) slow(groupGap float64) bool {
	reference := u.baseline
	if groupGap > 0 {
		reference = min(reference, groupGap)
	}
	return u.gap > slowGap.Seconds() || u.gap > max(slowFactor*reference, fastGap.Seconds())
}

// takeOut sets the state Out, and the time of the next probe. The probe delay
// doubles if the upstream fails in the state Ramp, and otherwise starts at
// minProbeDelay. If the upstream is out already, takeOut only replaces the reason,
// and only by Unreachable or Leaving.
func (u *upstream) takeOut(r Reason, now time.Time) {
	switch u.state {
	case Out:
		// The call started before the upstream was taken out, so its failure does
		// not delay the next probe.
		if r.unconditional() {
			u.reason = r
		}
		return
	case Ramp:
		u.probeDelay = min(2*u.probeDelay, maxProbeDelay)
	default:
		u.probeDelay = minProbeDelay
	}
	u.setState(Out, r, now)
	u.nextProbe = now.Add(u.probeDelay)
}

// setState sets the state and the reason, and restarts the counts of calls and
// failures. In the state Ramp the gap restarts at the baseline.
func (u *upstream) setState(s State, r Reason, now time.Time) {
	u.state, u.reason, u.since = s, r, now
	u.calls, u.failures = 0, 0
	if s == Ramp {
		u.gap = u.baseline
	}
}

// expire sets the state Up when an announced state has expired or the state Ramp has
// lasted for rampTime.
func (u *upstream) expire(now time.Time) {
	if !u.announcedUntil.IsZero() && now.After(u.announcedUntil) {
		u.announcedUntil = time.Time{}
		u.setState(Up, None, now)
	}
	if u.state == Ramp && now.Sub(u.since) >= rampTime {
		u.setState(Up, None, now)
		u.probeDelay = 0
	}
}

// share returns the share of its calls that the upstream gets, from 0 to 1.
func (u *upstream) share(now time.Time) float64 {
	if now.Before(u.backoffUntil) {
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

// RecordAnnouncement records a state that another instance has announced. The state
// replaces an earlier announced one, and expires after ttl. A state other than Up that
// this instance has detected itself takes precedence, and an unknown state or reason is
// ignored.
func (t *Tracker) RecordAnnouncement(name string, s State, r Reason, ttl time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	u := t.upstream(name, now)
	if u.announcedUntil.IsZero() && u.state != Up || s >= states || r >= reasons {
		return
	}
	if u.state != s || u.reason != r {
		u.setState(s, r, now)
	}
	u.announcedUntil = now.Add(ttl)
	t.updateRestricted(name, u, now)
}

// updateRestricted adds an upstream to restricted, or removes it, depending on its
// share. The lock is held.
func (t *Tracker) updateRestricted(name string, u *upstream, now time.Time) {
	if u.share(now) >= 1 {
		delete(t.restricted, name)
		return
	}
	if t.restricted == nil {
		t.restricted = map[string]*upstream{}
	}
	t.restricted[name] = u
}

// DetectedOut returns the upstreams that are out as detected by this instance, with
// the reasons. It omits states announced by others.
func (t *Tracker) DetectedOut() map[string]Reason {
	t.lock.Lock()
	defer t.lock.Unlock()
	outs := map[string]Reason{}
	for name, u := range t.upstreams {
		if u.state == Out && u.announcedUntil.IsZero() {
			outs[name] = u.reason
		}
	}
	return outs
}

// Forget deletes the upstreams that are no longer in the settings, as known
// reports, and have no calls in flight.
func (t *Tracker) Forget(known func(name string) bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for name, u := range t.upstreams {
		if u.inFlight == 0 && !known(name) {
			delete(t.upstreams, name)
			delete(t.restricted, name)
		}
	}
}

// upstream returns the entry of an upstream, after expire, and adds it if
// necessary. The lock is held.
func (t *Tracker) upstream(name string, now time.Time) *upstream {
	if t.upstreams == nil {
		t.upstreams = map[string]*upstream{}
	}
	u, ok := t.upstreams[name]
	if !ok {
		u = &upstream{since: now}
		t.upstreams[name] = u
	}
	u.expire(now)
	return u
}

// minGroupSize is how many other upstreams of the group are needed to compare an
// upstream with their mean gap.
const minGroupSize = 3

// groupGap returns the mean gap, in seconds, of the other upstreams of a group that
// are up and have at least minCalls observed calls, or 0 if there are fewer than
// minGroupSize of them. The lock is held.
func (t *Tracker) groupGap(name, group string) float64 {
	n, sum := 0, 0.0
	for other, u := range t.upstreams {
		if other != name && u.group == group && u.state == Up && u.gap > 0 && u.calls >= minCalls {
			n++
			sum += u.gap
		}
	}
	if n < minGroupSize {
		return 0
	}
	return sum / float64(n)
}

// report logs and announces the state of an upstream if its state or reason has
// changed. The lock is not held.
func (t *Tracker) report(name string, oldState, newState State, oldReason, newReason Reason) {
	if oldState == newState && oldReason == newReason {
		return
	}
	f := snipelog.Fields{"Upstream": name, "State": newState.String(), "Reason": newReason.String()}
	if newState == Out {
		t.Log.Log(snipelog.UpstreamDown, f)
	} else {
		t.Log.Log(snipelog.UpstreamUp, f)
	}
	if t.Announce != nil {
		t.Announce(name, newState, newReason)
	}
}
