package snipeweight

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeproto"
)

// testLoadTime is how long a load takes in the tests.
const testLoadTime = 600 * time.Millisecond

func newQueue(perSecond float64, concurrent int) *Queue {
	return &Queue{Limits: func() (float64, int) { return perSecond, concurrent }}
}

// store records the paths of the loads in the order of their starts, and the highest
// number of loads that ran at once.
type store struct {
	lock       sync.Mutex
	running    int
	maxRunning int
	order      []string
}

func (s *store) load(t *testing.T, p *Permits, path string, c snipecall.Class, failed bool) error {
	t.Helper()
	d := &Demand{Path: path}
	d.Join(c)
	release, err := p.Acquire(t.Context(), d)
	if err != nil {
		return err
	}
	s.lock.Lock()
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	s.order = append(s.order, path)
	s.lock.Unlock()
	time.Sleep(testLoadTime)
	s.lock.Lock()
	s.running--
	s.lock.Unlock()
	release(failed)
	return nil
}

func newPermits(name string, holders ...Holder) *Permits {
	return &Permits{Self: name, Holders: func() []Holder { return holders }}
}

// TestBudgetAcrossInstances checks that the loads of many instances together
// keep within the rate and the number of concurrent loads.
func TestBudgetAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4.5, 3)
		s := &store{}
		var all sync.WaitGroup
		start := time.Now()
		instances := map[int]*Permits{}
		for n := range 9 {
			instances[n] = newPermits(fmt.Sprint("i", n), Local("i0", q))
		}
		for n := range 45 {
			all.Go(func() {
				must.NoError(t, s.load(t, instances[n%9], fmt.Sprint(n), snipecall.Standard, false))
			})
		}
		all.Wait()
		must.Eq(t, 3, s.maxRunning)
		must.GreaterEq(t, 44*time.Second*10/45, time.Since(start))
		must.Less(t, 12*time.Second, time.Since(start))
	})
}

// TestOrder checks that requests of a higher class are granted first, and
// requests of the same class by age.
func TestOrder(t *testing.T) {
	for name, c := range map[string]struct {
		first, second snipecall.Class
		want          []string
	}{
		"class goes before age":  {snipecall.Bulk, snipecall.Status, []string{"running", "second", "first"}},
		"age decides in a class": {snipecall.Standard, snipecall.Standard, []string{"running", "first", "second"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPermits("i1", Local("i0", newQueue(1000, 1)))
				s := &store{}
				var all sync.WaitGroup
				for n, class := range []snipecall.Class{snipecall.Bulk, c.first, c.second} {
					all.Go(func() { must.NoError(t, s.load(t, p, []string{"running", "first", "second"}[n], class, false)) })
					time.Sleep(time.Millisecond)
				}
				all.Wait()
				must.Eq(t, c.want, s.order)
			})
		})
	}
}

// TestFloodingTeam checks that the load of one team does not wait behind all
// loads of another team that floods the queue.
func TestFloodingTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPermits("i1", Local("i0", newQueue(1000, 1)))
		var all sync.WaitGroup
		order := make(chan string, 100)
		load := func(team string, n int) {
			d := &Demand{Path: fmt.Sprint(team, n), Team: team}
			d.Join(snipecall.Standard)
			release, err := p.Acquire(t.Context(), d)
			must.NoError(t, err)
			order <- team
			time.Sleep(testLoadTime)
			release(false)
		}
		for n := range 40 {
			all.Go(func() { load("storm", n) })
		}
		time.Sleep(20 * testLoadTime)
		all.Go(func() { load("other", 0) })
		time.Sleep(2 * testLoadTime)
		otherLoaded := false
		for range len(order) {
			otherLoaded = <-order == "other" || otherLoaded
		}
		must.True(t, otherLoaded)
		all.Wait()
	})
}

// TestFailedLoadsBackOff checks that requests for a path whose load failed are
// refused with the time of the backoff while other paths are loaded, and that the
// backoff doubles with the second failure.
func TestFailedLoadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPermits("i1", Local("i0", newQueue(1000, 1)))
		s := &store{}
		must.NoError(t, s.load(t, p, "bad", snipecall.Status, true))
		synctest.Wait()
		var backoff *BackoffError
		must.True(t, errors.As(s.load(t, p, "bad", snipecall.Status, true), &backoff))
		must.Eq(t, initialBackoff, backoff.After)
		must.NoError(t, s.load(t, p, "good", snipecall.Bulk, false))
		time.Sleep(initialBackoff)
		must.NoError(t, s.load(t, p, "bad", snipecall.Status, true))
		synctest.Wait()
		must.True(t, errors.As(s.load(t, p, "bad", snipecall.Status, true), &backoff))
		must.Eq(t, 2*initialBackoff, backoff.After)
	})
}

// TestHolderStopsAnswering checks that an instance uses the next holder when the
// polls of the current one begin to fail in the middle of a wait.
func TestHolderStopsAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopped atomic.Bool
		local := Local("i0", newQueue(1000, 1))
		failing := local
		failing.Ask = func(ctx context.Context, a Ask) (Answer, error) {
			if stopped.Load() {
				return Answer{}, errors.New("gone")
			}
			return local.Ask(ctx, a)
		}
		p := newPermits("i1", failing, Local("i2", newQueue(1000, 1)))
		s := &store{}
		blocker, err := p.Acquire(t.Context(), &Demand{Path: "a"})
		must.NoError(t, err)
		time.AfterFunc(5*time.Second, func() { stopped.Store(true) })
		start := time.Now()
		must.NoError(t, s.load(t, p, "b", snipecall.Status, false))
		must.Less(t, 8*time.Second, time.Since(start))
		blocker(false)
	})
}

// TestPermissionExpires checks that loads continue after an instance that asked has died
// with a permission or with a queued request of high weight.
func TestPermissionExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1000, 1)
		a := q.Ask(t.Context(), Ask{ID: ID{"dead", 1}, Path: "a", Hold: time.Minute})
		must.True(t, a.Granted)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		must.False(t, q.Ask(ctx, Ask{ID: ID{"dead", 2}, Path: "a", Weight: 1000, Hold: time.Minute}).Granted)
		s := &store{}
		start := time.Now()
		must.NoError(t, s.load(t, newPermits("i1", Local("i0", q)), "b", snipecall.Bulk, false))
		must.Less(t, time.Minute+2*askTimeout, time.Since(start))
	})
}

// TestExpectedWait checks that the expected wait is set soon after a request is
// queued, and covers the loads ahead of it.
func TestExpectedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, 1)
		p := newPermits("i1", Local("i0", q))
		s := &store{}
		var all sync.WaitGroup
		for n := range 10 {
			all.Go(func() { must.NoError(t, s.load(t, p, fmt.Sprint(n), snipecall.Status, false)) })
		}
		time.Sleep(time.Second / 2)
		d := &Demand{Path: "x"}
		d.Join(snipecall.Bulk)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = p.Acquire(ctx, d) }()
		time.Sleep(2 * firstPoll)
		ready, _ := d.Expected()
		must.Between(t, 8*time.Second, time.Until(ready), 12*time.Second)
		cancel()
		all.Wait()
	})
}

// TestRemote checks that the calls of a Holder for another instance reach its Queue:
// permission, a repeated poll, withdrawal, the end of a failed load, and a refused
// argument.
func TestRemote(t *testing.T) {
	q := newQueue(1000, 1)
	server := httptest.NewServer(snipeproto.NewWeightServer(&Server{Queue: q}))
	defer server.Close()
	h := Remote("i0", netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), server.Client())
	ask := func(n uint64, path string) Answer {
		ctx, cancel := context.WithTimeout(t.Context(), firstPoll)
		defer cancel()
		a, err := h.Ask(ctx, Ask{ID: ID{"i1", n}, Path: path, Weight: 1, Hold: time.Minute})
		must.NoError(t, err)
		return a
	}
	must.True(t, ask(1, "a").Granted)
	must.True(t, ask(1, "a").Granted) // repeated as if the answer had been lost
	must.False(t, ask(2, "b").Granted)
	must.NoError(t, h.Leave(t.Context(), ID{"i1", 2}))
	must.NoError(t, h.Done(t.Context(), ID{"i1", 1}, "a", true))
	must.True(t, ask(3, "a").Backoff)
	_, err := h.Ask(t.Context(), Ask{Hold: -1})
	must.Error(t, err)
}

// TestLostGrant checks that a permission whose answer is lost, or whose end is not
// reported, delays other loads by less than ten seconds instead of the time of the
// longest load.
func TestLostGrant(t *testing.T) {
	tests := map[string]func(h *Holder){
		"reply lost": func(h *Holder) {
			ask := h.Ask
			h.Ask = func(ctx context.Context, a Ask) (Answer, error) {
				_, _ = ask(ctx, a)
				return Answer{}, errors.New("reply lost")
			}
		},
		"end not told": func(h *Holder) {
			h.Done = func(context.Context, ID, string, bool) error { return errors.New("cut") }
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueue(100, 1)
				cut := Local("i0", q)
				fault(&cut)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				d := &Demand{Path: "a"}
				d.Join(snipecall.Standard)
				release, err := newPermits("cut", cut).Acquire(ctx, d)
				if err == nil {
					release(false)
				}
				start := time.Now()
				must.NoError(t, (&store{}).load(t, newPermits("other", Local("i0", q)), "b", snipecall.Standard, false))
				must.Less(t, 10*time.Second, time.Since(start))
			})
		})
	}
}

// TestLongLoadKeepsItsPermission checks that the permission of a long load is
// renewed, also at a holder that replaces the one that granted it.
func TestLongLoadKeepsItsPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newQueue(100, 1), newQueue(100, 1)
		var holder atomic.Pointer[Holder]
		set := func(h Holder) { holder.Store(&h) }
		set(Local("i0", first))
		p := &Permits{Self: "long", Holders: func() []Holder { return []Holder{*holder.Load()} }}
		d := &Demand{Path: "a"}
		d.Join(snipecall.Standard)
		release, err := p.Acquire(t.Context(), d)
		must.NoError(t, err)
		time.Sleep(time.Minute)
		must.False(t, granted(t, first))
		set(Local("i1", second))
		time.Sleep(2 * time.Second)
		must.False(t, granted(t, second))
		release(false)
		time.Sleep(time.Second)
		must.True(t, granted(t, second))
	})
}

// granted reports whether a queue grants permission for one more load.
func granted(t *testing.T, q *Queue) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	return q.Ask(ctx, Ask{ID: ID{"probe", 1}, Path: "p", Hold: time.Second}).Granted
}
