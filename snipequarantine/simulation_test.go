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

// world is a few instances before a few engines, in memory.
type world struct {
	engines   []*fakeEngine
	delay     time.Duration // of each message
	spread    time.Duration // of an announcement
	lag       time.Duration // of the view of members
	unguarded bool          // attempts run without their coordinators
	lock      sync.Mutex    // guards the fields below
	instances []*instance
	crashes   map[string]int // by body
	refused   map[string]int // calls in quarantine, by body
	answered  map[string]int
	cut       map[[2]string]bool
	digests   map[Fingerprint][][]byte
	owners    map[int]*instance
}

// instance is one run of an instance.
type instance struct {
	world *world
	guard *Guard
	id    string
	born  time.Time
	died  time.Time
	ctx   context.Context
	kill  context.CancelFunc
}

// fakeEngine executes calls; a call whose body says so crashes it.
type fakeEngine struct {
	world      *world
	name       string
	lock       sync.Mutex
	up         bool
	generation int
	loaded     map[string]int // generation by owner
	crashed    chan struct{}
	running    int
	most       int
}

// engines is how many engines there are.
const engines = 8

func newWorld(instances int) *world {
	w := &world{
		delay: time.Millisecond, spread: 200 * time.Millisecond, lag: time.Second,
		crashes: map[string]int{}, refused: map[string]int{}, answered: map[string]int{}, cut: map[[2]string]bool{},
		digests: map[Fingerprint][][]byte{}, owners: map[int]*instance{},
	}
	for n := range engines {
		w.engines = append(w.engines, &fakeEngine{world: w, name: strconv.Itoa(n), up: true, crashed: make(chan struct{}), loaded: map[string]int{}})
	}
	for range instances {
		w.add()
	}
	return w
}

// add starts an instance.
func (w *world) add() {
	w.lock.Lock()
	i := &instance{world: w, id: "i" + strconv.Itoa(len(w.instances)), born: time.Now()}
	i.ctx, i.kill = context.WithCancel(context.Background())
	w.instances = append(w.instances, i)
	w.lock.Unlock()
	r := &Registry{Self: i.id, Settle: 3 * time.Second, Linger: 2 * time.Second, Hold: time.Hour}
	i.guard = &Guard{
		Registry: r, Members: i.members, Begin: i.begin, Finish: i.finish, Run: i.hop,
		Replicate: i.replicate, Spread: i.announce,
		Isolation: &Isolation{Linger: 2 * time.Second}, Mark: i.mark, Survived: w.survived, Log: snipelog.Discard(),
	}
	r.Announce = i.guard.Announce
	go func() { _ = i.guard.Loop(i.ctx) }()
	time.AfterFunc(w.spread, i.join)
}

// join gives a new instance what has been announced before.
func (i *instance) join() {
	i.world.lock.Lock()
	digests := maps.Clone(i.world.digests)
	i.world.lock.Unlock()
	for f, all := range digests {
		for _, data := range all {
			_ = i.guard.Registry.Merge(f, data)
		}
	}
}

// members are the live instances as the table shows them, which lags behind.
func (i *instance) members() []Member {
	i.world.lock.Lock()
	defer i.world.lock.Unlock()
	then := time.Now().Add(-i.world.lag)
	var all []Member
	for n, o := range i.world.instances {
		started := !o.born.After(then) || o.born.Equal(i.world.instances[0].born) || o == i
		if started && (o.died.IsZero() || o.died.After(then)) {
			all = append(all, NewMember(o.id, strconv.Itoa(n%3)))
		}
	}
	return all
}

func (w *world) find(id string) *instance {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, i := range w.instances {
		if i.id == id && i.died.IsZero() {
			return i
		}
	}
	return nil
}

// reach returns a live member after the message's delay.
func (i *instance) reach(ctx context.Context, id string) (*instance, error) {
	time.Sleep(i.world.delay)
	i.world.lock.Lock()
	cut := i.world.cut[[2]string{i.id, id}] || i.world.cut[[2]string{id, i.id}]
	i.world.lock.Unlock()
	o := i.world.find(id)
	if o == nil || cut || ctx.Err() != nil || i.ctx.Err() != nil {
		return nil, errUnreachable
	}
	return o, nil
}

func (i *instance) begin(ctx context.Context, id string, a Attempt) (Verdict, error) {
	o, err := i.reach(ctx, id)
	if err != nil {
		return Verdict{}, err
	}
	return o.guard.Registry.Begin(a), nil
}

func (i *instance) finish(ctx context.Context, id string, a Attempt, e End) ([]byte, error) {
	o, err := i.reach(ctx, id)
	if err != nil {
		return nil, err
	}
	return o.guard.Registry.Finish(a, e), nil
}

func (i *instance) replicate(ctx context.Context, id string, f Fingerprint, data []byte) error {
	o, err := i.reach(ctx, id)
	if err != nil {
		return err
	}
	return o.guard.Keep(f, data)
}

// announce reaches all later, unless this instance dies first.
func (i *instance) announce(f Fingerprint, data []byte, _ time.Duration) {
	time.AfterFunc(i.world.spread, func() {
		if i.ctx.Err() != nil {
			return
		}
		i.world.lock.Lock()
		all := slices.Clone(i.world.instances)
		i.world.digests[f] = append(i.world.digests[f], data)
		i.world.lock.Unlock()
		for _, o := range all {
			if o.ctx.Err() == nil {
				_ = o.guard.Registry.Merge(f, data)
			}
		}
	})
}

// lapse is how long an engine has no owner after its owner's death.
const lapse = 4 * time.Second

// owner is the instance that owns an engine; it changes only with its death.
func (w *world) owner(engine string) *instance {
	n, err := strconv.Atoi(engine)
	if err != nil {
		return nil
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	old := w.owners[n]
	if old != nil && (old.died.IsZero() || time.Since(old.died) < lapse) {
		if old.died.IsZero() {
			return old
		}
		return nil
	}
	var live []*instance
	for _, i := range w.instances {
		if i.died.IsZero() {
			live = append(live, i)
		}
	}
	if len(live) == 0 {
		return nil
	}
	w.owners[n] = live[n%len(live)]
	return w.owners[n]
}

// mark is what another instance than the owner knows: the ownership, not the
// load of the adapter.
func (i *instance) mark(c *snipecall.Call) string {
	if o := i.world.owner(c.Upstream); o != nil {
		return "owner " + o.id
	}
	return ""
}

func (w *world) survived(_ context.Context, upstream, mark string) bool {
	n, err := strconv.Atoi(upstream)
	if err != nil {
		return false
	}
	e := w.engines[n]
	e.lock.Lock()
	defer e.lock.Unlock()
	if owner, ok := strings.CutPrefix(mark, "owner "); ok {
		// A live owner may have loaded the adapter again after a restart.
		return e.up && (e.loaded[owner] == e.generation || w.find(owner) != nil)
	}
	return e.up && mark == strconv.Itoa(e.generation)
}

// hop runs an attempt at the owner of its upstream.
func (i *instance) hop(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	o := i.world.owner(c.Upstream)
	time.Sleep(i.world.delay)
	if o == nil || o.ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "no owner")
	}
	forwarded := *c
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(o.ctx, cancel)()
	err := o.serve(ctx, &forwarded, sink)
	if o.ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "hop broke")
	}
	return err
}

// errNotResident is what an engine says that has restarted since the load.
var errNotResident = snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "not resident")

func (i *instance) serve(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	n, err := strconv.Atoi(c.Upstream)
	if err != nil {
		return err
	}
	for range 3 {
		err = i.attempt(ctx, i.world.engines[n], c, sink)
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
		// A dead owner tells nothing.
		done(err)
	}
	return err
}

// execute takes some seconds; a crasher crashes halfway.
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
	e.most = max(e.most, e.running)
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

// crash ends all calls; the engine is up again, empty, after two seconds. A
// call that was canceled does not crash it any more.
func (e *fakeEngine) crash(ctx context.Context, of chan struct{}, body string) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if ctx.Err() != nil || e.crashed != of {
		return
	}
	e.world.lock.Lock()
	e.world.crashes[body]++
	e.world.lock.Unlock()
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

// call sends one request through an instance and repeats it up to tries times,
// at random engines.
func (w *world) call(i *instance, id, body string, random *rand.Rand, tries int) {
	for n := range tries {
		err := w.callAt(i, id+"-"+strconv.Itoa(n), body, random.IntN(engines))
		if err == nil || i.ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

// callAt sends one request once, with an engine chosen.
func (w *world) callAt(i *instance, id, body string, engine int) error {
	c := newCall(id, body)
	c.Upstream = strconv.Itoa(engine)
	ctx, cancel := context.WithDeadline(i.ctx, c.Deadline)
	defer cancel()
	run := i.guard.Execute
	if w.unguarded {
		run = i.hop
	}
	err := run(ctx, c, func(snipecall.Chunk) error { return nil })
	if i.ctx.Err() == nil {
		w.count(body, err)
	}
	return err
}

func (w *world) count(body string, err error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case err == nil:
		w.answered[body]++
	case errors.Is(err, snipeerror.ErrQuarantined):
		w.refused[body]++
	}
}

// check asserts the bound and that no innocent call was refused.
func (w *world) check(t *testing.T, seed uint64) {
	t.Helper()
	w.checkBound(t, seed)
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, body := range slices.Sorted(maps.Keys(w.refused)) {
		if !strings.HasPrefix(body, "crash") {
			t.Errorf("seed %d: %q was refused %d times", seed, body, w.refused[body])
		}
	}
}

// checkBound asserts that no body has crashed more than two engines.
func (w *world) checkBound(t *testing.T, seed uint64) {
	t.Helper()
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, body := range slices.Sorted(maps.Keys(w.crashes)) {
		if n := w.crashes[body]; n > quarantineCrashes {
			t.Errorf("seed %d: %q crashed %d engines", seed, body, n)
		}
	}
}

// stop ends all instances and waits for what runs on its own.
func (w *world) stop() {
	w.lock.Lock()
	for _, i := range w.instances {
		i.kill()
	}
	w.lock.Unlock()
	time.Sleep(time.Minute)
}

func (i *instance) die() {
	i.world.lock.Lock()
	i.died = time.Now()
	i.world.lock.Unlock()
	i.kill()
}

func body(kind string, n int) string { return fmt.Sprintf("%s %d", kind, n) }
