package snipequota_test

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"snipepitch.example/snipepitch/snipecatalog"
)

// TestMain fixes the seed and the number of checks of the randomized test, so that every run is the
// same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is a fault of one instance.
type fault int

const (
	partitioned fault = iota
	reconnected
	frozen
	killed
	faultCount
)

// inject injects a fault into an instance. A frozen or killed instance runs again a second later.
func (c *cluster) inject(f fault, n, partition int) {
	switch f {
	case partitioned:
		c.update(n, func(d *instance) { d.partition = partition })
	case reconnected:
		c.update(n, func(d *instance) { d.partition = 0 })
	case frozen:
		c.update(n, func(d *instance) { d.frozen = true })
		time.AfterFunc(time.Second, func() { c.update(n, func(d *instance) { d.frozen = false }) })
	case killed:
		c.kill(n)
		time.AfterFunc(time.Second, func() { c.restart(n) })
	}
}

// TestFaults guards against an interleaving of grants, their expiry, partitions, restarts and
// freezes in which the use within a window exceeds its bound.
func TestFaults(t *testing.T) {
	const instances = 12
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [4]int {
			return [4]int{
				rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault"), rapid.IntRange(0, instances-1).Draw(rt, "instance"),
				rapid.IntRange(1, 2).Draw(rt, "group"), rapid.IntRange(1, 10).Draw(rt, "load"),
			}
		}), 4, 16).Draw(rt, "steps")
		var maxUse float64
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, seed, instances, large)
			defer c.stopAll()
			for _, s := range steps {
				c.inject(fault(s[0]), s[1], s[2])
				c.send(c.take, 1500*time.Millisecond, float64(s[3])/2*large.PerSecond, c.sizes(3000))
			}
			time.Sleep(2 * time.Second)
			maxUse = c.maxUnits(0)
		})
		if maxUse > allowed(large) {
			rt.Fatalf("%.2f of what is allowed", maxUse/allowed(large))
		}
	})
}

// TestQuotaLowered guards against a quota that is lowered far below the demand and does not apply
// an eighth of the window after all instances have read it, or that is raised again and is not used
// at once.
func TestQuotaLowered(t *testing.T) {
	lower := snipecatalog.Quota{PerSecond: 40_000, Burst: 40_000, Tokens: true}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 66, large)
		defer c.stopAll()
		c.send(c.take, 6*time.Second, 0.55*large.PerSecond, c.sizes(700))
		c.setQuota(lower)
		known := time.Since(c.began)
		c.send(c.take, 12*time.Second, 0.55*large.PerSecond, c.sizes(700))
		must.LessEq(t, allowed(lower), c.maxUnits(known+bounds.Span/8))
		c.setQuota(large)
		before := len(c.ran)
		sent := len(c.sent)
		c.send(c.take, 4*time.Second, 0.55*large.PerSecond, c.sizes(700))
		must.Greater(t, 0.9*float64(len(c.sent)-sent), float64(len(c.ran)-before))
	})
}

// TestUnitsReturned guards against returned units that cannot be taken again, and against requests
// that ran twice and count only once.
func TestUnitsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, small)
		defer c.stopAll()
		a := c.instances[1].account
		took := func() int {
			n := 0
			for range 100 {
				if c.take(1, 1000) {
					n++
				}
			}
			return n
		}
		first := took()
		must.Between(t, 20, first, 40)
		for range first {
			a.Return(c.workspace(), 1000)
		}
		must.GreaterEq(t, first, took())
		for range 3 {
			a.Charge(c.workspace(), 10_000)
		}
		time.Sleep(1200 * time.Millisecond)
		// A second adds the units of 29 requests, which the requests that ran again have already
		// used.
		must.LessEq(t, 8, took())
	})
}

// TestReturnedByOldCatalog guards against a request of a previous catalog that returns its units
// and thereby voids the grants under the quota in force.
func TestReturnedByOldCatalog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 3, large)
		defer c.stopAll()
		old := c.workspace()
		c.setQuota(small)
		must.True(t, c.take(1, 1000))
		calls := c.callCount()
		c.instances[1].account.Return(old, 1000)
		must.True(t, c.take(1, 1000))
		must.Eq(t, calls, c.callCount())
	})
}
