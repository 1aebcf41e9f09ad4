package snipeslot

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"snipepitch.example/snipepitch/snipestand"
)

// simulation runs callers, three successive owners, engine restarts, table
// outages and order faults concurrently, drawn from source. Replaced owners are
// not closed: their loads, evictions and calls in flight continue. They start
// no new calls, since their lease has lapsed.
type simulation struct {
	checksFence  bool
	faultPercent int // percentage of orders for which a fault is drawn
	restart      bool
	outage       bool
	source       *rand.Rand
	lock         sync.Mutex // guards source, slots and served
	engine       *fakeEngine
	owners       *fakeOwners
	slots        []*Slots // of all owners, the current one last
	served       int      // calls served
}

func (sm *simulation) randomN(n int) int {
	sm.lock.Lock()
	defer sm.lock.Unlock()
	return sm.source.IntN(n)
}

func (sm *simulation) owner() *Slots {
	sm.lock.Lock()
	defer sm.lock.Unlock()
	return sm.slots[len(sm.slots)-1]
}

func (sm *simulation) takeOver() {
	sm.lock.Lock()
	defer sm.lock.Unlock()
	sm.slots = append(sm.slots, sm.owners.takeOver())
}

// call makes one call at the current owner and reports whether it was served.
func (sm *simulation) call(ctx context.Context, name string, duration time.Duration) bool {
	s := sm.owner()
	u, err := s.Acquire(ctx, request(name, "path-"+name))
	if err != nil {
		return false
	}
	defer u.Release()
	if s != sm.owner() {
		return false
	}
	if !sm.engine.beginCall(u.Alias, "path-"+name) {
		s.Forget(u.Alias)
		return false
	}
	time.Sleep(duration)
	sm.engine.endCall(u.Alias)
	return true
}

func (sm *simulation) caller() {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		duration := time.Duration(sm.randomN(3000)) * time.Millisecond
		if sm.randomN(10) == 0 {
			duration = time.Minute // still streaming when the owner changes
		}
		if sm.call(ctx, fmt.Sprint("a", sm.randomN(6)), duration) {
			sm.lock.Lock()
			sm.served++
			sm.lock.Unlock()
		}
		cancel()
		time.Sleep(time.Duration(sm.randomN(2000)) * time.Millisecond)
	}
}

// injectFaults changes the owner twice and injects table outages and engine
// restarts.
func (sm *simulation) injectFaults() {
	for range 2 {
		time.Sleep(time.Duration(sm.randomN(30_000)) * time.Millisecond)
		sm.takeOver()
		if sm.outage {
			sm.owners.table.SetFault(snipestand.TableFault{Down: sm.randomN(2) == 0, LoseReplies: sm.randomN(3)})
			time.Sleep(time.Duration(sm.randomN(10_000)) * time.Millisecond)
			sm.owners.table.SetFault(snipestand.TableFault{})
		}
		if sm.restart {
			time.Sleep(time.Duration(sm.randomN(10_000)) * time.Millisecond)
			sm.engine.restart()
		}
	}
}

// run runs the simulation and returns the first violation of an invariant; if
// there is none, it names an adapter that cannot be loaded once all faults have
// ended, or returns "".
func (sm *simulation) run() string {
	sm.engine = newFakeEngine(3, sm.checksFence)
	sm.engine.nextFault = func() fault {
		if sm.randomN(100) < sm.faultPercent {
			return fault(sm.randomN(int(faultCount)))
		}
		return faultNone
	}
	sm.owners = newFakeOwners(sm.engine)
	sm.takeOver()
	var all sync.WaitGroup
	for range 5 {
		all.Go(sm.caller)
	}
	all.Go(sm.injectFaults)
	all.Wait()
	sm.engine.lock.Lock()
	sm.engine.nextFault = func() fault { return faultNone }
	sm.engine.lock.Unlock()
	time.Sleep(2 * time.Minute) // late orders are carried out, calls end
	stuck := ""
	for n := range 6 {
		// The first call may be the one that detects an engine restart.
		name := fmt.Sprint("a", n)
		served := false
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			served = served || sm.call(ctx, name, time.Second)
			cancel()
		}
		if !served {
			stuck = "no slot becomes free for " + name
		}
	}
	for _, s := range sm.slots {
		s.Close()
	}
	sm.engine.lock.Lock()
	defer sm.engine.lock.Unlock()
	if sm.engine.violation != "" {
		return sm.engine.violation
	}
	return stuck
}

// TestMain fixes the seed of the randomized tests, so that every run makes the
// same draws.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestInterleavings checks the invariants in 300 simulations with an engine that
// refuses old fencing numbers, and in 300 with one that ignores them.
func TestInterleavings(t *testing.T) {
	for kind, checks := range map[string]bool{"engine refuses old numbers": true, "engine ignores numbers": false} {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				sm := &simulation{
					checksFence: checks, faultPercent: rapid.IntRange(0, 40).Draw(rt, "faulty"),
					restart: rapid.Bool().Draw(rt, "restart"), outage: rapid.Bool().Draw(rt, "outage"),
					source: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
				}
				found := ""
				synctest.Test(t, func(*testing.T) { found = sm.run() })
				if found != "" {
					rt.Fatal(found)
				}
			})
		})
	}
}

// TestSimulationServes checks that a simulation serves calls: without served calls,
// TestInterleavings would pass without checking anything.
func TestSimulationServes(t *testing.T) {
	sm := &simulation{faultPercent: 10, restart: true, outage: true, source: rand.New(rand.NewPCG(1, 0))}
	synctest.Test(t, func(t *testing.T) { must.Eq(t, "", sm.run()) })
	must.Greater(t, 50, sm.served)
}
