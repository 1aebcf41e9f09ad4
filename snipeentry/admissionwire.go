package snipeentry

import (
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// admissionVersion is the version of the messages of shared admission.
	admissionVersion = 1
	// maxResults bounds the results, and the renewed permits, in one message. An instance has fewer
	// requests in flight at plain services.
	maxResults = 1024
	// maxExcluded bounds the upstreams that a request excludes. A request is sent to fewer.
	maxExcluded = 32
	// maxName bounds the names in messages, in bytes.
	maxName = 256
	// maxMessageTime bounds the times in messages of other instances; it is the longest deadline of a
	// request.
	maxMessageTime = 24 * time.Hour
	// maxLoadFigure bounds the figures of a load report.
	maxLoadFigure = 1 << 20
	// maxPermitLifetime bounds the lifetime of a permit in an answer.
	maxPermitLifetime = time.Minute
	// maxPriority is the least urgent priority.
	maxPriority = 1 << 10
)

// errMessage is wrapped by the errors for messages that make no sense or have another version.
var errMessage = errors.New("invalid message")

// declined returns errNotCoordinating if a call was answered by an instance that does not coordinate
// the service, or is of another version: an earlier one does not know the call, a later one may
// refuse the message. Otherwise it returns err.
func declined(err error) error {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return err
	}
	switch failure.Code() {
	case twirp.FailedPrecondition, twirp.BadRoute, twirp.InvalidArgument:
		return errors.Wrap(errNotCoordinating, failure.Msg())
	default:
		return err
	}
}

// encodeAcquire returns the message that asks for a permit. Figures that its receiver would not
// accept are bounded.
func encodeAcquire(service string, r snipeadmission.Request, now time.Time) *snipeproto.AdmissionAcquireRequest {
	m := &snipeproto.AdmissionAcquireRequest{
		Version: admissionVersion, Instance: r.Instance, Service: service, Workspace: shortened(r.Workspace),
		Priority:             int32(min(max(r.Priority, 0), maxPriority)),
		DeadlineMilliseconds: max(boundedMilliseconds(r.Deadline.Sub(now)), 0), NoWait: r.NoWait,
		MaxWaitMilliseconds: boundedMilliseconds(r.MaxWait), Demand: r.Demand,
	}
	if r.Tokens >= 0 && r.Tokens <= math.MaxFloat64 {
		m.Tokens = r.Tokens
	}
	for _, id := range r.Excluded {
		if validName(id) && len(m.Excluded) < maxExcluded {
			m.Excluded = append(m.Excluded, id)
		}
	}
	if !r.Arrived.IsZero() {
		m.AgeMilliseconds = max(boundedMilliseconds(now.Sub(r.Arrived)), 1)
	}
	if !r.Target.IsZero() {
		m.Targeted, m.TargetMilliseconds = true, boundedMilliseconds(r.Target.Sub(now))
	}
	return m
}

// decodeAcquireRequest returns the request of a message that arrived now. Its errors wrap
// errMessage.
func decodeAcquireRequest(m *snipeproto.AdmissionAcquireRequest, now time.Time) (snipeadmission.Request, error) {
	if err := checkSender(m.GetVersion(), m.GetInstance()); err != nil {
		return snipeadmission.Request{}, err
	}
	r := snipeadmission.Request{
		Instance: m.GetInstance(), Workspace: m.GetWorkspace(), Priority: int(m.GetPriority()), Tokens: m.GetTokens(),
		Deadline: now.Add(milliseconds(m.GetDeadlineMilliseconds())),
		Excluded: m.GetExcluded(), NoWait: m.GetNoWait(), MaxWait: milliseconds(m.GetMaxWaitMilliseconds()), Demand: m.GetDemand(),
	}
	if m.GetAgeMilliseconds() > 0 {
		r.Arrived = now.Add(-milliseconds(m.GetAgeMilliseconds()))
	}
	if m.GetTargeted() {
		r.Target = now.Add(milliseconds(m.GetTargetMilliseconds()))
	}
	return r, checkAcquire(m)
}

// checkAcquire checks the fields of a message that asks for a permit.
func checkAcquire(m *snipeproto.AdmissionAcquireRequest) error {
	switch {
	case !validName(m.GetService()):
		return errors.Wrap(errMessage, "service empty or too long")
	case len(m.GetWorkspace()) > maxName:
		return errors.Wrap(errMessage, "workspace too long")
	case m.GetPriority() < 0 || m.GetPriority() > maxPriority:
		return errors.Wrapf(errMessage, "priority %d", m.GetPriority())
	case !(m.GetTokens() >= 0 && m.GetTokens() <= math.MaxFloat64):
		return errors.Wrapf(errMessage, "%f tokens", m.GetTokens())
	case outOfRange(m.GetAgeMilliseconds()), outOfRange(m.GetTargetMilliseconds()), outOfRange(m.GetDeadlineMilliseconds()):
		return errors.Wrap(errMessage, "time out of range")
	case m.GetAgeMilliseconds() < 0, m.GetDeadlineMilliseconds() < 0:
		return errors.Wrap(errMessage, "negative time")
	}
	return checkExcluded(m.GetExcluded())
}

// checkExcluded checks the upstreams that a request excludes.
func checkExcluded(excluded []string) error {
	if len(excluded) > maxExcluded {
		return errors.Wrapf(errMessage, "%d excluded upstreams", len(excluded))
	}
	for _, id := range excluded {
		if !validName(id) {
			return errors.Wrap(errMessage, "excluded upstream empty or too long")
		}
	}
	return nil
}

// checkSender checks the version of a message and the instance that sent it.
func checkSender(version uint32, instance string) error {
	if version != admissionVersion {
		return errors.Wrapf(errMessage, "version %d, expected %d", version, admissionVersion)
	}
	if _, err := netip.ParseAddrPort(instance); err != nil || len(instance) > maxName {
		return errors.Wrap(errMessage, "instance is no address")
	}
	return nil
}

// shortened returns the longest valid prefix of a name that a message may contain.
func shortened(name string) string { return strings.ToValidUTF8(name[:min(len(name), maxName)], "") }

// validName reports whether a message may contain a name of a service or an upstream.
func validName(name string) bool { return name != "" && len(name) <= maxName }

// outOfRange reports whether a time is longer than maxMessageTime in either direction.
func outOfRange(ms int64) bool {
	const limit = int64(maxMessageTime / time.Millisecond)
	return ms > limit || ms < -limit
}

// milliseconds returns a time of a message of another instance, bounded by maxMessageTime.
func milliseconds(ms int64) time.Duration {
	const limit = int64(maxMessageTime / time.Millisecond)
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// microseconds is milliseconds for a time in microseconds.
func microseconds(us int64) time.Duration {
	const limit = int64(maxMessageTime / time.Microsecond)
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
}

// boundedMilliseconds returns a time for a message, bounded by maxMessageTime.
func boundedMilliseconds(d time.Duration) int64 {
	return min(max(d, -maxMessageTime), maxMessageTime).Milliseconds()
}

// decodeAcquire returns the permit of an answer, snipeadmission.ErrStillWaiting, or the refusal. A negative retry
// time counts as none.
func decodeAcquire(m *snipeproto.AdmissionAcquireResponse) (snipeadmission.Permit, error) {
	switch {
	case m.GetRefused():
		return snipeadmission.Permit{}, &snipeadmission.RefusedError{
			Reason: snipeadmission.Reason(m.GetReason()), RetryAfter: max(milliseconds(m.GetRetryMilliseconds()), 0),
		}
	case m.GetWaiting():
		return snipeadmission.Permit{}, snipeadmission.ErrStillWaiting
	case !validName(m.GetUpstream()):
		return snipeadmission.Permit{}, errors.Wrap(errMessage, "permit without an upstream")
	case m.GetLifetimeMilliseconds() <= 0 || milliseconds(m.GetLifetimeMilliseconds()) > maxPermitLifetime:
		return snipeadmission.Permit{}, errors.Wrapf(errMessage, "lifetime of %d ms", m.GetLifetimeMilliseconds())
	}
	return snipeadmission.Permit{
		ID: m.GetPermit(), Upstream: m.GetUpstream(), Lifetime: milliseconds(m.GetLifetimeMilliseconds()),
		Fence: m.GetFence(), ServiceTime: max(microseconds(m.GetServiceMicroseconds()), 0),
		MaxServiceTime: max(microseconds(m.GetMaxServiceMicroseconds()), 0), Reusable: m.GetReusable(),
	}, nil
}

// encodeResult returns the message for the result of a request with a permit.
func encodeResult(service string, id uint64, r snipeadmission.Result) *snipeproto.AdmissionResult {
	m := &snipeproto.AdmissionResult{
		Service: service, Permit: id, Outcome: int32(r.Outcome), //nolint:gosec // a small number
		TookMicroseconds:  min(max(r.Took, 0), maxMessageTime).Microseconds(),
		RetryMilliseconds: max(boundedMilliseconds(r.RetryAfter), 0),
	}
	if l := r.Load; l != nil {
		m.Load = &snipeproto.AdmissionLoad{
			Running: boundedFigure(l.Running), Waiting: boundedFigure(l.Waiting), Slots: boundedFigure(l.Slots), Pace: l.Pace, AgeMilliseconds: l.Age.Milliseconds(),
		}
	}
	return m
}

// boundedFigure returns a figure of a load report for a message, bounded by maxLoadFigure.
func boundedFigure(n int) int32 { return int32(min(max(n, 0), maxLoadFigure)) }

// encodeRenewals returns the message for the renewal of permits by service, with at most maxResults
// permits.
func encodeRenewals(services map[string][]uint64) []*snipeproto.AdmissionRenewal {
	all := make([]*snipeproto.AdmissionRenewal, 0, len(services))
	left := maxResults
	for service, ids := range services {
		n := min(len(ids), left)
		left -= n
		all = append(all, &snipeproto.AdmissionRenewal{Service: service, Permits: ids[:n]})
	}
	return all
}

// decodeRelease returns the results of a message. Its errors wrap errMessage.
func decodeRelease(m *snipeproto.AdmissionReleaseRequest) ([]snipeadmission.Result, error) {
	if err := checkSender(m.GetVersion(), m.GetInstance()); err != nil {
		return nil, err
	}
	renewed := len(m.GetRenewals())
	for _, r := range m.GetRenewals() {
		if renewed += len(r.GetPermits()); !validName(r.GetService()) {
			return nil, errors.Wrap(errMessage, "service empty or too long")
		}
	}
	if renewed > 2*maxResults || len(m.GetResults()) > maxResults {
		return nil, errors.Wrapf(errMessage, "%d results and %d renewals", len(m.GetResults()), renewed)
	}
	all := make([]snipeadmission.Result, 0, len(m.GetResults()))
	for _, r := range m.GetResults() {
		result, err := decodeResult(r)
		if err != nil {
			return nil, err
		}
		all = append(all, result)
	}
	return all, nil
}

// decodeResult returns the result of a message. A load report that makes no sense is left out,
// because the permit has to end all the same.
func decodeResult(m *snipeproto.AdmissionResult) (snipeadmission.Result, error) {
	outcome := snipeadmission.Outcome(m.GetOutcome())
	const longest = int64(maxMessageTime / time.Microsecond)
	switch {
	case !validName(m.GetService()):
		return snipeadmission.Result{}, errors.Wrap(errMessage, "service empty or too long")
	case outcome < snipeadmission.OutcomeServed || outcome > snipeadmission.OutcomeTooLarge:
		return snipeadmission.Result{}, errors.Wrapf(errMessage, "outcome %d", outcome)
	case m.GetTookMicroseconds() < 0 || m.GetTookMicroseconds() > longest:
		return snipeadmission.Result{}, errors.Wrap(errMessage, "time out of range")
	case m.GetRetryMilliseconds() < 0 || outOfRange(m.GetRetryMilliseconds()):
		return snipeadmission.Result{}, errors.Wrap(errMessage, "retry time out of range")
	}
	return snipeadmission.Result{
		Outcome: outcome, Took: time.Duration(m.GetTookMicroseconds()) * time.Microsecond,
		RetryAfter: milliseconds(m.GetRetryMilliseconds()), Load: decodeLoad(m.GetLoad()),
	}, nil
}

// decodeLoad returns a load report, or nil if there is none or its figures make no sense.
func decodeLoad(m *snipeproto.AdmissionLoad) *snipeadmission.Load {
	if m == nil || m.GetAgeMilliseconds() < 0 || outOfRange(m.GetAgeMilliseconds()) {
		return nil
	}
	for _, n := range []int32{m.GetRunning(), m.GetWaiting(), m.GetSlots()} {
		if n < 0 || n > maxLoadFigure {
			return nil
		}
	}
	if pace := m.GetPace(); math.IsNaN(pace) || pace < 0 || pace > maxLoadFigure {
		return nil
	}
	return &snipeadmission.Load{
		Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()), Pace: m.GetPace(),
		Age: milliseconds(m.GetAgeMilliseconds()),
	}
}
