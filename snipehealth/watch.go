package snipehealth

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// maxBackoff and minBackoff bound the backoff that follows a refusal with
	// ErrOverloaded; minBackoff also applies if the refusal states no time.
	maxBackoff = 5 * time.Second
	minBackoff = 250 * time.Millisecond
	// ownerBackoff is the backoff of an upstream whose owner cannot be reached, is
	// stopping or has lost the ownership.
	ownerBackoff = 500 * time.Millisecond
	// earlyAfter is the time between the first and the latest chunk of an answer
	// from which on the gap is recorded before the call ends.
	earlyAfter = time.Second
	// probeTimeout bounds the duration of a probe.
	probeTimeout = time.Second
)

// Watch returns a function that executes calls with run, and records the result and
// the speed of each call when it ends. A call whose chunks arrive for longer than
// earlyAfter is also recorded once before it ends.
func (t *Tracker) Watch(
	run func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error,
) func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	return func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
		a := &answerTimer{sink: sink, start: time.Now()}
		a.early = func(gap time.Duration) {
			t.Observe(c.Upstream, Observation{Reached: true, Gap: gap, Group: group(c)})
		}
		t.addInFlight(c.Upstream, 1)
		err := run(ctx, c, a.chunk)
		t.addInFlight(c.Upstream, -1)
		if o, ok := a.observation(c, err); ok {
			t.Observe(c.Upstream, o)
		}
		return err
	}
}

// addInFlight adds n to the calls in flight of an upstream.
func (t *Tracker) addInFlight(name string, n int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.upstream(name, time.Now()).inFlight += n
}

// ObserveForward records the failure of a call that was forwarded to another instance.
// If the failure is NotRun and indicates that the owner or the upstream is unavailable,
// stopping or overloaded, or that the other instance is not the owner, this instance
// sends the upstream no calls for a backoff. Any other result is ignored. The backoff
// is not announced to other instances, because the fault may lie in the connection
// between this instance and the owner.
func (t *Tracker) ObserveForward(c *snipecall.Call, err error) {
	var f *snipeerror.CallError
	if !errors.As(err, &f) || f.Outcome != snipeerror.NotRun {
		return
	}
	backoff := time.Duration(0)
	switch {
	case errors.Is(f, snipeerror.ErrNoUpstream), errors.Is(f, snipeerror.ErrNotOwner), errors.Is(f, snipeerror.ErrStopping):
		backoff = ownerBackoff
	case errors.Is(f, snipeerror.ErrOverloaded):
		backoff = min(max(f.RetryAfter, minBackoff), maxBackoff)
	default:
		return
	}
	t.Observe(c.Upstream, Observation{Backoff: backoff, Group: group(c)})
}

// group returns the group of upstreams whose speed can be compared for a call: those
// of its service, or the engines of its base model.
func group(c *snipecall.Call) string {
	if c.Service != "" {
		return "service/" + c.Service
	}
	return "base/" + c.Base
}

// answerTimer measures the times between the chunks of one answer.
type answerTimer struct {
	sink               snipecall.Sink
	start, first, last time.Time
	chunks             int
	// early is called once with the gap of an answer that takes longer than
	// earlyAfter, so that a slow upstream is detected before its calls end.
	early func(gap time.Duration)
}

// chunk records the time of a chunk and passes it to the sink.
func (a *answerTimer) chunk(k snipecall.Chunk) error {
	a.last = time.Now()
	if a.chunks == 0 {
		a.first = a.last
	}
	a.chunks++
	if a.early != nil && a.chunks > 1 && a.last.Sub(a.first) >= earlyAfter {
		a.early(a.gap())
		a.early = nil
	}
	return a.sink(k)
}

// gap returns the average time between two chunks, of which there must be at least
// two.
func (a *answerTimer) gap() time.Duration { return a.last.Sub(a.first) / time.Duration(a.chunks-1) }

// observedGap returns the time by which upstreams are compared: the gap, or the
// response time of a plain service that answers with a single chunk. It returns
// zero if there is neither.
func (a *answerTimer) observedGap(c *snipecall.Call) time.Duration {
	switch {
	case a.chunks > 1:
		return a.gap()
	case a.chunks == 1 && c.Service != "":
		return a.last.Sub(a.start)
	}
	return 0
}

// observation returns the observation of a call that ended with err. It returns
// false if the error says nothing about the upstream.
func (a *answerTimer) observation(c *snipecall.Call, err error) (Observation, bool) {
	o := Observation{Reached: true, Group: group(c), Gap: a.observedGap(c)}
	if err == nil {
		return o, true
	}
	var f *snipeerror.CallError
	if !errors.As(err, &f) {
		return o, false
	}
	switch {
	case errors.Is(f, snipeerror.ErrNoUpstream):
		o.Reached = false
	case errors.Is(f, snipeerror.ErrIncomplete), errors.Is(f, snipeerror.ErrUpstreamFailed), errors.Is(f, snipeerror.ErrMismatch):
		o.Failed = true
	case errors.Is(f, snipeerror.ErrOverloaded):
		o.Backoff = min(max(f.RetryAfter, minBackoff), maxBackoff)
	default:
		// This includes ErrDeadline, which may be caused by a caller's short
		// deadline. If the upstream stops sending, the call fails with
		// ErrIncomplete instead.
		return o, false
	}
	return o, true
}

// dueProbe is an upstream that is to be probed.
type dueProbe struct {
	name   string
	reason Reason
}

// Step probes, one after another, the upstreams that are out, as detected by this
// instance, whose next probe is due and for which responsible reports true. An upstream
// that passes the probe enters the state Ramp. Step returns when all probes have ended,
// each after probeTimeout at the latest.
func (t *Tracker) Step(ctx context.Context, responsible func(name string) bool, probe func(ctx context.Context, name string) error) {
	for _, d := range t.dueProbes() {
		if !responsible(d.name) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		err := probe(bounded, d.name)
		cancel()
		t.recordProbe(d.name, err)
	}
}

// dueProbes returns the upstreams that are out, as detected by this instance, and
// whose next probe is due.
func (t *Tracker) dueProbes() []dueProbe {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	var all []dueProbe
	for name, u := range t.upstreams {
		u.expire(now)
		if u.state == Out && u.announcedUntil.IsZero() && !now.Before(u.nextProbe) {
			all = append(all, dueProbe{name, u.reason})
		}
	}
	return all
}

// recordProbe records the result of a probe. It does nothing if the upstream is no
// longer out. A failed probe doubles the probe delay, up to maxProbeDelay, and sets the
// reason to Unreachable; a passed one sets the state Ramp and keeps the reason.
func (t *Tracker) recordProbe(name string, err error) {
	t.lock.Lock()
	now := time.Now()
	u := t.upstream(name, now)
	oldState, oldReason := u.state, u.reason
	switch {
	case u.state != Out:
	case err != nil:
		u.probeDelay = min(2*u.probeDelay, maxProbeDelay)
		u.nextProbe = now.Add(u.probeDelay)
		u.reason = Unreachable
	default:
		u.setState(Ramp, u.reason, now)
	}
	newState, newReason := u.state, u.reason
	t.lock.Unlock()
	t.report(name, oldState, newState, oldReason, newReason)
}
