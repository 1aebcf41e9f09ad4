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
	// askTimeout bounds one question to a coordinator.
	askTimeout = 300 * time.Millisecond
	// unreachableRetry is when a call is worthwhile again after neither of its
	// coordinators has answered.
	unreachableRetry = time.Second
	// step is the time between two looks at the members.
	step = 500 * time.Millisecond
)

// fingerprintField names fingerprints in log lines.
const fingerprintField = "Fingerprint"

// Guard executes attempts as their coordinators decide. Exported fields are set
// before the first call.
type Guard struct {
	// Registry is this instance's own; its Self is this instance.
	Registry *Registry
	// Members returns the live instances, this one included.
	Members func() []Member
	// Begin and Finish ask and tell another member; see Registry.
	Begin  func(ctx context.Context, member string, a Attempt) (Verdict, error)
	Finish func(ctx context.Context, member string, a Attempt, e End) ([]byte, error)
	// Replicate gives another member a record to keep and to spread.
	Replicate func(ctx context.Context, member string, f Fingerprint, record []byte) error
	// Spread makes a record known to all instances within about a second.
	Spread func(f Fingerprint, record []byte, ttl time.Duration)
	// Run executes an attempt.
	Run func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Isolation is that of the upstreams that this instance owns.
	Isolation *Isolation
	// Mark returns the attempt's Mark at the call's upstream, as far as an
	// instance knows that does not own it.
	Mark func(c *snipecall.Call) string
	// Survived reports whether an upstream is up and still has the mark. It is
	// not asked about an empty mark.
	Survived func(ctx context.Context, upstream, mark string) bool
	// Log takes events.
	Log *snipelog.Logger

	lock     sync.Mutex // guards inFlight
	inFlight map[string]asked
}

// asked is an attempt in flight and the member that has let it start.
type asked struct {
	Attempt
	deadline    time.Time
	coordinator string
}

// Execute runs an attempt when its coordinator lets it. It sets the attempt's
// Upstream and Alone as decided.
func (g *Guard) Execute(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if unguarded(c) {
		return g.Run(ctx, c, sink)
	}
	a := Attempt{
		Fingerprint: FingerprintOf(c), ID: c.ID + "/" + c.Upstream, Entry: g.Registry.Self,
		Upstream: c.Upstream, Mark: g.Mark(c),
	}
	c.Attempt = a.ID
	if err := g.enter(ctx, c, &a); err != nil {
		return err
	}
	err := g.Run(ctx, c, sink)
	g.leave(a, c, err)
	return err
}

// unguarded reports whether a call is passed on without its coordinator:
// readings of plain services, which are the same for many callers and would
// all be directed to one upstream.
func unguarded(c *snipecall.Call) bool {
	return c.Service != "" && (c.Method == http.MethodGet || c.Method == http.MethodHead)
}

// enter asks until the attempt may start or has no time left.
func (g *Guard) enter(ctx context.Context, c *snipecall.Call, a *Attempt) error {
	for {
		if left, ok := g.Registry.Refuses(a.Fingerprint); ok {
			return refuse(left)
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
			return refuse(v.Wait)
		case Wait:
			if err := pause(ctx, c.Deadline, v.Wait); err != nil {
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
		// Another instance has to know of the attempt as well as this one.
		a.Moved = !a.Alone && member == g.Registry.Self
		if a.Alone || a.Moved {
			g.others(ctx, member, *a)
		}
		g.keep(*a, c.Deadline, member)
		return nil
	}
}

func refuse(left time.Duration) error {
	return snipeerror.New(snipeerror.ErrQuarantined, snipeerror.NotRun, "two upstreams broke off this request").After(left)
}

// pause waits to ask again. It refuses at once when that is beyond the deadline.
func pause(ctx context.Context, deadline time.Time, d time.Duration) error {
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

// ask asks the coordinators in turn.
func (g *Guard) ask(ctx context.Context, a Attempt) (Verdict, string, error) {
	for _, m := range Coordinators(a.Fingerprint, g.Members()) {
		if m.ID == g.Registry.Self {
			return g.Registry.Begin(a), m.ID, nil
		}
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		v, err := g.Begin(bounded, m.ID, a)
		cancel()
		if err == nil && v.Decision < decisions {
			return v, m.ID, nil
		}
	}
	return Verdict{}, "", snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "no coordinator answers").After(unreachableRetry)
}

// others tells the other coordinators what one of them has been told, so that
// the death of one instance does not make the attempt unknown.
func (g *Guard) others(ctx context.Context, member string, a Attempt) {
	for _, m := range Coordinators(a.Fingerprint, g.Members()) {
		switch m.ID {
		case member:
		case g.Registry.Self:
			g.Registry.Begin(a)
		default:
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			// Without an answer it learns of a crash all the same.
			_, _ = g.Begin(bounded, m.ID, a)
			cancel()
		}
	}
}

func (g *Guard) keep(a Attempt, deadline time.Time, member string) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.inFlight == nil {
		g.inFlight = map[string]asked{}
	}
	g.inFlight[a.ID] = asked{a, deadline, member}
}

// leave reports the attempt's end: a crash before the caller hears of it, so
// that a repetition finds it known; other ends later.
func (g *Guard) leave(a Attempt, c *snipecall.Call, err error) {
	e := endOf(c, err)
	if e == Crashed && a.Mark != "" && g.survived(a) {
		e = Abandoned
	}
	if e == Crashed {
		g.Log.Error(snipelog.UpstreamBrokeOff, err, snipelog.Fields{
			"Call": c.ID, "Team": c.Team, "Upstream": c.Upstream, fingerprintField: a.Fingerprint.String(),
		})
		g.tell(a, e)
		return
	}
	go func() {
		g.tell(a, e)
		if e == Abandoned {
			g.verify(a)
		}
	}()
}

// tell reports an end to the member that has let the attempt start, or to
// whoever coordinates now when that one does not answer. Where the others know
// of the attempt they hear only that it is over: the rest is replicated.
func (g *Guard) tell(a Attempt, e End) {
	g.lock.Lock()
	kept := g.inFlight[a.ID]
	if e != Withdrawn {
		delete(g.inFlight, a.ID)
	}
	g.lock.Unlock()
	told := map[string]bool{"": true}
	members := []Member{{ID: kept.coordinator}}
	members = append(members, Coordinators(a.Fingerprint, g.Members())...)
	for _, m := range members {
		if told[m.ID] || len(told) > 1 && !a.Alone && !a.Moved {
			continue
		}
		if !g.tellOne(m.ID, a, e) {
			continue
		}
		told[m.ID] = true
		if e != Withdrawn {
			e = Refused
		}
	}
	if len(told) == 1 {
		// Nobody answers: what this instance knows spreads from here.
		g.Registry.Finish(a, e)
	}
}

func (g *Guard) tellOne(member string, a Attempt, e End) bool {
	if member == g.Registry.Self {
		g.Registry.Finish(a, e)
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	record, err := g.Finish(ctx, member, a, e)
	if err == nil && e == Crashed && len(record) > 0 {
		g.keepTold(a.Fingerprint, record)
	}
	return err == nil
}

// Announce passes a record on that has changed: to the other coordinator before
// it returns, so that the death of one instance loses nothing, then to all.
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

// keepTold keeps the record of a crash that this instance has told of, so that
// it outlives both coordinators.
func (g *Guard) keepTold(f Fingerprint, record []byte) {
	if err := g.Keep(f, record); err != nil {
		g.Log.Error(snipelog.CrashNotReplicated, err, snipelog.Fields{fingerprintField: f.String(), "Member": g.Registry.Self})
	}
}

// Keep takes a record from the other coordinator and spreads it too.
func (g *Guard) Keep(f Fingerprint, record []byte) error {
	if err := g.Registry.Merge(f, record); err != nil {
		return err
	}
	g.Spread(f, record, g.Registry.Hold)
	return nil
}

// endOf tells how an attempt ended from its failure. Whether an upstream that
// broke off has really crashed is found out later.
func endOf(c *snipecall.Call, err error) End {
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
