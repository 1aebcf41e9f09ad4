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
	teams      = 10
	length     = 10 * time.Minute
	skew       = 1.1  // exponent of the popularity
	driftHour  = 0.35 // part of the adapters that wake up or fall idle in an hour
	stormTimes = 4    // how often a storming team sends what it usually sends
	hotTimes   = 1.0  // of the usual rate, what goes to one adapter on top
	failing    = 0.03 // part of the adapters whose loads fail, in that scenario
)

// deadlines are those of the classes.
var deadlines = [snipecall.Classes]time.Duration{15 * time.Second, 30 * time.Second, 2 * time.Minute}

// call is one call of a trace.
type call struct {
	at      time.Duration
	adapter int
	class   snipecall.Class
	tokens  int
}

// trace is what is replayed: the same seed gives the same trace.
type trace struct {
	calls   []call
	restart time.Duration // when an engine restarts empty; 0 is never
	fails   map[int]bool  // adapters whose loads fail
	uses    map[int][]time.Duration
}

// deployment is one of the two that the project is for.
type deployment struct {
	name       string
	adapters   int
	engines    int
	slots      int // of each engine
	batch      int
	instances  int
	perSecond  float64 // of the weight store
	concurrent int
	rate       float64       // calls in a second
	load       time.Duration // of one load at full speed
	classes    [snipecall.Classes]float64
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

// scenario is what happens during a trace.
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

// popularity draws adapters by rank.
type popularity struct {
	sums []float64
	rank []int // adapter by rank
}

func newPopularity(n int, r *rand.Rand) *popularity {
	p := &popularity{sums: make([]float64, n), rank: r.Perm(n)}
	sum := 0.0
	for i := range n {
		sum += 1 / math.Pow(float64(i+1), skew)
		p.sums[i] = sum
	}
	return p
}

func (p *popularity) draw(r *rand.Rand) int {
	x := r.Float64() * p.sums[len(p.sums)-1]
	return p.rank[sort.SearchFloat64s(p.sums, x)]
}

// newTrace draws a trace.
func newTrace(d deployment, s scenario, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a trace must be the same on every run
	p := newPopularity(d.adapters, r)
	t := &trace{fails: map[int]bool{}, uses: map[int][]time.Duration{}}
	if s == fails {
		for range int(failing * float64(d.adapters)) {
			t.fails[r.IntN(d.adapters)] = true
		}
	}
	if s == restart {
		t.restart = length / 2
	}
	for at := time.Duration(0); at < length; {
		more := d.more(s, at)
		gap := time.Duration(r.ExpFloat64() / (d.rate + more) * float64(time.Second))
		p.change(r, s, at, gap)
		at += gap
		c := call{at: at, adapter: p.draw(r), class: drawClass(d, r), tokens: 20 + r.IntN(80)}
		if more > 0 && r.Float64() < more/(d.rate+more) {
			c.adapter = 0
			if s == storm {
				c.adapter = r.IntN(d.adapters/teams) * teams // of team 0
			}
		}
		t.calls = append(t.calls, c)
		t.uses[c.adapter] = append(t.uses[c.adapter], at)
	}
	return t
}

// more returns the calls a second on top of the usual ones.
func (d deployment) more(s scenario, at time.Duration) float64 {
	if at <= length/3 || at >= 2*length/3 {
		return 0
	}
	switch s {
	case storm:
		return d.rate / teams * (stormTimes - 1)
	case hot:
		return d.rate * hotTimes
	}
	return 0
}

// change changes the popularity between at and the next call.
func (p *popularity) change(r *rand.Rand, s scenario, at, gap time.Duration) {
	switch {
	case s == drift:
		p.wander(r, gap)
	case s == shift && at <= length/2 && at+gap > length/2:
		p.rank = r.Perm(len(p.rank))
	}
}

// wander lets the part of the adapters that changes in gap swap their ranks.
func (p *popularity) wander(r *rand.Rand, gap time.Duration) {
	expected := driftHour * float64(len(p.rank)) * gap.Hours()
	for n := expected; n > 0 && r.Float64() < n; n-- {
		i, j := r.IntN(len(p.rank)), r.IntN(len(p.rank))
		p.rank[i], p.rank[j] = p.rank[j], p.rank[i]
	}
}

func drawClass(d deployment, r *rand.Rand) snipecall.Class {
	x := r.Float64()
	for c, share := range d.classes {
		if x -= share; x < 0 {
			return snipecall.Class(c)
		}
	}
	return snipecall.Bulk
}

func adapterName(n int) snipecall.Adapter {
	return snipecall.Adapter{Team: "t" + strconv.Itoa(n%teams), Name: strconv.Itoa(n), Version: "1"}
}
