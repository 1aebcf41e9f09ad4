package snipeadmission

import (
	"slices"
	"time"
)

// The methods below are about the permits that a Keeper holds.

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
