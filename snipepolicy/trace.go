package snipepolicy

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"snipepitch.example/snipepitch/snipecall"
)

const (
	teams           = 10
	traceLength     = 10 * time.Minute
	zipfExponent    = 1.1  // exponent of the popularity of adapters
	driftPerHour    = 0.35 // fraction of the adapters that become active or idle in an hour
	stormFactor     = 4    // rate of the team that causes the storm, as a multiple of its usual rate
	hotFactor       = 1.0  // extra rate for the hot adapter, as a multiple of the usual total
	failingFraction = 0.03 // upper bound of the fraction of adapters whose loads fail in scenario fails
)

// deadlines is the deadline of a call by class.
var deadlines = [snipecall.Classes]time.Duration{15 * time.Second, 30 * time.Second, 2 * time.Minute}

// call is one call of a trace.
type call struct {
	at      time.Duration // since the start of the trace
	adapter int
	class   snipecall.Class
	tokens  int
}

// trace is a random sequence of calls; the same seed gives the same trace.
type trace struct {
	calls   []call
	restart time.Duration           // when an engine restarts with empty slots; 0 for never
	fails   map[int]bool            // adapters whose loads fail
	uses    map[int][]time.Duration // times of the calls for each adapter, ascending
}

// deployment describes one of the deployments that the project targets.
type deployment struct {
	name       string
	adapters   int
	engines    int
	slots      int // of each engine
	batch      int // of each engine
	instances  int
	perSecond  float64                    // loads per second that the weight store starts
	concurrent int                        // loads that the weight store runs at full speed
	rate       float64                    // calls per second
	load       time.Duration              // duration of one load at full speed
	classes    [snipecall.Classes]float64 // share of each class in the calls
}

var deployments = []deployment{
	{
		name: "Order assistant", adapters: 3000, engines: 12, slots: 16, batch: 8, instances: 8,
		perSecond: 4.5, concurrent: 3, rate: 14, load: 660 * time.Millisecond, classes: [3]float64{0.3, 0.5, 0.2},
	},
	{
		name: "Drafting models", adapters: 3000, engines: 9, slots: 16, batch: 8, instances: 8,
		perSecond: 3, concurrent: 2, rate: 9, load: 660 * time.Millisecond, classes: [3]float64{0.3, 0.3, 0.4},
	},
}

// scenario names the change of load or the fault that happens during a trace. In shift, all
// popularities are drawn again at half time; in drift, adapters swap their popularity all the time; in
// restart, an engine restarts at half time; in storm, team 0 sends extra calls in the middle third; in
// fails, the loads of some adapters fail; in hot, adapter 0 gets extra calls in the middle third.
type scenario string

const (
	steady  scenario = "Steady"
	shift   scenario = "Shift"
	drift   scenario = "Drift"
	restart scenario = "Restart"
	storm   scenario = "Storm"
	fails   scenario = "Failing loads"
	hot     scenario = "One hot adapter"
)

var scenarios = []scenario{steady, shift, drift, restart, storm, fails, hot}

// popularity draws random adapters; the probability of an adapter depends on its rank.
type popularity struct {
	cumulative []float64 // sums of the weights up to each rank
	rank       []int     // adapter by rank
}

func newPopularity(n int, r *rand.Rand) *popularity {
	p := &popularity{cumulative: make([]float64, n), rank: r.Perm(n)}
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), zipfExponent)
		p.cumulative[i] = sum
	}
	return p
}

func (p *popularity) draw(r *rand.Rand) int {
	x := r.Float64() * p.cumulative[len(p.cumulative)-1]
	return p.rank[sort.SearchFloat64s(p.cumulative, x)]
}

// newTrace generates the trace of a deployment and scenario from a seed.
func newTrace(d deployment, s scenario, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a trace must be the same on every run
	p := newPopularity(d.adapters, r)
	t := &trace{fails: map[int]bool{}, uses: map[int][]time.Duration{}}
	if s == fails {
		for range int(failingFraction * float64(d.adapters)) {
			t.fails[r.IntN(d.adapters)] = true
		}
	}
	if s == restart {
		t.restart = traceLength / 2
	}
	for at := time.Duration(0); at < traceLength; {
		extra := d.extraRate(s, at)
		gap := time.Duration(r.ExpFloat64() / (d.rate + extra) * float64(time.Second))
		p.update(r, s, at, gap)
		at += gap
		c := call{at: at, adapter: p.draw(r), class: drawClass(d, r), tokens: 20 + r.IntN(80)}
		if extra > 0 && r.Float64() < extra/(d.rate+extra) {
			c.adapter = 0
			if s == storm {
				c.adapter = r.IntN(d.adapters/teams) * teams // any adapter of team 0
			}
		}
		t.calls = append(t.calls, c)
		t.uses[c.adapter] = append(t.uses[c.adapter], at)
	}
	return t
}

// extraRate returns the calls per second in addition to the usual rate: 0 except in the middle third
// of the trace in the scenarios storm and hot.
func (d deployment) extraRate(s scenario, at time.Duration) float64 {
	if at <= traceLength/3 || at >= 2*traceLength/3 {
		return 0
	}
	switch s {
	case storm:
		return d.rate / teams * (stormFactor - 1)
	case hot:
		return d.rate * hotFactor
	}
	return 0
}

// update changes the popularity as the scenario requires between at and the next call, gap later.
func (p *popularity) update(r *rand.Rand, s scenario, at, gap time.Duration) {
	switch {
	case s == drift:
		p.swapRanks(r, gap)
	case s == shift && at <= traceLength/2 && at+gap > traceLength/2:
		p.rank = r.Perm(len(p.rank))
	}
}

// swapRanks swaps the ranks of random pairs of adapters. The mean number of pairs is the number of
// adapters times driftPerHour times the hours in gap.
func (p *popularity) swapRanks(r *rand.Rand, gap time.Duration) {
	expected := driftPerHour * float64(len(p.rank)) * gap.Hours()
	for n := expected; n > 0 && r.Float64() < n; n-- {
		i, j := r.IntN(len(p.rank)), r.IntN(len(p.rank))
		p.rank[i], p.rank[j] = p.rank[j], p.rank[i]
	}
}

// drawClass draws a class by the deployment's share of each class.
func drawClass(d deployment, r *rand.Rand) snipecall.Class {
	x := r.Float64()
	for c, share := range d.classes {
		if x -= share; x < 0 {
			return snipecall.Class(c)
		}
	}
	return snipecall.Bulk
}

// adapterName returns the name of adapter n, which belongs to team n%teams.
func adapterName(n int) snipecall.Adapter {
	return snipecall.Adapter{Team: "t" + strconv.Itoa(n%teams), Name: strconv.Itoa(n), Version: "1"}
}
