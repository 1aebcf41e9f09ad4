package snipegateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
)

// Admission asks for the permits that requests need to be sent to plain services whose few
// upstreams are shared by many instances. With the zero value, no service needs permits.
type Admission struct {
	// Applies reports whether requests to a plain service need permits; nil means that none do.
	Applies func(service string) bool
	// Acquire waits for a permit. A refusal is a *DeniedError. If ctx ends first, its error is
	// returned. Acquire sets the instance of the request.
	Acquire func(ctx context.Context, service string, r snipeadmission.Request) (*Permit, error)
	// AcquireEngine is Acquire for one engine of a brittle service. EngineFull reports whether an engine has
	// just had no free permit. Both are nil if Applies is.
	AcquireEngine func(ctx context.Context, engine string, r snipeadmission.Request) (*Permit, error)
	EngineFull    func(engine string) bool
}

// Permit is the right to send one request to one upstream. It must be released once.
type Permit struct {
	Upstream string
	// Coordinator names the instance that granted the permit; empty if this instance paces its
	// requests on its own.
	Coordinator string
	// Strict is set if the permit is one that is lent strictly.
	Strict bool
	// Release gives the permit back. It does not block.
	Release func(r snipeadmission.Result)
}

// DeniedError is the refusal of a permit.
type DeniedError struct {
	// Coordinator names the instance that refused the permit; empty if this instance paces its
	// requests on its own.
	Coordinator string
	Refusal     *snipeadmission.RefusedError
}

// Error implements error.
func (e *DeniedError) Error() string { return e.Refusal.Error() }

// Unwrap makes errors.Is find snipeadmission.ErrRefused.
func (e *DeniedError) Unwrap() error { return e.Refusal }

// maxPermits bounds the permits that are acquired for one attempt, in case the upstreams that they
// name cannot be used.
const maxPermits = 3

// waitMetric is the histogram of the time that requests wait for permits, by workspace (team) and
// priority (class).
const waitMetric = "snipepitch_admission_wait_seconds"

// permitUse is the use of permits by one request.
type permitUse struct {
	// permit is the permit of the current attempt; nil if there is none or it was released.
	permit *Permit
	// load is the load that the upstream stated in its answer at loadAt.
	load   *Load
	loadAt time.Time
	// unreached is set if the attempt could not connect to the upstream, retryAfter to the time that
	// the upstream named in its refusal.
	unreached  bool
	retryAfter time.Duration
	// waited is the time that the request waited for permits over all attempts, and coordinator the
	// instance that granted or refused the last one. asked is set once a permit was asked for.
	waited      time.Duration
	coordinator string
	asked       bool
}

// needsPermit reports whether the request may be sent only with a permit.
func (c *call) needsPermit() bool {
	applies := c.gateway.Admission.Applies
	return applies != nil && c.Adapter.Model == "" && applies(c.service)
}

// chooseWithPermit waits for a permit and returns the upstream that it names. It gives back a
// permit for an upstream that cannot be used, and the permit of a caller that left meanwhile.
func (c *call) chooseWithPermit(ctx context.Context) (Choice, error) {
	begun := time.Now()
	defer func() { c.observePermitWait(time.Since(begun)) }()
	excluded := slices.Concat(c.allTried(), c.otherSoftware())
	for range maxPermits {
		r := c.permitRequest(excluded)
		c.admission.asked = true
		p, err := c.gateway.Admission.Acquire(ctx, c.service, r)
		switch {
		case err != nil:
			return Choice{}, c.permitError(ctx, err)
		case ctx.Err() != nil:
			p.Release(snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
			return Choice{}, c.permitError(ctx, ctx.Err())
		}
		if u := c.usableUpstream(p.Upstream); u != nil {
			c.admission.permit, c.admission.coordinator = p, p.Coordinator
			return Choice{Upstream: u, Holders: 1}, nil
		}
		p.Release(snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
		excluded = append(excluded, p.Upstream)
	}
	return Choice{}, noUpstreamError("no upstream with a permit can be used")
}

// permitRequest returns the request for a permit that avoids the excluded upstreams. setDemand was
// called before.
func (c *call) permitRequest(excluded []string) snipeadmission.Request {
	r := snipeadmission.Request{
		Workspace: c.Workspace, Priority: c.Priority, Tokens: float64(c.PromptTokens) + float64(c.OutputTokens),
		Target: c.Target, Deadline: c.deadline, Excluded: excluded,
	}
	if c.admission.asked {
		r.Arrived = c.arrived // it keeps its place and does not count as another arrival
	}
	return r
}

// usableUpstream returns the upstream with the given identifier, or nil if it is gone, leaving, or
// accepts no requests now.
func (c *call) usableUpstream(id string) *snipedirectory.Upstream {
	u := c.gateway.Chooser.Directory.Snapshot().ByID(id)
	if u == nil || u.Leaving || !c.software.allows(u) || !c.gateway.Signals.Open(id) {
		return nil
	}
	return u
}

// otherSoftware returns the upstreams of the service whose software versions may not answer the request.
func (c *call) otherSoftware() []string {
	var ids []string
	for _, u := range c.gateway.Chooser.Directory.Snapshot().Service(c.service) {
		if !c.software.allows(u) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// permitError returns the error that ends a request that got no permit.
func (c *call) permitError(ctx context.Context, err error) error {
	var denied *DeniedError
	switch {
	case errors.As(err, &denied):
		c.admission.coordinator = denied.Coordinator
		r := denied.Refusal
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "no permit: "+r.Reason.String()).After(r.RetryAfter)
	case errors.Is(ctx.Err(), context.Canceled):
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "the caller left while the request waited for a permit")
	default:
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "no permit before the deadline: "+err.Error())
	}
}

// observePermitWait records the time that the request waited for a permit.
func (c *call) observePermitWait(d time.Duration) {
	c.admission.waited += d
	workspace := "none"
	if c.workspace != nil {
		workspace = c.gateway.workspaceLabels.name(c.workspace.Name)
	}
	c.gateway.Meter.Observe(waitMetric, workspace, strconv.Itoa(c.Priority), d)
}

// attemptWithPermit makes an attempt and gives back its permit, if it has one, also if the attempt
// panics.
func (c *call) attemptWithPermit(ctx context.Context, choice Choice) (err error) {
	if p := c.admission.permit; p == nil || !p.Strict {
		defer c.gateway.withoutPermit.enter(choice.Upstream.ID)()
	}
	if c.admission.permit == nil {
		return c.attempt(ctx, choice)
	}
	c.admission.load, c.admission.unreached, c.admission.retryAfter = nil, false, 0
	reached := c.reached
	err = errAttemptAborted
	defer func() { c.releasePermit(c.permitOutcome(err, reached, choice.Upstream)) }()
	return c.attempt(ctx, choice)
}

// errAttemptAborted is the error of an attempt that panicked.
var errAttemptAborted = errors.New("the attempt was aborted")

// permitOutcome returns the outcome of an attempt at u that ended with err. reached is the value of
// c.reached before the attempt.
func (c *call) permitOutcome(err error, reached int, u *snipedirectory.Upstream) snipeadmission.Outcome {
	switch {
	case c.admission.unreached:
		return snipeadmission.OutcomeUnreachable
	case c.reached == reached:
		return snipeadmission.OutcomeUnused
	case err == nil:
		return snipeadmission.OutcomeServed
	case c.callerLeft(), errors.Is(err, snipeerror.ErrCanceled):
		return snipeadmission.OutcomeCanceled
	case c.gateway.Balancer.Suspected(u.ID), c.brittle() && errors.Is(err, snipeerror.ErrUpstreamFailed):
		return snipeadmission.OutcomeSuspect
	default:
		return snipeadmission.OutcomeFailed
	}
}

// releasePermit gives back the permit of the current attempt; it does nothing if that was done
// before. It is called as soon as the upstream has ended its answer, because until then the
// upstream's slot stays idle.
func (c *call) releasePermit(outcome snipeadmission.Outcome) {
	p := c.admission.permit
	if p == nil {
		return
	}
	c.admission.permit = nil
	r := snipeadmission.Result{Outcome: outcome, RetryAfter: c.admission.retryAfter}
	if outcome != snipeadmission.OutcomeUnused && outcome != snipeadmission.OutcomeUnreachable {
		r.Took = time.Since(c.sentAt)
	}
	if l := c.admission.load; l != nil {
		r.Load = &snipeadmission.Load{
			Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace,
			Age: time.Since(c.admission.loadAt),
		}
	}
	p.Release(r)
}

// noteUnreached records that the attempt could not connect to its upstream.
func (c *call) noteUnreached(ctx context.Context, err error) {
	c.admission.unreached = ctx.Err() == nil && errors.Is(err, snipelink.ErrNotSent)
}

// noteLoad records the load that the upstream stated in its answer.
func (c *call) noteLoad(l *Load) { c.admission.load, c.admission.loadAt = l, time.Now() }

// refusalOutcome returns the outcome of an attempt that the upstream did not run. An address at
// which another upstream answers counts as unreachable. That an adapter is missing, or the request too large, tells
// nothing about the upstream's room.
func (c *call) refusalOutcome(v AnswerState) snipeadmission.Outcome {
	switch {
	case v.Elsewhere:
		return snipeadmission.OutcomeUnreachable
	case c.tooLarge:
		return snipeadmission.OutcomeTooLarge
	case v.Missing:
		return snipeadmission.OutcomeUnused
	}
	return snipeadmission.OutcomeRefused
}

// answerOutcome returns the outcome of an attempt with a whole answer.
func answerOutcome(failed bool) snipeadmission.Outcome {
	if failed {
		return snipeadmission.OutcomeFailed
	}
	return snipeadmission.OutcomeServed
}
