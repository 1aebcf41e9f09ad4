package snipeentry_test

import (
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipestand"
)

// scarce returns a cluster whose plain upstreams have two slots each, room for eight waiting requests
// and take 40 ms for a request, and instances that use shared admission.
func scarce(t *testing.T, names ...string) (*testCluster, []*instance) {
	s := newTestCluster(t, time.Millisecond)
	for _, id := range []string{"p1", "p2"} {
		s.runners[id].SetCapacity(2, 8, 40*time.Millisecond)
	}
	s.declare(1)
	var instances []*instance
	for _, name := range names {
		instances = append(instances, s.start(name, func(g *snipeentry.Settings) { g.AdmissionShare = 100 }))
	}
	for _, i := range instances {
		waitServing(t, i)
		eventually(t, func() bool { return i.metric(t, "snipepitch_instances") == len(names) })
	}
	return s, instances
}

// metric returns the value of a metric of an instance, or -1 if it has none with this name.
func (i *instance) metric(t *testing.T, name string) int {
	t.Helper()
	text := i.metrics()
	must.NotEq(t, "", text)
	_, rest, _ := strings.Cut(text, "\n"+name+" ")
	value, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.Atoi(value)
	if err != nil {
		return -1
	}
	return n
}

// sendScarce sends requests to instances in turn at a rate until d has passed, and returns the
// replies.
func sendScarce(t *testing.T, instances []*instance, perSecond float64, d time.Duration) []reply {
	t.Helper()
	var all sync.WaitGroup
	var lock sync.Mutex
	var replies []reply
	random := rand.New(rand.NewPCG(1, 2))
	for n, begun := 0, time.Now(); time.Since(begun) < d; n++ {
		all.Go(func() {
			a, _ := send(t, instances[n%len(instances)].url, http.MethodGet, "/often/x", "", "X-Snipepitch-Deadline-Ms", "1000")
			lock.Lock()
			defer lock.Unlock()
			replies = append(replies, a)
		})
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	all.Wait()
	return replies
}

// TestSharedAdmission guards against requests that meet full upstreams below the capacity of the
// upstreams, and against refusals above it without a time at which the caller is served.
func TestSharedAdmission(t *testing.T) {
	s, instances := scarce(t, "one", "two", "three")
	// Four slots serve 100 requests a second.
	below := sendScarce(t, instances, 60, 4*time.Second)
	served := 0
	for _, a := range below {
		if a.status == http.StatusOK {
			served++
		}
	}
	must.GreaterEq(t, int(math.Floor(0.97*float64(len(below)))), served)
	turnedAway := 0
	for _, id := range []string{"p1", "p2"} {
		_, refused := s.runners[id].Occupancy()
		turnedAway += refused
	}
	must.LessEq(t, len(below)/50, turnedAway)
	above := sendScarce(t, instances, 300, 3*time.Second)
	refused := 0
	for _, a := range above {
		if a.status == http.StatusOK {
			continue
		}
		must.Eq(t, http.StatusServiceUnavailable, a.status, must.Sprint(a.body))
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 0, seconds, 6)
		refused++
	}
	must.Positive(t, refused)
	must.StrContains(t, s.logged(), `"Name":"PermitRefused"`)
	must.StrContains(t, s.logged(), `"Coordinator":`)
	must.False(t, strings.Contains(s.logged(), `"Name":"PermitExpired"`))
	t.Logf("below: %d of %d served, %d turned away; above: %d of %d refused", served, len(below), turnedAway, refused, len(above))
}

var coordinatorPattern = regexp.MustCompile(`"Coordinator":"([a-z]+)"`)

// coordinatorOf returns the instance that coordinated the last request in the log, and the others.
func coordinatorOf(t *testing.T, s *testCluster, instances []*instance) (coordinator *instance, others []*instance) {
	t.Helper()
	all := coordinatorPattern.FindAllStringSubmatch(s.logged(), -1)
	must.SliceNotEmpty(t, all)
	for _, i := range instances {
		if i.Settings.Name == all[len(all)-1][1] {
			coordinator = i
		} else {
			others = append(others, i)
		}
	}
	must.NotNil(t, coordinator)
	return coordinator, others
}

// TestCoordinatorGone guards against requests that fail, run twice, or wait until their deadline
// while their coordinator is killed or stops, also while the store is away.
func TestCoordinatorGone(t *testing.T) {
	tests := map[string]struct {
		end   func(s *testCluster, i *instance)
		store snipestand.StoreMode
	}{
		"Killed":          {func(_ *testCluster, i *instance) { i.kill() }, snipestand.StoreNormal},
		"Stops":           {func(_ *testCluster, i *instance) { i.Stop() }, snipestand.StoreNormal},
		"KilledNoStore":   {func(_ *testCluster, i *instance) { i.kill() }, snipestand.StoreSilent},
		"StopsStoreFails": {func(_ *testCluster, i *instance) { i.Stop() }, snipestand.StoreRefuses},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, instances := scarce(t, "one", "two", "three")
			sendScarce(t, instances, 60, 200*time.Millisecond)
			coordinator, others := coordinatorOf(t, s, instances)
			s.store.SetMode(tt.store)
			time.AfterFunc(500*time.Millisecond, func() { tt.end(s, coordinator) })
			replies := sendScarce(t, others, 50, 3*time.Second)
			failed := 0
			for _, a := range replies {
				if a.status != http.StatusOK {
					failed++
				}
			}
			t.Logf("%d of %d were not served", failed, len(replies))
			must.LessEq(t, len(replies)/50, failed)
			must.LessEq(t, 1, s.mostRuns())
			next, _ := coordinatorOf(t, s, others)
			must.NotEq(t, coordinator, next)
		})
	}
}

// mostRuns returns the highest number of times that a request ran at plain upstreams.
func (s *testCluster) mostRuns() int {
	runs := map[string]int{}
	most := 0
	for _, id := range []string{"p1", "p2"} {
		for request, n := range s.runners[id].RunCounts() {
			runs[request] += n
			most = max(most, runs[request])
		}
	}
	return most
}

// TestStopWithWaiting guards against requests that a planned stop leaves without an answer while
// they wait for permits.
func TestStopWithWaiting(t *testing.T) {
	_, instances := scarce(t, "one", "two")
	var all sync.WaitGroup
	for n := range 40 {
		all.Go(func() {
			a, _ := send(t, instances[n%2].url, http.MethodGet, "/often/x", "")
			must.Eq(t, http.StatusOK, a.status, must.Sprint(a.body))
		})
	}
	time.Sleep(100 * time.Millisecond)
	instances[0].Stop()
	all.Wait()
	must.NoError(t, <-instances[0].ended)
}
