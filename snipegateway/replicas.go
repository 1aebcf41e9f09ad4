package snipegateway

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// replicate has one more engine load an adapter; nobody waits for it.
func (c *Chooser) replicate(all []*snipedirectory.Upstream, a snipecatalog.Adapter, version int64, holds snipebalance.Filter) {
	for _, u := range c.ranked(all, a) {
		if holds(u) || !c.loadable(u, a) {
			continue
		}
		c.join(u, a, version, replicaPatience)
		return
	}
}

// wanted returns how many engines should hold an adapter, by how often this
// instance is asked for it: callers are spread over the instances.
func (c *Chooser) wanted(a snipecatalog.Adapter, engines int) int {
	perSecond := c.count(a) * float64(max(c.Instances(), 1))
	n := int(math.Ceil(perSecond / replicaRate))
	if perSecond > spareRate {
		n = max(n, 2)
	}
	return max(min(n, maxReplicas, engines), 1)
}

// count counts a request and returns how many come a second.
func (c *Chooser) count(a snipecatalog.Adapter) float64 {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.rates == nil {
		c.rates = make(map[snipecatalog.Adapter]*rate)
	}
	now := time.Now()
	r := c.rates[a]
	if r == nil {
		c.prune(now)
		r = &rate{since: now}
		c.rates[a] = r
	}
	if age := now.Sub(r.since); age >= rateWindow {
		r.previous = r.count / age.Seconds()
		r.since, r.count = now, 0
	}
	r.count++
	return max(r.previous, r.count/rateWindow.Seconds())
}

// maxRates bounds the adapters that are counted.
const maxRates = 4096

// prune forgets adapters that are no longer asked for. The lock is held.
func (c *Chooser) prune(now time.Time) {
	if len(c.rates) < maxRates {
		return
	}
	for a, r := range c.rates {
		if now.Sub(r.since) > 2*rateWindow {
			delete(c.rates, a)
		}
	}
}
