// Package snipebalance picks an upstream of a service for each request, by the load and health
// that this instance has recorded for the upstreams. The load of an upstream is the total weight of
// the requests in flight there from all instances (see Weight).
//
// The load is estimated as the weight of this instance's own requests in flight, plus the reported
// load of the other instances: the last report less the weight of this instance's own requests at
// that time. This second part decreases with the age of the report and is zero from reportLifetime
// on, so that an upstream that was busy receives requests again.
//
// Where the upstreams of a service state a pace, an upstream is picked by the expected time to the
// first event instead (see PickExpected). Its model is fitted to the observed times of the service's
// requests (model.go), and the work in flight is kept by its parts: requests, prompt tokens that are
// not yet processed, and tokens in an engine's memory (work.go, flight.go).
//
// Picking an upstream depends only on the recorded state, the clock and, for PickExpected, chance: it
// does no I/O and allocates nothing.
package snipebalance

import (
	"maps"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipedirectory"
)

const (
	// reportLifetime is the age at which a reported load has no influence any more. It is as long
	// as several answers take under the usual load.
	reportLifetime = 2 * time.Second
	// minClearAge is the age that a recorded load must exceed before its absence from another
	// instance's reports resets it to zero. A more recent load is kept, because it may have begun
	// after the other instance received its reports.
	minClearAge = 500 * time.Millisecond
	// remoteCost is the additional cost of an upstream in another failure domain than this
	// instance's, as a fraction of the upstream's slots. Traffic between domains costs about a
	// tenth of the slowdown that a busy upstream causes.
	remoteCost = 0.10
	// failureCost is the cost of a failure rate of 1, as a multiple of the upstream's slots.
	failureCost = 3.0
	// failureDecay is the fraction of the previous failure rate that remains after each answer.
	failureDecay = 0.85
	// minSuspicion is how long an upstream is suspect at first, for example after it could not
	// be reached. Further failures double the time, up to maxSuspicion.
	minSuspicion = 300 * time.Millisecond
	maxSuspicion = 3 * time.Second
	// replacedSuspicion is how long an upstream is suspect after another upstream has answered
	// at its address. Its directory entry takes less time than this to disappear.
	replacedSuspicion = 10 * time.Second
	// maxUnanswered is the number of consecutive requests without an answer that makes an
	// upstream suspect.
	maxUnanswered = 3
	// tokensPerRequest is the number of prompt tokens that count as one additional request:
	// while an engine processes a prompt, it generates nothing for its other requests.
	tokensPerRequest = 1000
)

// state is the recorded load and health of one upstream.
type state struct {
	// weight is the load: the weight of the requests in flight.
	weight quantity
	// stated is the last load that the upstream stated with an answer, at statedAt.
	stated   StatedLoad
	statedAt time.Time
	// service is the upstream's service; empty before the first request.
	service string
	// requests, pending and reserved are the requests in flight, the prompt tokens of those without
	// a first event, and the tokens for which they take memory.
	requests, pending, reserved quantity
	pace                        paceEstimate
	// failures is the moving average of the failure rate: of answers that were failures, and of
	// requests that got no answer. failedAt is the time of the last failure.
	failures float64
	failedAt time.Time
	// answeredAt is when the upstream last answered a request of this instance.
	answeredAt time.Time
	// unanswered counts consecutive requests without an answer, including those for which no
	// connection could be opened.
	unanswered int
	// suspicion is the length of the last suspicion that failures caused. An answer resets it to
	// zero. suspectUntil is when the suspicion ends, whatever caused it.
	suspicion    time.Duration
	suspectUntil time.Time
}

// Balancer records the load and health of all upstreams, and picks among them. Exported fields
// are set before the first call; it is safe for concurrent use.
type Balancer struct {
	// Domain is this instance's failure domain.
	Domain string
	// Suspect is called with true each time an upstream is marked as suspect, also if it already
	// was, and with false at the first answer after failures made it suspect. It is called without
	// the lock held, and may be nil.
	Suspect func(id string, suspect bool)
	// Open reports whether an upstream accepts requests now, by its own signals; nil means that all
	// always do. An upstream for which Open returns false is never picked, not even as the last one
	// left.
	Open func(id string) bool

	// IgnorePace has every service treated as one whose upstreams state no pace.
	IgnorePace bool
	// Random returns a random number from 0 to below 1; nil means math/rand/v2.
	Random func() float64

	lock   sync.Mutex // guards the fields below
	states map[string]*state
	models map[string]*model // by service
	// exceeded counts the choices of an upstream whose memory the request exceeds.
	exceeded uint64
}

// Weight returns the weight of a request whose prompt has the given number of tokens. A request
// without a prompt weighs 1.
func Weight(prompt int) float64 { return 1 + float64(prompt)/tokensPerRequest }

// Filter reports whether an upstream may be picked.
type Filter func(u *snipedirectory.Upstream) bool

// Cost returns the cost of an upstream for one request that is added to the cost of its load and
// health. The unit is the load of one request.
type Cost func(u *snipedirectory.Upstream) float64

// Pick returns the upstream with the lowest cost among those that pass the filter, are open and are
// not leaving; nil when there is none. A suspect upstream is picked only if all of these are
// suspect. The extra cost may be nil. Pick records nothing: the caller calls Begin when it sends
// the request.
func (b *Balancer) Pick(all []*snipedirectory.Upstream, allowed Filter, extra Cost) *snipedirectory.Upstream {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var best *snipedirectory.Upstream
	var bestCost float64
	bestSuspect := true
	for _, u := range all {
		if !b.eligible(u, allowed) {
			continue
		}
		cost, suspect := b.cost(u, now)
		if extra != nil {
			cost += extra(u) / float64(max(u.Slots, 1))
		}
		if best == nil || bestSuspect && !suspect || suspect == bestSuspect && cost < bestCost {
			best, bestCost, bestSuspect = u, cost, suspect
		}
	}
	return best
}

// eligible reports whether a request may be sent to an upstream, suspect or not.
func (b *Balancer) eligible(u *snipedirectory.Upstream, allowed Filter) bool {
	return !u.Leaving && allowed(u) && b.open(u.ID)
}

func (b *Balancer) open(id string) bool { return b.Open == nil || b.Open(id) }

// Usable reports whether an upstream accepts requests and is neither leaving nor suspect.
func (b *Balancer) Usable(u *snipedirectory.Upstream) bool {
	if u.Leaving || !b.open(u.ID) {
		return false
	}
	return !b.Suspected(u.ID)
}

// Load returns the estimated weight of all requests in flight at an upstream; zero if nothing is
// recorded.
func (b *Balancer) Load(u *snipedirectory.Upstream) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.load(u.ID, time.Now())
}

// Busy returns the occupancy of an upstream: its estimated load divided by the number of its slots.
// It can exceed 1: requests may wait for a slot, and one with a long prompt counts as several (see
// Weight).
func (b *Balancer) Busy(u *snipedirectory.Upstream) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.busy(u, time.Now())
}

func (b *Balancer) busy(u *snipedirectory.Upstream, now time.Time) float64 {
	return b.load(u.ID, now) / float64(max(u.Slots, 1))
}

func (b *Balancer) load(id string, now time.Time) float64 {
	s := b.states[id]
	if s == nil {
		return 0
	}
	return s.weight.total(now, reportLifetime)
}

// cost returns the cost of an upstream, as a fraction of its slots, and whether the upstream is
// suspect. The lock must be held.
func (b *Balancer) cost(u *snipedirectory.Upstream, now time.Time) (cost float64, suspect bool) {
	cost = b.busy(u, now)
	if u.Domain != b.Domain {
		cost += remoteCost
	}
	if s := b.states[u.ID]; s != nil {
		cost += failureCost * s.failures
		suspect = now.Before(s.suspectUntil)
	}
	return cost, suspect
}

func (b *Balancer) state(id string) *state {
	if b.states == nil {
		b.states = make(map[string]*state)
	}
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Begin records that a request of the given weight is sent to an upstream. The returned function
// records the request's end and must be called once.
func (b *Balancer) Begin(id string, weight float64) (end func()) {
	b.lock.Lock()
	s := b.state(id)
	s.weight.own += weight
	s.requests.own++
	b.lock.Unlock()
	return func() {
		b.lock.Lock()
		defer b.lock.Unlock()
		if s := b.states[id]; s != nil {
			s.weight.remove(weight)
			s.requests.remove(1)
		}
	}
}

// InFlight returns the weight of this instance's requests in flight at an upstream.
func (b *Balancer) InFlight(id string) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s := b.states[id]; s != nil {
		return s.weight.own
	}
	return 0
}

// Suspected reports whether an upstream is suspect.
func (b *Balancer) Suspected(id string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[id]
	return s != nil && !s.suspectUntil.IsZero() && time.Now().Before(s.suspectUntil)
}

// Retain drops the state of all upstreams for which known returns false.
func (b *Balancer) Retain(known func(id string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	maps.DeleteFunc(b.states, func(id string, _ *state) bool { return !known(id) })
}

// Forget drops the state of an upstream that is gone.
func (b *Balancer) Forget(id string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delete(b.states, id)
}
