package snipehealth

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

const (
	// maxRefused bounds the pause that an upstream may ask for, and refused is
	// the pause when it names none.
	maxRefused = 5 * time.Second
	refused    = 250 * time.Millisecond
	// hopPause is how long an upstream is left alone whose owner is not there.
	hopPause = 500 * time.Millisecond
	// earlyAfter is how long a call runs before it shows the upstream's speed.
	earlyAfter = time.Second
	// probeTimeout bounds a probe.
	probeTimeout = time.Second
)

// Watch returns run with its calls observed.
func (t *Tracker) Watch(
	run func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error,
) func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	return func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
		w := &watched{sink: sink, start: time.Now()}
		w.early = func(gap time.Duration) {
			t.Observe(c.Upstream, Observation{Reached: true, Gap: gap, Group: group(c)})
		}
		t.count(c.Upstream, 1)
		err := run(ctx, c, w.chunk)
		t.count(c.Upstream, -1)
		if o, ok := w.observation(c, err); ok {
			t.Observe(c.Upstream, o)
		}
		return err
	}
}

// count counts calls in flight.
func (t *Tracker) count(name string, n int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.upstream(name, time.Now()).inFlight += n
}

// Hop takes the failure of a call that another instance was to execute: its
// upstream is left alone by this instance for a while. Nobody else is told,
// since it may be the way there that is broken.
func (t *Tracker) Hop(c *snipecall.Call, err error) {
	var f *snipeerror.CallError
	if !errors.As(err, &f) || f.Outcome != snipeerror.NotRun {
		return
	}
	pause := time.Duration(0)
	switch {
	case errors.Is(f, snipeerror.ErrNoUpstream), errors.Is(f, snipeerror.ErrNotOwner), errors.Is(f, snipeerror.ErrStopping):
		pause = hopPause
	case errors.Is(f, snipeerror.ErrOverloaded):
		pause = min(max(f.RetryAfter, refused), maxRefused)
	default:
		return
	}
	t.Observe(c.Upstream, Observation{Refused: pause, Group: group(c)})
}

// group names what a call's upstreams can be compared within.
func group(c *snipecall.Call) string {
	if c.Service != "" {
		return "service/" + c.Service
	}
	return "base/" + c.Base
}

// watched measures the chunks of one answer.
type watched struct {
	sink               snipecall.Sink
	start, first, last time.Time
	chunks             int
	// early takes the gap of a call that goes on for longer than earlyAfter,
	// once, so that a slow upstream shows before its calls have ended.
	early func(gap time.Duration)
}

func (w *watched) chunk(k snipecall.Chunk) error {
	w.last = time.Now()
	if w.chunks == 0 {
		w.first = w.last
	}
	w.chunks++
	if w.early != nil && w.chunks > 1 && w.last.Sub(w.first) >= earlyAfter {
		w.early(w.gap())
		w.early = nil
	}
	return w.sink(k)
}

// gap returns the average time between two chunks.
func (w *watched) gap() time.Duration { return w.last.Sub(w.first) / time.Duration(w.chunks-1) }

// pace returns what is compared of a call: its gap, or the time of the answer
// of a plain service; zero when there is neither.
func (w *watched) pace(c *snipecall.Call) time.Duration {
	switch {
	case w.chunks > 1:
		return w.gap()
	case w.chunks == 1 && c.Service != "":
		return w.last.Sub(w.start)
	}
	return 0
}

// observation returns what a call has shown, and false for nothing.
func (w *watched) observation(c *snipecall.Call, err error) (Observation, bool) {
	o := Observation{Reached: true, Group: group(c), Gap: w.pace(c)}
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
		o.Refused = min(max(f.RetryAfter, refused), maxRefused)
	default:
		// Among them a deadline, which may be the caller's short patience: a
		// silent upstream ends as ErrIncomplete.
		return o, false
	}
	return o, true
}

// due is an upstream that is to be probed.
type due struct {
	name   string
	reason Reason
}

// Step probes the upstreams that are out and whose time has come; an upstream
// that passes gets calls again. Mine tells for which ones this instance does so.
func (t *Tracker) Step(ctx context.Context, mine func(name string) bool, probe func(ctx context.Context, name string) error) {
	for _, d := range t.due() {
		if !mine(d.name) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, probeTimeout)
		err := probe(bounded, d.name)
		cancel()
		t.probed(d.name, err)
	}
}

func (t *Tracker) due() []due {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	var all []due
	for name, u := range t.upstreams {
		u.settle(now)
		if u.state == Out && u.heard.IsZero() && !now.Before(u.until) {
			all = append(all, due{name, u.reason})
		}
	}
	return all
}

func (t *Tracker) probed(name string, err error) {
	t.lock.Lock()
	now := time.Now()
	u := t.upstream(name, now)
	before, why := u.state, u.reason
	switch {
	case u.state != Out:
	case err != nil:
		u.out = min(2*u.out, maxOut)
		u.until = now.Add(u.out)
		u.reason = Unreachable
	default:
		u.enter(Ramp, u.reason, now)
	}
	after, reason := u.state, u.reason
	t.lock.Unlock()
	t.tell(name, before, after, why, reason)
}
