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

// TestReplicasOfHotAdapter answers the pattern of an adapter that suddenly gets a fifth of
// all requests at sixty engines: it comes onto as many as it needs within a second, and not
// onto most of them, whose places others need. Each engine's owner knows the rate at its
// own engine only, which follows with a delay and varies by chance.
func TestReplicasOfHotAdapter(t *testing.T) {
	const (
		count  = 60
		report = 80 * time.Millisecond
	)
	tests := map[string]struct {
		perSecond        float64
		least, most, may int // holders after a second, after ten seconds
	}{
		"Cold": {3, 1, 1, 1}, "Warm": {12, 1, 2, 4}, "Hot": {90, 5, 9, 14}, "Hottest": {174, 11, 16, 24},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHotWorld(t, count)
				run := func(d time.Duration) {
					for range d / report {
						w.step(tt.perSecond, report)
					}
				}
				run(time.Second)
				must.Between(t, tt.least, w.held(), tt.most)
				run(9 * time.Second)
				must.Between(t, tt.least, w.held(), tt.may)
			})
		})
	}
}

// hotWorld is a number of engines, each with an owner of its own, and requests for one
// adapter, which are spread evenly over the engines that hold it.
type hotWorld struct {
	t      *testing.T
	rand   *rand.Rand
	owners []*snipegateway.Chooser
	rates  []snipeadapter.Rate
}

func newHotWorld(t *testing.T, count int) *hotWorld {
	w := &hotWorld{t: t, rand: rand.New(rand.NewPCG(5, 5)), rates: make([]snipeadapter.Rate, count)}
	o := &owners{}
	first := newChooser(o, count)
	for range count {
		w.owners = append(w.owners, &snipegateway.Chooser{
			Directory: first.Directory, Balancer: first.Balancer, Residency: first.Residency,
			Versions: first.Versions, Signals: first.Signals, Ensure: o.ensure, Owned: first.Owned,
		})
	}
	_, err := first.Choose(t.Context(), service, request, nil, objective)
	must.NoError(t, err)
	return w
}

// holders returns the engines that hold the adapter, by their number.
func (w *hotWorld) holders() []int {
	var all []int
	for n, u := range w.owners[0].Directory.Snapshot().Service(service) {
		if _, ok := w.owners[0].Residency.Holds(u, request.Adapter); ok {
			all = append(all, n)
		}
	}
	return all
}

func (w *hotWorld) held() int { return len(w.holders()) }

// step plays the time between two reports.
func (w *hotWorld) step(perSecond float64, d time.Duration) {
	time.Sleep(d)
	now := time.Now()
	holders := w.holders()
	for range w.poisson(perSecond * d.Seconds()) {
		w.rates[holders[w.rand.IntN(len(holders))]].Add(now, 1)
	}
	engines := w.owners[0].Directory.Snapshot().Service(service)
	for _, n := range holders {
		if r := w.rates[n].PerSecond(now); r >= snipegateway.ReplicaRate {
			w.owners[n].Spread(engines[n], map[snipecatalog.Adapter]float64{request.Adapter: r})
		}
	}
}

// poisson returns a number of events of which so many are due.
func (w *hotWorld) poisson(due float64) int {
	n := 0
	for at := w.rand.ExpFloat64(); at < due; at += w.rand.ExpFloat64() {
		n++
	}
	return n
}

// TestSpare: an engine may lose an adapter that others hold too, unless these would then
// need another replica; the first in rank keeps it whatever the others do.
func TestSpare(t *testing.T) {
	ranked := newChooser(&owners{}, 4).RankedForTest(service, request.Adapter)
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
			c := newChooser(&owners{}, 4)
			for _, id := range tt.holders {
				c.Residency.Tell(id, request.Adapter, 1)
			}
			// An entry that was read before the present one.
			u := *c.Directory.Snapshot().ByID(tt.engine)
			must.Eq(t, tt.spare, c.Spare(&u, request.Adapter, tt.perSecond))
		})
	}
}
