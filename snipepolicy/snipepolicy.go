// Package snipepolicy simulates the policies for adapters and measures their decisions: which
// engine executes a call, which adapter is loaded next, and which one is evicted.
//
// The packages of the product (sniperoute, snipeslot, snipeweight) run on a random trace and a fake
// clock, with fakes of the engines and the weight store (fakes.go). There is no network and no
// cluster: an instance consists only of its permits in the queue for the weight store. The same
// seed gives the same trace. The current policy is compared with a naive baseline, the previous
// version (previous.go), a clairvoyant policy on the same trace and budget, and the current policy
// with one mechanism at a time switched off. Only make bench-policy uses this package.
package snipepolicy

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipeslot"
	"snipepitch.example/snipepitch/snipeweight"
)

const (
	hopTime          = time.Millisecond // one way between two instances
	replicasInterval = time.Second      // between two updates of the number of engines for each adapter
	// maxAttempts bounds the attempts of a call whose adapter is missing at the engine.
	maxAttempts = 3
)

// policy is a combination of mechanisms that decide on adapters.
type policy struct {
	name string
	// previous uses the slots of the previous version; roundRobin sends calls to the engines in
	// turn.
	previous, roundRobin bool
	// fixedBudget gives each instance a fixed share of the store's budget; without it, the previous
	// slots load without a budget.
	fixedBudget bool
	// clairvoyant evicts the adapter whose next use is latest, from one pool of all slots.
	clairvoyant bool
	// The mechanisms of the current policy that are switched off.
	noValue, noClasses, noTeams, noQueue, noReplicas bool
}

var policies = []policy{
	{name: "Naive (a)", previous: true, roundRobin: true},
	{name: "Previous (b)", previous: true, fixedBudget: true},
	{name: "Clairvoyant (c)", clairvoyant: true},
	{name: "Today"},
	{name: "without worth (least recently used)", noValue: true},
	{name: "without classes in the queue", noClasses: true},
	{name: "without team shares in the queue", noTeams: true},
	{name: "without the shared queue", noQueue: true},
	{name: "without replicas", noReplicas: true},
}

// simulation is one run of a trace under a policy.
type simulation struct {
	deployment    deployment
	policy        policy
	trace         *trace
	start         time.Time
	store         *store
	engines       []*engine
	slots         []*snipeslot.Slots
	previousSlots []*previousSlots
	candidates    []sniperoute.Candidate

	lock     sync.Mutex // guards the fields below
	routed   int        // number of routed calls
	replicas map[snipecall.Adapter]*sniperoute.Replicas
	result   result
}

// run simulates a trace under a policy. The caller runs it in a bubble of testing/synctest.
func run(d deployment, p policy, t *trace) result {
	sm := &simulation{deployment: d, policy: p, trace: t, start: time.Now(), store: &store{deployment: d}, replicas: map[snipecall.Adapter]*sniperoute.Replicas{}}
	sm.result.teamStalls = make([]time.Duration, teams)
	sm.build()
	stop := make(chan struct{})
	go sm.updateReplicas(stop)
	if t.restart > 0 {
		time.AfterFunc(t.restart, sm.engines[0].restart)
	}
	var all sync.WaitGroup
	for _, c := range t.calls {
		time.Sleep(c.at - time.Since(sm.start))
		all.Go(func() { sm.execute(c) })
	}
	all.Wait()
	close(stop)
	for _, s := range sm.slots {
		s.Close()
	}
	time.Sleep(time.Minute)
	sm.summarize()
	return sm.result
}

func (sm *simulation) build() {
	d := sm.deployment
	engines, slots, batch, pooled := d.engines, d.slots, d.batch, 1
	if sm.policy.clairvoyant {
		pooled = d.engines
		engines, slots, batch = 1, d.engines*d.slots, d.engines*d.batch
	}
	for n := range engines {
		e := &engine{
			capacity: slots, batch: make(chan struct{}, batch), store: sm.store,
			loaded: map[string]bool{}, fails: sm.fails, pooled: pooled,
		}
		sm.engines = append(sm.engines, e)
		name := "engine-" + strconv.Itoa(n)
		sm.candidates = append(sm.candidates, sniperoute.Candidate{Name: name, Hash: sniperoute.Hash(name), Usable: true})
	}
	if sm.policy.previous {
		sm.buildPrevious()
		return
	}
	sm.buildCurrent()
}

func (sm *simulation) buildPrevious() {
	d := sm.deployment
	var budgets []*previousBudget
	for range d.instances {
		budgets = append(budgets, &previousBudget{
			perSecond: d.perSecond / float64(d.instances), running: make(chan struct{}, max(d.concurrent/d.instances, 1)),
		})
	}
	for n, e := range sm.engines {
		s := &previousSlots{capacity: e.capacity, engine: e, entries: map[snipecall.Adapter]*previousEntry{}, changed: make(chan struct{})}
		if sm.policy.fixedBudget {
			s.budget = budgets[n%d.instances].acquire
		}
		sm.previousSlots = append(sm.previousSlots, s)
	}
}

func (sm *simulation) buildCurrent() {
	d := sm.deployment
	shared := sm.queue(1)
	var permits []*snipeweight.Permits
	for n := range d.instances {
		q := shared
		if sm.policy.noQueue {
			q = sm.queue(d.instances)
		}
		h := sm.holder(q)
		permits = append(permits, &snipeweight.Permits{
			Self: strconv.Itoa(n), Holders: func() []snipeweight.Holder { return []snipeweight.Holder{h} },
		})
	}
	number := uint64(0)
	var lock sync.Mutex
	for n, e := range sm.engines {
		s := &snipeslot.Slots{
			Engine: strconv.Itoa(n), Capacity: e.capacity, Fence: 1,
			Number: func() uint64 { lock.Lock(); defer lock.Unlock(); number++; return number },
			Load:   e.load, Unload: e.unload, Aliases: e.aliases,
			AcquirePermission: permits[n%d.instances].Acquire, Timeout: time.Minute, Log: snipelog.Discard(),
		}
		switch {
		case sm.policy.clairvoyant:
			s.Value = sm.nextUse
		case sm.policy.noValue:
			s.Value = func(snipecall.Adapter) float64 { return 0 }
		}
		sm.slots = append(sm.slots, s)
	}
}

// queue returns a queue with an equal share of the store's budget for one of so many queues.
func (sm *simulation) queue(shares int) *snipeweight.Queue {
	d := sm.deployment
	return &snipeweight.Queue{Limits: func() (float64, int) {
		return d.perSecond / float64(shares), max(d.concurrent/shares, 1)
	}}
}

// holder returns a client of a queue whose requests and answers take hopTime each. It removes from
// the requests what the policy switches off.
func (sm *simulation) holder(q *snipeweight.Queue) snipeweight.Holder {
	h := snipeweight.Local("holder", q)
	ask := h.Ask
	h.Ask = func(ctx context.Context, a snipeweight.Ask) (snipeweight.Answer, error) {
		if sm.policy.noClasses {
			a.Weight = 1
		}
		if sm.policy.noTeams {
			a.Team = ""
		}
		time.Sleep(hopTime)
		defer time.Sleep(hopTime)
		return ask(ctx, a)
	}
	return h
}

// nextUse returns the value of keeping an adapter for the clairvoyant policy: the earlier the trace
// uses the adapter again, the higher the value. An adapter that is not used again has the lowest.
func (sm *simulation) nextUse(a snipecall.Adapter) float64 {
	n, _ := strconv.Atoi(a.Name)
	uses := sm.trace.uses[n]
	now := time.Since(sm.start)
	i, _ := slices.BinarySearch(uses, now)
	if i == len(uses) {
		return math.Inf(-1)
	}
	return -float64(uses[i])
}

// fails reports whether loads of an alias fail in the trace.
func (sm *simulation) fails(alias string) bool {
	_, rest, _ := strings.Cut(alias, "/")
	name, _, _ := strings.Cut(rest, "@")
	n, _ := strconv.Atoi(name)
	return sm.trace.fails[n]
}

// route returns the index of the engine for the next call of an adapter, and counts the call.
func (sm *simulation) route(a snipecall.Adapter) int {
	if sm.policy.clairvoyant {
		return 0
	}
	sm.lock.Lock()
	defer sm.lock.Unlock()
	if sm.policy.roundRobin {
		sm.routed++
		return sm.routed % len(sm.engines)
	}
	sm.routed++
	count := 1
	if r := sm.replicas[a]; r != nil {
		count = r.Count()
	}
	return sniperoute.PickReplica(sniperoute.AdapterHash(a), sniperoute.Hash(strconv.Itoa(sm.routed)), count, sm.candidates)
}

// updateReplicas updates the number of engines among which the calls for each adapter are
// distributed (its replicas), as the adapter's home, the engine that ranks first for it, decides.
// It returns when stop is closed, and changes nothing if the policy has no replicas. All instances
// use the new number at once.
func (sm *simulation) updateReplicas(stop <-chan struct{}) {
	t := time.NewTicker(replicasInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if sm.policy.noReplicas || sm.policy.clairvoyant {
			continue
		}
		for n, s := range sm.slots {
			s.Uses(func(a snipecall.Adapter, inFlight int) { sm.observe(n, a, inFlight) })
		}
	}
}

// observe updates the replicas of an adapter with its calls in flight at engine n, if that is the
// adapter's home.
func (sm *simulation) observe(n int, a snipecall.Adapter, inFlight int) {
	if sniperoute.Pick(sniperoute.AdapterHash(a), sm.candidates) != n {
		return
	}
	sm.lock.Lock()
	defer sm.lock.Unlock()
	r := sm.replicas[a]
	if r == nil {
		r = &sniperoute.Replicas{}
		sm.replicas[a] = r
	}
	r.Step(time.Now(), inFlight, sm.deployment.batch)
}

// execute simulates one call and records its stall, the time until its engine holds the adapter, or
// that the call was lost.
func (sm *simulation) execute(c call) {
	a := adapterName(c.adapter)
	ctx, cancel := context.WithTimeout(context.Background(), deadlines[c.class])
	defer cancel()
	time.Sleep(hopTime)
	start := time.Now()
	n := sm.route(a)
	for range maxAttempts {
		alias, release, err := sm.acquire(ctx, n, a, c.class)
		if err != nil {
			sm.recordLost(c)
			return
		}
		stall := time.Since(start)
		ok := sm.engines[n].run(alias, c.tokens)
		if !ok {
			sm.forget(n, a, alias)
		}
		release()
		if ok {
			sm.recordServed(c, stall)
			return
		}
	}
	sm.recordLost(c)
}

func (sm *simulation) acquire(ctx context.Context, n int, a snipecall.Adapter, c snipecall.Class) (string, func(), error) {
	if sm.policy.previous {
		release, err := sm.previousSlots[n].acquire(ctx, a)
		return a.String(), release, err
	}
	u, err := sm.slots[n].Acquire(ctx, snipeslot.Request{Adapter: a, Path: a.Name, Class: c})
	if err != nil {
		return "", nil, err
	}
	return u.Alias, u.Release, nil
}

func (sm *simulation) forget(n int, a snipecall.Adapter, alias string) {
	if sm.policy.previous {
		sm.previousSlots[n].forget(a)
		return
	}
	sm.slots[n].Forget(alias)
}
