package snipebalance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
)

// farm is a service of engines behind many instances, on the paused clock. An engine processes its
// prompts one after another and runs a bounded number of requests at once; its pace changes every
// paceChange. Instances report their work every reportEvery to a board, and shareTotals of its totals every
// totalsEvery, in the state of totalsAge before.
type farm struct {
	engines, instances, slots int
	rate                      float64 // requests a second
	longShare                 float64 // share of the prompts that are long
	fast, slow                float64 // range of the paces
	steps                     bool    // paces change by steps, and are not drawn anew
	stated                    bool    // whether the engines state their pace
	pick                      picker

	random    *rand.Rand
	servers   []*engine
	upstreams []*snipedirectory.Upstream
	balancers []*snipebalance.Balancer
	names     []string // of the instances
	reported  [][]bool // by instance and engine, whether the last report had requests
	board     *snipebalance.Board
	totals    map[string]snipebalance.Total
	begun     time.Time
	events    events
	took      []time.Duration
}

// picker is a method of choosing an upstream.
type picker func(b *snipebalance.Balancer, all []*snipedirectory.Upstream, d snipebalance.Demand) *snipedirectory.Upstream

const (
	paceChange  = 100 * time.Millisecond
	reportEvery = 80 * time.Millisecond
	totalsEvery = 160 * time.Millisecond
	totalsAge   = 80 * time.Millisecond
	farmTime    = 6 * time.Second
	warmUp      = time.Second
	longPrompt  = 9000
	shortPrompt = 650
	tokenTime   = 200 * time.Millisecond / longPrompt
	stepTime    = 10 * time.Millisecond
	answerTime  = 500 * time.Millisecond
)

type engine struct {
	paces   []float64
	idleAt  time.Time // when all accepted prompts are processed
	running int
	waiting []func()
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *farm) at(t time.Time, do func()) { heap.Push(&f.events, event{t, do}) }

// percentiles returns the median and the 99th percentile of the time to the first event, over the
// requests of all seeds.
func (f farm) percentiles(t *testing.T, seeds uint64) (median, high time.Duration) {
	var took []time.Duration
	for seed := range seeds {
		one := f
		one.run(t, seed)
		took = append(took, one.took...)
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100]
}

func (f *farm) run(t *testing.T, seed uint64) {
	synctest.Test(t, func(*testing.T) {
		f.build(seed)
		f.at(f.begun, f.arrive)
		f.at(f.begun, f.report)
		f.at(f.begun, f.shareTotals)
		for len(f.events) > 0 {
			e := heap.Pop(&f.events).(event)
			time.Sleep(time.Until(e.at))
			e.do()
		}
	})
}

func (f *farm) build(seed uint64) {
	f.board = &snipebalance.Board{}
	f.random, f.begun = rand.New(rand.NewPCG(seed, 1)), time.Now()
	for n := range f.engines {
		f.upstreams = append(f.upstreams, &snipedirectory.Upstream{ID: fmt.Sprint("e", n), Service: "s", Slots: f.slots})
		s := &engine{idleAt: f.begun}
		pace := f.drawPace()
		for range 4 * farmTime / paceChange {
			if f.steps {
				pace = min(max(pace+(f.random.Float64()-0.5)*(f.slow-f.fast)/4, f.fast), f.slow)
			} else {
				pace = f.drawPace()
			}
			s.paces = append(s.paces, pace)
		}
		f.servers = append(f.servers, s)
	}
	for n := range f.instances {
		f.names, f.reported = append(f.names, fmt.Sprint(n)), append(f.reported, make([]bool, f.engines))
		f.balancers = append(f.balancers, &snipebalance.Balancer{Random: f.random.Float64})
	}
}

func (f *farm) drawPace() float64 { return f.fast + f.random.Float64()*(f.slow-f.fast) }

func (f *farm) pace(s *engine, at time.Time) float64 {
	return s.paces[min(int(at.Sub(f.begun)/paceChange), len(s.paces)-1)]
}

// work returns when an engine has done work that takes some time at the usual pace.
func (f *farm) work(s *engine, from time.Time, usual time.Duration) time.Time {
	for {
		next := f.begun.Add((from.Sub(f.begun)/paceChange + 1) * paceChange)
		done := from.Add(time.Duration(float64(usual) * f.pace(s, from)))
		if !done.After(next) {
			return done
		}
		usual -= time.Duration(float64(next.Sub(from)) / f.pace(s, from))
		from = next
	}
}

func (f *farm) arrive() {
	now := time.Now()
	if now.Sub(f.begun) < farmTime {
		f.at(now.Add(time.Duration(f.random.ExpFloat64()/f.rate*float64(time.Second))), f.arrive)
	}
	b := f.balancers[f.random.IntN(f.instances)]
	d := snipebalance.Demand{PromptTokens: shortPrompt}
	if f.random.Float64() < f.longShare {
		d.PromptTokens = longPrompt
	}
	u := f.pick(b, f.upstreams, d)
	s := f.servers[slices.Index(f.upstreams, u)]
	flight := b.Start(u, d)
	start := func() { f.serve(b, u, s, flight, d, now) }
	if s.running >= f.slots {
		s.waiting = append(s.waiting, start)
		return
	}
	start()
}

// serve runs a request that has a slot.
func (f *farm) serve(b *snipebalance.Balancer, u *snipedirectory.Upstream, s *engine, flight *snipebalance.Flight, d snipebalance.Demand, arrived time.Time) {
	s.running++
	now := time.Now()
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = f.work(s, s.idleAt, time.Duration(d.PromptTokens)*tokenTime)
	first := f.work(s, s.idleAt, stepTime*time.Duration(f.slots+s.running)/time.Duration(f.slots))
	f.at(first, func() {
		flight.First()
		l := snipebalance.StatedLoad{Running: s.running, Waiting: len(s.waiting), Slots: f.slots}
		if f.stated {
			l.Pace = f.pace(s, first)
			b.NotePaced(u.Service)
		}
		b.SetStated(u.ID, l)
		if arrived.Sub(f.begun) > warmUp {
			f.took = append(f.took, first.Sub(arrived))
		}
	})
	f.at(f.work(s, first, answerTime), func() {
		flight.End(100)
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
	})
}

func (f *farm) report() {
	for n, b := range f.balancers {
		for m, u := range f.upstreams {
			if w := b.OwnWork(u.ID); w.Requests > 0 || f.reported[n][m] {
				f.board.ReportWork(u.ID, f.names[n], b.InFlight(u.ID), w)
				f.reported[n][m] = w.Requests > 0
			}
		}
	}
	if now := time.Now(); now.Sub(f.begun) < farmTime {
		f.at(now.Add(reportEvery), f.report)
	}
}

// shareTotals passes the totals to all instances, and takes those for the next time totalsAge before it.
func (f *farm) shareTotals() {
	now := time.Now()
	var all []snipebalance.LoadReport
	for id, total := range f.totals {
		// The order of a map decides how sums of weights are rounded.
		total.Load = math.Round(total.Load*1000) / 1000
		all = append(all, snipebalance.LoadReport{ID: id, Load: total.Load, Age: totalsAge, Work: total.Work})
	}
	for _, b := range f.balancers {
		b.MergeLoads(all)
	}
	if now.Sub(f.begun) < farmTime {
		f.at(now.Add(totalsEvery-totalsAge), func() { f.totals = f.board.Totals() })
		f.at(now.Add(totalsEvery), f.shareTotals)
	}
}
