package snipeadmission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// The methods below are about the calls for permits; see Keeper.

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
