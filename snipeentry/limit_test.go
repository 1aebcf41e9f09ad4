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

// senders records the instance to which each request was sent, by the request's identifier.
type senders struct {
	lock sync.Mutex // guards all
	all  map[string]string
	// refused counts the answers with a status other than 200.
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

// sendLoad sends requests to the instances in turn with a pause between them, and waits for all
// answers.
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

// TestLimitNamedByUpstream guards against instances that keep sending at the previous rate to an
// upstream whose answers have named a limit on the requests per second of all instances together.
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
			s.runners[tt.limited].AnnounceLimit(3)
			sent := sendLoad(t, instances, tt.target, 30*time.Millisecond, 9*time.Second, tt.header...)
			must.SliceEmpty(t, snipestand.LimitBreaches(s.runners[tt.limited].Arrivals(), sent.sender, nil))
			must.Eq(t, 0, sent.refused, must.Sprint("the other upstream is free"))
		})
	}
}

// TestLimitSentToPeers guards against instances that are not notified by other instances that an
// upstream has named a limit or lifted it. Only one instance sends requests to the upstream here,
// so the others receive no signal from the upstream itself.
func TestLimitSentToPeers(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1)
	instances := []*instance{s.start("one"), s.start("two"), s.start("three")}
	for _, i := range instances {
		waitServing(t, i)
	}
	loggedByAll := func(event string) bool {
		return strings.Count(s.logged(), `"Name":"`+event+`"`) == len(instances)
	}
	s.runners["p1"].AnnounceLimit(100)
	sendLoad(t, instances[:1], "/often/x", 10*time.Millisecond, time.Second)
	eventually(t, func() bool { return loggedByAll("UpstreamLimited") })
	s.runners["p1"].AnnounceNoLimit()
	sendLoad(t, instances[:1], "/often/x", 10*time.Millisecond, time.Second)
	eventually(t, func() bool { return loggedByAll("UpstreamFree") })
}
