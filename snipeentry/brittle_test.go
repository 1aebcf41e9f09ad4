package snipeentry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// TestBrittleUpstreams guards against upstreams that say that they are brittle and crash again and again, because
// instances send them more than they have room for.
func TestBrittleUpstreams(t *testing.T) {
	const (
		upstreams = 4
		// bearable is the number of refusals in a second that an upstream bears.
		bearable = 3
		// mostCrashes is the number of crashes of all upstreams that the platform allows in the time in which
		// they are brittle: two and a tenth of their number.
		mostCrashes = 2
		length      = 8 * time.Second
		perSecond   = 160
	)
	for name, instances := range map[string]int{"One": 1, "Six": 6} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, all := startBrittleCluster(t, upstreams, instances)
			s.sendOften(all, time.Second, perSecond/4)
			for _, r := range s.runners {
				r.SetBrittle(bearable)
			}
			s.sendOften(all, contactTime, perSecond/4)
			for _, r := range s.runners {
				r.SetQueue(1)
			}
			got := s.sendOften(all, length, perSecond)
			crashes := 0
			for _, r := range s.runners {
				crashes += r.BrittleCrashes()
			}
			t.Log(got.answered, "of", got.sent, "served,", crashes, "crashes")
			must.LessEq(t, mostCrashes, crashes)
		})
	}
}

// startBrittleCluster starts plain upstreams of four slots that take 120 ms for a request, and instances.
func startBrittleCluster(t *testing.T, upstreams, instances int) (*testCluster, []*instance) {
	var runners []*snipestand.Runner
	for n := range upstreams {
		runners = append(runners, &snipestand.Runner{ID: fmt.Sprint("p", n), Service: "plain"})
	}
	s := startTestCluster(t, time.Millisecond, runners, func(r *snipestand.Runner) {
		server := &snipestand.RunnerServer{Runner: r, Downtime: crashDowntime}
		must.NoError(t, server.Start())
		t.Cleanup(server.Close)
	})
	s.declare(1)
	for _, r := range runners {
		r.SetCapacity(4, 8, 120*time.Millisecond)
	}
	var all []*instance
	for n := range instances {
		all = append(all, s.start(fmt.Sprint("i", n)))
	}
	for _, i := range all {
		eventually(t, i.isReady)
		eventually(t, func() bool {
			a, _ := send(t, i.url, http.MethodPost, "/often/x", "")
			return a.status == http.StatusOK
		})
	}
	return s, all
}

// sendOften sends requests that may run more than once to instances in turn, and returns how they were served.
func (s *testCluster) sendOften(all []*instance, length time.Duration, perSecond int) *served {
	got := &served{}
	var lock sync.Mutex
	var callers sync.WaitGroup
	for n := range int(length.Seconds() * float64(perSecond)) {
		callers.Go(func() {
			a, _ := send(s.t, all[n%len(all)].url, http.MethodPost, "/often/x", strings.Repeat("x", n%7))
			lock.Lock()
			defer lock.Unlock()
			got.add("/often/x", a)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return got
}
