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

// play lets callers, three successive owners, a restart, table outages and
// faults of orders run into each other, as the seed says, and returns what may
// not happen. Owners that were replaced do not know it: their loads and
// evictions go on, and so do their calls under way. They start no new calls,
// as their lease has lapsed.
type play struct {
	checks  bool
	faulty  int // of 100 orders, how many meet a fault
	restart bool
	outage  bool
	source  *rand.Rand
	lock    sync.Mutex // guards source, owner
	engine  *fakeEngine
	owners  *fakeOwners
	all     []*Slots
	served  int
}

func (p *play) draw(n int) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.source.IntN(n)
}

func (p *play) owner() *Slots {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.all[len(p.all)-1]
}

func (p *play) take() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.all = append(p.all, p.owners.take())
}

// call makes one call and reports whether it was served.
func (p *play) call(ctx context.Context, name string, length time.Duration) bool {
	s := p.owner()
	u, err := s.Acquire(ctx, request(name, "path-"+name))
	if err != nil {
		return false
	}
	defer u.Release()
	if s != p.owner() {
		return false
	}
	if !p.engine.begin(u.Alias, "path-"+name) {
		s.Forget(u.Alias)
		return false
	}
	time.Sleep(length)
	p.engine.end(u.Alias)
	return true
}

func (p *play) caller() {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		length := time.Duration(p.draw(3000)) * time.Millisecond
		if p.draw(10) == 0 {
			length = time.Minute // still streaming when the owner changes
		}
		if p.call(ctx, fmt.Sprint("a", p.draw(6)), length) {
			p.lock.Lock()
			p.served++
			p.lock.Unlock()
		}
		cancel()
		time.Sleep(time.Duration(p.draw(2000)) * time.Millisecond)
	}
}

// disturb changes owners and brings faults of the table and the engine.
func (p *play) disturb() {
	for range 2 {
		time.Sleep(time.Duration(p.draw(30_000)) * time.Millisecond)
		p.take()
		if p.outage {
			p.owners.table.SetFault(snipestand.TableFault{Down: p.draw(2) == 0, LoseReplies: p.draw(3)})
			time.Sleep(time.Duration(p.draw(10_000)) * time.Millisecond)
			p.owners.table.SetFault(snipestand.TableFault{})
		}
		if p.restart {
			time.Sleep(time.Duration(p.draw(10_000)) * time.Millisecond)
			p.engine.restart()
		}
	}
}

func (p *play) run() string {
	p.engine = newFakeEngine(3, p.checks)
	p.engine.next = func() fault {
		if p.draw(100) < p.faulty {
			return fault(p.draw(int(faults)))
		}
		return faultNone
	}
	p.owners = newFakeOwners(p.engine)
	p.take()
	var all sync.WaitGroup
	for range 5 {
		all.Go(p.caller)
	}
	all.Go(p.disturb)
	all.Wait()
	p.engine.lock.Lock()
	p.engine.next = func() fault { return faultNone }
	p.engine.lock.Unlock()
	time.Sleep(2 * time.Minute) // late orders arrive, calls end
	stuck := ""
	for n := range 6 {
		// The first call may find that the engine has restarted.
		name := fmt.Sprint("a", n)
		served := false
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			served = served || p.call(ctx, name, time.Second)
			cancel()
		}
		if !served {
			stuck = "no slot becomes free for " + name
		}
	}
	for _, s := range p.all {
		s.Close()
	}
	p.engine.lock.Lock()
	defer p.engine.lock.Unlock()
	if p.engine.violation != "" {
		return p.engine.violation
	}
	return stuck
}

// TestMain fixes what the randomized tests draw, so that every run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestInterleavings(t *testing.T) {
	for kind, checks := range map[string]bool{"engine refuses old numbers": true, "engine ignores numbers": false} {
		t.Run(kind, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				p := &play{
					checks: checks, faulty: rapid.IntRange(0, 40).Draw(rt, "faulty"),
					restart: rapid.Bool().Draw(rt, "restart"), outage: rapid.Bool().Draw(rt, "outage"),
					source: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)),
				}
				found := ""
				synctest.Test(t, func(*testing.T) { found = p.run() })
				if found != "" {
					rt.Fatal(found)
				}
			})
		})
	}
}

// TestPlayServes keeps the test above from proving nothing.
func TestPlayServes(t *testing.T) {
	p := &play{faulty: 10, restart: true, outage: true, source: rand.New(rand.NewPCG(1, 0))}
	synctest.Test(t, func(t *testing.T) { must.Eq(t, "", p.run()) })
	must.Greater(t, 50, p.served)
}
