package snipegateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesignal"
)

const (
	// versionGrace is how long after an adapter's new version was learned a request
	// may still be sent to an engine that holds the one before. Operators allow five
	// seconds until none begins on it, of which some are for learning of the announcement
	// and for the wait in an engine's queue. Others have the new version within a second.
	versionGrace = 1500 * time.Millisecond
)

// Choice is where a request goes.
type Choice struct {
	Upstream *snipedirectory.Upstream
	// Version is the adapter's version there; zero when any will do.
	Version int64
	// Waited is the time for which the adapter was waited for.
	Waited time.Duration
	// Holders is how many usable upstreams could have been chosen: for an adapter those
	// that were believed to hold it.
	Holders int
}

// Chooser chooses upstreams for requests and has adapters loaded where they are
// wanted. Exported fields are set before the first call; it is safe for
// concurrent use.
type Chooser struct {
	Directory *snipedirectory.Keeper
	Balancer  *snipebalance.Balancer
	Residency *snipeadapter.Residency
	Signals   *snipesignal.Book
	Versions  *snipecatalog.Keeper
	// Ensure has an engine's owner load an adapter and waits for it.
	// It is refused at once, with a snipeadapter.BusyError, if it would take longer than
	// patience.
	Ensure func(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) (int64, error)
	// Owned reports whether an engine has an owner that can order it.
	Owned func(u *snipedirectory.Upstream) bool

	paces paces

	lock     sync.Mutex // guards the fields below
	flights  map[flightKey]*flight
	replicas map[snipecatalog.Adapter]map[string]news
	// settling tells until when a decision about an adapter's replicas settles.
	settling map[snipecatalog.Adapter]time.Time
	uses     map[string]*engineUse
}

// Choose returns an upstream of a service for a request; tried are those that
// failed it, patience is how long an adapter may be waited for.
func (c *Chooser) Choose(ctx context.Context, service string, q *Request, tried []string, patience time.Duration) (Choice, error) {
	directory := c.Directory.Snapshot()
	all := directory.Service(service)
	if len(all) == 0 {
		return Choice{}, none("the service has no upstream")
	}
	if q.Adapter.Model == "" {
		return c.plain(all, untried(tried))
	}
	return c.engine(ctx, directory, service, q, patience, tried)
}

// untried passes the upstreams that are not among those tried.
func untried(tried []string) snipebalance.Filter {
	return func(u *snipedirectory.Upstream) bool { return !slices.Contains(tried, u.ID) }
}

func (c *Chooser) plain(all []*snipedirectory.Upstream, fresh snipebalance.Filter) (Choice, error) {
	u := c.Balancer.Pick(all, fresh, nil)
	if u == nil {
		return Choice{}, c.nowhere(all, none("no upstream is left to try"))
	}
	return Choice{Upstream: u, Holders: c.held(all, fresh)}, nil
}

// nowhere returns the refusal of a request that can go to none of some upstreams: another one than
// usual where some of them have said that they take none now.
func (c *Chooser) nowhere(all []*snipedirectory.Upstream, usual *snipeerror.CallError) *snipeerror.CallError {
	ids := make([]string, 0, len(all))
	for _, u := range all {
		if !u.Leaving {
			ids = append(ids, u.ID)
		}
	}
	if promised, closed := c.Signals.Promise(ids); closed {
		reason := usual.Reason + ": limits are reached, or rest is wanted"
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, reason).After(promised)
	}
	return usual
}

// none returns the usual refusal of a request that can go to no upstream.
func none(reason string) *snipeerror.CallError {
	return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, reason).After(time.Second)
}

// engine returns an engine that holds the request's adapter, or has one load it.
func (c *Chooser) engine(ctx context.Context, directory *snipedirectory.Snapshot, service string, q *Request, patience time.Duration, tried []string) (Choice, error) {
	a, fresh := q.Adapter, untried(tried)
	all := directory.Service(service)
	holders := c.mayHold(directory, service, a)
	if few := sample(holders, q.ID); a.Name == "" && c.held(few, fresh) > 0 {
		holders = few
	}
	required := c.Versions.Required(a, versionGrace)
	holds := func(u *snipedirectory.Upstream) bool {
		version, ok := c.Residency.Holds(u, a)
		return ok && version >= required
	}
	held := c.held(holders, holds)
	may := func(u *snipedirectory.Upstream) bool { return holds(u) && fresh(u) }
	u := c.Balancer.Pick(holders, may, c.memoryCost(holders, may, q))
	if u != nil && (c.Balancer.Usable(u) || held > 0) {
		choice := c.choice(u, a)
		if a.Name != "" && c.crowded(u) {
			if other, ok := c.relieve(ctx, all, a, required, tried, u); ok {
				choice = other
			}
		}
		choice.Holders = held
		return choice, nil
	}
	if a.Name == "" {
		return Choice{}, c.nowhere(all, none("no engine holds the model"))
	}
	return c.load(ctx, all, a, required, patience, fresh)
}

// mayHold returns the engines of a service that may hold an adapter; all of them for a base
// model.
func (c *Chooser) mayHold(directory *snipedirectory.Snapshot, service string, a snipecatalog.Adapter) []*snipedirectory.Upstream {
	if a.Name == "" {
		return directory.Service(service)
	}
	return resolve(directory, service, c.Residency.Holders(a, make([]string, 0, usualHolders)))
}

// sampled is how many engines are looked at for a request that all of them could serve: many
// instances know the same loads, and would all choose the same idle engine.
const sampled = 4

// sample returns a few engines, others for each request.
func sample(all []*snipedirectory.Upstream, id string) []*snipedirectory.Upstream {
	if len(all) <= sampled {
		return all
	}
	key := sniperoute.Hash(id)
	few := make([]*snipedirectory.Upstream, 0, sampled)
	for n := range uint64(sampled) {
		few = append(few, all[sniperoute.Score(key, n)%uint64(len(all))])
	}
	return few
}

// usualHolders is the number of engines for whose names room is made at once: few adapters
// are on more.
const usualHolders = 8

// resolve returns the engines of a service by their identifiers, without those that are gone.
func resolve(directory *snipedirectory.Snapshot, service string, ids []string) []*snipedirectory.Upstream {
	engines := make([]*snipedirectory.Upstream, 0, len(ids))
	for _, id := range ids {
		if u := directory.ByID(id); u != nil && u.Service == service {
			engines = append(engines, u)
		}
	}
	return engines
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
