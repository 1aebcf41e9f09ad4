package snipegateway

import (
	"context"
	"slices"
	"strconv"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipesoftware"
)

// Software tells at which software versions streams may begin and go on. With the zero value, streams may
// begin at any version, and only those that go on within one answer are bound to the version that began
// them.
type Software struct {
	// Await waits until a version of a service is known, or ctx ends; nil means that no wait is needed.
	Await func(ctx context.Context, service string)
	// MayBegin reports whether a stream of a service may begin at a version; nil means at any.
	MayBegin func(service string, v snipesoftware.Version) bool
	// Find returns the version at which a stream began. Its errors wrap those of snipesoftware.Exchange.
	Find func(ctx context.Context, service string, k snipesoftware.Key) (snipesoftware.Version, error)
	// Begin records that a stream begins, or goes on, here, and End that this instance has no more part in it.
	Begin func(service string, o snipesoftware.Origin)
	End   func(k snipesoftware.Key)
}

// softwareRule decides which software versions may answer a request. The zero value allows any.
type softwareRule struct {
	// bound is set if only the given version may.
	bound   bool
	version snipesoftware.Version
	// mayBegin reports whether a stream may begin at a version; nil means at any.
	mayBegin func(snipesoftware.Version) bool
}

// bind allows only the given version from now on.
func (r *softwareRule) bind(v snipesoftware.Version) { r.bound, r.version = true, v }

// allows reports whether an upstream may answer the request.
func (r *softwareRule) allows(u *snipedirectory.Upstream) bool {
	switch {
	case r.bound:
		return u.Software == r.version
	case r.mayBegin != nil:
		return r.mayBegin(u.Software)
	default:
		return true
	}
}

// allowsAnswer reports whether an answer of an upstream of a version may go to the caller; nil if the version is
// not known, as from a peer of an earlier release.
func (r *softwareRule) allowsAnswer(v *snipesoftware.Version) bool {
	return !r.bound || v != nil && *v == r.version
}

// filter returns the upstreams that may answer the request.
func (r *softwareRule) filter(all []*snipedirectory.Upstream) []*snipedirectory.Upstream {
	refused := func(u *snipedirectory.Upstream) bool { return !r.allows(u) }
	if !slices.ContainsFunc(all, refused) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), refused)
}

// check returns an error if none of the upstreams that are allowed can take a request now or later. All
// are those of the service, allowed those that may answer the request.
func (r *softwareRule) check(all, allowed []*snipedirectory.Upstream) *snipeerror.CallError {
	stays := func(u *snipedirectory.Upstream) bool { return !u.Leaving }
	switch {
	case len(all) == 0:
		return noUpstreamError("the service has no upstream")
	case r.bound && !slices.ContainsFunc(allowed, stays):
		return notResumableError("no upstream runs the software version at which the stream began")
	case len(allowed) == 0:
		return noUpstreamError("the software versions of the service are too new")
	}
	return nil
}

// notResumableError returns the error for a stream that cannot go on. Without a retry time, since returning
// does not help.
func notResumableError(reason string) *snipeerror.CallError {
	return snipeerror.New(snipeerror.ErrNotResumable, snipeerror.NotRun, reason)
}

// noteTried records an upstream that is tried, and the version of its software; nil if a peer did not tell it.
func (c *call) noteTried(id string, software *snipesoftware.Version) {
	c.tried, c.lastSoftware = append(c.tried, id), software
	var v snipesoftware.Version
	if software != nil {
		v = *software
	}
	c.softwareTried = append(c.softwareTried, v)
}

// streamSoftware is what a request for a stream of a resumable route knows of software versions.
type streamSoftware struct {
	// key identifies the stream, and begun is set once the stream was recorded as begun here.
	key   snipesoftware.Key
	begun bool
	// unknown is set if the stream has begun at a version that is not known: it cannot be resumed.
	unknown bool
}

// resumes reports whether the caller resumes a stream.
func (c *call) resumes() bool { return c.LastEvent != "" && c.route.Resumable }

// streamAttempt returns the attempt that brought, or is to bring, the first event of the stream.
func (c *call) streamAttempt() string {
	if c.LastEvent != "" && c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// setSoftwareRule decides at which software versions the request may run. It refuses a request that resumes
// a stream whose version is not known.
func (c *call) setSoftwareRule(ctx context.Context) error {
	if !c.route.Resumable {
		return nil
	}
	s := &c.gateway.Software
	c.streamSoftware.key = c.streamIdentity().Key()
	if s.MayBegin != nil {
		c.software.mayBegin = func(v snipesoftware.Version) bool { return s.MayBegin(c.service, v) }
	}
	switch {
	case c.hop != nil:
		return c.setHopSoftware()
	case c.resumes():
		return c.findSoftware(ctx)
	case s.Await != nil:
		bounded, cancel := context.WithTimeout(ctx, softwareWait)
		defer cancel()
		s.Await(bounded, c.service)
	}
	return nil
}

// setHopSoftware binds a request that came by a hop as its sender has bound it.
func (c *call) setHopSoftware() error {
	switch {
	case c.hop.Software != nil:
		c.software.bind(*c.hop.Software)
	case len(c.hop.LastEvent) > 0:
		return notResumableError("the instance that passed the request on does not tell the software version")
	}
	return nil
}

// boundSoftware returns the version to which the request is bound; nil if it is bound to none.
func (c *call) boundSoftware() *snipesoftware.Version {
	if !c.software.bound {
		return nil
	}
	return &c.software.version
}

// softwareWait bounds the wait of a request for the first announcement of a version of its service, which
// takes a write to the store.
const softwareWait = startRetryAfter

// streamIdentity returns what identifies the request's stream.
func (c *call) streamIdentity() snipesoftware.Stream {
	return snipesoftware.Stream{
		Attempt: c.streamAttempt(), Workspace: c.workspaceName(), Route: c.route.Name, Service: c.service,
		Model: c.Adapter.Model, Adapter: c.Adapter.Name,
	}
}

// findSoftware binds a request that resumes a stream to the version that began it.
func (c *call) findSoftware(ctx context.Context) error {
	find := c.gateway.Software.Find
	if find == nil {
		return nil
	}
	v, err := find(ctx, c.service, c.streamSoftware.key)
	if err != nil {
		c.countResumed(resumedByCaller, streamUnknown)
		f := notResumableError(err.Error())
		if errors.Is(err, snipesoftware.ErrUnanswered) {
			f = f.After(c.retryAfter())
		}
		return f
	}
	c.software.bind(v)
	return nil
}

// beginStream records that the stream begins, or goes on, at the upstream that was tried last, and binds the
// request to its software version. It is called before the first event goes to the caller.
func (c *call) beginStream() {
	if !c.route.Resumable {
		return
	}
	if c.lastSoftware == nil {
		c.streamSoftware.unknown = true
		return
	}
	c.software.bind(*c.lastSoftware)
	begin := c.gateway.Software.Begin
	if begin == nil || c.hop != nil || c.LastEvent != "" && c.Resumes == "" {
		return
	}
	begin(c.service, snipesoftware.Origin{Key: c.streamSoftware.key, Version: *c.lastSoftware})
	c.streamSoftware.begun = true
}

// endStreamSoftware records that this instance has no more part in the stream.
func (c *call) endStreamSoftware() {
	if c.streamSoftware.begun {
		c.gateway.Software.End(c.streamSoftware.key)
	}
}

// logSoftware adds to the log fields of a request at which software versions it was tried, to which one it
// was bound, and which stream it resumes.
func (c *call) logSoftware(fields snipelog.Fields) {
	if len(c.softwareTried) > 0 {
		fields["SoftwareTried"] = slices.Clone(c.softwareTried)
	}
	if c.software.bound {
		fields["BoundSoftware"] = c.software.version
	}
	if c.LastEvent != "" {
		fields["LastEvent"], fields["Resumes"] = c.LastEvent, c.Resumes
	}
}

// The ways in which a stream is resumed, as values of the label "by" of resumedMetric.
const (
	// resumedByCaller stands for a caller that asks for the rest of a stream.
	resumedByCaller = "Caller"
	// resumedHere stands for an answer that broke off and goes on at another upstream.
	resumedHere = "Instance"
)

// The outcomes of the label "outcome" of resumedMetric.
const (
	streamGoesOn = "GoesOn"
	// streamUnknown stands for a stream whose software version is not known, streamNoUpstream for one whose
	// version no upstream runs.
	streamUnknown    = "Unknown"
	streamNoUpstream = "NoUpstream"
)

// resumedMetric counts the resumed streams by service, by who resumes them, and by their outcome.
const resumedMetric = "snipepitch_streams_resumed_total"

// countResumed counts a resumed stream.
func (c *call) countResumed(by, outcome string) {
	c.gateway.Meter.Count(resumedMetric + "{service=" + strconv.Quote(c.service) + ",by=" + strconv.Quote(by) + ",outcome=" + strconv.Quote(outcome) + "}")
}

// countRefusedStream counts a stream that does not go on because no upstream runs its version.
func (c *call) countRefusedStream(err error) {
	if !errors.Is(err, snipeerror.ErrNotResumable) || !c.software.bound {
		return
	}
	by := resumedHere
	if c.LastEvent != "" && !c.answerStarted {
		by = resumedByCaller
	}
	c.countResumed(by, streamNoUpstream)
}
