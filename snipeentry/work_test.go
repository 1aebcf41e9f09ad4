package snipeentry

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// TestWorkPassedOn follows the work of one instance at an engine to the owner, from there to the
// instance that gathers the loads, and to a third instance. It guards against a prompt that counts at
// the others after its first event, and against a pace that seems new after each message.
func TestWorkPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := &snipedirectory.Cache{}
		u := &snipedirectory.Upstream{ID: "e1", Name: "e1", Service: "s", Slots: 16}
		directory.Apply(snipedirectory.Change{Whole: true, Changed: []*snipedirectory.Upstream{u}})
		newInstance := func() *Instance {
			return &Instance{balancer: &snipebalance.Balancer{}, residency: &snipeadapter.Residency{}, directory: directory}
		}
		sender, gatherer, third := newInstance(), newInstance(), newInstance()
		owner := &peerServer{controller: &snipeadapter.Controller{}, board: &snipebalance.Board{}}
		pass := func() snipebalance.LoadReport {
			use := sender.encodeUse(u.ID, nil)
			load, w := decodeWork(use, nil)
			owner.board.ReportWork(u.ID, "sender", load, w)
			time.Sleep(100 * time.Millisecond)
			total := owner.board.Totals()[u.ID]
			gatherer.applyReport(&snipeproto.AdapterReportResponse{Loads: []*snipeproto.EngineLoad{encodeLoad(u.ID, total.Load, total.Work)}})
			time.Sleep(100 * time.Millisecond)
			answer, err := (&peerServer{balancer: gatherer.balancer, signals: &snipesignal.Tracker{}, brittle: &snipesignal.BrittleTracker{}}).Loads(t.Context(), nil)
			must.NoError(t, err)
			must.Len(t, 1, answer.GetLoads())
			l := answer.GetLoads()[0]
			load, w = decodeWork(l, nil)
			third.notePaced(u.ID, w)
			return snipebalance.LoadReport{ID: u.ID, Load: load, Age: milliseconds(l.GetAgeMilliseconds()), Work: w}
		}
		flight := sender.balancer.Start(u, snipebalance.Demand{PromptTokens: 9000, ReservedTokens: 9200})
		stated := time.Now()
		sender.balancer.NotePaced("s")
		sender.balancer.SetStated(u.ID, snipebalance.StatedLoad{Running: 1, Slots: 16, Pace: 1.5})
		must.Eq(t, snipebalance.LoadReport{ID: "e1", Load: 10, Age: 100 * time.Millisecond, Work: snipebalance.Work{
			Requests: 1, PendingTokens: 9000, ReservedTokens: 9200, Pace: 1.5, PacedAt: stated,
		}}, pass())
		must.True(t, third.balancer.Paced("s"))
		must.Eq(t, snipebalance.Work{}, gatherer.balancer.OwnWork(u.ID), must.Sprint("others' pace is not reported"))
		flight.First()
		r := pass()
		must.Eq(t, 0, r.Work.PendingTokens)
		must.Eq(t, 9200, r.Work.ReservedTokens)
		must.Eq(t, 10, r.Load, must.Sprint("the load of an older instance's choice is as before"))
		flight.End(200)
		r = pass()
		must.Eq(t, 0, r.Load)
		must.Eq(t, 0, r.Work.ReservedTokens)
	})
}

// TestMalformedLoad guards against loads of messages that are no numbers or out of range: sums with them
// would make an engine seem idle or full until its reports end.
func TestMalformedLoad(t *testing.T) {
	for name, load := range map[string]float64{"NaN": math.NaN(), "Infinite": math.Inf(1), "Negative": -5} {
		t.Run(name, func(t *testing.T) {
			ignored := 0
			owner := &peerServer{controller: &snipeadapter.Controller{}, board: &snipebalance.Board{}, ignoredWork: func() { ignored++ }}
			for instance, l := range map[string]float64{"a": load, "b": 2} {
				owner.recordUse(instance, &snipeproto.EngineUse{Engine: "e1", Load: l, Requests: 1}, &snipeproto.AdapterReportResponse{})
			}
			total := owner.board.Totals()["e1"]
			must.Eq(t, 2, total.Load)
			must.Eq(t, 1, total.Work.Requests)
			must.Eq(t, 1, ignored)
		})
	}
}

// TestDecodeWork guards against figures of a message that would make an engine seem idle or full for
// ever: they are ignored and counted, and the load of the message still counts.
func TestDecodeWork(t *testing.T) {
	tests := map[string]struct {
		message *snipeproto.EngineUse
		ignored bool
	}{
		"Older":       {&snipeproto.EngineUse{Load: 3}, false},
		"Full":        {&snipeproto.EngineUse{Load: 3, Requests: 2, PendingTokens: 1000, ReservedTokens: 1200, PacePercent: 120}, false},
		"Negative":    {&snipeproto.EngineUse{Load: 3, Requests: 2, PendingTokens: -9}, true},
		"Huge":        {&snipeproto.EngineUse{Load: 3, Requests: 2, ReservedTokens: math.MaxInt64}, true},
		"AbsurdPace":  {&snipeproto.EngineUse{Load: 3, Requests: 2, PacePercent: math.MaxInt64}, true},
		"NegativeAge": {&snipeproto.EngineUse{Load: 3, Requests: 2, PacePercent: 100, PaceAgeMilliseconds: math.MinInt64}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ignored := 0
			load, w := decodeWork(tt.message, func() { ignored++ })
			must.Eq(t, 3, load)
			must.Eq(t, tt.ignored, ignored == 1)
			must.True(t, w.Valid())
			must.Eq(t, tt.ignored, w == snipebalance.Work{} && name != "Older")
		})
	}
}
