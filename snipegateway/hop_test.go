package snipegateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/sniperetry"
)

// useHops has a gateway pass all requests on to peers.
func useHops(g *snipegateway.Gateway, peers ...netip.AddrPort) {
	g.Hops.Self = "entry"
	g.Hops.Unreachable = func(string) bool { return true }
	g.Hops.Peers = func() []netip.AddrPort { return peers }
	g.Hops.Links = &snipelink.Pool{
		Dial: snipelink.Dialer(), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4,
		Identifier: snipegateway.HopIdentifier, KeepAlive: func(*http.Response) time.Duration { return 0 },
	}
}

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// serveScriptsByHop does the same as serveScripts, by way of a peer.
func serveScriptsByHop(t *testing.T, u *scriptedUpstreams, route snipecatalog.Route) string {
	peer := newScriptGateway(t, u.listener.Addr().String(), route)
	entry := newScriptGateway(t, u.listener.Addr().String(), route)
	useHops(entry, addressOf(serveGateway(t, peer.ServeHop)))
	return serveGateway(t, entry.ServeHTTP).Listener.Addr().String()
}

// countedServer counts the requests to a handler.
func countedServer(t *testing.T, h http.HandlerFunc) (*httptest.Server, *atomic.Int32) {
	count := &atomic.Int32{}
	return serveGateway(t, func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		h(w, r)
	}), count
}

var onceRoute = snipecatalog.Route{}

// TestHopOnce guards against a request that is passed on twice, or in a circle, and against a peer that is
// asked though it has just said that it reaches no upstream either.
func TestHopOnce(t *testing.T) {
	u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
	one := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
	two := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
	serverOne, hopsOne := countedServer(t, one.ServeHop)
	serverTwo, hopsTwo := countedServer(t, two.ServeHop)
	useHops(one, addressOf(serverTwo))
	useHops(two, addressOf(serverOne))
	callers := serveGateway(t, one.ServeHTTP)
	for range 5 {
		got := exchangeOn(t, callers.Listener.Addr().String(), "1.1", make(chan struct{}))
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.StrContains(t, got.body, `"Outcome":"NotRun"`)
	}
	must.Eq(t, 1, hopsTwo.Load())
	must.Eq(t, 0, hopsOne.Load())
	must.SliceEmpty(t, u.requests())
}

// TestHopFailures guards against a request that runs twice, or that is reported as not run though it may have
// run, when a peer or the connection to it fails, and against one that is refused though another peer helps.
func TestHopFailures(t *testing.T) {
	silent := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	strange := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }
	tests := map[string]struct {
		route snipecatalog.Route
		first http.HandlerFunc // nil for an address that refuses connections
		want  int
		runs  int
		ran   string // the outcome of a failure
	}{
		"Refused":      {onceRoute, nil, http.StatusOK, 1, ""},
		"Broken":       {onceRoute, silent, http.StatusBadGateway, 0, "MayHaveRun"},
		"BrokenAgain":  {snipecatalog.Route{Repeat: snipecatalog.Idempotent}, silent, http.StatusOK, 1, ""},
		"Strange":      {onceRoute, strange, http.StatusBadGateway, 0, "MayHaveRun"},
		"StrangeAgain": {snipecatalog.Route{Repeat: snipecatalog.Idempotent}, strange, http.StatusOK, 1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
			helper := newScriptGateway(t, u.listener.Addr().String(), tt.route)
			entry := newScriptGateway(t, u.listener.Addr().String(), tt.route)
			var asked atomic.Int32
			useHops(entry, netip.AddrPort{})
			second := addressOf(serveGateway(t, helper.ServeHop))
			first := netip.MustParseAddrPort("127.0.0.1:1")
			if tt.first != nil {
				first = addressOf(serveGateway(t, tt.first))
			}
			// The first attempt meets the failing peer alone.
			entry.Hops.Peers = func() []netip.AddrPort {
				if asked.Add(1) == 1 {
					return []netip.AddrPort{first}
				}
				return []netip.AddrPort{second}
			}
			got := exchangeOn(t, serveGateway(t, entry.ServeHTTP).Listener.Addr().String(), "1.1", make(chan struct{}))
			must.Eq(t, tt.want, got.status, must.Sprint(got.body))
			must.Len(t, tt.runs, u.requests())
			if tt.ran != "" {
				must.StrContains(t, got.body, `"Outcome":"`+tt.ran+`"`)
			}
		})
	}
}

// TestHopSpread guards against peers that get most of the requests that others cannot serve.
func TestHopSpread(t *testing.T) {
	const peers, requests = 5, 500
	var all []netip.AddrPort
	counts := make([]*atomic.Int32, peers)
	u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
	for n := range peers {
		helper := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
		server, count := countedServer(t, helper.ServeHop)
		all, counts[n] = append(all, addressOf(server)), count
	}
	entry := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
	useHops(entry, all...)
	var next atomic.Int32
	entry.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		return snipegateway.Request{ID: strconv.Itoa(int(next.Add(1)))}, nil
	}
	for range requests {
		w, r := httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x/", http.NoBody)
		r.Host = "calls.example"
		entry.ServeHTTP(w, r)
		must.Eq(t, http.StatusOK, w.Code)
	}
	for _, c := range counts {
		must.Between(t, requests/peers/2, c.Load(), requests/peers*3/2)
	}
}

// TestHopMessage guards against a request that a peer sends on with another method, target, host, header or
// body, with more time than is left, or with the key of its caller.
func TestHopMessage(t *testing.T) {
	var lock sync.Mutex
	var got *http.Request
	var body string
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		lock.Lock()
		defer lock.Unlock()
		got, body = r, string(data)
	}))
	t.Cleanup(upstream.Close)
	target := "/x/%2F\xe4?a=%20;b"
	var left time.Duration
	prepare := func(g *snipegateway.Gateway) *snipegateway.Gateway {
		c := g.Catalog.Catalog()
		c.Workspaces = []snipecatalog.Workspace{{Name: "north", Keys: []snipecatalog.KeyDigest{snipecatalog.DigestKey("secret")}}}
		must.NoError(t, c.Index())
		g.Protocol.Prepare = func(_ http.Header, d snipegateway.Dispatch) { left = d.TimeLeft }
		return g
	}
	helper := prepare(newScriptGateway(t, upstream.Listener.Addr().String(), onceRoute))
	entry := prepare(newScriptGateway(t, upstream.Listener.Addr().String(), onceRoute))
	useHops(entry, addressOf(serveGateway(t, helper.ServeHop)))
	entry.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		time.Sleep(100 * time.Millisecond)
		return snipegateway.Request{ID: "q1", MaxWait: 2 * time.Second}, nil
	}
	helper.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		return snipegateway.Request{ID: "q1", MaxWait: 2 * time.Second}, nil
	}
	conn, err := net.Dial("tcp", serveGateway(t, entry.ServeHTTP).Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "PATCH "+target+" HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer secret\r\n"+
		"X-Own: 1\r\nX-Own: 2\r\nSnipepitch-Hop: forged\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer.StatusCode)
	must.Eq(t, "", answer.Header.Get("Snipepitch-Hop"))
	lock.Lock()
	defer lock.Unlock()
	must.Eq(t, []string{http.MethodPatch, target, "calls.example", "abc"}, []string{got.Method, got.RequestURI, got.Host, body})
	must.Eq(t, []string{"1", "2"}, got.Header.Values("X-Own"))
	for _, name := range []string{"Authorization", "Snipepitch-Hop", "Snipepitch-Hop-Id"} {
		must.Eq(t, "", got.Header.Get(name), must.Sprint(name))
	}
	must.Between(t, 1500*time.Millisecond, left, 1900*time.Millisecond)
}

// TestHopOfLeavingCaller guards against an upstream that goes on with a request whose caller has left, because
// a peer does not hear of it.
func TestHopOfLeavingCaller(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		close(began)
		<-r.Context().Done()
		close(ended)
	}))
	t.Cleanup(upstream.Close)
	route := snipecatalog.Route{Streaming: true}
	entry := newScriptGateway(t, upstream.Listener.Addr().String(), route)
	useHops(entry, addressOf(serveGateway(t, newScriptGateway(t, upstream.Listener.Addr().String(), route).ServeHop)))
	conn, err := net.Dial("tcp", serveGateway(t, entry.ServeHTTP).Listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	<-began
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	_, err = io.ReadFull(answer.Body, make([]byte, 8))
	must.NoError(t, err)
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream goes on")
	}
}

// TestHopRefusals guards against a peer that runs a request by an older catalog than its sender's, or for a
// workspace that it does not know, and against messages that no instance sends.
func TestHopRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(entry, helper *snipegateway.Gateway)
		want   int
	}{
		"Same":  {func(_, _ *snipegateway.Gateway) {}, http.StatusOK},
		"Newer": {func(_, helper *snipegateway.Gateway) { helper.Catalog.Catalog().Version = 9 }, http.StatusOK},
		"Older": {func(entry, _ *snipegateway.Gateway) { entry.Catalog.Catalog().Version = 9 }, http.StatusServiceUnavailable},
		"Stopping": {
			func(_, helper *snipegateway.Gateway) { helper.Stop.Begin(time.Now().Add(time.Minute)) },
			http.StatusServiceUnavailable,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
			helper := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
			entry := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
			useHops(entry, addressOf(serveGateway(t, helper.ServeHop)))
			tt.change(entry, helper)
			got := exchangeOn(t, serveGateway(t, entry.ServeHTTP).Listener.Addr().String(), "1.1", make(chan struct{}))
			must.Eq(t, tt.want, got.status, must.Sprint(got.body))
			if tt.want != http.StatusOK {
				must.SliceEmpty(t, u.requests())
				must.StrContains(t, got.body, `"Outcome":"NotRun"`)
			}
		})
	}
	for name, header := range map[string]string{"Empty": "", "NoBase64": "{}", "NoJSON": "YQ==", "NoFields": "e30="} {
		t.Run(name, func(t *testing.T) {
			u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
			w, r := httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/hop", http.NoBody)
			r.Header.Set("Snipepitch-Hop", header)
			newScriptGateway(t, u.listener.Addr().String(), onceRoute).ServeHop(w, r)
			must.Eq(t, http.StatusBadRequest, w.Code)
			must.SliceEmpty(t, u.requests())
		})
	}
}

// TestHopRetries guards against retries by way of peers that the retry budget does not count, and against a
// peer that spends its own.
func TestHopRetries(t *testing.T) {
	again := snipecatalog.Route{Repeat: snipecatalog.Idempotent}
	u := startScriptedUpstreams(t, []script{plain(byLength, "al").ending(cut)})
	helper := newScriptGateway(t, u.listener.Addr().String(), again)
	entry := newScriptGateway(t, u.listener.Addr().String(), again)
	useHops(entry, addressOf(serveGateway(t, helper.ServeHop)))
	address := serveGateway(t, entry.ServeHTTP).Listener.Addr().String()
	helper.Budget = noBudget
	must.Eq(t, http.StatusBadGateway, exchangeOn(t, address, "1.1", make(chan struct{})).status)
	must.Len(t, 2, u.requests())
	entry.Budget = noBudget
	must.Eq(t, http.StatusBadGateway, exchangeOn(t, address, "1.1", make(chan struct{})).status)
	must.Len(t, 3, u.requests())
}

// noBudget is a budget that permits no retry.
func noBudget(string) *sniperetry.Window {
	return &sniperetry.Window{Slack: func() float64 { return 0 }, Span: time.Minute}
}
