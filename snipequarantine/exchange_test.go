package snipequarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipequarantine"
)

const (
	spreadTime = 3 * time.Second
	// stepInterval is the time between two steps of an instance.
	stepInterval = 80 * time.Millisecond
	// messageDelay is how long a message between two instances takes.
	messageDelay = 5 * time.Millisecond
)

var errLost = errors.New("message lost")

// fleet is a number of exchanges that reach each other by calls.
type fleet struct {
	exchanges map[string]*snipequarantine.Exchange
	members   []snipequarantine.Member
	// lost is the share of messages that are lost; down are instances that neither send nor answer, old
	// those that do not know the messages.
	lost      float64
	down, old map[string]bool

	lock     sync.Mutex // guards the fields below
	random   *rand.Rand
	messages int
	toOld    int // messages to instances in old
}

func newFleet(instances int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 0)), exchanges: map[string]*snipequarantine.Exchange{}, down: map[string]bool{}, old: map[string]bool{},
	}
	for n := range instances {
		f.members = append(f.members, snipequarantine.NewMember(fmt.Sprint("i", n), fmt.Sprint("domain", n%3)))
	}
	for _, m := range f.members {
		f.start(m.ID)
	}
	return f
}

// start starts an instance without any memory.
func (f *fleet) start(id string) {
	f.exchanges[id] = &snipequarantine.Exchange{
		Self: id, SpreadTime: spreadTime, Members: f.live, Candidates: f.live,
		Changed: func(snipequarantine.Suspect, snipequarantine.Source) {},
		Report: func(ctx context.Context, member string, r snipequarantine.Report) ([]snipequarantine.Suspect, error) {
			if err := f.deliver(ctx, member); err != nil {
				return nil, err
			}
			return f.exchanges[member].HandleReport(r), nil
		},
		Announce: func(ctx context.Context, member string, decisions []snipequarantine.Suspect) error {
			if err := f.deliver(ctx, member); err != nil {
				return err
			}
			f.exchanges[member].HandleAnnouncement(decisions)
			return nil
		},
	}
}

func (f *fleet) live() []snipequarantine.Member { return f.members }

// deliver takes the time of a message. A lost message ends with the caller's timeout.
func (f *fleet) deliver(ctx context.Context, member string) error {
	f.lock.Lock()
	f.messages++
	if f.old[member] {
		f.toOld++
	}
	f.lock.Unlock()
	if f.old[member] {
		return snipequarantine.ErrUnsupported
	}
	if f.down[member] || f.chance(f.lost) {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(messageDelay)
	return nil
}

// run steps all instances for a time and calls arrive at each step.
func (f *fleet) run(t *testing.T, length time.Duration, arrive func(at time.Duration)) {
	begun := time.Now()
	for time.Since(begun) < length {
		arrive(time.Since(begun))
		for _, m := range f.members {
			if !f.down[m.ID] {
				f.exchanges[m.ID].Step(t.Context())
			}
		}
		synctest.Wait()
		time.Sleep(stepInterval)
	}
	synctest.Wait()
}

// chance reports true with a probability.
func (f *fleet) chance(probability float64) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.random.Float64() < probability
}

// any returns an instance that is not down.
func (f *fleet) any() *snipequarantine.Exchange {
	f.lock.Lock()
	defer f.lock.Unlock()
	for {
		if m := f.members[f.random.IntN(len(f.members))]; !f.down[m.ID] {
			return f.exchanges[m.ID]
		}
	}
}

func fingerprint(text string) snipequarantine.Fingerprint {
	return snipequarantine.NewFingerprint([]byte(text), "caller")
}

const (
	// innocents and copies are the innocent requests, and the copies of each crashing one, that are
	// sent in each step.
	innocents, copies = 20, 3
	// hitShare is the share of innocent requests that are at an upstream that crashes, maxTries how
	// often their callers send them.
	hitShare, maxTries = 0.3, 4
)

// innocent is a request that crashes nothing and how often its caller has sent it.
type innocent struct {
	fingerprint snipequarantine.Fingerprint
	tries       int
}

// traffic sends crashing and innocent requests to a fleet. Each step has upstreams of its own.
type traffic struct {
	*fleet
	upstream int
	retries  []innocent
	// crashedAt holds the times at which copies of each crashing request ran.
	crashedAt     [][]time.Duration
	sent, refused int
}

// step sends the requests of one step.
func (r *traffic) step(at time.Duration) {
	r.upstream++
	crashed := false
	for c := range r.crashedAt {
		for range copies {
			crashed = r.sendCrashing(c, at) || crashed
		}
	}
	all := r.retries
	r.retries = nil
	for n := range innocents {
		// Half of the innocent requests have bodies that come again and again.
		p := fingerprint(fmt.Sprint("innocent", r.upstream, n))
		if n%2 == 0 {
			p = fingerprint(fmt.Sprint("repeated", n))
		}
		all = append(all, innocent{p, 1})
	}
	for _, q := range all {
		r.sendInnocent(q, crashed && r.chance(hitShare))
	}
}

func (r *traffic) crash(e *snipequarantine.Exchange, p snipequarantine.Fingerprint) {
	e.Crashed(fmt.Sprint("u", r.upstream), p)
}

// sendCrashing sends a copy of a crashing request, and reports whether it ran.
func (r *traffic) sendCrashing(c int, at time.Duration) bool {
	e, p := r.any(), fingerprint(fmt.Sprint("crasher", c))
	if _, refused := e.Suspects.Refused(p); refused {
		return false
	}
	r.crashedAt[c] = append(r.crashedAt[c], at)
	r.crash(e, p)
	return true
}

// sendInnocent sends an innocent request, which is at an upstream that crashes if hit is set.
func (r *traffic) sendInnocent(q innocent, hit bool) {
	e := r.any()
	r.sent++
	if _, refused := e.Suspects.Refused(q.fingerprint); refused {
		r.refused++
		return
	}
	if !hit {
		e.Answered(q.fingerprint)
		return
	}
	r.crash(e, q.fingerprint)
	if q.tries < maxTries {
		r.retries = append(r.retries, innocent{q.fingerprint, q.tries + 1})
	}
}

// lateRuns returns how many copies of a crashing request ran later than spreadTime after the third
// crash.
func lateRuns(t *testing.T, crashedAt []time.Duration) int {
	must.GreaterEq(t, 3*copies, len(crashedAt))
	bound, late := crashedAt[2*copies]+spreadTime, 0
	for _, at := range crashedAt {
		if at > bound {
			late++
		}
	}
	return late
}

// TestExchangeBound guards against a request that goes on crashing upstreams later than SpreadTime
// after the third crash, and against innocent requests that are refused because they were at the
// same upstreams.
func TestExchangeBound(t *testing.T) {
	tests := map[string]struct {
		instances, crashers, down int
		lost                      float64
	}{
		"7 instances":               {instances: 7, crashers: 1},
		"66 instances":              {instances: 66, crashers: 1},
		"300 instances":             {instances: 300, crashers: 1},
		"7, messages lost":          {instances: 7, crashers: 1, lost: 0.1},
		"66, messages lost":         {instances: 66, crashers: 1, lost: 0.1},
		"7, two that do not answer": {instances: 7, crashers: 1, down: 2},
		"7, two crashers":           {instances: 7, crashers: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 20 * time.Second
				f := newFleet(tt.instances)
				f.lost = tt.lost
				for n := range tt.down {
					f.down[f.members[n].ID] = true
				}
				r := &traffic{fleet: f, crashedAt: make([][]time.Duration, tt.crashers)}
				f.run(t, length, r.step)
				test.Zero(t, r.refused, test.Sprintf("refused of %d innocent requests", r.sent))
				for c, all := range r.crashedAt {
					test.LessEq(t, 3, lateRuns(t, all), test.Sprintf("late runs of %d", len(all)))
					t.Logf("request %d crashed %d upstreams, the last one %v after the third", c, len(all)/copies, all[len(all)-1]-all[2*copies])
				}
				t.Logf("%.1f messages a second and instance", float64(f.messages)/length.Seconds()/float64(tt.instances))
			})
		})
	}
}

// refuseByAll runs a fleet until all of its instances refuse a fingerprint that crashed three upstreams,
// whose names begin with a prefix.
func refuseByAll(t *testing.T, f *fleet, p snipequarantine.Fingerprint, prefix string) {
	for n := range 3 {
		f.any().Crashed(fmt.Sprint(prefix, n), p)
	}
	f.run(t, spreadTime, func(time.Duration) {})
	must.Eq(t, len(f.members), f.countRefusing(p))
}

// countRefusing returns how many instances refuse a fingerprint.
func (f *fleet) countRefusing(p snipequarantine.Fingerprint) int {
	n := 0
	for _, m := range f.members {
		if _, refused := f.exchanges[m.ID].Suspects.Refused(p); refused {
			n++
		}
	}
	return n
}

// TestExchangeMembers guards against instances that start after a refusal and do not refuse, also if
// its coordinators have ended since.
func TestExchangeMembers(t *testing.T) {
	tests := map[string]func(f *fleet, p snipequarantine.Fingerprint){
		"a new instance": func(*fleet, snipequarantine.Fingerprint) {},
		"after the coordinators have ended": func(f *fleet, p snipequarantine.Fingerprint) {
			for _, c := range snipequarantine.Coordinators(p, f.members) {
				f.members = slices.DeleteFunc(f.members, func(m snipequarantine.Member) bool { return m.ID == c.ID })
			}
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p := newFleet(9), fingerprint("crasher")
				refuseByAll(t, f, p, "u")
				change(f, p)
				f.members = append(f.members, snipequarantine.NewMember("new", "domain0"))
				f.start("new")
				f.run(t, spreadTime, func(time.Duration) {})
				must.Eq(t, len(f.members), f.countRefusing(p))
			})
		})
	}
}

// TestExchangeReleases guards against a fingerprint that stays refused at some instances after one of
// its requests was answered, and against one that cannot be refused a second time.
func TestExchangeReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := newFleet(9), fingerprint("innocent")
		refuseByAll(t, f, p, "first")
		f.any().Answered(p)
		f.run(t, spreadTime, func(time.Duration) {})
		must.Zero(t, f.countRefusing(p))
		refuseByAll(t, f, p, "second")
		time.Sleep(snipequarantine.SuspectTime)
		f.run(t, stepInterval, func(time.Duration) {})
		must.Zero(t, f.countRefusing(p))
	})
}

// TestExchangeOldVersions guards against a bound that does not hold among new instances while half of
// the instances run a version that does not take part, and against messages to these all the time.
func TestExchangeOldVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p := newFleet(8), fingerprint("crasher")
		for n := range 4 {
			f.old[f.members[n].ID] = true
		}
		for n := range 3 {
			f.exchanges["i7"].Crashed(fmt.Sprint("u", n), p)
		}
		f.run(t, 2*spreadTime, func(time.Duration) {})
		must.Eq(t, 4, f.countRefusing(p))
		must.LessEq(t, 4*len(f.members), f.toOld)
	})
}

// TestExchangeIsolated guards against an instance that is cut off from all others and does not notice
// it, so that it misses their decisions, and against one that takes itself for cut off without a cause.
func TestExchangeIsolated(t *testing.T) {
	tests := map[string]struct {
		down     int
		isolated bool
	}{
		"all others are down": {6, true}, "one other is down": {1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(7)
				for n := range tt.down {
					f.down[f.members[n].ID] = true
				}
				e := f.exchanges["i6"]
				must.False(t, e.Isolated())
				e.Crashed("u1", fingerprint("any"))
				f.run(t, spreadTime, func(time.Duration) {})
				must.Eq(t, tt.isolated, e.Isolated())
			})
		})
	}
}
