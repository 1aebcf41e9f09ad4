package snipegateway_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// TestReplicasOfHotAdapter guards against too few or too many replicas of an adapter that suddenly
// receives a fifth of all requests at sixty engines: as many engines as it needs must hold it
// within a second, and not most of the engines, whose slots other adapters need. Each engine's
// owner knows only the rate at its own engine, which lags behind and varies at random.
func TestReplicasOfHotAdapter(t *testing.T) {
	const (
		count  = 60
		report = 80 * time.Millisecond
	)
	tests := map[string]struct {
		perSecond                       float64
		least, maxAfterSecond, maxLater int // holders after one second, after ten seconds
	}{
		"Cold": {3, 1, 1, 1}, "Warm": {12, 1, 2, 4}, "Hot": {90, 5, 9, 14}, "Hottest": {174, 11, 16, 24},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, count)
				run := func(d time.Duration) {
					for range d / report {
						c.step(tt.perSecond, report)
					}
				}
				run(time.Second)
				must.Between(t, tt.least, c.holderCount(), tt.maxAfterSecond)
				run(9 * time.Second)
				must.Between(t, tt.least, c.holderCount(), tt.maxLater)
			})
		})
	}
}

// cluster simulates engines, each with its own owner, and requests for one adapter that are spread
// evenly over the engines that hold it.
type cluster struct {
	t        *testing.T
	rand     *rand.Rand
	choosers []*snipegateway.Chooser
	rates    []snipeadapter.Rate
}

func newCluster(t *testing.T, count int) *cluster {
	c := &cluster{t: t, rand: rand.New(rand.NewPCG(5, 5)), rates: make([]snipeadapter.Rate, count)}
	o := &fakeOwners{}
	first := newChooser(o, count)
	for range count {
		c.choosers = append(c.choosers, &snipegateway.Chooser{
			Directory: first.Directory, Balancer: first.Balancer, Residency: first.Residency,
			Versions: first.Versions, Signals: first.Signals, Ensure: o.ensure, Owned: first.Owned,
		})
	}
	_, err := first.Choose(t.Context(), service, request, nil, latencyTarget)
	must.NoError(t, err)
	return c
}

// holders returns the indexes of the engines that hold the adapter.
func (c *cluster) holders() []int {
	var all []int
	for n, u := range c.choosers[0].Directory.Snapshot().Service(service) {
		if _, ok := c.choosers[0].Residency.Holds(u, request.Adapter); ok {
			all = append(all, n)
		}
	}
	return all
}

func (c *cluster) holderCount() int { return len(c.holders()) }

// step simulates the time d between two reports: requests at the given rate, and then the decision
// of each holder's owner about replicas.
func (c *cluster) step(perSecond float64, d time.Duration) {
	time.Sleep(d)
	now := time.Now()
	holders := c.holders()
	for range c.poisson(perSecond * d.Seconds()) {
		c.rates[holders[c.rand.IntN(len(holders))]].Add(now, 1)
	}
	engines := c.choosers[0].Directory.Snapshot().Service(service)
	for _, n := range holders {
		if r := c.rates[n].PerSecond(now); r >= snipegateway.ReplicaRate {
			c.choosers[n].AddReplicas(engines[n], map[snipecatalog.Adapter]float64{request.Adapter: r})
		}
	}
}

// poisson returns a random number of events from a Poisson distribution with the given mean.
func (c *cluster) poisson(mean float64) int {
	n := 0
	for at := c.rand.ExpFloat64(); at < mean; at += c.rand.ExpFloat64() {
		n++
	}
	return n
}

// TestCanEvict guards against the eviction of an adapter that the other holders cannot take over
// without a further replica, and against the loss of the last holder: the first holder in rank
// always keeps the adapter.
func TestCanEvict(t *testing.T) {
	ranked := newChooser(&fakeOwners{}, 4).RankedForTest(service, request.Adapter)
	tests := map[string]struct {
		holders   []string
		engine    string
		perSecond float64
		spare     bool
	}{
		"OnlyOne":   {ranked[1:2], ranked[1], 1, false},
		"First":     {ranked[:3], ranked[0], 1, false},
		"Second":    {ranked[:3], ranked[1], 1, true},
		"Needed":    {ranked[:3], ranked[1], 8, false},
		"Last":      {ranked[1:], ranked[3], 1, true},
		"NotAmong":  {nil, ranked[0], 1, false},
		"FirstLeft": {ranked[2:], ranked[2], 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChooser(&fakeOwners{}, 4)
			for _, id := range tt.holders {
				c.Residency.RecordHeld(id, request.Adapter, 1)
			}
			// This directory entry is from an earlier read than the current one.
			u := *c.Directory.Snapshot().ByID(tt.engine)
			must.Eq(t, tt.spare, c.CanEvict(&u, request.Adapter, tt.perSecond))
		})
	}
}
