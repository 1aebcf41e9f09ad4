package snipeentry_test

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeentry"
)

// scarce returns a cluster whose plain upstreams have two slots each, room for two waiting requests
// and take 40 ms for a request, and instances that use shared admission.
func scarce(t *testing.T, names ...string) (*testCluster, []*instance) {
	s := newTestCluster(t, time.Millisecond)
	for _, id := range []string{"p1", "p2"} {
		s.runners[id].SetCapacity(2, 2, 40*time.Millisecond)
	}
	s.declare(1)
	var instances []*instance
	for _, name := range names {
		instances = append(instances, s.start(name, func(g *snipeentry.Settings) { g.AdmissionShare = 100 }))
	}
	for _, i := range instances {
		waitServing(t, i)
	}
	return s, instances
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
