package snipeentry_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	// maxSpilled bounds the bytes of one answer without an end that may leave its upstream: what an instance reads at
	// most, and what the kernels hold.
	maxSpilled = snipelink.DefaultHeadBound + 8<<20
	// spilled is what an upstream writes of one answer before it gives up.
	spilled = 64 << 20
)

// spill is an answer that does not end.
type spill struct {
	// path is a part of the paths of the requests that are answered so.
	path string
	// begin returns the beginning of the answer of an upstream to a request, and more is what follows it again and again.
	begin func(id string, r *http.Request) string
	more  string
}

// spiller is an upstream that answers some requests with bytes that do not end.
type spiller struct {
	spill
	next http.Handler
	id   string
	// enabled is set while it does so, most is the largest number of bytes that was taken from one answer, and answers
	// counts them.
	enabled       atomic.Bool
	most, answers atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *spiller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.enabled.Load() || !strings.Contains(r.URL.Path, s.path) {
		s.next.ServeHTTP(w, r)
		return
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	s.answers.Add(1)
	s.write(c, s.begin(s.id, r))
}

func (s *spiller) write(c net.Conn, begin string) {
	_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	sent, err := c.Write([]byte(begin))
	part := bytes.Repeat([]byte(s.more), 64<<10/len(s.more))
	for n := 0; err == nil && sent < spilled; sent += n {
		n, err = c.Write(part)
	}
	for most := s.most.Load(); int64(sent) > most && !s.most.CompareAndSwap(most, int64(sent)); most = s.most.Load() {
	}
}

func beginNothing(string, *http.Request) string { return "" }

// beginEvent begins a stream and an event of it.
func beginEvent(id string, r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Snipepitch-Attempt-Id: %s\r\nX-Snipepitch-Server-Seal: %s.1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
		r.Header.Get("X-Snipepitch-Attempt-Id"), id)
}

func beginHeader(string, *http.Request) string { return "HTTP/1.1 200 OK\r\nX-Long: " }

func beginReport(string, *http.Request) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"seq\":0,\"models\":["
}

// spillCluster is a cluster of which the first upstream of each service is a spiller.
type spillCluster struct {
	*testCluster
	spillers []*spiller
	// instance is asked by callers. Its links to upstreams can be cut. other is another one.
	instance, other *instance
	links           *cutLinks
}

// startSpillCluster starts such a cluster; early is set if the upstreams spill from the beginning on.
func startSpillCluster(t *testing.T, a spill, early bool) *spillCluster {
	s := &spillCluster{links: &cutLinks{}}
	s.testCluster = startTestCluster(t, time.Millisecond, twoOfEach(), func(r *snipestand.Runner) {
		u := &spiller{spill: a, next: r.Handler(), id: r.ID}
		r.Address = serve(t, u).String()
		if strings.HasSuffix(r.ID, "1") {
			s.spillers = append(s.spillers, u)
			u.enabled.Store(early)
		}
	})
	s.declare(1)
	s.dial = s.links.dial
	s.instance = s.start("i0")
	s.dial = nil
	s.other = s.start("i1")
	waitServing(t, s.instance)
	waitServing(t, s.other)
	waitRetrySlack(t, []*instance{s.instance, s.other})
	for _, u := range s.spillers {
		u.enabled.Store(true)
	}
	return s
}

// cutOff cuts the instance off from all upstreams, and waits until its requests go by hops.
func (s *spillCluster) cutOff() {
	s.links.set(linksReset)
	eventually(s.t, func() bool {
		send(s.t, s.instance.url, http.MethodGet, "/often/x", "")
		return strings.Contains(s.other.metrics(), `role="Served"`)
	})
}

// answers returns the number of answers without an end so far.
func (s *spillCluster) answers() (n int64) {
	for _, u := range s.spillers {
		n += u.answers.Load()
	}
	return n
}

// TestEndlessAnswers guards against answers that do not end, which took as much memory as the upstream sent: for callers'
// requests, by a hop, and for orders and reports. A request that may be repeated must be served by another upstream,
// one that may not must be answered, and both soon.
func TestEndlessAnswers(t *testing.T) {
	const report = "/api/report"
	tests := map[string]struct {
		spill
		target string
		part   string // in the metrics; empty for none
	}{
		"Line":       {spill{path: "/often/", begin: beginNothing, more: "x"}, "/often/x", ""},
		"Header":     {spill{path: "/often/", begin: beginHeader, more: "x"}, "/often/x", "Head"},
		"ManyFields": {spill{path: "/often/", begin: beginHeader, more: "x\r\na:"}, "/often/x", "Head"},
		"Once":       {spill{path: "/once/", begin: beginHeader, more: "x"}, "/once/x", "Head"},
		"Hop":        {spill{path: "/often/", begin: beginHeader, more: "x"}, "/often/x", "Head"},
		"StreamHead": {spill{path: "/draft/", begin: beginHeader, more: "x"}, "/draft/x", "Head"},
		"Event":      {spill{path: "/draft/", begin: beginEvent, more: "x"}, "/draft/x", "Event"},
		"EventLines": {spill{path: "/draft/", begin: beginEvent, more: "x\ndata: "}, "/draft/x", "Event"},
		"Order":      {spill{path: "/api/order", begin: beginHeader, more: "x"}, "/draft/adapter", "Answer"},
		"OrderBody":  {spill{path: "/api/order", begin: beginReport, more: "{},"}, "/draft/adapter", "Answer"},
		"Report":     {spill{path: report, begin: beginReport, more: "{},"}, "/draft/adapter", "Answer"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Reports are read when an instance begins to own an engine.
			s := startSpillCluster(t, tt.spill, tt.path == report)
			if name == "Hop" {
				s.cutOff()
			}
			least := 20
			if tt.part == "Answer" {
				least = 3 // each waits for orders that are not answered
			}
			for n := 0; n < 200 && (n < least || s.answers() == 0); n++ {
				s.sendSpilled(tt.target, n)
			}
			must.Positive(t, s.answers())
			for _, u := range s.spillers {
				must.LessEq(t, maxSpilled, u.most.Load())
			}
			if tt.part != "" {
				counter := `snipepitch_answers_too_large_total{part="` + tt.part + `"}`
				eventually(t, func() bool { return strings.Contains(s.instance.metrics()+s.other.metrics(), counter) })
				must.StrContains(t, s.logged(), `"AnswerTooLarge"`)
			}
		})
	}
}

// sendSpilled sends a request whose upstream may answer without an end, and checks the answer to the caller, which must come
// within the target of the route and not at the deadline.
func (s *spillCluster) sendSpilled(target string, n int) {
	t, i := s.t, s.instance
	t.Helper()
	header := []string{modelHeader, "base"}
	if target == "/draft/adapter" {
		header = []string{modelHeader, fmt.Sprintf("base/a%d", n%40)}
	}
	begun := time.Now()
	a, _ := send(t, i.url, http.MethodPost, target, "", header...)
	must.NoError(t, a.err)
	must.Less(t, 4096, len(a.body))
	switch target {
	case "/once/x": // it may have run
		must.SliceContains(t, []int{http.StatusOK, http.StatusBadGateway}, a.status)
	case "/draft/adapter":
		// Orders that are not answered hold their engine up; the other one may be full.
		must.SliceContains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, a.status)
	default:
		must.EqOp(t, http.StatusOK, a.status, must.Sprint(a.body))
	}
	if target != "/draft/adapter" {
		must.Less(t, s.target, time.Since(begun))
	}
}
