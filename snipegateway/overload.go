package snipegateway

import (
	"cmp"
	"context"
	"iter"
	"slices"
	"strings"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// maxOffloadShare limits which engines take requests from an overloaded engine: the weight of
	// the requests in flight there is at most this fraction of the weight at the overloaded engine.
	// For a service that states paces, the same holds for the expected delay.
	maxOffloadShare = 0.5
	// offloadMaxWait is the longest expected time for loading the adapter on another engine. Owners
	// name the times that they observe, and engines are overloaded when the store is busy and slower
	// than usual; a load from an idle store takes 250 ms.
	offloadMaxWait = 400 * time.Millisecond
	// offloadTimeout is how long a request waits in all, whichever engines are asked, before it is
	// sent to the overloaded engine.
	offloadTimeout = 450 * time.Millisecond
)

// overloaded reports whether an engine has a limit in force or so many requests that another engine
// is expected to answer one more request sooner, even if that engine has to load the adapter first.
func (c *Chooser) overloaded(u *snipedirectory.Upstream) bool {
	if c.Balancer.Paced(u.Service) {
		return c.Signals.Limited(u.ID) || c.slowerThanLoad(u) || c.memoryTaken(u)
	}
	return c.Signals.Limited(u.ID) || c.Balancer.Busy(u) >= c.estimators.forService(u.Service).overloadThreshold()
}

// loadCandidates yields engines in the order in which they should be asked to load an adapter:
// first the engines that held the adapter recently, then the others, and the overloaded engines
// last. Each group is ordered by rank. An engine that held the adapter recently still has its
// weights in its own memory, and so does not load them from the weight store, which all engines
// share. Usually only the first few of many engines are asked, so the others are not sorted.
func (c *Chooser) loadCandidates(all []*snipedirectory.Upstream, a snipecatalog.Adapter) iter.Seq[*snipedirectory.Upstream] {
	return func(yield func(*snipedirectory.Upstream) bool) {
		previous := c.previousHolders(all, a)
		for _, u := range previous {
			if !yield(u) {
				return
			}
		}
		var overloaded []*snipedirectory.Upstream
		for r := newRanking(all, a); r.Len() > 0; {
			u := r.next()
			switch {
			case slices.Contains(previous, u):
			case c.overloaded(u):
				overloaded = append(overloaded, u)
			case !yield(u):
				return
			}
		}
		for _, u := range overloaded {
			if !yield(u) {
				return
			}
		}
	}
}

// previousHolders returns the engines in all, which are sorted by identifier, that held an adapter
// recently, do not hold it now and are not overloaded. It orders them by rank.
func (c *Chooser) previousHolders(all []*snipedirectory.Upstream, a snipecatalog.Adapter) []*snipedirectory.Upstream {
	var engines []*snipedirectory.Upstream
	for _, id := range c.Residency.PreviousHolders(a, nil) {
		n, found := slices.BinarySearchFunc(all, id, func(u *snipedirectory.Upstream, id string) int {
			return strings.Compare(u.ID, id)
		})
		if found && c.Residency.PreviouslyHeld(id, a) && !c.overloaded(all[n]) {
			engines = append(engines, all[n])
		}
	}
	key := rankKey(a)
	slices.SortFunc(engines, func(x, y *snipedirectory.Upstream) int {
		return cmp.Compare(sniperoute.Score(key, y.RankKey), sniperoute.Score(key, x.RankKey))
	})
	return engines
}

// offload has another engine load an adapter whose best holder is overloaded, and waits for the
// load. It asks at most maxLoadTries engines, all of which are not overloaded and have at most
// maxOffloadShare of the holder's requests in flight. It returns false if none of them loads the
// adapter within offloadTimeout.
func (c *Chooser) offload(ctx context.Context, all []*snipedirectory.Upstream, q *Request, required int64, tried []string, holder *snipedirectory.Upstream) (Choice, bool) {
	a, start := q.Adapter, time.Now()
	maxLoad := maxOffloadShare * c.delay(holder)
	ctx, cancel := context.WithTimeout(ctx, offloadTimeout)
	defer cancel()
	tries := 0
	for u := range c.loadCandidates(all, a) {
		version, held := c.Residency.Holds(u, a)
		switch {
		case held && version >= required, slices.Contains(tried, u.ID), !c.loadable(u, a):
			continue
		case c.overloaded(u), c.delay(u) > maxLoad:
			continue
		}
		if tries++; tries > maxLoadTries {
			return Choice{}, false
		}
		if c.knownBusy(u, q, required, offloadMaxWait) != nil {
			continue
		}
		if err := c.requestLoad(ctx, u, a, required, q.demand(ctx, offloadMaxWait)); err == nil {
			choice := c.newChoice(u, a)
			choice.Waited = time.Since(start)
			return choice, true
		}
		if ctx.Err() != nil {
			return Choice{}, false
		}
	}
	return Choice{}, false
}
