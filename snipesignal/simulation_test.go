package snipesignal_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesignal"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	upstream = "u1"
	// tick is the time step of the simulation, and latency the time that a request or its answer
	// takes.
	tick    = 5 * time.Millisecond
	latency = 5 * time.Millisecond
	// updateInterval is the time between two exchanges of updates among the instances.
	updateInterval = 80 * time.Millisecond
)

// simulation simulates one upstream and many instances without a network. Each instance gets
// requests at random moments, and sends those that its Tracker allows.
type simulation struct {
	rand  *rand.Rand
	limit float64
	// limited reports whether the upstream names its limit.
	limited   bool
	instances []*instance
	arrivals  []snipestand.Arrival
	answers   []answer
	ticks     int
}

// instance is an instance of the simulation.
type instance struct {
	name    string
	tracker *snipesignal.Tracker
	demand  float64
	// known is how many instances it has discovered.
	known int
	// partitioned instances reach no other instance.
	partitioned bool
}

// answer is an answer that has not arrived yet.
type answer struct {
	to     *instance
	at     time.Time
	sent   time.Time
	signal snipesignal.Signal
}

// divide returns the share of an instance; see snipesignal.Divide.
type divide func(limit float64, instances, rank int) snipesignal.Share

func newSimulation(seed uint64, count int, d divide) *simulation {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 1))}
	for range count {
		s.add(count, d)
	}
	return s
}

// add starts an instance that has discovered the given number of instances.
func (s *simulation) add(known int, d divide) {
	p := &instance{name: fmt.Sprint("i", len(s.instances)), known: known}
	p.tracker = &snipesignal.Tracker{Share: func(upstream string, limit float64) snipesignal.Share {
		return d(limit, p.known, s.rank(p, upstream))
	}}
	s.instances = append(s.instances, p)
}

// rank returns the rank of an instance among the instances that it has discovered, which are the
// first ones of all.
func (s *simulation) rank(p *instance, upstream string) int {
	key := sniperoute.Hash(upstream)
	own, rank := sniperoute.Score(key, sniperoute.Hash(p.name)), 0
	for _, other := range s.instances[:min(p.known, len(s.instances))] {
		if other != p && sniperoute.Score(key, sniperoute.Hash(other.name)) > own {
			rank++
		}
	}
	return rank
}

// setDemand spreads perSecond requests per second evenly over the first instances, as many as
// among.
func (s *simulation) setDemand(perSecond float64, among int) {
	for n, p := range s.instances {
		p.demand = 0
		if n < among {
			p.demand = perSecond / float64(among)
		}
	}
}

// run runs the simulation for d.
func (s *simulation) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		s.deliverAnswers()
		for _, p := range s.instances {
			if s.rand.Float64() < p.demand*tick.Seconds() {
				s.send(p)
			}
		}
		if s.ticks++; s.ticks%int(updateInterval/tick) == 0 {
			s.exchangeUpdates()
		}
	}
}

// send sends a request if the instance's Tracker allows it.
func (s *simulation) send(p *instance) {
	if !p.tracker.Open(upstream) {
		return
	}
	if _, ok := p.tracker.Take(upstream); !ok {
		return
	}
	now := time.Now()
	s.arrivals = append(s.arrivals, snipestand.Arrival{ID: p.name + "/", At: now, Limit: s.limit, Limited: s.limited})
	s.answers = append(s.answers, answer{p, now.Add(latency), now, snipesignal.Signal{Limit: s.limit, Limited: s.limited}})
}

// deliverAnswers delivers the answers that have arrived.
func (s *simulation) deliverAnswers() {
	for len(s.answers) > 0 && !s.answers[0].at.After(time.Now()) {
		a := s.answers[0]
		s.answers = s.answers[1:]
		a.to.tracker.Record(upstream, a.sent, a.signal)
	}
}

// exchangeUpdates sends the updates of each instance to the other ones.
func (s *simulation) exchangeUpdates() {
	for _, p := range s.instances {
		updates := p.tracker.PendingUpdates()
		if p.partitioned || len(updates) == 0 {
			continue
		}
		for _, other := range s.instances {
			if other != p && !other.partitioned {
				other.tracker.Merge(updates)
			}
		}
	}
}

// breaches describes each time that more requests reached the upstream than it allows.
func (s *simulation) breaches() []string {
	return snipestand.LimitBreaches(s.arrivals, func(id string) string { return strings.TrimSuffix(id, "/") }, nil)
}

// perSecond returns the rate of requests, per second, that have arrived since the given time.
func (s *simulation) perSecond(since time.Time) float64 {
	n := 0
	for _, a := range s.arrivals {
		if !a.At.Before(since) {
			n++
		}
	}
	return float64(n) / time.Since(since).Seconds()
}

// TestLimitAtScale guards against more requests than an overloaded upstream accepts, at any number
// of instances that were notified of the limit and wherever their callers are. It also guards
// against a limit that the instances with callers hardly use.
func TestLimitAtScale(t *testing.T) {
	for _, count := range []int{1, 3, 7, 66, 300} {
		for _, limit := range []float64{0, 0.5, 3, 60} {
			for _, among := range []int{1, 3} {
				t.Run(fmt.Sprintf("%dInstances/%gASecond/CallersAtOneIn%d", count, limit, among), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSimulation(7, count, snipesignal.Divide)
						s.setDemand(max(20*limit, 100, float64(count)), (count+among-1)/among)
						s.run(time.Second)
						s.limit, s.limited = limit, true
						s.run(6 * time.Second)
						since := time.Now()
						s.run(30 * time.Second)
						must.SliceEmpty(t, s.breaches())
						if among == 1 {
							must.GreaterEq(t, 0.6*limit, s.perSecond(since), must.Sprint("requests a second"))
						}
					})
				})
			}
		}
	}
}

// TestLimitAfterIdle guards against a burst after an idle time: while there was nothing to send,
// all shares became available, and all are used at once.
func TestLimitAfterIdle(t *testing.T) {
	for _, count := range []int{7, 66, 300} {
		for _, limit := range []float64{0, 0.5, 3, 60} {
			t.Run(fmt.Sprintf("%dInstances/%gASecond", count, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(7, count, snipesignal.Divide)
					s.limit, s.limited = limit, true
					for range 4 {
						s.setDemand(max(20*limit, 100, 10*float64(count)), count)
						s.run(6 * time.Second)
						s.setDemand(0, count)
						s.run(40 * time.Second)
					}
					must.SliceEmpty(t, s.breaches())
				})
			})
		}
	}
}

// TestLimitOver guards against instances that still count an upstream as limited long after its
// limit is over, because they receive no answer that shows the end and no update about it.
func TestLimitOver(t *testing.T) {
	for _, count := range []int{7, 66, 300} {
		for _, limit := range []float64{0.5, 3, 60} {
			t.Run(fmt.Sprintf("%dInstances/%gASecond", count, limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSimulation(7, count, snipesignal.Divide)
					s.setDemand(max(20*limit, 100), count)
					s.limit, s.limited = limit, true
					s.run(10 * time.Second)
					s.limited = false
					// One request shows the end of the limit, and the update reaches the other
					// instances shortly afterwards.
					s.run(time.Duration(3/limit*float64(time.Second)) + 2*updateInterval)
					for _, p := range s.instances {
						must.False(t, p.tracker.Limited(upstream), must.Sprint(p.name))
					}
				})
			})
		}
	}
}

// TestLimitUnderFaults guards against more requests than an upstream allows while new instances
// have discovered few others, every third instance is partitioned, and the limit rises and falls.
func TestLimitUnderFaults(t *testing.T) {
	for _, count := range []int{7, 66, 300} {
		for _, limit := range []float64{0.5, 3, 60} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%dInstances/%gASecond/%d", count, limit, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSimulation(seed, count, snipesignal.Divide)
						s.setDemand(max(20*limit, 100), count)
						s.run(time.Second)
						for n, p := range s.instances {
							p.partitioned = n%3 == 0
						}
						s.limit, s.limited = limit, true
						s.run(5 * time.Second)
						// Two instances start. They have discovered six; the others discover them
						// later.
						s.add(6, snipesignal.Divide)
						s.add(6, snipesignal.Divide)
						s.setDemand(max(20*limit, 100), len(s.instances))
						s.run(2 * time.Second)
						for _, p := range s.instances {
							p.known = len(s.instances)
						}
						s.run(6 * time.Second)
						s.limit = 2 * limit
						s.run(6 * time.Second)
						s.limit = limit
						s.run(12 * time.Second)
						must.SliceEmpty(t, s.breaches())
					})
				})
			}
		}
	}
}

// TestLimitEndAnnouncedAgain guards against an end of a limit that is announced only once: if that
// update is lost, an instance sends the upstream nothing for a long time.
func TestLimitEndAnnouncedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipesignal.Tracker{}
		b.Record(upstream, time.Now(), snipesignal.Signal{Limit: 3, Limited: true})
		must.Len(t, 1, b.PendingUpdates())
		time.Sleep(time.Second)
		b.Record(upstream, time.Now(), snipesignal.Signal{})
		announced := 0
		for range 30 {
			for _, u := range b.PendingUpdates() {
				must.False(t, u.Limited)
				announced++
			}
			time.Sleep(time.Second)
		}
		must.Between(t, 2, announced, 3)
	})
}

// TestUpdateMergedWithOwnSignal guards against a signal that is never passed on: this instance
// received the signal from the upstream, and before it notified the other instances, one of them
// reported another state of the same upstream.
func TestUpdateMergedWithOwnSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipesignal.Tracker{}
		b.Record(upstream, time.Now(), snipesignal.Signal{Leaving: true})
		b.Merge([]snipesignal.Update{{Upstream: upstream, State: snipesignal.State{Limit: 3, Limited: true}}})
		updates := b.PendingUpdates()
		must.Len(t, 1, updates)
		must.True(t, updates[0].Leaving && updates[0].Limited)
		must.SliceEmpty(t, b.PendingUpdates())
	})
}
