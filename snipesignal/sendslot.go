package snipesignal

import "time"

const (
	// shareLife is how long a share is used before it is computed again, because the number of
	// instances changes when instances start and stop, and the issued part with the callers.
	shareLife = 200 * time.Millisecond
	// probeAfter is the time since the upstream last named its limit, as far as this instance
	// knows, after which an instance that only probes sends a probe. A probe shows whether the
	// limit still holds. The time is several announcement intervals, so that instances do not probe
	// a limit that others still announce.
	probeAfter = 3 * announceInterval
	// maxRetryAfter is the longest retry time that is returned for a refused caller.
	maxRetryAfter = 5 * time.Second
)

// sendSlots determines when this instance may send requests to an upstream that names a limit.
type sendSlots struct {
	// share was computed at shareAt.
	share   Share
	shareAt time.Time
	// next is when the next send slot begins. lastRetry is the retry time that was last given to a
	// refused caller.
	next      time.Time
	lastRetry time.Time
}

// begin resets the send slots for a limit that starts now with the share p.
func (s *sendSlots) begin(p Share, now time.Time) {
	*s = sendSlots{share: p, shareAt: now, next: now.Add(p.First)}
}

// setShare replaces the share. If the next send slot is further away than the new interval,
// setShare moves it to the end of that interval.
func (s *sendSlots) setShare(p Share, now time.Time) {
	s.share, s.shareAt = p, now
	if latest := now.Add(p.Interval); s.next.After(latest) {
		s.next = latest
	}
}

// open reports whether a request may be sent. sinceSignal is the time since the upstream last named
// the limit, as far as this instance has been notified. An instance that only probes may send only
// while a send slot lasts, and only if sinceSignal is at least probeAfter.
func (s *sendSlots) open(now time.Time, sinceSignal time.Duration) bool {
	since := now.Sub(s.next)
	if s.share.SlotTime == 0 || since < 0 {
		return since >= 0
	}
	return sinceSignal >= probeAfter && since%s.share.Interval < s.share.SlotTime
}

// use takes the send slot that is open, and sets the beginning of the next one.
func (s *sendSlots) use(now time.Time) {
	if s.share.SlotTime == 0 {
		earliest := now.Add(-time.Duration(s.share.Burst) * s.share.Interval)
		if s.next.Before(earliest) {
			s.next = earliest
		}
		s.next = s.next.Add(s.share.Interval)
		return
	}
	passed := now.Sub(s.next) / s.share.Interval
	s.next = s.next.Add((passed + 1) * s.share.Interval)
}

// share returns the share of this instance in the limit of an upstream; the whole limit if Share is
// nil.
func (b *Tracker) share(upstream string, limit float64) Share {
	if b.Share == nil {
		return Divide(limit, 1, 0)
	}
	return b.Share(upstream, limit)
}

// Open reports whether a request may be sent to an upstream now: no backoff is in force, and if
// there is a limit, a send slot is open. It takes no send slot and ignores leaving.
func (b *Tracker) Open(upstream string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.entries[upstream]
	return e == nil || e.open(time.Now())
}

func (e *entry) open(now time.Time) bool {
	return e.backoff.open(now) && (!e.Limited || e.slots.open(now, now.Sub(e.signaledAt)))
}

// Take takes the send slot for a request that is about to be sent to an upstream, after it has
// computed again a share older than shareLife. It returns nil and false if the request may not be
// sent. The returned function must be called if the request was not sent after all: it makes the
// send slot available again.
func (b *Tracker) Take(upstream string) (undo func(), ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	e := b.entries[upstream]
	if e == nil {
		return func() {}, true
	}
	now := time.Now()
	if e.Limited && now.Sub(e.slots.shareAt) >= shareLife {
		e.slots.setShare(b.share(upstream, e.Limit), now)
	}
	if !e.open(now) {
		return nil, false
	}
	next, probedAt := e.slots.next, e.backoff.probedAt
	if e.Limited {
		e.slots.use(now)
	}
	e.backoff.probedAt = now
	return func() {
		b.lock.Lock()
		defer b.lock.Unlock()
		e.slots.next, e.backoff.probedAt = next, probedAt
	}, true
}

// RetryAfter returns the time after which a request that could be sent to none of the given
// upstreams may be retried: from retrySpacing to maxRetryAfter. It considers the upstreams with a
// limit or a backoff in force, takes the one that accepts a request first, and records the time as
// given, so that the next caller gets a later one. It returns false if no upstream has a limit or a
// backoff in force.
func (b *Tracker) RetryAfter(upstreams []string) (time.Duration, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var first *entry
	var soonest time.Time
	for _, id := range upstreams {
		e := b.entries[id]
		if e == nil || !e.Limited && !now.Before(e.backoff.until) {
			continue
		}
		if at := e.nextRetry(); first == nil || at.Before(soonest) {
			first, soonest = e, at
		}
	}
	if first == nil {
		return 0, false
	}
	first.slots.lastRetry, first.backoff.lastRetry = soonest, soonest
	return min(max(soonest.Sub(now), retrySpacing), maxRetryAfter), true
}

// nextRetry returns the earliest retry time that neither the backoff nor the send slots forbid, and
// that no caller has been given.
func (e *entry) nextRetry() time.Time {
	at := e.backoff.nextRetry()
	if e.Limited && e.slots.nextRetry().After(at) {
		return e.slots.nextRetry()
	}
	return at
}

// nextRetry returns the earliest time of a send slot that no caller has been given.
func (s *sendSlots) nextRetry() time.Time {
	if at := s.lastRetry.Add(s.share.Interval); at.After(s.next) {
		return at
	}
	return s.next
}
