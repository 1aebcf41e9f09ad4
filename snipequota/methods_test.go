package snipequota_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecatalog"
)

// Quotas of a large and of a small workspace.
var (
	large = snipecatalog.Quota{PerSecond: 298_000, Burst: 298_000, Tokens: true}
	small = snipecatalog.Quota{PerSecond: 29_000, Burst: 29_000, Tokens: true}
)

// evenShare gives each instance a token bucket with an equal share of the quota.
func evenShare(c *cluster) takeFunc {
	type state struct {
		level float64
		at    time.Time
	}
	var lock sync.Mutex
	shares := make([]state, len(c.instances))
	return func(n int, units float64) bool {
		q, sharers := c.workspace().Quota, float64(len(c.instances))
		lock.Lock()
		defer lock.Unlock()
		p := &shares[n]
		if p.at.IsZero() {
			p.level = q.Burst / sharers
		} else {
			p.level = min(p.level+q.PerSecond/sharers*time.Since(p.at).Seconds(), q.Burst/sharers)
		}
		p.at = time.Now()
		if p.level < min(units, q.Burst/sharers) {
			return false
		}
		p.level -= units
		return true
	}
}

// delayedSum uses one token bucket for all instances that reach each other. An instance knows its
// own use at once, and the use of the others after a delay of several reports: as late as it would
// learn sums of their use that each failure domain computes. Instances that do not reach each other
// do not count each other's use.
func delayedSum(c *cluster) takeFunc {
	const delay = 400 * time.Millisecond
	type use struct {
		at    time.Time
		n     int
		units float64
	}
	var lock sync.Mutex
	var uses []use
	var partitions [3]struct {
		level float64
		at    time.Time
	}
	for n := range partitions {
		partitions[n].level, partitions[n].at = c.workspace().Quota.Burst, time.Now()
	}
	return func(n int, units float64) bool {
		q := c.workspace().Quota
		lock.Lock()
		defer lock.Unlock()
		now := time.Now()
		partition := c.partitionOf(n)
		g := &partitions[partition]
		g.level = min(g.level+q.PerSecond*now.Sub(g.at).Seconds(), q.Burst)
		g.at = now
		known := g.level
		for len(uses) > 0 && now.Sub(uses[0].at) > delay {
			uses = uses[1:]
		}
		for _, u := range uses {
			if u.n != n && c.partitionOf(u.n) == partition {
				known += u.units
			}
		}
		if known < min(units, q.Burst) {
			return false
		}
		g.level -= units
		uses = append(uses, use{now, n, units})
		return true
	}
}

// granted uses the grants of an issuer, which is the method of this package.
func granted(c *cluster) takeFunc { return c.take }

// load is the quota and the sequence of requests and faults of one run.
type load struct {
	quota snipecatalog.Quota
	run   func(c *cluster, take takeFunc)
}

var loads = map[string]load{
	"Steady": {large, func(c *cluster, take takeFunc) { c.send(take, 16*time.Second, 0.55*large.PerSecond, c.sizes(700)) }},
	"Hot": {large, func(c *cluster, take takeFunc) {
		c.send(take, 6*time.Second, 0.55*large.PerSecond, c.sizes(700))
		c.send(take, 10*time.Second, 4*large.PerSecond, c.sizes(700))
	}},
	"HotSmall": {small, func(c *cluster, take takeFunc) {
		c.send(take, 6*time.Second, 0.55*small.PerSecond, c.sizes(700))
		c.send(take, 10*time.Second, 4*small.PerSecond, c.sizes(700))
	}},
	"CallersMove": {large, func(c *cluster, take takeFunc) {
		c.send(take, 6*time.Second, 0.8*large.PerSecond, c.sizes(700))
		for n := range c.instances {
			c.update(n, func(d *instance) { d.weight = c.rand.ExpFloat64() * c.rand.ExpFloat64() })
		}
		c.send(take, 10*time.Second, 0.8*large.PerSecond, c.sizes(700))
	}},
	"FewLarge": {small, func(c *cluster, take takeFunc) {
		c.send(take, 20*time.Second, 0.6*small.PerSecond, func() float64 { return 40_000 })
	}},
	"AllKilled": {large, func(c *cluster, take takeFunc) {
		c.send(take, 5*time.Second, 4*large.PerSecond, c.sizes(700))
		for n := range c.instances {
			c.kill(n)
		}
		for n := range c.instances {
			c.restart(n)
		}
		c.send(take, 8*time.Second, 4*large.PerSecond, c.sizes(700))
	}},
	"ThirdCut": {large, func(c *cluster, take takeFunc) {
		c.send(take, 5*time.Second, 0.55*large.PerSecond, c.sizes(700))
		for n := range len(c.instances) / 3 {
			c.update(n, func(d *instance) { d.partition = 1 + n%2 })
		}
		c.send(take, 8*time.Second, 0.55*large.PerSecond, c.sizes(700))
		c.send(take, 6*time.Second, 4*large.PerSecond, c.sizes(700))
	}},
	"IssuerFrozen": {large, func(c *cluster, take takeFunc) {
		c.send(take, 5*time.Second, 0.55*large.PerSecond, c.sizes(700))
		c.update(0, func(d *instance) { d.frozen = true })
		c.send(take, 6*time.Second, 2*large.PerSecond, c.sizes(700))
		c.update(0, func(d *instance) { d.frozen = false })
		c.send(take, 6*time.Second, 2*large.PerSecond, c.sizes(700))
	}},
	"Replaced": {large, func(c *cluster, take takeFunc) {
		for n := range 6 {
			c.send(take, 2*time.Second, 2*large.PerSecond, c.sizes(700))
			c.kill(n)
			c.send(take, time.Second, 2*large.PerSecond, c.sizes(700))
			c.restart(n)
		}
	}},
}

// partitionOf returns the network partition of an instance.
func (c *cluster) partitionOf(n int) (partition int) {
	c.update(n, func(d *instance) { partition = d.partition })
	return partition
}

// methods are the ways to count use, with the numbers of instances for which each is run.
var methods = map[string]struct {
	count func(c *cluster) takeFunc
	sizes []int
}{
	"EvenShare": {evenShare, []int{66}}, "LateSum": {delayedSum, []int{66}}, "Granted": {granted, []int{9, 66}},
}

// TestMethods runs each load (see the type load) with each method of counting. It guards against
// grants, the method of this package, that exceed the bound of the quota, or that refuse more than
// a twentieth of what one bucket for all instances would have let run, although the instances reach
// an issuer. The other methods are run for comparison and not checked.
func TestMethods(t *testing.T) {
	// withoutIssuer names the runs in which instances cannot reach the issuer, the instance that
	// grants units, for a while.
	withoutIssuer := map[string]bool{"ThirdCut": true, "IssuerFrozen": true, "AllKilled": true, "Replaced": true}
	for name, l := range loads {
		for method, u := range methods {
			for _, n := range u.sizes {
				t.Run(fmt.Sprint(name, method, n), func(t *testing.T) {
					maxUse, early := runLoad(t, n, l, u.count)
					if method != "Granted" {
						return
					}
					must.LessEq(t, 1, maxUse)
					if !withoutIssuer[name] {
						must.LessEq(t, 0.05, early)
					}
				})
			}
		}
	}
}

// TestThreeHundredInstances guards against the same failures for a workspace that sends up to four
// times its quota to three hundred instances.
func TestThreeHundredInstances(t *testing.T) {
	maxUse, early := runLoad(t, 300, loads["Hot"], granted)
	must.LessEq(t, 1, maxUse)
	must.LessEq(t, 0.05, early)
}

// runLoad runs a load. It returns the maximum of the units in a window, as a fraction of what is
// allowed, and the fraction of the units that a single bucket for all instances would have let run
// but that did not run.
func runLoad(t *testing.T, n int, l load, count func(c *cluster) takeFunc) (maxUse, early float64) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7, n, l.quota)
		defer c.stopAll()
		time.Sleep(time.Second)
		l.run(c, count(c))
		maxUse, early = c.maxUnits(0)/allowed(l.quota), c.refusedEarly(l.quota)
		t.Logf("most %.2f of what is allowed, early %.3f, %.1f messages a second an instance",
			maxUse, early, c.callRate()/float64(n))
	})
	return maxUse, early
}
