// Package snipebalance chooses among the upstreams of a service by what this
// instance knows of their load and health.
//
// The load of an upstream is what it last said of itself, corrected by the
// requests that this instance has sent and seen ended since then. A statement
// loses weight as it grows old, so that an upstream that was busy is tried again.
//
// Choices are pure given the knowledge: no I/O and no allocation.
package snipebalance

import (
	"maps"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipedirectory"
)

const (
	// staleAfter is when a statement of load counts for nothing any more: several
	// answers' time under the usual load.
	staleAfter = 2 * time.Second
	// silenceAge is how old the knowledge of an upstream's load must be for another instance's
	// silence about it to tell that it has none.
	silenceAge = 500 * time.Millisecond
	// farCost is what another failure domain counts, in shares of an upstream's
	// slots: its bytes cost about a tenth of a busy upstream's slowness.
	farCost = 0.10
	// failureCost is what a certain failure counts, in shares of the slots.
	failureCost = 3.0
	// failureDecay is how much of the failure rate stays with each answer.
	failureDecay = 0.85
	// firstPause is how long an upstream is left alone after it could not be
	// reached; it doubles up to maxPause.
	firstPause = 300 * time.Millisecond
	maxPause   = 3 * time.Second
	// replacedPause is how long an upstream is left alone whose address another one has:
	// longer than its entry takes to disappear.
	replacedPause = 10 * time.Second
	// brokenLimit is how many requests in a row may get no answer before an
	// upstream is left alone.
	brokenLimit = 3
	// promptTokens is the size of a prompt that counts as one more request: while an engine
	// reads it, it generates nothing for the others.
	promptTokens = 1000
)

// state is what is known of one upstream.
type state struct {
	// mine is the weight of this instance's requests in flight.
	mine float64
	// told is the last statement of load, mineThen this instance's part of it.
	told     float64
	mineThen float64
	toldAt   time.Time
	// failures is the decayed share of answers that were failures.
	failures float64
	// broken counts requests without an answer in a row.
	broken int
	pause  time.Duration
	until  time.Time
}

// Balancer is the knowledge of all upstreams. Exported fields are set before the
// first call; it is safe for concurrent use.
type Balancer struct {
	// Domain is this instance's failure domain.
	Domain string
	// Suspect is told when an upstream is left alone or is trusted again; nil for
	// nobody.
	Suspect func(id string, suspect bool)
	// Open reports whether an upstream itself lets a request come now; nil for always. One that
	// does not is no choice at all, not a last one.
	Open func(id string) bool

	lock   sync.Mutex // guards states
	states map[string]*state
}

// Weight returns how much a request with a prompt counts.
func Weight(prompt int) float64 { return 1 + float64(prompt)/promptTokens }

// Filter says which upstreams may be chosen.
type Filter func(u *snipedirectory.Upstream) bool

// Cost is what speaks against an upstream for one request beside its load and health,
// in requests that would run there.
type Cost func(u *snipedirectory.Upstream) float64

// Pick returns the best upstream that passes the filter; nil when there is none.
// Upstreams that are suspect are chosen only when there is no other. The extra cost may
// be nil.
func (b *Balancer) Pick(all []*snipedirectory.Upstream, may Filter, extra Cost) *snipedirectory.Upstream {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var best *snipedirectory.Upstream
	var bestCost float64
	bestSuspect := true
	for _, u := range all {
		if u.Leaving || !may(u) || !b.open(u.ID) {
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

func (b *Balancer) open(id string) bool { return b.Open == nil || b.Open(id) }

// Usable reports whether an upstream is neither leaving nor suspect, and lets a request come.
func (b *Balancer) Usable(u *snipedirectory.Upstream) bool {
	if u.Leaving || !b.open(u.ID) {
		return false
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	s := b.states[u.ID]
	return s == nil || !time.Now().Before(s.until)
}

// Load returns the weight of the requests that are thought to be at an upstream.
func (b *Balancer) Load(u *snipedirectory.Upstream) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.load(u.ID, time.Now())
}

// Busy returns the share of an upstream's slots that are thought to be taken.
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
	load := s.mine
	if age := now.Sub(s.toldAt); age < staleAfter {
		others := max(s.told-s.mineThen, 0)
		load += others * float64(staleAfter-age) / float64(staleAfter)
	}
	return load
}

func (b *Balancer) cost(u *snipedirectory.Upstream, now time.Time) (cost float64, suspect bool) {
	cost = b.busy(u, now)
	if u.Domain != b.Domain {
		cost += farCost
	}
	if s := b.states[u.ID]; s != nil {
		cost += failureCost * s.failures
		suspect = now.Before(s.until)
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

// Begin notes that a request of a weight goes to an upstream. The returned
// function notes its end.
func (b *Balancer) Begin(id string, weight float64) (end func()) {
	b.lock.Lock()
	b.state(id).mine += weight
	b.lock.Unlock()
	return func() {
		b.lock.Lock()
		defer b.lock.Unlock()
		if s := b.states[id]; s != nil {
			s.mine = max(s.mine-weight, 0)
		}
	}
}

// Mine returns the weight of this instance's requests in flight at an upstream.
func (b *Balancer) Mine(id string) float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	if s := b.states[id]; s != nil {
		return s.mine
	}
	return 0
}

// Told notes an upstream's load: what it said itself, or what a Board adds up to.
func (b *Balancer) Told(id string, load float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.told(id, load, time.Now())
}

func (b *Balancer) told(id string, load float64, at time.Time) {
	s := b.state(id)
	s.told, s.mineThen, s.toldAt = load, s.mine, at
}

// Statement is the load of an upstream as it was known some time ago.
type Statement struct {
	ID   string
	Load float64
	Age  time.Duration
}

// Statements returns the loads that are known of upstreams, of those that have any.
func (b *Balancer) Statements() []Statement {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	var all []Statement
	for id, s := range b.states {
		if age := now.Sub(s.toldAt); s.told > 0 && age < staleAfter {
			all = append(all, Statement{id, s.told, age})
		}
	}
	return all
}

// ToldAll notes the loads of all upstreams that have any, as another instance knows them. What
// is known here since stands.
func (b *Balancer) ToldAll(all []Statement) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := time.Now()
	named := make(map[string]bool, len(all))
	for _, t := range all {
		named[t.ID] = true
		if at := now.Add(-t.Age); at.After(b.state(t.ID).toldAt) {
			b.told(t.ID, t.Load, at)
		}
	}
	for id, s := range b.states {
		// How old the silence about it is cannot be told; what is newer than usual stands.
		if !named[id] && s.told > 0 && now.Sub(s.toldAt) > silenceAge {
			b.told(id, 0, now)
		}
	}
}

// Answered notes an answer, and whether it was a failure.
func (b *Balancer) Answered(id string, failed bool) {
	b.lock.Lock()
	s := b.state(id)
	s.failures *= failureDecay
	if failed {
		s.failures += 1 - failureDecay
	}
	trusted := s.pause > 0
	s.broken, s.pause, s.until = 0, 0, time.Time{}
	b.lock.Unlock()
	if trusted {
		b.tell(id, false)
	}
}

// Unreached notes that an upstream could not be connected to.
func (b *Balancer) Unreached(id string) { b.miss(id, true) }

// Replaced notes that another upstream answered at its address: it does not come back.
func (b *Balancer) Replaced(id string) {
	b.lock.Lock()
	b.state(id).until = time.Now().Add(replacedPause)
	b.lock.Unlock()
	b.tell(id, true)
}

// Broken notes that a request got no answer.
func (b *Balancer) Broken(id string) { b.miss(id, false) }

func (b *Balancer) miss(id string, certain bool) {
	b.lock.Lock()
	s := b.state(id)
	s.broken++
	s.failures = s.failures*failureDecay + 1 - failureDecay
	suspect := certain || s.broken >= brokenLimit
	if suspect {
		s.pause = min(max(2*s.pause, firstPause), maxPause)
		s.until = time.Now().Add(s.pause)
	}
	b.lock.Unlock()
	if suspect {
		b.tell(id, true)
	}
}

func (b *Balancer) tell(id string, suspect bool) {
	if b.Suspect != nil {
		b.Suspect(id, suspect)
	}
}

// Keep forgets all upstreams but some.
func (b *Balancer) Keep(known func(id string) bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	maps.DeleteFunc(b.states, func(id string, _ *state) bool { return !known(id) })
}

// Forget drops an upstream that is gone.
func (b *Balancer) Forget(id string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	delete(b.states, id)
}
