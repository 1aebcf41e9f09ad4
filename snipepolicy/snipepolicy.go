// Package snipepolicy measures the decisions about adapters: which engine, what
// to load next, what to evict.
//
// Design. The product's own slices (sniperoute, snipeslot, snipeweight) are
// driven by a drawn trace on a paused clock, against fakes of engine and weight
// store (fakes.go). There is no network and no cluster: an instance is its part
// of the queue. The same seed gives the same trace. Beside the policy of today
// stand a naive baseline, the previous version (previous.go), a clairvoyant
// policy on the same trace and budget, and the policy of today with each
// mechanism switched off. Used by make bench-policy alone.
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
	hop    = time.Millisecond // between instances, one way
	digest = time.Second      // between two looks at what engines announce
	// reloads bounds how often a call finds its adapter gone.
	reloads = 3
)

// policy is one way to decide.
type policy struct {
	name string
	// previous uses the slots of before; turns spreads calls in turn.
	previous, turns bool
	// budgeted gives each instance a fixed part of the store's budget.
	budgeted bool
	// clairvoyant evicts what is needed last, from one pool of all slots.
	clairvoyant bool
	// What is switched off.
	noWorth, noClasses, noTeams, noQueue, noReplicas bool
}

var policies = []policy{
	{name: "Naive (a)", previous: true, turns: true},
	{name: "Previous (b)", previous: true, budgeted: true},
	{name: "Clairvoyant (c)", clairvoyant: true},
	{name: "Today"},
	{name: "without worth (least recently used)", noWorth: true},
	{name: "without classes in the queue", noClasses: true},
	{name: "without team shares in the queue", noTeams: true},
	{name: "without the shared queue", noQueue: true},
	{name: "without replicas", noReplicas: true},
}

// world is one run.
type world struct {
	deployment deployment
	policy     policy
	trace      *trace
	start      time.Time
	store      *store
	engines    []*engine
	slots      []*snipeslot.Slots
	before     []*previousSlots
	candidates []sniperoute.Candidate

	lock     sync.Mutex // guards the fields below
	turn     int
	replicas map[snipecall.Adapter]*sniperoute.Replicas
	result   result
}

// run plays a trace under a policy. It runs in a bubble of testing/synctest.
func run(d deployment, p policy, t *trace) result {
	w := &world{deployment: d, policy: p, trace: t, start: time.Now(), store: &store{deployment: d}, replicas: map[snipecall.Adapter]*sniperoute.Replicas{}}
	w.result.team = make([]time.Duration, teams)
	w.build()
	stop := make(chan struct{})
	go w.refresh(stop)
	if t.restart > 0 {
		time.AfterFunc(t.restart, w.engines[0].restart)
	}
	var all sync.WaitGroup
	for _, c := range t.calls {
		time.Sleep(c.at - time.Since(w.start))
		all.Go(func() { w.call(c) })
	}
	all.Wait()
	close(stop)
	for _, s := range w.slots {
		s.Close()
	}
	time.Sleep(time.Minute)
	w.finish()
	return w.result
}

func (w *world) build() {
	d := w.deployment
	engines, slots, batch, parts := d.engines, d.slots, d.batch, 1
	if w.policy.clairvoyant {
		parts = d.engines
		engines, slots, batch = 1, d.engines*d.slots, d.engines*d.batch
	}
	for n := range engines {
		e := &engine{
			capacity: slots, batch: make(chan struct{}, batch), store: w.store,
			loaded: map[string]bool{}, fails: w.fails, parts: parts,
		}
		w.engines = append(w.engines, e)
		name := "engine-" + strconv.Itoa(n)
		w.candidates = append(w.candidates, sniperoute.Candidate{Name: name, Hash: sniperoute.Hash(name), Usable: true})
	}
	if w.policy.previous {
		w.buildPrevious()
		return
	}
	w.buildToday()
}

func (w *world) buildPrevious() {
	d := w.deployment
	var budgets []*previousBudget
	for range d.instances {
		budgets = append(budgets, &previousBudget{
			perSecond: d.perSecond / float64(d.instances), running: make(chan struct{}, max(d.concurrent/d.instances, 1)),
		})
	}
	for n, e := range w.engines {
		s := &previousSlots{capacity: e.capacity, engine: e, entries: map[snipecall.Adapter]*previousEntry{}, changed: make(chan struct{})}
		if w.policy.budgeted {
			s.budget = budgets[n%d.instances].acquire
		}
		w.before = append(w.before, s)
	}
}

func (w *world) buildToday() {
	d := w.deployment
	shared := w.queue(1)
	var permits []*snipeweight.Permits
	for n := range d.instances {
		q := shared
		if w.policy.noQueue {
			q = w.queue(d.instances)
		}
		h := w.holder(q)
		permits = append(permits, &snipeweight.Permits{
			Self: strconv.Itoa(n), Holders: func() []snipeweight.Holder { return []snipeweight.Holder{h} },
		})
	}
	number := uint64(0)
	var lock sync.Mutex
	for n, e := range w.engines {
		s := &snipeslot.Slots{
			Engine: strconv.Itoa(n), Capacity: e.capacity, Fence: 1,
			Number: func() uint64 { lock.Lock(); defer lock.Unlock(); number++; return number },
			Load:   e.load, Unload: e.unload, Aliases: e.aliases,
			Budget: permits[n%d.instances].Acquire, Timeout: time.Minute, Log: snipelog.Discard(),
		}
		switch {
		case w.policy.clairvoyant:
			s.Worth = w.nextUse
		case w.policy.noWorth:
			s.Worth = func(snipecall.Adapter) float64 { return 0 }
		}
		w.slots = append(w.slots, s)
	}
}

func (w *world) queue(parts int) *snipeweight.Queue {
	d := w.deployment
	return &snipeweight.Queue{Limits: func() (float64, int) {
		return d.perSecond / float64(parts), max(d.concurrent/parts, 1)
	}}
}

// holder is the queue as seen over the network between instances.
func (w *world) holder(q *snipeweight.Queue) snipeweight.Holder {
	h := snipeweight.Local("holder", q)
	ask := h.Ask
	h.Ask = func(ctx context.Context, a snipeweight.Ask) (snipeweight.Answer, error) {
		if w.policy.noClasses {
			a.Weight = 1
		}
		if w.policy.noTeams {
			a.Team = ""
		}
		time.Sleep(hop)
		defer time.Sleep(hop)
		return ask(ctx, a)
	}
	return h
}

// nextUse is the worth of an adapter to who knows the trace.
func (w *world) nextUse(a snipecall.Adapter) float64 {
	n, _ := strconv.Atoi(a.Name)
	uses := w.trace.uses[n]
	now := time.Since(w.start)
	i, _ := slices.BinarySearch(uses, now)
	if i == len(uses) {
		return math.Inf(-1)
	}
	return -float64(uses[i])
}

func (w *world) fails(alias string) bool {
	_, rest, _ := strings.Cut(alias, "/")
	name, _, _ := strings.Cut(rest, "@")
	n, _ := strconv.Atoi(name)
	return w.trace.fails[n]
}

// route chooses an engine.
func (w *world) route(a snipecall.Adapter) int {
	if w.policy.clairvoyant {
		return 0
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.policy.turns {
		w.turn++
		return w.turn % len(w.engines)
	}
	w.turn++
	count := 1
	if r := w.replicas[a]; r != nil {
		count = r.Count()
	}
	return sniperoute.PickReplica(sniperoute.AdapterHash(a), sniperoute.Hash(strconv.Itoa(w.turn)), count, w.candidates)
}

// refresh lets homes decide on replicas, and all instances hear of it.
func (w *world) refresh(stop <-chan struct{}) {
	t := time.NewTicker(digest)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		if w.policy.noReplicas || w.policy.clairvoyant {
			continue
		}
		for n, s := range w.slots {
			s.Uses(func(a snipecall.Adapter, inFlight int) { w.observe(n, a, inFlight) })
		}
	}
}

func (w *world) observe(n int, a snipecall.Adapter, inFlight int) {
	if sniperoute.Pick(sniperoute.AdapterHash(a), w.candidates) != n {
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	r := w.replicas[a]
	if r == nil {
		r = &sniperoute.Replicas{}
		w.replicas[a] = r
	}
	r.Step(time.Now(), inFlight, w.deployment.batch)
}

// call plays one call.
func (w *world) call(c call) {
	a := adapterName(c.adapter)
	ctx, cancel := context.WithTimeout(context.Background(), deadlines[c.class])
	defer cancel()
	time.Sleep(hop)
	start := time.Now()
	n := w.route(a)
	for range reloads {
		alias, release, err := w.acquire(ctx, n, a, c.class)
		if err != nil {
			w.lost(c)
			return
		}
		stall := time.Since(start)
		ok := w.engines[n].run(alias, c.tokens)
		if !ok {
			w.forget(n, a, alias)
		}
		release()
		if ok {
			w.served(c, stall)
			return
		}
	}
	w.lost(c)
}

func (w *world) acquire(ctx context.Context, n int, a snipecall.Adapter, c snipecall.Class) (string, func(), error) {
	if w.policy.previous {
		release, err := w.before[n].acquire(ctx, a)
		return a.String(), release, err
	}
	u, err := w.slots[n].Acquire(ctx, snipeslot.Request{Adapter: a, Path: a.Name, Class: c})
	if err != nil {
		return "", nil, err
	}
	return u.Alias, u.Release, nil
}

func (w *world) forget(n int, a snipecall.Adapter, alias string) {
	if w.policy.previous {
		w.before[n].forget(a)
		return
	}
	w.slots[n].Forget(alias)
}
