package snipequarantine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// askTimeout bounds one request to a coordinator.
	askTimeout = 300 * time.Millisecond
	// unreachableRetry is the Retry-After of a call if neither of its coordinators
	// answers.
	unreachableRetry = time.Second
	// stepInterval is the interval between two checks of the member list.
	stepInterval = 500 * time.Millisecond
)

// fingerprintField is the log field of fingerprints.
const fingerprintField = "Fingerprint"

// Guard executes attempts as their coordinators decide. Exported fields are set
// before the first call.
type Guard struct {
	// Registry is the registry of this instance; its Self is this instance's member ID.
	Registry *Registry
	// Members returns the live instances, including this one.
	Members func() []Member
	// Begin and Finish call the Registry methods of the same name on another member.
	Begin  func(ctx context.Context, member string, a Attempt) (Verdict, error)
	Finish func(ctx context.Context, member string, a Attempt, e End) ([]byte, error)
	// Replicate sends a record to another member, which merges and spreads it.
	Replicate func(ctx context.Context, member string, f Fingerprint, record []byte) error
	// Spread announces a record to all instances, which receive it within about a
	// second.
	Spread func(f Fingerprint, record []byte, ttl time.Duration)
	// Run executes an attempt.
	Run func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Isolation admits calls at the upstreams that this instance owns.
	Isolation *Isolation
	// Mark returns Attempt.Mark for the call's upstream, as far as an instance other
	// than the owner can determine it.
	Mark func(c *snipecall.Call) string
	// Survived reports whether an upstream is up and still has the mark. It is never
	// called with an empty mark.
	Survived func(ctx context.Context, upstream, mark string) bool
	// Log receives the events.
	Log *snipelog.Logger

	lock     sync.Mutex // guards inFlight
	inFlight map[string]inFlightAttempt
}

// inFlightAttempt is an attempt in flight and the coordinator that it is registered
// with.
type inFlightAttempt struct {
	Attempt
	deadline    time.Time
	coordinator string
}

// Execute runs an attempt once its coordinator permits it, and reports its end. It sets
// the Attempt of the call, and its Upstream and Alone as the coordinator decides. It
// blocks while the coordinator requires the attempt to wait. Some calls run without a
// coordinator; see unguarded.
func (g *Guard) Execute(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if unguarded(c) {
		return g.Run(ctx, c, sink)
	}
	a := Attempt{
		Fingerprint: FingerprintOf(c), ID: c.ID + "/" + c.Upstream, Entry: g.Registry.Self,
		Upstream: c.Upstream, Mark: g.Mark(c),
	}
	c.Attempt = a.ID
	if err := g.admit(ctx, c, &a); err != nil {
		return err
	}
	err := g.Run(ctx, c, sink)
	g.reportEnd(a, c, err)
	return err
}

// unguarded reports whether a call runs without asking its coordinator. GET and HEAD
// requests to plain services do: many callers send the same request, and the
// coordinator would direct all of them to one upstream.
func unguarded(c *snipecall.Call) bool {
	return c.Service != "" && (c.Method == http.MethodGet || c.Method == http.MethodHead)
}

// admit asks the coordinators until the attempt may start, is refused, or has no time
// left. If it may start, admit registers it here and with a further coordinator, and
// sets the upstream and Alone as decided.
func (g *Guard) admit(ctx context.Context, c *snipecall.Call, a *Attempt) error {
	for {
		if left, ok := g.Registry.QuarantinedFor(a.Fingerprint); ok {
			return quarantinedError(left)
		}
		a.Left = time.Until(c.Deadline)
		a.Mark = g.Mark(c)
		v, member, err := g.ask(ctx, *a)
		if err != nil {
			return err
		}
		switch v.Decision {
		case Quarantined:
			g.Log.Log(snipelog.CallQuarantined, snipelog.Fields{"Call": c.ID, "Team": c.Team, fingerprintField: a.Fingerprint.String()})
			return quarantinedError(v.Wait)
		case Wait:
			if err := waitToAsk(ctx, c.Deadline, v.Wait); err != nil {
				return err
			}
			continue
		case RunAlone:
			c.Alone, a.Alone = true, true
		}
		if v.Upstream != "" {
			c.Upstream, a.Upstream = v.Upstream, v.Upstream
			a.Mark = g.Mark(c)
		}
		// If this instance is also the coordinator, another instance must register the
		// attempt too.
		a.Moved = !a.Alone && member == g.Registry.Self
		if a.Alone || a.Moved {
			g.registerWithOthers(ctx, member, *a)
		}
		g.register(*a, c.Deadline, member)
		return nil
	}
}

// quarantinedError returns the error of a call whose fingerprint is released after left.
func quarantinedError(left time.Duration) error {
	return snipeerror.New(snipeerror.ErrQuarantined, snipeerror.NotRun, "two upstreams broke off this request").After(left)
}

// waitToAsk waits for d before the next request to a coordinator. It fails at once if
// the call's deadline comes before the end of the wait.
func waitToAsk(ctx context.Context, deadline time.Time, d time.Duration) error {
	if time.Until(deadline) <= d {
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "suspected of breaking upstreams, must wait").After(d)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "while suspected of breaking upstreams")
	}
}

// ask asks the coordinators in the order of their rank, and returns the first verdict
// and the member that gave it. It returns an error if neither of them answers in time.
func (g *Guard) ask(ctx context.Context, a Attempt) (Verdict, string, error) {
	for _, m := range Coordinators(a.Fingerprint, g.Members()) {
		if m.ID == g.Registry.Self {
			return g.Registry.Begin(a), m.ID, nil
		}
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		v, err := g.Begin(bounded, m.ID, a)
		cancel()
		if err == nil && v.Decision < decisionCount {
			return v, m.ID, nil
		}
	}
	return Verdict{}, "", snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "no coordinator answers").After(unreachableRetry)
}

// registerWithOthers sends the attempt, or its start, to the coordinators other than
// member, so that the attempt remains known when one instance dies.
func (g *Guard) registerWithOthers(ctx context.Context, member string, a Attempt) {
	for _, m := range Coordinators(a.Fingerprint, g.Members()) {
		switch m.ID {
		case member:
		case g.Registry.Self:
			g.Registry.Begin(a)
		default:
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			// A coordinator that misses this still receives the record of a crash.
			_, _ = g.Begin(bounded, m.ID, a)
			cancel()
		}
	}
}

// register records an attempt in flight with the member that permitted it.
func (g *Guard) register(a Attempt, deadline time.Time, member string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.inFlight == nil {
		g.inFlight = map[string]inFlightAttempt{}
	}
	g.inFlight[a.ID] = inFlightAttempt{a, deadline, member}
}

// reportEnd reports the attempt's end. It reports a crash before the caller receives
// the failure, so that a repeated call finds the crash recorded. If the upstream has
// survived, the attempt counts as abandoned. reportEnd reports other ends in the
// background, and for an abandoned attempt checks the upstream once more later.
func (g *Guard) reportEnd(a Attempt, c *snipecall.Call, err error) {
	e := classifyEnd(c, err)
	if e == Crashed && a.Mark != "" && g.survived(a) {
		e = Abandoned
	}
	if e == Crashed {
		g.Log.Error(snipelog.UpstreamBrokeOff, err, snipelog.Fields{
			"Call": c.ID, "Team": c.Team, "Upstream": c.Upstream, fingerprintField: a.Fingerprint.String(),
		})
		g.report(a, e)
		return
	}
	go func() {
		g.report(a, e)
		if e == Abandoned {
			g.verify(a)
		}
	}()
}

// report reports an end to the member that the attempt is registered with, or to the
// current coordinators if that member is unknown or does not answer. Further
// coordinators that know of the attempt receive Refused in place of the end, which only
// removes the attempt: the record is replicated to them. Withdrawn is reported
// unchanged to all of them. If no coordinator answers, this instance records the end.
func (g *Guard) report(a Attempt, e End) {
	g.lock.Lock()
	registered := g.inFlight[a.ID]
	if e != Withdrawn {
		delete(g.inFlight, a.ID)
	}
	g.lock.Unlock()
	reported := map[string]bool{"": true}
	members := []Member{{ID: registered.coordinator}}
	members = append(members, Coordinators(a.Fingerprint, g.Members())...)
	for _, m := range members {
		if reported[m.ID] || len(reported) > 1 && !a.Alone && !a.Moved {
			continue
		}
		if !g.reportTo(m.ID, a, e) {
			continue
		}
		reported[m.ID] = true
		if e != Withdrawn {
			e = Refused
		}
	}
	if len(reported) == 1 {
		// No coordinator answers: this instance records the end. Registry.Announce then
		// spreads the record if it has changed.
		g.Registry.Finish(a, e)
	}
}

// reportTo reports an end to one member, and reports whether the member has recorded it.
// This instance keeps the record that the member returns for a crash.
func (g *Guard) reportTo(member string, a Attempt, e End) bool {
	if member == g.Registry.Self {
		g.Registry.Finish(a, e)
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	record, err := g.Finish(ctx, member, a, e)
	if err == nil && e == Crashed && len(record) > 0 {
		g.keepReported(a.Fingerprint, record)
	}
	return err == nil
}

// Announce replicates a changed record to the other coordinators, so that the death of
// one instance does not lose the record, and then spreads it to all instances. It waits
// for the coordinators' answers, at most askTimeout for each.
func (g *Guard) Announce(f Fingerprint, record []byte, ttl time.Duration) {
	for _, m := range Coordinators(f, g.Members()) {
		if m.ID == g.Registry.Self {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		if err := g.Replicate(ctx, m.ID, f, record); err != nil {
			g.Log.Error(snipelog.CrashNotReplicated, err, snipelog.Fields{fingerprintField: f.String(), "Member": m.ID})
		}
		cancel()
	}
	g.Spread(f, record, ttl)
}

// keepReported keeps the record of a crash that this instance has reported, so that the
// record survives the loss of both coordinators.
func (g *Guard) keepReported(f Fingerprint, record []byte) {
	if err := g.MergeAndSpread(f, record); err != nil {
		g.Log.Error(snipelog.CrashNotReplicated, err, snipelog.Fields{fingerprintField: f.String(), "Member": g.Registry.Self})
	}
}

// MergeAndSpread merges a record received from a coordinator and spreads it from this
// instance too.
func (g *Guard) MergeAndSpread(f Fingerprint, record []byte) error {
	if err := g.Registry.Merge(f, record); err != nil {
		return err
	}
	g.Spread(f, record, g.Registry.Retention)
	return nil
}

// classifyEnd derives the end of an attempt from its failure. Crashed means only that
// the upstream broke off the call; the callers of classifyEnd verify whether the
// upstream has crashed.
func classifyEnd(c *snipecall.Call, err error) End {
	if err == nil {
		return Answered
	}
	var f *snipeerror.CallError
	if !errors.As(err, &f) {
		// The caller's side has ended the answer.
		return Abandoned
	}
	switch {
	case f.Outcome == snipeerror.NotRun:
		return Refused
	case errors.Is(f, snipeerror.ErrDeadline), errors.Is(f, snipeerror.ErrCanceled):
		return Abandoned
	case errors.Is(f, snipeerror.ErrIncomplete):
		return Crashed
	case errors.Is(f, snipeerror.ErrUpstreamFailed) && c.Service != "":
		return Crashed
	}
	return Refused
}
