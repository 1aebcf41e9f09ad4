package snipeentry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipeproto"
)

// admissionServer serves other instances' requests for permits.
type admissionServer struct {
	lender *lender
	// account answers the questions of coordinators.
	account func(m *snipeproto.AdmissionAccountRequest) *snipeproto.AdmissionAccountResponse
	// limits answers requests for shares of limits.
	limits func(m *snipeproto.AdmissionLimitsRequest) *snipeproto.AdmissionLimitsResponse
}

// Acquire implements snipeproto.Admission. The error code FailedPrecondition means that this
// instance does not coordinate the service (see lender.acquire).
func (s *admissionServer) Acquire(ctx context.Context, m *snipeproto.AdmissionAcquireRequest) (*snipeproto.AdmissionAcquireResponse, error) {
	r, err := decodeAcquireRequest(m, time.Now())
	if err != nil {
		return nil, s.invalid(err)
	}
	brittle := m.GetBrittle()
	if brittle != nil && s.lender.Brittle != nil {
		mergeBrittle(s.lender.Brittle, brittle, nil)
	}
	answer, err := s.acquire(ctx, m.GetService(), r)
	if brittle != nil && err == nil {
		answer.BrittleEnded = s.lender.brittleEnd(brittle.GetService())
	}
	return answer, err
}

// acquire is Acquire for a decoded message.
func (s *admissionServer) acquire(ctx context.Context, service string, r snipeadmission.Request) (*snipeproto.AdmissionAcquireResponse, error) {
	asked := time.Now()
	p, err := s.lender.acquire(ctx, service, r)
	waited := time.Since(asked).Microseconds()
	var refused *snipeadmission.RefusedError
	switch {
	case errors.As(err, &refused):
		return &snipeproto.AdmissionAcquireResponse{
			Refused: true, Reason: int32(refused.Reason), RetryMilliseconds: refused.RetryAfter.Milliseconds(), //nolint:gosec // a small number
			WaitedMicroseconds: waited,
		}, nil
	case errors.Is(err, snipeadmission.ErrStillWaiting):
		return &snipeproto.AdmissionAcquireResponse{Waiting: true, WaitedMicroseconds: waited}, nil
	case errors.Is(err, errNotCoordinating):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Canceled, err.Error())
	}
	return &snipeproto.AdmissionAcquireResponse{
		Permit: p.ID, Upstream: p.Upstream, LifetimeMilliseconds: p.Lifetime.Milliseconds(),
		Fence: p.Fence, WaitedMicroseconds: waited, ServiceMicroseconds: p.ServiceTime.Microseconds(),
		MaxServiceMicroseconds: p.MaxServiceTime.Microseconds(), Reusable: p.Reusable,
	}, nil
}

// Account implements snipeproto.Admission.
func (s *admissionServer) Account(_ context.Context, m *snipeproto.AdmissionAccountRequest) (*snipeproto.AdmissionAccountResponse, error) {
	if err := checkSender(m.GetVersion(), m.GetInstance()); err != nil {
		return nil, s.invalid(err)
	}
	return s.account(m), nil
}

// Limits implements snipeproto.Admission.
func (s *admissionServer) Limits(_ context.Context, m *snipeproto.AdmissionLimitsRequest) (*snipeproto.AdmissionLimitsResponse, error) {
	if err := checkSender(m.GetVersion(), m.GetInstance()); err != nil {
		return nil, s.invalid(err)
	}
	return s.limits(m), nil
}

// Release implements snipeproto.Admission. A message with any invalid part is refused whole.
func (s *admissionServer) Release(_ context.Context, m *snipeproto.AdmissionReleaseRequest) (*snipeproto.AdmissionReleaseResponse, error) {
	results, err := decodeRelease(m)
	if err != nil {
		return nil, s.invalid(err)
	}
	for n, r := range m.GetResults() {
		s.lender.release(r.GetService(), r.GetPermit(), results[n])
	}
	for _, r := range m.GetRenewals() {
		s.lender.renew(m.GetInstance(), r.GetService(), r.GetPermits())
	}
	return &snipeproto.AdmissionReleaseResponse{}, nil
}

// invalid counts an invalid message and returns the error for its sender.
func (s *admissionServer) invalid(err error) error {
	s.lender.Meter.Count("snipepitch_admission_wrong_messages_total")
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}
