package snipebalance

import (
	"time"
)

// RecordAnswer records an answer, and whether it was a failure. Any answer, also a failure, ends a
// suspicion and resets the count of requests without an answer.
func (b *Balancer) RecordAnswer(id string, failed bool) {
	b.lock.Lock()
	s, now := b.state(id), time.Now()
	s.answeredAt = now
	s.failures *= failureDecay
	if failed {
		s.failures += 1 - failureDecay
		s.failedAt = now
	}
	wasSuspect := s.suspicion > 0
	s.unanswered, s.suspicion, s.suspectUntil = 0, 0, time.Time{}
	b.lock.Unlock()
	if wasSuspect {
		b.notify(id, false)
	}
}

// AnsweredWithin reports whether an upstream has answered a request of this instance within the last d.
func (b *Balancer) AnsweredWithin(id string, d time.Duration) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[id]
	return s != nil && !s.answeredAt.IsZero() && time.Since(s.answeredAt) <= d
}

// RecordUnanswered records that a request got no usable answer. The upstream becomes suspect after
// maxUnanswered failures in a row.
func (b *Balancer) RecordUnanswered(id string) { b.recordFailure(id, false) }

// RecordUnreached records that a connection to an upstream, or to the owner of an engine, could not
// be opened. This makes the upstream suspect at once.
func (b *Balancer) RecordUnreached(id string) { b.recordFailure(id, true) }

// EndSuspicion records that the failures to reach an upstream were not its own.
func (b *Balancer) EndSuspicion(id string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s := b.states[id]; s != nil {
		s.unanswered, s.suspicion, s.suspectUntil = 0, 0, time.Time{}
	}
}

// RecordReplaced records that another upstream answered at the address of this one, so that this
// one is gone for good. This one is then suspect for replacedSuspicion.
func (b *Balancer) RecordReplaced(id string) {
	b.lock.Lock()
	b.state(id).suspectUntil = time.Now().Add(replacedSuspicion)
	b.lock.Unlock()
	b.notify(id, true)
}

// recordFailure counts a failure, which makes the upstream suspect if atOnce is set, and otherwise
// from the maxUnanswered-th failure in a row on. Each failure that does so doubles the time for which
// the upstream is suspect, up to maxSuspicion.
func (b *Balancer) recordFailure(id string, atOnce bool) {
	b.lock.Lock()
	s := b.state(id)
	s.unanswered++
	s.failures = s.failures*failureDecay + 1 - failureDecay
	s.failedAt = time.Now()
	suspect := atOnce || s.unanswered >= maxUnanswered
	if suspect {
		s.suspicion = min(max(2*s.suspicion, minSuspicion), maxSuspicion)
		s.suspectUntil = time.Now().Add(s.suspicion)
	}
	b.lock.Unlock()
	if suspect {
		b.notify(id, true)
	}
}

func (b *Balancer) notify(id string, suspect bool) {
	if b.Suspect != nil {
		b.Suspect(id, suspect)
	}
}
