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
	// versionGrace is how long after this instance learned of an adapter's new version a request
	// may still be sent to an engine that holds the previous one. Operators allow five seconds
	// until no request begins on the previous version, and part of these pass before the
	// announcement arrives and while the request waits in the engine's queue. Other engines hold
	// the new version within a second.
	versionGrace = 1500 * time.Millisecond
)

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream *snipedirectory.Upstream
	// Version is the adapter version to expect at the upstream; zero for any version.
	Version int64
	// Waited is the time that the request waited for the adapter to load; zero if an engine that
	// held the adapter was chosen.
	Waited time.Duration
	// Holders is the number of usable upstreams to choose from. For a plain service that states
	// paces, they are those that were compared. For an adapter, they are the
	// engines believed to hold an accepted version, and the number is zero if the adapter was
	// loaded because the request could be sent to none of them. For a base model of which only
	// a sample of the engines is compared, they are the engines of the sample.
	Holders int
}

// Chooser chooses upstreams for requests and has adapters loaded where they are needed. Exported
// fields are set before the first call. It is safe for concurrent use.
type Chooser struct {
	Directory *snipedirectory.Cache
	Balancer  *snipebalance.Balancer
	Residency *snipeadapter.Residency
	Signals   *snipesignal.Tracker
	Versions  *snipecatalog.Cache
	// Ensure asks an engine's owner to load an adapter, waits for the load and returns the loaded
	// version. It returns a snipeadapter.BusyError at once if the load would take longer than the
	// demand's MaxWait, and later if a queued load is displaced.
	Ensure func(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error)
	// Owned reports whether an engine has an owner that can be reached and may order loads on it.
	Owned func(u *snipedirectory.Upstream) bool

	estimators estimators
	busyWaits  busyWaits

	lock sync.Mutex // guards the fields below
	// loads holds the load requests in flight, replicas the new replicas by adapter and engine, and
	// uses the use of each engine by this instance.
	loads    map[loadKey]*sharedLoad
	replicas map[snipecatalog.Adapter]map[string]recentReplica
	// nextReplicaDecision is the time from which on the replicas of an adapter may change again.
	nextReplicaDecision map[snipecatalog.Adapter]time.Time
	uses                map[string]*engineUse
}

// noLoads, in place of the longest wait for an adapter, has only engines chosen that hold it.
const noLoads time.Duration = -1

// Choose returns an upstream of a service for a request. It excludes the upstreams in tried, where
// earlier attempts failed, and requests only loads of an adapter that are expected to take at most
// maxWait, and none with noLoads. Its errors carry a retry time for the caller.
func (c *Chooser) Choose(ctx context.Context, service string, q *Request, tried []string, maxWait time.Duration) (Choice, error) {
	directory := c.Directory.Snapshot()
	registered := directory.Service(service)
	all := q.software.filter(registered)
	if err := q.software.check(registered, all); err != nil {
		return Choice{}, err
	}
	if q.Adapter.Model == "" {
		return c.choosePlain(all, notTried(tried))
	}
	return c.chooseEngine(ctx, directory, all, q, maxWait, tried)
}

// notTried returns a filter that accepts the upstreams that are not in tried.
func notTried(tried []string) snipebalance.Filter {
	return func(u *snipedirectory.Upstream) bool { return !slices.Contains(tried, u.ID) }
}

// choosePlain returns an upstream of a plain service, which needs no adapter.
func (c *Chooser) choosePlain(all []*snipedirectory.Upstream, untried snipebalance.Filter) (Choice, error) {
	u, usable := c.pickPlain(all, untried)
	if u == nil {
		return Choice{}, c.refusalError(all, noUpstreamError("no upstream is left to try"))
	}
	return Choice{Upstream: u, Holders: usable}, nil
}

// refusalError returns the error for a request that none of the upstreams in all can take:
// defaultErr, or ErrOverloaded with a retry time if some of them asked for backoff or announced a
// limit.
func (c *Chooser) refusalError(all []*snipedirectory.Upstream, defaultErr *snipeerror.CallError) *snipeerror.CallError {
	ids := make([]string, 0, len(all))
	for _, u := range all {
		if !u.Leaving {
			ids = append(ids, u.ID)
		}
	}
	if retryAfter, limited := c.Signals.RetryAfter(ids); limited {
		reason := defaultErr.Reason + ": limits are reached, or rest is wanted"
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, reason).After(retryAfter)
	}
	return defaultErr
}

// noUpstreamError returns the error for a request that no upstream can take, with a retry time of
// one second.
func noUpstreamError(reason string) *snipeerror.CallError {
	return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, reason).After(time.Second)
}

// chooseEngine returns an engine that holds the request's adapter, or has an engine load it. If the
// best holder is overloaded, another engine may load the adapter for the request (see offload). A
// suspect holder is chosen only if there are usable ones, all of which were tried; otherwise the
// adapter is loaded on another engine. All are the engines of one service that may answer the request.
func (c *Chooser) chooseEngine(ctx context.Context, directory *snipedirectory.Snapshot, all []*snipedirectory.Upstream, q *Request, maxWait time.Duration, tried []string) (Choice, error) {
	a, untried := q.Adapter, notTried(tried)
	holders := c.possibleHolders(directory, all, q, untried)
	required := c.Versions.Required(a, versionGrace)
	holds := func(u *snipedirectory.Upstream) bool {
		version, ok := c.Residency.Holds(u, a)
		return ok && version >= required
	}
	held := c.countUsable(holders, holds)
	eligible := func(u *snipedirectory.Upstream) bool { return holds(u) && untried(u) }
	u := c.pickEngine(all[0].Service, holders, eligible, q)
	if u != nil && (c.Balancer.Usable(u) || held > 0) {
		choice := c.newChoice(u, a)
		if a.Name != "" && maxWait != noLoads && c.overloaded(u) {
			if other, ok := c.offload(ctx, all, q, required, tried, u); ok {
				choice = other
			}
		}
		choice.Holders = held
		return choice, nil
	}
	if a.Name == "" || maxWait == noLoads {
		return Choice{}, c.refusalError(all, noUpstreamError("no engine holds the model"))
	}
	return c.load(ctx, all, q, required, maxWait, untried)
}

// possibleHolders returns the engines, among all that may answer a request, that may hold its adapter. For
// a base model they are all of them, or a sample.
func (c *Chooser) possibleHolders(directory *snipedirectory.Snapshot, all []*snipedirectory.Upstream, q *Request, untried snipebalance.Filter) []*snipedirectory.Upstream {
	if q.Adapter.Name != "" {
		return q.software.filter(c.adapterHolders(directory, all[0].Service, q.Adapter))
	}
	if sampled := sample(all, q.ID); c.countUsable(sampled, untried) > 0 {
		return sampled
	}
	return all
}

// adapterHolders returns the engines of a service that may hold an adapter.
func (c *Chooser) adapterHolders(directory *snipedirectory.Snapshot, service string, a snipecatalog.Adapter) []*snipedirectory.Upstream {
	return enginesByID(directory, service, c.Residency.Holders(a, make([]string, 0, typicalHolders)))
}

// sampleSize is the number of engines compared for a request that any engine could serve. Many
// instances observe the same loads, and without sampling all of them would choose the same idle
// engine.
const sampleSize = 4

// sample returns up to sampleSize engines, selected by the hash of the request's identifier. The
// same engine may be selected more than once.
func sample(all []*snipedirectory.Upstream, id string) []*snipedirectory.Upstream {
	if len(all) <= sampleSize {
		return all
	}
	key := sniperoute.Hash(id)
	sampled := make([]*snipedirectory.Upstream, 0, sampleSize)
	for n := range uint64(sampleSize) {
		sampled = append(sampled, all[sniperoute.Score(key, n)%uint64(len(all))])
	}
	return sampled
}

// typicalHolders is the initial capacity for the list of an adapter's holders; few adapters are
// held by more engines.
const typicalHolders = 8

// enginesByID returns the engines of a service with the given identifiers. It omits identifiers
// that are not in the directory or belong to another service.
func enginesByID(directory *snipedirectory.Snapshot, service string, ids []string) []*snipedirectory.Upstream {
	engines := make([]*snipedirectory.Upstream, 0, len(ids))
	for _, id := range ids {
		if u := directory.ByID(id); u != nil && u.Service == service {
			engines = append(engines, u)
		}
	}
	return engines
}

// countUsable returns the number of usable upstreams that pass the filter.
func (c *Chooser) countUsable(all []*snipedirectory.Upstream, filter snipebalance.Filter) int {
	n := 0
	for _, u := range all {
		if filter(u) && c.Balancer.Usable(u) {
			n++
		}
	}
	return n
}

// newChoice returns a choice of an engine with the adapter version to expect there. If no version
// of the adapter was ever announced, all engines hold the same one and any is accepted.
func (c *Chooser) newChoice(u *snipedirectory.Upstream, a snipecatalog.Adapter) Choice {
	choice := Choice{Upstream: u}
	if _, announced := c.Versions.Newest(a); announced {
		choice.Version, _ = c.Residency.Holds(u, a)
	}
	return choice
}
