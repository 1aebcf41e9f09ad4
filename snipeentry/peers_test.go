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
)

// TestReportOfUse checks that the answer to a report of the use of an engine's adapters names the
// adapters that the engine does not hold, the other engines that hold the rest, and the engine's
// load, and that the reporting instance applies all three.
func TestReportOfUse(t *testing.T) {
	const engine, other, version = "e1", "e2", 7
	held := snipecatalog.Adapter{Model: "base", Name: "held"}
	gone := snipecatalog.Adapter{Model: "base", Name: "gone"}
	u := &snipedirectory.Upstream{ID: engine, Models: []string{"base"}, Address: netip.MustParseAddrPort("10.9.0.1:80")}
	controller := &snipeadapter.Controller{
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
	_, err := controller.Ensure(t.Context(), engine, held, 0, snipeadapter.Demand{MaxWait: time.Second})
	must.NoError(t, err)
	server := &peerServer{controller: controller, board: &snipebalance.Board{}, replicas: func(a snipecatalog.Adapter, except string) []snipegateway.Replica {
		must.Eq(t, engine, except)
		if a != held {
			return nil
		}
		return []snipegateway.Replica{{Engine: other, Version: version}}
	}}
	uses := map[snipecatalog.Adapter]snipeadapter.Use{held: {Begun: 2, Running: true}, gone: {Begun: 1}}
	reporter := &Instance{balancer: &snipebalance.Balancer{}}
	reporter.balancer.Begin(engine, 2)
	report := reporter.newReport()
	report.Engines = append(report.Engines, reporter.encodeUse(engine, uses))
	answer, err := server.Report(t.Context(), report)
	must.NoError(t, err)

	i := &Instance{residency: &snipeadapter.Residency{}, balancer: &snipebalance.Balancer{}}
	i.residency.RecordHeld(engine, gone, 1)
	i.applyReport(answer)
	_, ok := i.residency.Holds(u, gone)
	must.False(t, ok)
	learned, ok := i.residency.Holds(&snipedirectory.Upstream{ID: other}, held)
	must.True(t, ok)
	must.Eq(t, version, learned)
	must.Positive(t, i.balancer.Busy(u))
}

// TestStalestOwner checks which owner is sent an empty report for the loads of its engines: the one
// whose last answer is the oldest, if that is more than a second ago. Without that report, an
// instance that uses none of an owner's engines would not receive their loads.
func TestStalestOwner(t *testing.T) {
	address := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80) }
	owners := []netip.AddrPort{address(10), address(20)}
	now := time.Now()
	tests := map[string]struct {
		ages map[byte]time.Duration // since the owners' last answers; the others never answered
		want netip.AddrPort         // invalid if no owner is asked
	}{
		"AllHeard":   {map[byte]time.Duration{10: 0, 20: 900 * time.Millisecond}, netip.AddrPort{}},
		"OneIsQuiet": {map[byte]time.Duration{10: 0, 20: 1100 * time.Millisecond}, address(20)},
		"Longest":    {map[byte]time.Duration{10: 4 * time.Second, 20: 2 * time.Second}, address(10)},
		"NeverHeard": {map[byte]time.Duration{10: time.Hour}, address(20)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answered := func(peer netip.AddrPort) time.Time {
				for n, age := range tt.ages {
					if peer == address(n) {
						return now.Add(-age)
					}
				}
				return time.Time{}
			}
			peer, ok := stalestOwner(owners, answered, now.Add(-time.Second))
			must.Eq(t, tt.want, peer)
			must.Eq(t, tt.want.IsValid(), ok)
		})
	}
}

// TestNoteReachability checks that each loss and each return of another instance is reported once.
func TestNoteReachability(t *testing.T) {
	p := &peers{}
	to := netip.MustParseAddrPort("10.1.0.1:70")
	for _, tt := range []struct{ ok, changed bool }{
		{true, false}, {false, true}, {false, false}, {true, true}, {true, false},
	} {
		must.Eq(t, tt.changed, p.noteReachability(to, tt.ok))
	}
}
