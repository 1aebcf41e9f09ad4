package snipeadmission

import (
	"context"
	"math"
	"math/rand/v2"
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

// ends returns when the permit's lifetime ends.
func (p *keptPermit) ends() time.Time { return p.askedAt.Add(p.Lifetime) }

// covers reports whether a request that begins now has surely left the upstream before the permit's lifetime ends.
func (p *keptPermit) covers(r *Request, now time.Time) bool {
	left := maxLifetime - maxLinger - lifetimeReserve
	if !r.Deadline.IsZero() {
		left = min(left, r.Deadline.Sub(now))
	}
	return !now.Add(left + maxLinger).After(p.ends())
}

// fits reports whether the permit may be used for a request.
func (p *keptPermit) fits(r *Request, now time.Time) bool {
	return p.covers(r, now) && !slices.Contains(r.Excluded, p.Upstream)
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

// mayAsk reports whether the coordinator may be asked for a request now.
func (k *Keeper) mayAsk(r *Request, now time.Time) bool {
	if r.NoWait && k.callTime >= slowCall {
		return false
	}
	return !now.Before(k.askAt)
}

// maxWait returns how long a request may wait in one call: the longer, the less of the time is spent on messages.
func (k *Keeper) maxWait() time.Duration {
	return min(max(minCallWait, waitCalls*k.callTime), maxCallWait)
}

// lateAfter returns the duration from which on a call is late.
func (k *Keeper) lateAfter() time.Duration { return k.maxWait() + lateCalls*k.callTime + lateReserve }

// noteLateCalls takes a coordinator for lost as soon as a call is late and none that began later was answered. The call
// goes on.
func (k *Keeper) noteLateCalls(now time.Time) {
	limit := k.lateAfter()
	for _, begun := range k.calls {
		if now.Sub(begun) >= limit && k.answeredAt.Before(begun) {
			k.noteLost(now)
			return
		}
	}
}

// checkCalls looks for late calls.
func (k *Keeper) checkCalls() {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.noteLateCalls(time.Now())
}

// noteLost records that no coordinator answers, and refuses the waiting requests that no permit of this instance is
// expected for.
func (k *Keeper) noteLost(now time.Time) {
	if k.askAt.Before(now) {
		k.askAt = now.Add(retryPause)
	}
	if k.lost {
		return
	}
	k.lost = true
	for n := len(k.waiting) - 1; n >= 0; n-- {
		if !k.expectsPermit(k.waiting[n].request, now) {
			k.decide(n, keeperDecision{err: k.refusal()})
		}
	}
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

// ask asks the coordinator for a permit for a waiting request. The call goes on if the request no longer waits, so that
// a permit that was lent is not lost.
func (k *Keeper) ask(w *keeperWaiter, now time.Time) {
	w.asking = true
	if k.calls == nil {
		k.calls = make(map[*keeperWaiter]time.Time)
	}
	k.calls[w] = now
	if k.lost {
		k.askAt = now.Add(retryPause)
	}
	late := time.AfterFunc(k.lateAfter(), k.checkCalls)
	r := *w.request
	r.MaxWait, r.Demand = k.maxWait(), k.demand
	go func() {
		defer late.Stop()
		for again := true; again; {
			asked := time.Now()
			p, took, err := k.Call(r)
			r.Arrived, r.Excluded = arrivedAt(r, asked), nil
			again = k.receive(w, p, asked, took, err)
		}
	}()
}

// arrivedAt returns when a request arrived: the time that it states, or else t.
func arrivedAt(r Request, t time.Time) time.Time {
	if r.Arrived.IsZero() {
		return t
	}
	return r.Arrived
}

// receive records the end of a call, and reports whether the coordinator is to be asked again for the request.
func (k *Keeper) receive(w *keeperWaiter, p Permit, asked time.Time, took time.Duration, err error) (again bool) {
	k.lock.Lock()
	defer k.lock.Unlock()
	now := time.Now()
	delete(k.calls, w)
	waits := slices.Contains(k.waiting, w)
	if err == nil || errors.Is(err, ErrRefused) || errors.Is(err, ErrStillWaiting) {
		k.noteCall(took)
	}
	if err == nil {
		err = k.refuseNotStrict(p)
	}
	void := err == nil && k.isVoid(p)
	if waits && (void || errors.Is(err, ErrStillWaiting)) {
		k.calls[w] = now
		return true
	}
	w.asking = false
	switch {
	case void, errors.Is(err, ErrStillWaiting):
	case err == nil:
		k.add(w, p, asked, now)
	default:
		k.deny(w, err, now)
	}
	return false
}

// noteCall records the duration of a call that a coordinator answered.
func (k *Keeper) noteCall(took time.Duration) {
	if k.callTime == 0 {
		k.callTime = took
	}
	k.callTime += time.Duration(callWeight * float64(took-k.callTime))
	k.lost, k.askAt, k.answeredAt = false, time.Time{}, time.Now()
}

// refuseNotStrict gives a permit back that was not lent strictly, and returns a refusal of its request: the coordinator knows
// that strictness is no longer needed, or does not know that it is. Before a coordinator has asked for an account, such a
// permit is used.
func (k *Keeper) refuseNotStrict(p Permit) error {
	if p.Fence > 0 || k.question.Fence == 0 {
		return nil
	}
	k.Return(p, Result{Outcome: OutcomeUnused})
	return &RefusedError{Reason: ReasonBusy, RetryAfter: minPause}
}

// isVoid reports whether a permit that arrives now was lent before a question that was answered.
func (k *Keeper) isVoid(p Permit) bool {
	return p.Fence < k.question.Fence || p.Fence == k.question.Fence && p.ID <= k.question.LastID
}

// add adds a permit that was lent, for the request that it was asked for or else for the next one that waits.
func (k *Keeper) add(w *keeperWaiter, p Permit, asked, now time.Time) {
	if k.held == nil {
		k.held = make(map[uint64]*keptPermit)
	}
	k.serviceTime, k.maxService = p.ServiceTime, p.MaxServiceTime
	kept := &keptPermit{Permit: p, askedAt: asked, receivedAt: now, last: Result{Outcome: OutcomeUnused}}
	kept.hold = 1 - maxHoldSpread*rand.Float64() //nolint:gosec // not a secret
	k.held[p.ID] = kept
	if n := slices.Index(k.waiting, w); n >= 0 && kept.fits(w.request, now) {
		k.decide(n, keeperDecision{permit: kept})
		return
	}
	k.offer(kept, now)
}

// deny ends the wait of a request that was not granted a permit, unless one of this instance is expected in time.
func (k *Keeper) deny(w *keeperWaiter, err error, now time.Time) {
	if errors.Is(err, ErrRefused) {
		if k.callTime >= slowCall {
			k.askAt = now.Add(k.callTime / 2)
		}
	} else {
		k.noteLost(now)
		err = k.refusal()
	}
	n := slices.Index(k.waiting, w)
	if n < 0 || k.expectsPermit(w.request, now) {
		return
	}
	k.decide(n, keeperDecision{err: err})
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

// Release ends the use of a permit by a request. It does not block.
func (k *Keeper) Release(id uint64, r Result) {
	k.lock.Lock()
	defer k.lock.Unlock()
	p := k.held[id]
	if p == nil {
		return
	}
	p.last = r
	if r.Outcome != OutcomeServed && r.Outcome != OutcomeUnused {
		k.giveBack(p)
		return
	}
	k.offer(p, time.Now())
}

// offer gives a permit that is not in use to the next request, keeps it, or gives it back.
func (k *Keeper) offer(p *keptPermit, now time.Time) {
	if !now.Before(k.keptUntil(p)) {
		k.giveBack(p)
		return
	}
	if n := k.next(p, now); n >= 0 {
		k.decide(n, keeperDecision{permit: p})
		return
	}
	p.idleSince = now
	k.idle = append(k.idle, p)
	k.sweepLater()
}

// next returns the position of the most urgent waiting request that a permit fits, or -1.
func (k *Keeper) next(p *keptPermit, now time.Time) int {
	best := -1
	for n, w := range k.waiting {
		if p.fits(w.request, now) && (best < 0 || w.request.Priority < k.waiting[best].request.Priority) {
			best = n
		}
	}
	return best
}

// keptUntil returns until when a permit is used again.
func (k *Keeper) keptUntil(p *keptPermit) time.Time {
	end := p.ends().Add(-maxLinger)
	switch {
	case k.lost:
		return end
	case !p.Reusable, len(k.held) > k.question.Share && k.question.Share > 0:
		return p.receivedAt
	}
	return earlier(end, p.receivedAt.Add(time.Duration(p.hold*float64(k.holdTime()))))
}

// giveBack gives a permit back to the coordinator. It must not be used after that, even if the coordinator does not
// learn of it.
func (k *Keeper) giveBack(p *keptPermit) {
	delete(k.held, p.ID)
	if p.last.Outcome == OutcomeCanceled {
		now := time.Now()
		k.left = slices.DeleteFunc(k.left, func(l leftPermit) bool { return !now.Before(l.until) })
		k.left = append(k.left, leftPermit{p.ID, p.Upstream, now.Add(lingerTime(p.MaxServiceTime, p.last.Took))})
	}
	k.Return(p.Permit, p.last)
}

// sweepLater has the idle permits looked at again.
func (k *Keeper) sweepLater() {
	pause := max(idleCalls*k.callTime, minPause)
	if k.timer == nil {
		k.timer = time.AfterFunc(pause, k.sweep)
		return
	}
	k.timer.Reset(pause)
}

// sweep gives back the permits that are idle for long.
func (k *Keeper) sweep() {
	k.lock.Lock()
	defer k.lock.Unlock()
	now := time.Now()
	k.idle = slices.DeleteFunc(k.idle, func(p *keptPermit) bool {
		ends := now.Before(k.keptUntil(p)) && (k.lost || now.Sub(p.idleSince) < idleCalls*k.callTime)
		if !ends {
			k.giveBack(p)
		}
		return !ends
	})
	if len(k.idle) > 0 {
		k.sweepLater()
	}
}

// Answer returns the instance's permits for a question, and false if it knows of a later term.
func (k *Keeper) Answer(q Question) ([]HeldPermit, bool) {
	k.lock.Lock()
	defer k.lock.Unlock()
	switch {
	case q.Fence < k.question.Fence:
		return nil, false
	case q.Fence > k.question.Fence:
		k.question = q
	default:
		k.question.LastID, k.question.Share = max(k.question.LastID, q.LastID), q.Share
	}
	now := time.Now()
	k.lost, k.askAt, k.answeredAt = false, time.Time{}, now
	all := make([]HeldPermit, 0, len(k.held))
	for _, p := range k.held {
		left := p.ends().Sub(now)
		if !slices.Contains(k.idle, p) {
			left = max(left, minHeldLeft)
		}
		all = append(all, HeldPermit{ID: p.ID, Upstream: p.Upstream, Left: left})
	}
	for _, p := range k.left {
		if left := p.until.Sub(now); left > 0 {
			all = append(all, HeldPermit{ID: p.id, Upstream: p.upstream, Left: left})
		}
	}
	return all, true
}

// Idle returns the number of permits that the instance holds and does not use.
func (k *Keeper) Idle() int {
	k.lock.Lock()
	defer k.lock.Unlock()
	return len(k.idle)
}

// MaxServiceTime returns how long nearly all requests take at most, as the last permit told; zero before the first one.
func (k *Keeper) MaxServiceTime() time.Duration {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.maxService
}

// Held returns the numbers of permits that the instance holds, in use or not, by upstream. Those that may no longer be
// used are left out.
func (k *Keeper) Held() map[string]int {
	k.lock.Lock()
	defer k.lock.Unlock()
	now := time.Now()
	all := make(map[string]int)
	for _, p := range k.held {
		if now.Before(p.ends()) || !slices.Contains(k.idle, p) {
			all[p.Upstream]++
		}
	}
	return all
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
