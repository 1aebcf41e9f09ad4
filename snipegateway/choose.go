package snipegateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// versionGrace is how long after an adapter's new version was learned a request
	// may still be sent to an engine that holds the one before. Operators allow five
	// seconds until none begins on it: 1.5 s are for learning of the announcement, and
	// 2 s for the wait in an engine's queue, which was up to 1.8 s under heavy load.
	// Engines that are not in a queue's way have the new version within a second.
	versionGrace = 1500 * time.Millisecond
	// loadTries is how many engines are asked to load an adapter soon, before the
	// first of them is asked to do it late.
	loadTries = 3
	// soon is the wait for a load at an engine that has no more to do than it does
	// at once.
	soon = 400 * time.Millisecond
	// askTimeout bounds one question to an engine's owner.
	askTimeout = 5 * time.Second
)

// Choice is where a request goes.
type Choice struct {
	Upstream *snipedirectory.Upstream
	// Version is the adapter's version there; zero when any will do.
	Version int64
	// Waited is the time for which the adapter was waited for.
	Waited time.Duration
}

// Chooser chooses upstreams for requests and has adapters loaded where they are
// wanted. Exported fields are set before the first call; it is safe for
// concurrent use.
type Chooser struct {
	Directory *snipedirectory.Keeper
	Balancer  *snipebalance.Balancer
	Residency *snipeadapter.Residency
	Versions  *snipecatalog.Keeper
	// Ensure has an engine's owner load an adapter and waits for it.
	// It is refused at once, with a snipeadapter.BusyError, if it would take longer than
	// patience.
	Ensure func(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) (int64, error)
	// Owned reports whether an engine has an owner that can order it.
	Owned func(u *snipedirectory.Upstream) bool

	lock     sync.Mutex // guards the fields below
	flights  map[flightKey]*flight
	replicas map[snipecatalog.Adapter]map[string]news
	uses     map[string]map[snipecatalog.Adapter]*use
}

// use is the use of an adapter on one engine.
type use struct {
	// begun counts requests since the last report, running those in flight.
	begun, running int
}

// flightKey names a load that is waited for.
type flightKey struct {
	engine  string
	adapter snipecatalog.Adapter
	version int64
}

// flight is one question to an owner, shared by all that wait for its answer.
type flight struct {
	done    chan struct{}
	cancel  context.CancelFunc
	waiting int
	version int64
	err     error
}

// Choose returns an upstream of a service for a request; tried are those that
// failed it, patience is how long an adapter may be waited for.
func (c *Chooser) Choose(ctx context.Context, service string, q *Request, tried []string, patience time.Duration) (Choice, error) {
	all := c.Directory.Snapshot().Service(service)
	if len(all) == 0 {
		return Choice{}, snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "the service has no upstream").After(time.Second)
	}
	fresh := func(u *snipedirectory.Upstream) bool { return !slices.Contains(tried, u.ID) }
	if q.Adapter.Model == "" {
		return c.plain(all, fresh)
	}
	return c.engine(ctx, all, q, patience, fresh)
}

func (c *Chooser) plain(all []*snipedirectory.Upstream, fresh snipebalance.Filter) (Choice, error) {
	u := c.Balancer.Pick(all, fresh, nil)
	if u == nil {
		return Choice{}, snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "no upstream is left to try").After(time.Second)
	}
	return Choice{Upstream: u}, nil
}

// engine returns an engine that holds the request's adapter, or has one load it.
func (c *Chooser) engine(ctx context.Context, all []*snipedirectory.Upstream, q *Request, patience time.Duration, fresh snipebalance.Filter) (Choice, error) {
	a := q.Adapter
	required := c.Versions.Required(a, versionGrace)
	holds := func(u *snipedirectory.Upstream) bool {
		version, ok := c.Residency.Holds(u, a)
		return ok && version >= required
	}
	held := c.held(all, holds)
	may := func(u *snipedirectory.Upstream) bool { return holds(u) && fresh(u) }
	u := c.Balancer.Pick(all, may, c.memoryCost(all, may, q))
	if u != nil && (c.Balancer.Usable(u) || held > 0) {
		return c.choice(u, a), nil
	}
	if a.Name == "" {
		return Choice{}, snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "no engine holds the model").After(time.Second)
	}
	return c.load(ctx, all, a, required, patience, fresh)
}

// held returns how many usable engines hold an adapter.
func (c *Chooser) held(all []*snipedirectory.Upstream, holds snipebalance.Filter) int {
	n := 0
	for _, u := range all {
		if holds(u) && c.Balancer.Usable(u) {
			n++
		}
	}
	return n
}

// choice returns an engine with the version to expect of it. Where no version was
// ever announced all engines hold the same one.
func (c *Chooser) choice(u *snipedirectory.Upstream, a snipecatalog.Adapter) Choice {
	choice := Choice{Upstream: u}
	if _, announced := c.Versions.Newest(a); announced {
		choice.Version, _ = c.Residency.Holds(u, a)
	}
	return choice
}

// Use notes that a request for an adapter goes to an engine, for the next report to
// the engine's owner. The returned function notes its end.
func (c *Chooser) Use(engine string, a snipecatalog.Adapter) (end func()) {
	if a.Name == "" {
		return func() {}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.uses == nil {
		c.uses = make(map[string]map[snipecatalog.Adapter]*use)
	}
	if c.uses[engine] == nil {
		c.uses[engine] = make(map[snipecatalog.Adapter]*use)
	}
	u := c.uses[engine][a]
	if u == nil {
		u = &use{}
		c.uses[engine][a] = u
	}
	u.begun++
	u.running++
	return func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		u.running--
	}
}

// TakeUses returns how often adapters were used on each engine since the last
// call; 0 for those whose requests are still in flight.
func (c *Chooser) TakeUses() map[string]map[snipecatalog.Adapter]int {
	c.lock.Lock()
	defer c.lock.Unlock()
	taken := make(map[string]map[snipecatalog.Adapter]int, len(c.uses))
	for engine, all := range c.uses {
		counts := make(map[snipecatalog.Adapter]int, len(all))
		for a, u := range all {
			counts[a] = u.begun
			u.begun = 0
			if u.running == 0 {
				delete(all, a)
			}
		}
		if len(all) == 0 {
			delete(c.uses, engine)
		}
		taken[engine] = counts
	}
	return taken
}

// load has an engine load the adapter: the first in rank that can do it soon, or else
// the first that can do it within patience.
func (c *Chooser) load(ctx context.Context, all []*snipedirectory.Upstream, a snipecatalog.Adapter, required int64, patience time.Duration, fresh snipebalance.Filter) (Choice, error) {
	begun := time.Now()
	refusal := snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, "no engine has an owner").After(loadRetry)
	for _, step := range loadSteps(patience) {
		tries := 0
		for _, u := range c.ranked(all, a) {
			if !fresh(u) || !c.loadable(u, a) {
				continue
			}
			if tries++; tries > step.tries {
				break
			}
			_, err := c.ask(ctx, u, a, required, step.patience)
			if err == nil {
				choice := c.choice(u, a)
				choice.Waited = time.Since(begun)
				return choice, nil
			}
			if refusal = refused(err); ctx.Err() != nil {
				return Choice{}, refusal
			}
		}
	}
	return Choice{}, refusal
}

// loadStep is a round of questions to engines' owners.
type loadStep struct {
	patience time.Duration
	tries    int
}

// loadSteps returns the rounds for a request that waits for patience.
func loadSteps(patience time.Duration) []loadStep {
	if patience <= soon {
		return []loadStep{{patience, loadTries}}
	}
	return []loadStep{{soon, loadTries}, {patience, 1}}
}

// refused returns the failure of a request whose adapter was not loaded.
func refused(err error) *snipeerror.CallError {
	wait := loadRetry
	var busy *snipeadapter.BusyError
	if errors.As(err, &busy) {
		wait = busy.Wait
	}
	return snipeerror.New(snipeerror.ErrLoadFailed, snipeerror.NotRun, err.Error()).After(wait)
}

// loadable reports whether an engine can be asked for an adapter.
func (c *Chooser) loadable(u *snipedirectory.Upstream, a snipecatalog.Adapter) bool {
	_, serves := c.Residency.Holds(u, snipecatalog.Adapter{Model: a.Model})
	return serves && c.Balancer.Usable(u) && c.Owned(u)
}

// loadRetry is when an adapter that could not be loaded is worth asking for again:
// twice the time of a load.
const loadRetry = 500 * time.Millisecond

// ranked returns the engines in the order in which they should hold an adapter,
// the same on every instance.
func (c *Chooser) ranked(all []*snipedirectory.Upstream, a snipecatalog.Adapter) []*snipedirectory.Upstream {
	key := sniperoute.Hash(a.Model, a.Name)
	type scored struct {
		upstream *snipedirectory.Upstream
		score    uint64
	}
	ranked := make([]scored, 0, len(all))
	for _, u := range all {
		ranked = append(ranked, scored{u, sniperoute.Score(key, sniperoute.Hash(u.Address.String()))})
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	upstreams := make([]*snipedirectory.Upstream, 0, len(ranked))
	for _, s := range ranked {
		upstreams = append(upstreams, s.upstream)
	}
	return upstreams
}

// ask asks an engine's owner for an adapter, once for all requests that wait. When
// nobody waits any more the question is taken back.
func (c *Chooser) ask(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) (int64, error) {
	f := c.join(u, a, version, patience)
	select {
	case <-f.done:
		return f.version, f.err
	case <-ctx.Done():
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if f.waiting--; f.waiting == 0 {
		f.cancel()
	}
	return 0, ctx.Err()
}

// join returns the question that is under way, or begins it.
func (c *Chooser) join(u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) *flight {
	key := flightKey{u.ID, a, version}
	c.lock.Lock()
	defer c.lock.Unlock()
	if f := c.flights[key]; f != nil && f.waiting > 0 {
		f.waiting++
		return f
	}
	if c.flights == nil {
		c.flights = make(map[flightKey]*flight)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	f := &flight{done: make(chan struct{}), cancel: cancel, waiting: 1}
	c.flights[key] = f
	go c.fly(ctx, key, f, u, patience)
	return f
}

func (c *Chooser) fly(ctx context.Context, key flightKey, f *flight, u *snipedirectory.Upstream, patience time.Duration) {
	defer f.cancel()
	f.version, f.err = c.Ensure(ctx, u, key.adapter, key.version, patience)
	if f.err == nil {
		c.Residency.Tell(key.engine, key.adapter, f.version)
	}
	c.lock.Lock()
	if c.flights[key] == f {
		delete(c.flights, key)
	}
	if f.err == nil {
		c.noteReplica(key.adapter, key.engine, f.version)
	}
	c.lock.Unlock()
	close(f.done)
}
