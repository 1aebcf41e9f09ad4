package snipebalance

import (
	"math/rand/v2"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipedirectory"
)

const (
	// pacedLifetime is how long after the last stated pace of any of its upstreams a service still
	// counts as one that states paces.
	pacedLifetime = time.Minute
	// pendingLifetime is the age at which the reported prompt tokens of other instances have no
	// influence any more. Prompts are processed sooner than requests end.
	pendingLifetime = time.Second
	// sampleSize is the number of upstreams that are compared for one request, drawn at random. With
	// more, instances whose reports are equally old send their requests to the same few upstreams
	// (docs/design/uneven-upstreams.md).
	sampleSize = 2
	// maxCompared bounds the number that is compared for a request with a preference of its own (see
	// Cost), which a small sample would usually miss, and for one whose sample has none to use.
	maxCompared = 16
	// marginShare and minMargin set how much longer than the shortest one an expected time may be
	// for its upstream to be chosen: a fraction of the shortest, and at least minMargin.
	marginShare = 0.1
	minMargin   = 2 * time.Millisecond
	// failureTime is the cost of a failure rate of 1. It fades within failureLifetime after the last
	// failure, because an upstream that receives no requests cannot lower its rate.
	failureTime     = 900 * time.Millisecond
	failureLifetime = 3 * time.Second
	// exceededRank and suspectRank are added to the rank of a candidate whose memory the request would
	// exceed, and of one that is suspect.
	exceededRank = 1
	suspectRank  = 2
)

// Demand is what one request takes of an upstream.
type Demand struct {
	// Plain is set for a request to a service that runs no models. Its expected time is that of the
	// whole answer, and it has no prompt.
	Plain bool
	// PromptTokens are processed before the first event of the answer.
	PromptTokens int
	// ReservedTokens is the number of tokens for which the request takes memory of an engine until
	// its end, MemoryTokens the number for which an engine has memory; zero if it is not known.
	ReservedTokens float64
	MemoryTokens   int
	// ExtraTokens is the number of prompt tokens whose processing one unit of an extra cost stands
	// for (see Cost).
	ExtraTokens float64
}

// candidate is an upstream with what a choice compares.
type candidate struct {
	upstream *snipedirectory.Upstream
	// rank is the sum of exceededRank and suspectRank as far as they apply; the lowest goes first.
	rank int
	cost float64 // seconds
}

// Paced reports whether upstreams of a service state paces, so that PickExpected applies.
func (b *Balancer) Paced(service string) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.paced(service, time.Now())
}

func (b *Balancer) paced(service string, now time.Time) bool {
	m := b.models[service]
	return m != nil && now.Sub(m.statedAt) < pacedLifetime
}

// NotePaced records that an upstream of a service has stated a pace. It does nothing if IgnorePace is
// set.
func (b *Balancer) NotePaced(service string) {
	if b.IgnorePace {
		return
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	b.model(service).statedAt = time.Now()
}

// PickExpected returns an upstream with a short expected time to the first event of a request, or to
// its answer if it is plain. The conditions are those of Pick. Upstreams whose memory the request
// would exceed are picked only if this is so for all. usable is the number of upstreams compared that
// are not suspect.
//
// All instances act on similar reports, so that the best upstream would be the same for all of them
// until the next report. PickExpected therefore compares a random sample, and picks at random among
// those whose time is within a margin of the shortest, with a probability in proportion to the
// distance from the margin's end.
func (b *Balancer) PickExpected(all []*snipedirectory.Upstream, allowed Filter, extra Cost, d Demand) (u *snipedirectory.Upstream, usable int) {
	var compared [maxCompared]candidate
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	found := b.sample(compared[:0], all, allowed, extra, &d, now)
	best, usable := bestOf(found)
	if best == nil || best.rank > 0 {
		// All are compared, because they are few or because the sample has no good upstream.
		found = compared[:0]
		for _, u := range all {
			if b.eligible(u, allowed) {
				found = keepBest(found, b.candidate(u, extra, &d, now))
			}
		}
		if best, usable = bestOf(found); best == nil {
			return nil, 0
		}
	}
	if best.rank&exceededRank != 0 {
		b.exceeded++
	}
	return b.draw(found, *best), usable
}

// sample adds eligible upstreams that are drawn at random to found. It adds none if they are so few
// that all are to be compared.
func (b *Balancer) sample(found []candidate, all []*snipedirectory.Upstream, allowed Filter, extra Cost, d *Demand, now time.Time) []candidate {
	size := sampleSize
	if extra != nil {
		size = maxCompared
	}
	if len(all) <= size {
		return found
	}
	for n := 0; n < 2*size && len(found) < size; n++ {
		u := all[int(b.random()*float64(len(all)))]
		if b.eligible(u, allowed) && !slices.ContainsFunc(found, func(c candidate) bool { return c.upstream == u }) {
			found = append(found, b.candidate(u, extra, d, now))
		}
	}
	return found
}

// keepBest adds a candidate to a list that holds at most maxCompared, in place of the worst.
func keepBest(found []candidate, c candidate) []candidate {
	if len(found) < maxCompared {
		return append(found, c)
	}
	worst := 0
	for n := range found {
		if found[worst].better(&found[n]) {
			worst = n
		}
	}
	if c.better(&found[worst]) {
		found[worst] = c
	}
	return found
}

// bestOf returns the best candidate, nil if there is none, and the number that are not suspect.
func bestOf(found []candidate) (best *candidate, usable int) {
	for n := range found {
		if best == nil || found[n].better(best) {
			best = &found[n]
		}
		if found[n].rank < suspectRank {
			usable++
		}
	}
	return best, usable
}

// better reports whether a candidate goes before another.
func (c *candidate) better(other *candidate) bool {
	return c.rank < other.rank || c.rank == other.rank && c.cost < other.cost
}

// draw picks at random among the candidates whose cost is within the margin of the best.
func (b *Balancer) draw(found []candidate, best candidate) *snipedirectory.Upstream {
	limit := best.cost + max(marginShare*best.cost, minMargin.Seconds())
	sum := 0.0
	for n := range found {
		if c := &found[n]; c.rank == best.rank && c.cost < limit {
			sum += limit - c.cost
		}
	}
	at := b.random() * sum
	for n := range found {
		if c := &found[n]; c.rank == best.rank && c.cost < limit {
			if at -= limit - c.cost; at < 0 {
				return c.upstream
			}
		}
	}
	return best.upstream
}

func (b *Balancer) random() float64 {
	if b.Random != nil {
		return b.Random()
	}
	return rand.Float64() //nolint:gosec // spreads load and protects nothing
}

// candidate returns an upstream with its expected time and the costs of distance, failures and the
// request's own preference, as times. The lock must be held.
func (b *Balancer) candidate(u *snipedirectory.Upstream, extra Cost, d *Demand, now time.Time) candidate {
	m, s := b.model(u.Service), b.states[u.ID]
	if s == nil {
		s = &idle
	}
	c := candidate{upstream: u, cost: m.expected(s, u, d, now)}
	if extra != nil {
		c.cost += extra(u) * d.ExtraTokens * m.tokenTime
	}
	if u.Domain != b.Domain {
		c.cost += remoteCost * m.full(d)
	}
	if age := now.Sub(s.failedAt); age < failureLifetime {
		c.cost += failureTime.Seconds() * s.failures * float64(failureLifetime-age) / float64(failureLifetime)
	}
	if d.exceeds(s, now) {
		c.rank += exceededRank
	}
	if now.Before(s.suspectUntil) {
		c.rank += suspectRank
	}
	return c
}

// idle is the state of an upstream of which nothing is recorded. It is never changed.
var idle state

// model returns the model of a service and creates it if needed. The lock must be held.
func (b *Balancer) model(service string) *model {
	m := b.models[service]
	if m == nil {
		if b.models == nil {
			b.models = make(map[string]*model)
		}
		m = newModel()
		b.models[service] = m
	}
	return m
}

// expected returns the expected time of a request at an upstream: to its first event, or to its
// answer if it is plain.
func (m *model) expected(s *state, u *snipedirectory.Upstream, d *Demand, now time.Time) float64 {
	return s.pace.expected(now) * m.atUsualPace(s, u, d, now)
}

func (m *model) atUsualPace(s *state, u *snipedirectory.Upstream, d *Demand, now time.Time) float64 {
	slots := float64(max(u.Slots, 1))
	requests := s.requests.total(now, reportLifetime)
	wait := m.requestTime * max(requests+1-slots, 0) / slots
	if d.Plain {
		return wait + m.requestTime
	}
	pending := s.pending.total(now, pendingLifetime)
	return wait + m.firstEvent(min(requests/slots, 1), pending+float64(d.PromptTokens))
}

// full returns the time that an upstream whose slots are all occupied takes longer than an idle one.
func (m *model) full(d *Demand) float64 {
	if d.Plain {
		return m.requestTime
	}
	return m.base
}

// exceeds reports whether the request would exceed the memory of an upstream.
func (d *Demand) exceeds(s *state, now time.Time) bool {
	return d.MemoryTokens > 0 && s.reserved.total(now, reportLifetime)+d.ReservedTokens > float64(d.MemoryTokens)
}

// Exceeds reports whether a request would exceed the memory of an engine.
func (b *Balancer) Exceeds(u *snipedirectory.Upstream, d Demand) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[u.ID]
	return s != nil && d.exceeds(s, time.Now())
}

// ExceededChoices returns the number of choices of an upstream whose memory the request exceeds, for
// lack of a better one.
func (b *Balancer) ExceededChoices() uint64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.exceeded
}

// ExpectedDelay returns how much longer a request is expected to take at an engine than at an idle
// one of the usual pace.
func (b *Balancer) ExpectedDelay(u *snipedirectory.Upstream) time.Duration {
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[u.ID]
	if s == nil {
		return 0
	}
	m := b.model(u.Service)
	seconds := m.expected(s, u, &Demand{}, time.Now()) - m.firstEvent(0, 0)
	return time.Duration(max(seconds, 0) * float64(time.Second))
}

// MeanOutput returns the mean number of output tokens of a service's answers.
func (b *Balancer) MeanOutput(service string) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.model(service).output
}
