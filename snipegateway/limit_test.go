package snipegateway_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipesignal"
)

// announceLimit records a limit in requests per second for each of the upstreams.
func announceLimit(b *snipesignal.Tracker, perSecond float64, upstreams ...string) {
	for _, id := range upstreams {
		b.Record(id, time.Now(), snipesignal.Signal{Limit: perSecond, Limited: true})
	}
}

// TestLimitedNotChosen guards against choosing the only holder of an adapter although its limit is
// reached. While the other engines are suspect, the request is refused; later, another engine must
// load the adapter, and the limited engine must still count as a holder.
func TestLimitedNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOwners{}
		c := newChooser(o, 3)
		c.Balancer.Open = c.Signals.Open
		first, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		home := first.Upstream.ID
		announceLimit(c.Signals, 1, home)
		for _, id := range []string{"e0", "e1", "e2"} {
			if id != home {
				c.Balancer.RecordUnreached(id)
			}
		}
		_, err = c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.Error(t, err)
		time.Sleep(time.Minute)
		_, ok := c.Signals.Take(home)
		must.True(t, ok)
		other, err := c.Choose(t.Context(), service, request, nil, latencyTarget)
		must.NoError(t, err)
		must.NotEq(t, home, other.Upstream.ID)
		version, held := c.Residency.Holds(first.Upstream, request.Adapter)
		must.True(t, held && version > 0)
	})
}

// sendRequest sends a request through a gateway and returns the response.
func sendRequest(g *snipegateway.Gateway) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/x/", http.NoBody)
	r.Host = "calls.example"
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	return w
}

// TestAllLimited guards against requests that wait, or reach an upstream, although the limits of
// all upstreams are reached: each request is refused, and at most one caller for each upstream gets
// the same retry time.
func TestAllLimited(t *testing.T) {
	c := newChooser(&fakeOwners{}, 2)
	g, upstream := newGateway(t, c, nil, nil)
	announceLimit(c.Signals, 1, "e0", "e1")
	retryAfter := map[string]int{}
	for range 6 {
		w := sendRequest(g)
		must.Eq(t, http.StatusServiceUnavailable, w.Code)
		after := w.Header().Get("Retry-After")
		seconds, err := strconv.ParseFloat(after, 64)
		must.NoError(t, err)
		must.Between(t, 0.9, seconds, 5)
		retryAfter[strconv.FormatFloat(seconds, 'f', 1, 64)]++
	}
	// Each of the two upstreams takes one request in 1.1 s.
	must.Eq(t, map[string]int{"1.1": 2, "2.2": 2, "3.3": 2}, retryAfter)
	must.Eq(t, 0, upstream.Load())
}

// TestSendSlotReturned guards against the loss of a send slot that was taken for a request to an
// upstream that then could not be reached.
func TestSendSlotReturned(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	only := c.Directory.Snapshot().Service(service)[0]
	dead := map[netip.AddrPort]bool{only.Address: true}
	g, _ := newGateway(t, c, dead, nil)
	g.Protocol.Classify = func(*http.Response, snipegateway.Dispatch) snipegateway.AnswerState {
		return snipegateway.AnswerState{Signed: true, Signal: snipesignal.Signal{Limit: 1, Limited: true}}
	}
	c.Signals.Share = func(string, float64) snipesignal.Share { return snipesignal.Share{Interval: time.Hour} }
	announceLimit(c.Signals, 1, only.ID)
	must.Eq(t, http.StatusServiceUnavailable, sendRequest(g).Code)
	must.True(t, c.Signals.Open(only.ID))
	dead[only.Address] = false
	must.Eq(t, http.StatusOK, sendRequest(g).Code)
	must.False(t, c.Signals.Open(only.ID))
}

// TestAllInBackoff guards against requests that reach upstreams during the backoff that these asked
// for, or wait for its end: an upstream without a backoff receives the request, and if all
// upstreams are in backoff, the caller is refused at once with the time when the first backoff
// ends.
func TestAllInBackoff(t *testing.T) {
	c := newChooser(&fakeOwners{}, 2)
	g, upstream := newGateway(t, c, nil, nil)
	c.Signals.Record("e0", time.Now(), snipesignal.Signal{Backoff: 3 * time.Second})
	must.Eq(t, http.StatusOK, sendRequest(g).Code)
	c.Signals.Record("e1", time.Now(), snipesignal.Signal{Backoff: 2 * time.Second})
	begun := time.Now()
	w := sendRequest(g)
	must.Less(t, 500*time.Millisecond, time.Since(begun))
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 1.5, seconds, 2.1)
	must.Eq(t, 1, upstream.Load())
}

// TestBackoffKeepsResidency guards against loading an adapter again because an engine without a
// free slot asked for backoff: the adapter must not count as missing there.
func TestBackoffKeepsResidency(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	only := c.Directory.Snapshot().Service(service)[0]
	g, upstream := newGateway(t, c, nil, map[string]bool{only.ID: true})
	c.Residency.RecordHeld(only.ID, request.Adapter, 1)
	g.Catalog.Catalog().Services[service].Engine = &snipecatalog.Engine{}
	g.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		return snipegateway.Request{ID: "1", Adapter: request.Adapter}, nil
	}
	g.Protocol.Classify = func(*http.Response, snipegateway.Dispatch) snipegateway.AnswerState {
		return snipegateway.AnswerState{NotRun: true, Signal: snipesignal.Signal{Backoff: time.Second}}
	}
	must.Eq(t, http.StatusServiceUnavailable, sendRequest(g).Code)
	must.Eq(t, 1, upstream.Load())
	_, held := c.Residency.Holds(only, request.Adapter)
	must.True(t, held)
}
