package snipegateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/sniperetry"
	"snipepitch.example/snipepitch/snipesignal"
)

// TestDeadUpstreams guards against requests that fail when many upstreams crash at once: while the
// retry budget is empty, a request is still sent again after attempts that could not connect. After
// an upstream received and refused the request, another attempt needs budget.
func TestDeadUpstreams(t *testing.T) {
	tests := map[string]struct {
		dead, refusing int
		want           int
	}{
		"AllWork":  {0, 0, http.StatusOK},
		"MostDead": {10, 0, http.StatusOK},
		"Refused":  {0, 11, http.StatusServiceUnavailable},
		"AllDead":  {12, 0, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const count = 12
			c := newChooser(&fakeOwners{}, count)
			dead := map[netip.AddrPort]bool{}
			refusing := map[string]bool{}
			for n, u := range c.Directory.Snapshot().Service(service) {
				if n < tt.dead {
					dead[u.Address] = true
				} else if n < tt.dead+tt.refusing {
					refusing[u.ID] = true
				}
			}
			g, upstream := newGateway(t, c, dead, refusing)
			r := httptest.NewRequest(http.MethodPost, "/x/", http.NoBody)
			r.Host = "calls.example"
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			must.Eq(t, tt.want, w.Code)
			must.LessEq(t, 1, upstream.Load())
		})
	}
}

// TestNoFreeSlot guards against a retry time above the latency target, and against a second
// attempt, after the only upstream of a service refused a request for lack of a free slot.
func TestNoFreeSlot(t *testing.T) {
	chooser := newChooser(&fakeOwners{}, 1)
	only := chooser.Directory.Snapshot().Service(service)[0].ID
	g, upstream := newGateway(t, chooser, nil, map[string]bool{only: true})
	g.Catalog.Catalog().Routes[0].Target = 400 * time.Millisecond
	g.Budget = func(string) *sniperetry.Window {
		return &sniperetry.Window{Share: 1, Slack: func() float64 { return 100 }, Span: time.Minute}
	}
	r := httptest.NewRequest(http.MethodPost, "/x/", http.NoBody)
	r.Host = "calls.example"
	w := httptest.NewRecorder()
	g.ServeHTTP(w, r)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, 1, upstream.Load())
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 0.2, seconds, 0.4)
}

// newGateway returns a gateway whose upstreams are all served by one server and whose retry budget
// is empty, and the number of requests that the server has received. Addresses in dead cannot be
// connected to, and upstreams in refusing state that they did not run the request.
func newGateway(t *testing.T, c *snipegateway.Chooser, dead map[netip.AddrPort]bool, refusing map[string]bool) (*snipegateway.Gateway, *atomic.Int32) {
	received := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		if refusing[r.Header.Get("Expect-Upstream")] {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(server.Close)
	budget := &sniperetry.Window{Slack: func() float64 { return 0 }, Span: time.Minute}
	catalog := &snipecatalog.Cache{}
	routes := &snipecatalog.Catalog{
		Version: 1, Services: map[string]*snipecatalog.Service{service: {}},
		Routes: []snipecatalog.Route{{
			Name: "x", Host: "calls.example", Prefix: "/x/", Timeout: time.Minute, MaxAttempts: 2,
			Backends: []snipecatalog.Backend{{Service: service, Weight: 1}},
		}},
	}
	must.NoError(t, routes.Index())
	catalog.Adopt(routes)
	c.Balancer = &snipebalance.Balancer{Open: c.Signals.Open}
	return &snipegateway.Gateway{
		Catalog: catalog, Chooser: c, Balancer: c.Balancer, Signals: c.Signals, Brittle: &snipesignal.BrittleTracker{}, Log: snipelog.Discard(), Meter: snipemeter.New(),
		Links: &snipelink.Pool{
			Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
				if dead[to] {
					return nil, errors.New("refused")
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", server.Listener.Addr().String())
			},
			DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4,
			KeepAlive: func(*http.Response) time.Duration { return 0 },
		},
		Protocol: snipegateway.Protocol{
			Decode:  func(*http.Request) (snipegateway.Request, error) { return snipegateway.Request{ID: "1"}, nil },
			Prepare: func(h http.Header, d snipegateway.Dispatch) { h.Set("Expect-Upstream", d.Upstream.ID) },
			Classify: func(a *http.Response, _ snipegateway.Dispatch) snipegateway.AnswerState {
				return snipegateway.AnswerState{Signed: true, NotRun: a.StatusCode != http.StatusOK}
			},
			Sign: func(http.Header, string) {},
		},
		Budget:   func(string) *sniperetry.Window { return budget },
		Outdated: func() bool { return false }, WaitForStart: func(context.Context) {},
	}, received
}
