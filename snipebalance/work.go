package snipebalance

import "time"

// maxQuantity bounds the quantities of a valid Work.
const maxQuantity = 1e12

// Work is the work in flight at an upstream, or the part of it that one instance has sent there.
// The zero value means that it is not known: instances of an earlier version report only its weight.
type Work struct {
	// Requests is the number of requests that have not ended.
	Requests float64
	// PendingTokens is the number of prompt tokens of the requests whose answer has no event yet.
	PendingTokens float64
	// ReservedTokens is the number of tokens for which the requests take memory of an engine.
	ReservedTokens float64
	// Pace is the pace that the upstream stated at the time PacedAt; zero if it stated none.
	Pace    float64
	PacedAt time.Time
}

// Valid reports whether all quantities are in range, which those of a message may not be.
func (w Work) Valid() bool {
	for _, f := range []float64{w.Requests, w.PendingTokens, w.ReservedTokens, w.Pace} {
		if !(f >= 0 && f <= maxQuantity) { // also for a value that is no number
			return false
		}
	}
	return true
}

// orLoad returns the work, or as many requests as the load if only the load is known. The weight of
// the prompts then counts as requests, since it cannot be told apart.
func (w Work) orLoad(load float64) Work {
	if w.Requests == 0 && load > 0 {
		w.Requests = load
	}
	return w
}

// add returns the sum of two parts of the work at an upstream, with the newer pace.
func (w Work) add(other Work) Work {
	w.Requests += other.Requests
	w.PendingTokens += other.PendingTokens
	w.ReservedTokens += other.ReservedTokens
	if other.Pace > 0 && other.PacedAt.After(w.PacedAt) {
		w.Pace, w.PacedAt = other.Pace, other.PacedAt
	}
	return w
}

// quantity is one quantity of what is in flight at an upstream: the part that this instance has sent
// there, and the last reported total.
type quantity struct {
	own float64
	// ownThen is the value of own at the time of the report, which the reported total includes.
	reported, ownThen float64
	reportedAt        time.Time
}

// remove subtracts what has ended from the part of this instance.
func (q *quantity) remove(n float64) { q.own = max(q.own-n, 0) }

// report records a total as reported at a time.
func (q *quantity) report(total float64, at time.Time) {
	q.reported, q.ownThen, q.reportedAt = total, q.own, at
}

// total estimates the quantity of all instances. The others' part decreases with the age of the
// report, and is zero from the given lifetime on.
func (q *quantity) total(now time.Time, lifetime time.Duration) float64 {
	age := now.Sub(q.reportedAt)
	if age >= lifetime {
		return q.own
	}
	return q.own + max(q.reported-q.ownThen, 0)*float64(lifetime-age)/float64(lifetime)
}

// OwnWork returns the work of this instance's requests at an upstream of a service that states
// paces, and the last pace that the upstream stated to this instance itself. A pace that another
// instance reported is not reported again, since its age would exclude the time of each message.
func (b *Balancer) OwnWork(id string) Work {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[id]
	if s == nil || !b.paced(s.service, time.Now()) {
		return Work{}
	}
	return Work{
		Requests: s.requests.own, PendingTokens: s.pending.own, ReservedTokens: s.reserved.own,
		Pace: s.stated.Pace, PacedAt: s.statedAt,
	}
}

// SetWork records the load and the work of an upstream, as a Board reports them now. Both include
// this instance's requests in flight.
func (b *Balancer) SetWork(id string, load float64, w Work) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	b.setLoad(id, load, now)
	b.setWork(id, w.orLoad(load), now)
}

// setWork records the work of an upstream as reported at a time. The lock must be held.
func (b *Balancer) setWork(id string, w Work, at time.Time) {
	s := b.state(id)
	s.requests.report(w.Requests, at)
	s.pending.report(w.PendingTokens, at)
	s.reserved.report(w.ReservedTokens, at)
	s.pace.recordStated(w.Pace, w.PacedAt)
}

// reportedWork returns the last reported work of an upstream, or the zero value if only its load is
// known.
func (s *state) reportedWork() Work {
	if s.pace.stated == 0 && s.pending.reported == 0 && s.reserved.reported == 0 {
		return Work{}
	}
	return Work{
		Requests: s.requests.reported, PendingTokens: s.pending.reported, ReservedTokens: s.reserved.reported,
		Pace: s.pace.stated, PacedAt: s.pace.statedAt,
	}
}
