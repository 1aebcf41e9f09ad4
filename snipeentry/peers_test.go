package snipeentry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// TestReportOfUse: who reports the use of an engine's adapters learns what the engine
// no longer holds, and where else the rest is.
func TestReportOfUse(t *testing.T) {
	const engine, other, version = "e1", "e2", 7
	held := snipecatalog.Adapter{Model: "base", Name: "held"}
	gone := snipecatalog.Adapter{Model: "base", Name: "gone"}
	u := &snipedirectory.Upstream{ID: engine, Models: []string{"base"}, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	desk := &snipeadapter.Desk{
		Engine: snipeadapter.Engine{
			Order: func(context.Context, *snipedirectory.Upstream, snipeadapter.Order) (snipeadapter.Reply, error) {
				return snipeadapter.Holds, nil
			},
			Report: func(context.Context, *snipedirectory.Upstream) (snipeadapter.Report, error) {
				return snipeadapter.Report{Models: u.Models}, nil
			},
		},
		Fence:    func(netip.AddrPort) (uint64, bool) { return 1, true },
		Upstream: func(string) *snipedirectory.Upstream { return u },
		Slots:    func(*snipedirectory.Upstream) int { return 4 },
		Model:    func(*snipedirectory.Upstream) string { return "" },
		Newest:   func(snipecatalog.Adapter) int64 { return 0 },
		Log:      snipelog.Discard(),
	}
	_, err := desk.Ensure(t.Context(), engine, held, 0, time.Second)
	must.NoError(t, err)
	server := &peerServer{desk: desk, board: &snipebalance.Board{}, replicas: func(a snipecatalog.Adapter, except string) []snipegateway.Replica {
		must.Eq(t, engine, except)
		if a != held {
			return nil
		}
		return []snipegateway.Replica{{Engine: other, Version: version}}
	}}
	report := &snipeproto.AdapterUsedRequest{
		Engine: engine, Model: "base", Adapters: []string{held.Name, gone.Name}, Counts: []int64{2, 1},
		Instance: "i1", Load: 2,
	}
	answer, err := server.Used(t.Context(), report)
	must.NoError(t, err)

	i := &Instance{residency: &snipeadapter.Residency{}, balancer: &snipebalance.Balancer{}}
	i.residency.Tell(engine, gone, 1)
	i.learn(report, answer)
	_, ok := i.residency.Holds(u, gone)
	must.False(t, ok)
	learned, ok := i.residency.Holds(&snipedirectory.Upstream{ID: other}, held)
	must.True(t, ok)
	must.Eq(t, version, learned)
	must.Positive(t, i.balancer.Busy(u))
}

// TestReached: each loss and each return of another instance is told once.
func TestReached(t *testing.T) {
	p := &peers{}
	to := netip.MustParseAddrPort("10.1.0.1:70")
	for _, tt := range []struct{ ok, changed bool }{
		{true, false}, {false, true}, {false, false}, {true, true}, {true, false},
	} {
		must.Eq(t, tt.changed, p.reached(to, tt.ok))
	}
}
