package snipeentry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// drainBound is how long requests may still reach an upstream after an instance was notified that
// the upstream is leaving.
const drainBound = 2 * time.Second

// TestLeavingAnnouncedByAnswer guards against instances that keep sending requests to a leaving
// upstream for longer than drainBound while the store is down. The registry then does not show that
// the upstream is leaving, but the upstream's answers do.
func TestLeavingAnnouncedByAnswer(t *testing.T) {
	tests := map[string]struct {
		leaving, target string
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
			s.store.SetMode(snipestand.StoreSilent)
			s.runners[tt.leaving].AnnounceLeaving()
			sent := sendLoad(t, instances, tt.target, 30*time.Millisecond, 5*time.Second, tt.header...)
			must.SliceEmpty(t, snipestand.LeavingBreaches(s.runners[tt.leaving].Arrivals(), drainBound, sent.sender, nil))
			must.Eq(t, 0, sent.refused, must.Sprint("the other upstream stays"))
		})
	}
}

// TestLeavingSentToPeers guards against instances that keep using a leaving upstream after another
// instance has received the upstream's signal and sent it to them, while the store is down.
func TestLeavingSentToPeers(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	s.declare(1)
	instances := []*instance{s.start("one"), s.start("two"), s.start("three")}
	for _, i := range instances {
		waitServing(t, i)
	}
	waitPeersKnown(t, instances)
	s.store.SetMode(snipestand.StoreSilent)
	s.runners["p1"].AnnounceLeaving()
	sendLoad(t, instances[:1], "/often/x", 10*time.Millisecond, time.Second)
	eventually(t, func() bool { return strings.Count(s.logged(), `"Name":"UpstreamLeaving"`) == len(instances) })
	before := len(s.runners["p1"].Arrivals())
	sendLoad(t, instances[1:], "/often/x", 10*time.Millisecond, time.Second)
	must.Eq(t, before, len(s.runners["p1"].Arrivals()))
}

// waitPeersKnown waits until all instances know each other.
func waitPeersKnown(t *testing.T, instances []*instance) {
	t.Helper()
	want := fmt.Sprintf("snipepitch_instances %d\n", len(instances))
	for _, i := range instances {
		eventually(t, func() bool { return strings.Contains(i.metrics(), want) })
	}
}
