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
	// reliefShare is the share of a crowded engine's load that another one may have to
	// relieve it.
	reliefShare = 0.5
	// reliefPatience is how long the load at another engine may be expected to take,
	// reliefLimit how long it is waited for.
	reliefPatience = 300 * time.Millisecond
	reliefLimit    = 450 * time.Millisecond
)

// crowded reports whether an engine has so much to do, or takes so few requests, that one more is
// better served by another one, even if that has to load the adapter first.
func (c *Chooser) crowded(u *snipedirectory.Upstream) bool {
	return c.Signals.Limited(u.ID) || c.Balancer.Busy(u) >= c.paces.of(u.Service).crowding()
}

// bestFirst passes the engines in the order in which they should be asked to load an
// adapter: those that are crowded last, and of the others first those that held it lately.
// These bring it back at once and leave the weight store, which all engines share, to what no
// engine has. Of many engines mostly the first few are asked, so that the others are not put
// in order.
func (c *Chooser) bestFirst(all []*snipedirectory.Upstream, a snipecatalog.Adapter) iter.Seq[*snipedirectory.Upstream] {
	return func(yield func(*snipedirectory.Upstream) bool) {
		formers := c.formers(all, a)
		for _, u := range formers {
			if !yield(u) {
				return
			}
		}
		var crowded []*snipedirectory.Upstream
		for r := newRanking(all, a); r.Len() > 0; {
			u := r.next()
			switch {
			case slices.Contains(formers, u):
			case c.crowded(u):
				crowded = append(crowded, u)
			case !yield(u):
				return
			}
		}
		for _, u := range crowded {
			if !yield(u) {
				return
			}
		}
	}
}

// formers returns the engines that held an adapter lately and are not crowded, the first in
// rank first.
func (c *Chooser) formers(all []*snipedirectory.Upstream, a snipecatalog.Adapter) []*snipedirectory.Upstream {
	var engines []*snipedirectory.Upstream
	for _, id := range c.Residency.Formers(a, nil) {
		n, found := slices.BinarySearchFunc(all, id, func(u *snipedirectory.Upstream, id string) int {
			return strings.Compare(u.ID, id)
		})
		if found && c.Residency.Formerly(id, a) && !c.crowded(all[n]) {
			engines = append(engines, all[n])
		}
	}
	key := rankKey(a)
	slices.SortFunc(engines, func(x, y *snipedirectory.Upstream) int {
		return cmp.Compare(sniperoute.Score(key, y.RankKey), sniperoute.Score(key, x.RankKey))
	})
	return engines
}

// relieve has another engine load an adapter of which the least loaded holder is crowded,
// one that has much less to do. It is false where none can do it soon.
func (c *Chooser) relieve(ctx context.Context, all []*snipedirectory.Upstream, a snipecatalog.Adapter, required int64, tried []string, holder *snipedirectory.Upstream) (Choice, bool) {
	begun := time.Now()
	most := reliefShare * c.Balancer.Load(holder)
	ctx, cancel := context.WithTimeout(ctx, reliefLimit)
	defer cancel()
	tries := 0
	for u := range c.bestFirst(all, a) {
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
