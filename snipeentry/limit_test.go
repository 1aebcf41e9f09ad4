package snipeentry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// senders are the instances that were asked to serve requests, by the requests' identifiers.
type senders struct {
	lock sync.Mutex // guards all
	all  map[string]string
	// refused counts the answers other than success.
	refused int
}

func (s *senders) record(id, instance string, status int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.all[id] = instance
	if status != http.StatusOK {
		s.refused++
	}
}

func (s *senders) sender(id string) string { return s.all[id] }

// press sends requests to instances in turn, one after each pause, and waits for their answers.
func sendLoad(t *testing.T, instances []*instance, target string, pause, length time.Duration, header ...string) *senders {
	s := &senders{all: map[string]string{}}
	var all sync.WaitGroup
	for n := range int(length / pause) {
		i := instances[n%len(instances)]
		all.Go(func() {
			a, id := send(t, i.url, http.MethodGet, target, "", header...)
			s.record(id, i.url, a.status)
		})
		time.Sleep(pause)
	}
	all.Wait()
	return s
}

// TestLimitNamedByUpstream guards against instances that go on sending an upstream what it was sent
// before, after its answers have told them how many requests a second it takes of all of them.
func TestLimitNamedByUpstream(t *testing.T) {
	tests := map[string]struct {
		limited, target string
		header          []string
	}{
		"Plain":  {"p1", "/often/x", nil},
		"Engine": {"e1", "/final/x", []string{modelHeader, "base"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, time.Millisecond)
			s.declare(1)
			instances := []*instance{s.start("one"), s.start("two"), s.start("three")}
			for _, i := range instances {
				waitServing(t, i)
			}
			s.runners[tt.limited].NameLimit(3)
			sent := sendLoad(t, instances, tt.target, 30*time.Millisecond, 9*time.Second, tt.header...)
			must.SliceEmpty(t, snipestand.LimitBreaches(s.runners[tt.limited].Arrivals(), sent.sender, nil))
			must.Eq(t, 0, sent.refused, must.Sprint("the other upstream is free"))
		})
	}
}

// TestLimitToldToOthers guards against instances that do not learn from the others that an upstream
// names a limit, or that it is over: one that sends it nothing hears neither from the upstream.
func TestLimitToldToOthers(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1)
	instances := []*instance{s.start("one"), s.start("two"), s.start("three")}
	for _, i := range instances {
		waitServing(t, i)
	}
	loggedByAll := func(event string) bool {
		return strings.Count(s.logged(), `"Name":"`+event+`"`) == len(instances)
	}
	s.runners["p1"].NameLimit(100)
	sendLoad(t, instances[:1], "/often/x", 10*time.Millisecond, time.Second)
	eventually(t, func() bool { return loggedByAll("UpstreamLimited") })
	s.runners["p1"].NameNoLimit()
	sendLoad(t, instances[:1], "/often/x", 10*time.Millisecond, time.Second)
	eventually(t, func() bool { return loggedByAll("UpstreamFree") })
}
