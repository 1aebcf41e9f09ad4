package snipegateway

import (
	"context"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

const (
	// crowdedLoad and crowdedShare of an engine's slots are the weight of its requests from
	// which on one more is better served by an engine that first has to load its adapter,
	// 0.3 s: some twenty prompts of 650 tokens, read one after the other between the
	// tokens of the others. With 60 engines of 24 slots, requests whose first piece was
	// late had found 38 others at the median, those in time nine. With twelve engines of 64
	// slots twenty were too few: 0.723 of the worth of eight heavy days was earned so, and
	// 0.729 with forty.
	crowdedLoad  = 32
	crowdedShare = 0.8
	// reliefShare is the share of a crowded engine's load that another one may have to
	// relieve it.
	reliefShare = 0.5
	// reliefPatience is how long the load at another engine may be expected to take,
	// reliefLimit how long it is waited for.
	reliefPatience = 300 * time.Millisecond
	reliefLimit    = 450 * time.Millisecond
)

// crowded reports whether an engine has so much to do that another one should be found,
// even if it has to load the adapter first.
func (c *Chooser) crowded(u *snipedirectory.Upstream) bool {
	return c.Balancer.Load(u) >= max(crowdedLoad, crowdedShare*float64(u.Slots))
}

// uncrowdedFirst moves the engines that are crowded behind all others.
func (c *Chooser) uncrowdedFirst(ranked []*snipedirectory.Upstream) []*snipedirectory.Upstream {
	all := make([]*snipedirectory.Upstream, 0, len(ranked))
	var crowded []*snipedirectory.Upstream
	for _, u := range ranked {
		if c.crowded(u) {
			crowded = append(crowded, u)
			continue
		}
		all = append(all, u)
	}
	return append(all, crowded...)
}

// relieve has another engine load an adapter of which the least loaded holder is crowded,
// one that has much less to do. It is false where none can do it soon.
func (c *Chooser) relieve(ctx context.Context, all []*snipedirectory.Upstream, a snipecatalog.Adapter, required int64, tried []string, holder *snipedirectory.Upstream) (Choice, bool) {
	begun := time.Now()
	most := reliefShare * c.Balancer.Load(holder)
	ctx, cancel := context.WithTimeout(ctx, reliefLimit)
	defer cancel()
	tries := 0
	for _, u := range c.ranked(all, a) {
		version, held := c.Residency.Holds(u, a)
		switch {
		case held && version >= required, slices.Contains(tried, u.ID), !c.loadable(u, a):
			continue
		case c.crowded(u), c.Balancer.Load(u) > most:
			continue
		}
		if tries++; tries > loadTries {
			return Choice{}, false
		}
		if err := c.ask(ctx, u, a, required, reliefPatience); err == nil {
			choice := c.choice(u, a)
			choice.Waited = time.Since(begun)
			return choice, true
		}
		if ctx.Err() != nil {
			return Choice{}, false
		}
	}
	return Choice{}, false
}
