package snipeadmission

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrStillWaiting is returned by a call for a permit that ended while the request waited at the coordinator.
var ErrStillWaiting = errors.New("still waiting for a permit")

const (
	// holdCalls is for how many times the duration of a call its permit is used again, at most: up to maxHoldSpread
	// less. A permit that is given back is of no use while two messages are on their way, so that slow messages leave
	// a small part of the places idle.
	holdCalls, maxHoldSpread = 40, 0.3
	// maxHold bounds that time. It is less than the lifetime of permits.
	maxHold = 6 * time.Second
	// idleCalls is for how many times the duration of a call a permit is kept while no request needs it.
	idleCalls = 1
	// callWeight is the weight of the last call in the average duration of calls.
	callWeight = 0.125
	// slowCall is the duration of calls from which on a request does not ask several coordinators one after the
	// other.
	slowCall = 20 * time.Millisecond
	// waitCalls sets how long a request waits at the coordinator in one call, in times the duration of calls, from
	// minCallWait to maxCallWait.
	waitCalls, minCallWait, maxCallWait = 4, 250 * time.Millisecond, 1500 * time.Millisecond
	// A call is late after the wait, lateCalls times the usual duration of calls and lateReserve.
	lateCalls, lateReserve = 2, 100 * time.Millisecond
	// retryPause is the time between two calls to a coordinator that does not answer.
	retryPause = 250 * time.Millisecond
	// demandTime is the time constant of the demand.
	demandTime = time.Second
	// minHeldLeft is the least time that an account states for a permit in use: a request may run for longer than
	// any lifetime, and its holder is asked again before this time has passed.
	minHeldLeft = 4 * auditPause
	// minLostRetry to lostRetrySpread later is what refused callers are told while no coordinator answers, each
	// lostRetryStep more than the one before.
	minLostRetry, lostRetrySpread, lostRetryStep = 300 * time.Millisecond, 600 * time.Millisecond, 20 * time.Millisecond
)

// Keeper holds the permits of one instance that one coordinator lends strictly. Where calls for permits are slow, or no
// coordinator answers, it uses permits for several requests, one after the other. Exported fields are set before the
// first call. It is safe for concurrent use.
type Keeper struct {
	// Call asks the coordinator for a permit, once. It returns ErrStillWaiting, an error that wraps ErrRefused, or
	// another one if no coordinator has answered. took is the duration of the call without the wait at the
	// coordinator.
	Call func(r Request) (p Permit, took time.Duration, err error)
	// Return gives a permit back with the result of its last request. It does not block.
	Return func(p Permit, r Result)

	lock sync.Mutex // guards the fields below
	held map[uint64]*keptPermit
	idle []*keptPermit
	// left holds the permits that were given back because the callers have left. Their requests may still be at the
	// upstreams.
	left []leftPermit
	// waiting holds the requests that wait for a permit of this instance, first come first.
	waiting []*keeperWaiter
	// callTime is the average duration of calls, serviceTime the last expected time of a request, maxService how long
	// nearly all requests take.
	callTime, serviceTime, maxService time.Duration
	// calls holds when each call in progress has begun.
	calls map[*keeperWaiter]time.Time
	// answeredAt is when a call or a question of the coordinator last arrived.
	answeredAt time.Time
	// lost is set from a call that no coordinator answered until one does. askAt is when the next call may begin.
	lost  bool
	askAt time.Time
	// question is the last question that was answered.
	question Question
	timer    *time.Timer
	refusals int
	// demand counts the arriving requests of a moving average.
	demand   float64
	demandAt time.Time
}

// keptPermit is a permit that the instance holds.
type keptPermit struct {
	Permit
	// askedAt is from when on its lifetime counts, receivedAt when it was received.
	askedAt, receivedAt time.Time
	// hold is the fraction of the hold time for which it is used again, so that not all are given back at once.
	hold      float64
	idleSince time.Time
	// last is the result of the last request.
	last Result
}

// leftPermit is a permit of a request whose caller has left, until it has ended at the upstream.
type leftPermit struct {
	id       uint64
	upstream string
	until    time.Time
}

// keeperWaiter is a request that waits.
type keeperWaiter struct {
	request *Request
	decided chan keeperDecision
	// asking is set while a call for it is in progress.
	asking bool
}

// keeperDecision is the end of a wait.
type keeperDecision struct {
	permit *keptPermit
	err    error
}

// Acquire waits until the request gets a permit or is refused, or until ctx ends.
func (k *Keeper) Acquire(ctx context.Context, r Request) (Permit, error) {
	w := k.enter(&r)
	last := time.NewTimer(time.Until(k.latestBegin(&r)))
	defer last.Stop()
	target := time.NewTimer(time.Until(r.Target))
	defer target.Stop()
	for {
		select {
		case d := <-w.decided:
			return d.result()
		case <-ctx.Done():
			return k.leave(w, ctx.Err())
		case <-last.C:
			return k.leave(w, &RefusedError{Reason: ReasonTooLate, RetryAfter: minPause})
		case <-target.C:
			if !r.Target.IsZero() {
				k.endLocalWait(w)
			}
		}
	}
}

// endLocalWait refuses a request that has missed its target while it waited for a permit of this instance alone: the
// wait is longer than was expected.
func (k *Keeper) endLocalWait(w *keeperWaiter) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if n := slices.Index(k.waiting, w); n >= 0 && !w.asking {
		k.decide(n, keeperDecision{err: &RefusedError{Reason: ReasonLate, RetryAfter: max(k.serviceTime, minPause)}})
	}
}

func (d keeperDecision) result() (Permit, error) {
	if d.err != nil {
		return Permit{}, d.err
	}
	return d.permit.Permit, nil
}

// latestBegin returns when a request must begin to be served before its deadline.
func (k *Keeper) latestBegin(r *Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Now().Add(maxLifetime)
	}
	k.lock.Lock()
	defer k.lock.Unlock()
	return r.Deadline.Add(-k.serviceTime)
}

// enter decides on a request at once, or has it wait and asks the coordinator for it.
func (k *Keeper) enter(r *Request) *keeperWaiter {
	k.lock.Lock()
	defer k.lock.Unlock()
	now := time.Now()
	k.noteArrival(now)
	w := &keeperWaiter{request: r, decided: make(chan keeperDecision, 1)}
	if p := k.takeIdle(r, now); p != nil {
		w.decided <- keeperDecision{permit: p}
		return w
	}
	k.noteLateCalls(now)
	servedHere := k.expectsPermit(r, now)
	asks := k.mayAsk(r, now) && (k.lost || !servedHere || k.callTime < k.serviceTime)
	switch {
	case r.NoWait && !asks:
		w.decided <- keeperDecision{err: &RefusedError{Reason: ReasonNotAsked, RetryAfter: minPause}}
		return w
	case !asks && !servedHere:
		w.decided <- keeperDecision{err: k.refusal()}
		return w
	}
	k.waiting = append(k.waiting, w)
	if asks {
		k.ask(w, now)
	}
	return w
}

// noteArrival counts a request in the demand.
func (k *Keeper) noteArrival(now time.Time) {
	k.demand = k.demandNow(now) + 1/demandTime.Seconds()
	k.demandAt = now
}

func (k *Keeper) demandNow(now time.Time) float64 {
	return k.demand * math.Exp(-float64(now.Sub(k.demandAt))/float64(demandTime))
}

// Demand returns the rate of requests at the instance, a second.
func (k *Keeper) Demand() float64 {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.demandNow(time.Now())
}

// takeIdle takes the permit that fits a request and was in use last, so that those that are not needed stay idle and are
// given back.
func (k *Keeper) takeIdle(r *Request, now time.Time) *keptPermit {
	for n := len(k.idle) - 1; n >= 0; n-- {
		if p := k.idle[n]; p.fits(r, now) {
			k.idle = slices.Delete(k.idle, n, n+1)
			return p
		}
	}
	return nil
}

// reuses reports whether permits are used for several requests.
func (k *Keeper) reuses() bool { return k.lost || k.holdTime() > k.serviceTime }

// holdTime returns for how long a permit is used again.
func (k *Keeper) holdTime() time.Duration { return min(holdCalls*k.callTime, maxHold) }

// expectsPermit reports whether a request is expected to get a permit that this instance holds before its target, or,
// without one, before its deadline.
func (k *Keeper) expectsPermit(r *Request, now time.Time) bool {
	held := len(k.held) - len(k.idle)
	if held == 0 || !k.reuses() || r.NoWait {
		return false
	}
	due := r.Target
	if due.IsZero() {
		due = r.Deadline
	}
	rounds := time.Duration(len(k.waiting)/held) + 1
	return due.IsZero() || !now.Add((rounds+1)*k.serviceTime).After(due)
}

// refusal returns the error of a request that is refused without a call. The times named differ between callers.
func (k *Keeper) refusal() error {
	if !k.lost {
		return &RefusedError{Reason: ReasonBusy, RetryAfter: max(k.callTime, minPause)}
	}
	k.refusals++
	spread := time.Duration(k.refusals) * lostRetryStep % lostRetrySpread
	return &RefusedError{Reason: ReasonNoCoordinator, RetryAfter: minLostRetry + spread}
}

// decide ends the wait of the nth waiting request.
func (k *Keeper) decide(n int, d keeperDecision) {
	k.waiting[n].decided <- d
	k.waiting = slices.Delete(k.waiting, n, n+1)
}

// leave ends the wait of a request with an error, unless it has just been decided on. A permit for a caller that has
// left is given to another request.
func (k *Keeper) leave(w *keeperWaiter, err error) (Permit, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if n := slices.Index(k.waiting, w); n >= 0 {
		k.waiting = slices.Delete(k.waiting, n, n+1)
		return Permit{}, err
	}
	d := <-w.decided
	if d.err != nil {
		return Permit{}, err
	}
	d.permit.last = Result{Outcome: OutcomeUnused}
	k.offer(d.permit, time.Now())
	return Permit{}, err
}
