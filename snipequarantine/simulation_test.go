package snipequarantine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

var errUnreachable = errors.New("unreachable")

// cluster simulates a few instances in front of a few engines in memory.
type cluster struct {
	engines      []*fakeEngine
	messageDelay time.Duration // of a message
	spreadDelay  time.Duration // of an announcement
	memberDelay  time.Duration // of the member list
	unguarded    bool          // attempts run without asking their coordinators
	lock         sync.Mutex    // guards the fields below
	instances    []*instance
	crashes      map[string]int // by body
	quarantined  map[string]int // calls refused as quarantined, by body
	answered     map[string]int
	partitioned  map[[2]string]bool
	digests      map[Fingerprint][][]byte
	owners       map[int]*instance
}

// instance is one run of an instance's process.
type instance struct {
	cluster *cluster
	guard   *Guard
	id      string
	started time.Time
	died    time.Time
	ctx     context.Context
	kill    context.CancelFunc
}

// fakeEngine executes calls; a call whose body starts with "crash" crashes it.
type fakeEngine struct {
	cluster    *cluster
	name       string
	lock       sync.Mutex
	up         bool
	generation int
	loaded     map[string]int // generation at an owner's latest load, by owner
	crashed    chan struct{}
	running    int
	maxRunning int
}

// engines is the number of engines.
const engines = 8

func newCluster(instances int) *cluster {
	cl := &cluster{
		messageDelay: time.Millisecond, spreadDelay: 200 * time.Millisecond, memberDelay: time.Second,
		crashes: map[string]int{}, quarantined: map[string]int{}, answered: map[string]int{}, partitioned: map[[2]string]bool{},
		digests: map[Fingerprint][][]byte{}, owners: map[int]*instance{},
	}
	for n := range engines {
		cl.engines = append(cl.engines, &fakeEngine{cluster: cl, name: strconv.Itoa(n), up: true, crashed: make(chan struct{}), loaded: map[string]int{}})
	}
	for range instances {
		cl.add()
	}
	return cl
}

// add starts an instance.
func (cl *cluster) add() {
	cl.lock.Lock()
	i := &instance{cluster: cl, id: "i" + strconv.Itoa(len(cl.instances)), started: time.Now()}
	i.ctx, i.kill = context.WithCancel(context.Background())
	cl.instances = append(cl.instances, i)
	cl.lock.Unlock()
	r := &Registry{Self: i.id, SettleTime: 3 * time.Second, Linger: 2 * time.Second, Retention: time.Hour}
	i.guard = &Guard{
		Registry: r, Members: i.members, Begin: i.begin, Finish: i.finish, Run: i.forward,
		Replicate: i.replicate, Spread: i.announce,
		Isolation: &Isolation{Linger: 2 * time.Second}, Mark: i.mark, Survived: cl.survived, Log: snipelog.Discard(),
	}
	r.Announce = i.guard.Announce
	go func() { _ = i.guard.Loop(i.ctx) }()
	time.AfterFunc(cl.spreadDelay, i.join)
}

// join gives a new instance the records announced earlier.
func (i *instance) join() {
	i.cluster.lock.Lock()
	digests := maps.Clone(i.cluster.digests)
	i.cluster.lock.Unlock()
	for f, all := range digests {
		for _, data := range all {
			_ = i.guard.Registry.Merge(f, data)
		}
	}
}

// members returns the instances that were live memberDelay ago, and this one. Those that
// started with the cluster are included from the start.
func (i *instance) members() []Member {
	i.cluster.lock.Lock()
	defer i.cluster.lock.Unlock()
	asOf := time.Now().Add(-i.cluster.memberDelay)
	var all []Member
	for n, other := range i.cluster.instances {
		started := !other.started.After(asOf) || other.started.Equal(i.cluster.instances[0].started) || other == i
		if started && (other.died.IsZero() || other.died.After(asOf)) {
			all = append(all, NewMember(other.id, strconv.Itoa(n%3)))
		}
	}
	return all
}

func (cl *cluster) find(id string) *instance {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	for _, i := range cl.instances {
		if i.id == id && i.died.IsZero() {
			return i
		}
	}
	return nil
}

// reach returns a live member after the delay of a message.
func (i *instance) reach(ctx context.Context, id string) (*instance, error) {
	time.Sleep(i.cluster.messageDelay)
	i.cluster.lock.Lock()
	partitioned := i.cluster.partitioned[[2]string{i.id, id}] || i.cluster.partitioned[[2]string{id, i.id}]
	i.cluster.lock.Unlock()
	other := i.cluster.find(id)
	if other == nil || partitioned || ctx.Err() != nil || i.ctx.Err() != nil {
		return nil, errUnreachable
	}
	return other, nil
}

func (i *instance) begin(ctx context.Context, id string, a Attempt) (Verdict, error) {
	other, err := i.reach(ctx, id)
	if err != nil {
		return Verdict{}, err
	}
	return other.guard.Registry.Begin(a), nil
}

func (i *instance) finish(ctx context.Context, id string, a Attempt, e End) ([]byte, error) {
	other, err := i.reach(ctx, id)
	if err != nil {
		return nil, err
	}
	return other.guard.Registry.Finish(a, e), nil
}

func (i *instance) replicate(ctx context.Context, id string, f Fingerprint, data []byte) error {
	other, err := i.reach(ctx, id)
	if err != nil {
		return err
	}
	return other.guard.MergeAndSpread(f, data)
}

// announce delivers a record to all live instances after spreadDelay, unless this
// instance dies first.
func (i *instance) announce(f Fingerprint, data []byte, _ time.Duration) {
	time.AfterFunc(i.cluster.spreadDelay, func() {
		if i.ctx.Err() != nil {
			return
		}
		i.cluster.lock.Lock()
		all := slices.Clone(i.cluster.instances)
		i.cluster.digests[f] = append(i.cluster.digests[f], data)
		i.cluster.lock.Unlock()
		for _, other := range all {
			if other.ctx.Err() == nil {
				_ = other.guard.Registry.Merge(f, data)
			}
		}
	})
}

// ownerlessTime is how long an engine has no owner after the death of its owner.
const ownerlessTime = 4 * time.Second

// owner returns the instance that owns an engine, or nil if there is none. The owner
// changes only when it dies, after ownerlessTime.
func (cl *cluster) owner(engine string) *instance {
	n, err := strconv.Atoi(engine)
	if err != nil {
		return nil
	}
	cl.lock.Lock()
	defer cl.lock.Unlock()
	old := cl.owners[n]
	if old != nil && (old.died.IsZero() || time.Since(old.died) < ownerlessTime) {
		if old.died.IsZero() {
			return old
		}
		return nil
	}
	var live []*instance
	for _, i := range cl.instances {
		if i.died.IsZero() {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return nil
	}
	cl.owners[n] = live[n%len(live)]
	return cl.owners[n]
}

// mark returns what an instance other than the owner can determine: the owner, but not
// whether it has loaded the adapter.
func (i *instance) mark(c *snipecall.Call) string {
	if owner := i.cluster.owner(c.Upstream); owner != nil {
		return "owner " + owner.id
	}
	return ""
}

func (cl *cluster) survived(_ context.Context, upstream, mark string) bool {
	n, err := strconv.Atoi(upstream)
	if err != nil {
		return false
	}
	e := cl.engines[n]
	e.lock.Lock()
	defer e.lock.Unlock()
	if owner, ok := strings.CutPrefix(mark, "owner "); ok {
		// A live owner may have reloaded the adapter after a restart.
		return e.up && (e.loaded[owner] == e.generation || cl.find(owner) != nil)
	}
	return e.up && mark == strconv.Itoa(e.generation)
}

// forward runs an attempt at the owner of its upstream.
func (i *instance) forward(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	owner := i.cluster.owner(c.Upstream)
	time.Sleep(i.cluster.messageDelay)
	if owner == nil || owner.ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "no owner")
	}
	forwarded := *c
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(owner.ctx, cancel)()
	err := owner.serve(ctx, &forwarded, sink)
	if owner.ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "connection to the owner broke")
	}
	return err
}

// errNotResident is the failure of an engine that has restarted since the load of the
// adapter.
var errNotResident = snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "not resident")

func (i *instance) serve(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	n, err := strconv.Atoi(c.Upstream)
	if err != nil {
		return err
	}
	for range 3 {
		err = i.attempt(ctx, i.cluster.engines[n], c, sink)
		if !errors.Is(err, errNotResident) {
			return err
		}
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "not resident again")
}

// attempt loads the adapter and runs the call once.
func (i *instance) attempt(ctx context.Context, e *fakeEngine, c *snipecall.Call, sink snipecall.Sink) error {
	e.lock.Lock()
	generation := e.generation
	e.loaded[i.id] = generation
	e.lock.Unlock()
	done, err := i.guard.Enter(ctx, c, strconv.Itoa(generation))
	if err != nil {
		return err
	}
	err = e.execute(ctx, c, generation, sink)
	if i.ctx.Err() == nil {
		// A dead owner reports nothing.
		done(err)
	}
	return err
}

// execute takes one to seven seconds; a crashing call crashes the engine halfway.
func (e *fakeEngine) execute(ctx context.Context, c *snipecall.Call, generation int, sink snipecall.Sink) error {
	e.lock.Lock()
	if !e.up {
		e.lock.Unlock()
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "down")
	}
	if e.generation != generation {
		e.lock.Unlock()
		return errNotResident
	}
	crashed := e.crashed
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
	e.lock.Unlock()
	defer func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		e.running--
	}()
	work := time.Second + time.Duration(c.Body[len(c.Body)-1]%7)*time.Second
	if strings.HasPrefix(string(c.Body), "crash") {
		time.AfterFunc(work/2, func() { e.crash(ctx, crashed, string(c.Body)) })
	}
	select {
	case <-crashed:
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "broke off")
	case <-ctx.Done():
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, "canceled")
	case <-time.After(work):
		return sink(snipecall.Chunk{Sequence: 1, Last: true})
	}
}

// crash breaks off all calls of the engine. The engine is up again, without adapters,
// after two seconds. A canceled call does not crash it, and neither does one that began
// before the last crash: of is the engine's crashed channel at the call's start.
func (e *fakeEngine) crash(ctx context.Context, of chan struct{}, body string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if ctx.Err() != nil || e.crashed != of {
		return
	}
	e.cluster.lock.Lock()
	e.cluster.crashes[body]++
	e.cluster.lock.Unlock()
	e.up = false
	e.generation++
	close(e.crashed)
	e.crashed = make(chan struct{})
	time.AfterFunc(2*time.Second, func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		e.up = true
	})
}

func newCall(id, body string) *snipecall.Call {
	return &snipecall.Call{
		ID: id, Team: "t", Adapter: snipecall.Adapter{Team: "t", Name: "a", Version: "1"},
		Idempotent: true, Body: []byte(body), Deadline: time.Now().Add(30 * time.Second),
	}
}

// call sends one request through an instance up to tries times, to random engines,
// until it is answered.
func (cl *cluster) call(i *instance, id, body string, random *rand.Rand, tries int) {
	for n := range tries {
		err := cl.callAt(i, id+"-"+strconv.Itoa(n), body, random.IntN(engines))
		if err == nil || i.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

// callAt sends one request once, with engine as the chosen upstream.
func (cl *cluster) callAt(i *instance, id, body string, engine int) error {
	c := newCall(id, body)
	c.Upstream = strconv.Itoa(engine)
	ctx, cancel := context.WithDeadline(i.ctx, c.Deadline)
	defer cancel()
	run := i.guard.Execute
	if cl.unguarded {
		run = i.forward
	}
	err := run(ctx, c, func(snipecall.Chunk) error { return nil })
	if i.ctx.Err() == nil {
		cl.count(body, err)
	}
	return err
}

func (cl *cluster) count(body string, err error) {
	cl.lock.Lock()
	defer cl.lock.Unlock()
	switch {
	case err == nil:
		cl.answered[body]++
	case errors.Is(err, snipeerror.ErrQuarantined):
		cl.quarantined[body]++
	}
}

// check asserts the bound and that no harmless call was quarantined.
func (cl *cluster) check(t *testing.T, seed uint64) {
	t.Helper()
	cl.checkBound(t, seed)
	cl.lock.Lock()
	defer cl.lock.Unlock()
	for _, body := range slices.Sorted(maps.Keys(cl.quarantined)) {
		if !strings.HasPrefix(body, "crash") {
			t.Errorf("seed %d: %q was quarantined %d times", seed, body, cl.quarantined[body])
		}
	}
}

// checkBound asserts that no body has crashed more than two engines.
func (cl *cluster) checkBound(t *testing.T, seed uint64) {
	t.Helper()
	cl.lock.Lock()
	defer cl.lock.Unlock()
	for _, body := range slices.Sorted(maps.Keys(cl.crashes)) {
		if n := cl.crashes[body]; n > quarantineCrashes {
			t.Errorf("seed %d: %q crashed %d engines", seed, body, n)
		}
	}
}

// stop stops all instances and waits for their background work.
func (cl *cluster) stop() {
	cl.lock.Lock()
	for _, i := range cl.instances {
		i.kill()
	}
	cl.lock.Unlock()
	time.Sleep(time.Minute)
}

func (i *instance) die() {
	i.cluster.lock.Lock()
	i.died = time.Now()
	i.cluster.lock.Unlock()
	i.kill()
}

func body(kind string, n int) string { return fmt.Sprintf("%s %d", kind, n) }
