package snipegateway_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// TestUnpacedService holds that a service whose upstreams state three figures is served as before:
// after each of many random records, the choice is the upstream with the lowest occupancy and failure
// rate, computed here from the same records by the rule that held before paces were known.
func TestUnpacedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 5
		random := rand.New(rand.NewPCG(5, 6))
		c := newChooser(&fakeOwners{}, count)
		var ends []func()
		failures := make(map[string]float64)
		for range 2000 {
			id := engineNames(count)[random.IntN(count)]
			u := c.Directory.Snapshot().ByID(id)
			switch random.IntN(5) {
			case 0:
				c.Balancer.SetStated(id, snipebalance.StatedLoad{Running: random.IntN(64), Waiting: random.IntN(9), Slots: 64})
			case 1:
				f := c.Balancer.Start(u, snipebalance.Demand{Plain: true, PromptTokens: random.IntN(5000)})
				ends = append(ends, func() { f.End(0) })
			case 2:
				if len(ends) > 0 {
					ends[0]()
					ends = ends[1:]
				}
			case 3:
				c.Balancer.RecordAnswer(id, false)
				failures[id] *= 0.85
			case 4:
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
			if random.IntN(50) == 0 {
				c.Balancer.RecordAnswer(id, true)
				failures[id] = failures[id]*0.85 + 0.15
			}
			best, lowest := "", 0.0
			for _, u := range c.Directory.Snapshot().Service(service) {
				if cost := c.Balancer.Busy(u) + 3*failures[u.ID]; best == "" || cost < lowest {
					best, lowest = u.ID, cost
				}
			}
			choice, err := c.Choose(t.Context(), service, &snipegateway.Request{}, nil, latencyTarget)
			must.NoError(t, err)
			must.Eq(t, best, choice.Upstream.ID)
			must.Eq(t, count, choice.Holders)
		}
	})
}

// TestPacedOverload guards against requests that queue behind a long prompt while another engine is
// idle, and against loads of adapters for a delay that is shorter than the load. The engine that holds
// the adapter is left when its expected delay is at least the wait for a load, 300 ms, or when its
// memory is taken, and only for an engine that is better.
func TestPacedOverload(t *testing.T) {
	const count, memory = 6, 10_000
	home := firstInRank(t, count)
	stated := func(running int, pace float64) snipebalance.StatedLoad {
		return snipebalance.StatedLoad{Running: running, Slots: 64, Pace: pace}
	}
	tests := map[string]struct {
		work  map[string]snipebalance.Work // by engine
		pace  float64
		moved bool
	}{
		"Idle":          {nil, 1, false},
		"ShortPrompts":  {map[string]snipebalance.Work{home: {Requests: 8, PendingTokens: 8 * 650}}, 1, false},
		"LongPrompts":   {map[string]snipebalance.Work{home: {Requests: 2, PendingTokens: 18_000}}, 1, true},
		"FastEngine":    {map[string]snipebalance.Work{home: {Requests: 2, PendingTokens: 18_000}}, 0.5, false},
		"SlowEngine":    {map[string]snipebalance.Work{home: {Requests: 1, PendingTokens: 9000}}, 2, true},
		"ManyRequests":  {map[string]snipebalance.Work{home: {Requests: 60}}, 1, false},
		"MemoryTaken":   {map[string]snipebalance.Work{home: {Requests: 8, ReservedTokens: memory + 1}}, 1, true},
		"OthersTaken":   {map[string]snipebalance.Work{home: {Requests: 2, PendingTokens: 18_000}, "*": {Requests: 2, ReservedTokens: memory + 1}}, 1, false},
		"OthersDelayed": {map[string]snipebalance.Work{home: {Requests: 2, PendingTokens: 18_000}, "*": {Requests: 2, PendingTokens: 12_000}}, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChooser(&fakeOwners{}, count)
				adoptMemory(c, memory)
				c.Residency.RecordHeld(home, request.Adapter, 1)
				c.Balancer.NotePaced(service)
				for _, id := range engineNames(count) {
					w, ok := tt.work[id]
					if !ok {
						w = tt.work["*"]
					}
					c.Balancer.SetStated(id, stated(int(w.Requests), tt.pace))
					c.Balancer.SetWork(id, w.Requests, w)
				}
				choice, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, tt.moved, choice.Upstream.ID != home)
			})
		})
	}
}

// TestReservedMemory guards against requests that fill the memory of the engine with the shortest
// queue, so that it evicts prompts of running requests. The tokens to reserve are the prompt and the
// hint, at most the largest output that the caller states, or the mean output without a hint.
func TestReservedMemory(t *testing.T) {
	const memory = 3000
	tests := map[string]struct {
		request   snipegateway.Request
		stated    bool // whether the catalog states the memory
		elsewhere bool // whether the request goes to the engine with a longer queue
	}{
		"Fits":          {snipegateway.Request{PromptTokens: 500, LengthHint: 100}, true, false},
		"HintExceeds":   {snipegateway.Request{PromptTokens: 500, LengthHint: 900}, true, true},
		"HintIsBounded": {snipegateway.Request{PromptTokens: 500, LengthHint: 900, OutputTokens: 50, SizeStated: true}, true, false},
		"MeanExceeds":   {snipegateway.Request{PromptTokens: 900}, true, true},
		"Unknown":       {snipegateway.Request{PromptTokens: 500, LengthHint: 900}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newChooser(&fakeOwners{}, 2)
				if tt.stated {
					adoptMemory(c, memory)
				}
				c.Balancer.NotePaced(service)
				for n, w := range []snipebalance.Work{{Requests: 1, ReservedTokens: 2000}, {Requests: 4, PendingTokens: 3000}} {
					c.Residency.RecordHeld(engineNames(2)[n], request.Adapter, 1)
					c.Balancer.SetWork(engineNames(2)[n], w.Requests, w)
				}
				q := tt.request
				q.Adapter = request.Adapter
				choice, err := c.Choose(t.Context(), service, &q, nil, latencyTarget)
				must.NoError(t, err)
				must.Eq(t, tt.elsewhere, choice.Upstream.ID == engineNames(2)[1])
			})
		})
	}
}

// adoptMemory has the catalog state the memory of engines.
func adoptMemory(c *snipegateway.Chooser, tokens int) {
	c.Versions.Adopt(&snipecatalog.Catalog{Version: 1, Services: map[string]*snipecatalog.Service{
		service: {Name: service, Engine: &snipecatalog.Engine{MemoryTokens: tokens}},
	}})
}

// TestLoadOfOther guards against recording the load and the pace of another upstream, which has the
// address now, for the one to which the request was sent.
func TestLoadOfOther(t *testing.T) {
	for name, elsewhere := range map[string]bool{"Own": false, "Other": true} {
		t.Run(name, func(t *testing.T) {
			g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
			g.Protocol.Classify = func(*http.Response, snipegateway.Dispatch) snipegateway.AnswerState {
				return snipegateway.AnswerState{NotRun: true, Elsewhere: elsewhere, Load: &snipegateway.Load{Running: 9, Slots: 9, Pace: 3}}
			}
			sendRequest(g)
			_, _, stated := g.Balancer.Stated("e0")
			must.Eq(t, !elsewhere, stated)
			must.Eq(t, !elsewhere, g.Balancer.Paced(service))
		})
	}
}
