package snipeentry

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipegateway"
)

// The methods below call coordinators for permits; see admission.

// ask asks one instance, which may be this one, for a permit, and records whether it answered. It
// returns snipeadmission.ErrStillWaiting after permitWait, and the error of ctx if that ends first. A call to
// another instance then goes on without the request, for permitTimeout at most, so that a lost
// coordinator is noticed and a permit that is granted meanwhile is given back.
func (a *admission) ask(ctx context.Context, to netip.AddrPort, service string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	if to == a.Self {
		p, err := a.Lender.acquire(ctx, service, r)
		if ctx.Err() == nil {
			a.noteCall(service, to, err)
		}
		if err != nil {
			return nil, err
		}
		return a.hold(to, service, p), nil
	}
	type answer struct {
		permit *snipegateway.Permit
		err    error
	}
	answers := make(chan answer)
	go func() {
		permit, err := a.call(context.WithoutCancel(ctx), to, service, r)
		a.noteCall(service, to, err)
		select {
		case answers <- answer{permit, err}:
		case <-ctx.Done():
			releaseUnused(permit)
		}
	}()
	select {
	case got := <-answers:
		return got.permit, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// call asks another instance for a permit. It takes permitTimeout at most.
func (a *admission) call(ctx context.Context, to netip.AddrPort, service string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	asked := time.Now()
	p, _, err := a.callAcquire(ctx, to, service, r, permitTimeout)
	if err != nil {
		return nil, err
	}
	permit := a.hold(to, service, p)
	if time.Since(asked) >= p.Lifetime {
		// The permit may have ended while this process was stopped.
		releaseUnused(permit)
		return nil, snipeadmission.ErrStillWaiting
	}
	return permit, nil
}

// callAcquire makes one call for a permit to another instance. took is how long it took without the wait there.
func (a *admission) callAcquire(ctx context.Context, to netip.AddrPort, service string, r snipeadmission.Request, timeout time.Duration) (p snipeadmission.Permit, took time.Duration, err error) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := encodeAcquire(service, r, asked)
	if u, known := a.brittleUpdate(service); known && !u.Ended {
		m.Brittle = encodeBrittleService(u)
	}
	answer, err := a.Client(to).Acquire(ctx, m)
	took = time.Since(asked)
	a.Meter.Observe(callMetric, "none", strconv.Itoa(r.Priority), took)
	if err != nil {
		return snipeadmission.Permit{}, took, declined(err)
	}
	if a.Brittle != nil {
		mergeBrittle(a.Brittle, nil, answer.GetBrittleEnded())
	}
	took -= min(max(microseconds(answer.GetWaitedMicroseconds()), 0), took)
	p, err = decodeAcquire(answer)
	return p, took, err
}
