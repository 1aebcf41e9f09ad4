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
	// maxOffloadShare bounds the load of an engine that takes requests from an overloaded engine,
	// as a share of the overloaded engine's load.
	maxOffloadShare = 0.5
	// offloadMaxWait is the longest expected time for the load on another engine; offloadTimeout is
	// how long a request waits for that load.
	offloadMaxWait = 300 * time.Millisecond
	offloadTimeout = 450 * time.Millisecond
)

// overloaded reports whether an engine has so many requests, or announced a limit on them, that
// another engine serves one more request better, even if that engine has to load the adapter first.
func (c *Chooser) overloaded(u *snipedirectory.Upstream) bool {
	return c.Signals.Limited(u.ID) || c.Balancer.Busy(u) >= c.estimators.forService(u.Service).overloadThreshold()
}

// loadCandidates yields engines in the order in which they should be asked to load an adapter:
// first the engines that held it recently, then the others, and the overloaded engines last. An
// engine that held the adapter reloads it at once, which leaves the weight store, shared by all
// engines, to adapters that no engine has. Usually only the first few of many engines are asked, so
// the others are not sorted.
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

// previousHolders returns the engines that held an adapter recently and are not overloaded, ordered
// by rank.
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

// offload has another engine load an adapter whose least loaded holder is overloaded. Only engines
// with at most maxOffloadShare of the holder's load are asked. It returns false if none of them
// loads the adapter in time.
func (c *Chooser) offload(ctx context.Context, all []*snipedirectory.Upstream, a snipecatalog.Adapter, required int64, tried []string, holder *snipedirectory.Upstream) (Choice, bool) {
	start := time.Now()
	maxLoad := maxOffloadShare * c.Balancer.Load(holder)
	ctx, cancel := context.WithTimeout(ctx, offloadTimeout)
	defer cancel()
	tries := 0
	for u := range c.loadCandidates(all, a) {
		version, held := c.Residency.Holds(u, a)
		switch {
		case held && version >= required, slices.Contains(tried, u.ID), !c.loadable(u, a):
			continue
		case c.overloaded(u), c.Balancer.Load(u) > maxLoad:
			continue
		}
		if tries++; tries > maxLoadTries {
			return Choice{}, false
		}
		if err := c.requestLoad(ctx, u, a, required, offloadMaxWait); err == nil {
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
