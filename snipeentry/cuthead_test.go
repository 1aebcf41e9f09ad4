package snipeentry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// headCutter is an upstream whose answers to some requests break off in the head.
type headCutter struct {
	next http.Handler
	id   string
	// enabled is set while it cuts; at is the number of bytes that it sends, and reset is set if it resets the connection then.
	enabled, reset atomic.Bool
	at             atomic.Int64
	cuts           *atomic.Int64
}

// cutHead is the head of an answer that ends with its connection.
const cutHead = "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Snipepitch-Attempt-Id: %s\r\nX-Snipepitch-Server-Seal: %s.1\r\n\r\n"

// ServeHTTP implements http.Handler.
func (u *headCutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !u.enabled.Load() || !strings.HasSuffix(r.URL.Path, "/cut") {
		u.next.ServeHTTP(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	kind := "text/plain"
	if r.Header.Get(modelHeader) != "" {
		kind = "text/event-stream"
	}
	head := fmt.Sprintf(cutHead, kind, r.Header.Get("X-Snipepitch-Attempt-Id"), u.id)
	_, _ = io.WriteString(c, head[:min(int(u.at.Load()), len(head)-1)])
	if t, ok := c.(*net.TCPConn); ok && u.reset.Load() {
		_ = t.SetLinger(0)
	}
	u.cuts.Add(1)
	_ = c.Close()
}

// TestHeadsBreakOff guards against an upstream that stops in the middle of an answer's head, and callers that get a 200 with an
// empty or a short body, framed as whole.
func TestHeadsBreakOff(t *testing.T) {
	tests := map[string]struct {
		target string
		header []string
		whole  string // the body of the other upstream's answer; empty if it must not be asked
		byHop  bool
	}{
		"Often":      {"/often/cut", nil, "POST /often/cut text", false},
		"Once":       {"/once/cut", nil, "", false},
		"Draft":      {"/draft/cut", []string{modelHeader, "base"}, events(1), false},
		"Final":      {"/final/cut", []string{modelHeader, "base"}, "", false},
		"OftenByHop": {"/often/cut", nil, "POST /often/cut text", true},
		"FinalByHop": {"/final/cut", []string{modelHeader, "base"}, "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, cutters, cuts := startHeadCutters(t)
			one := s.addInstance("one")
			waitServing(t, one)
			if tt.byHop {
				waitServing(t, s.addInstance("other"))
				s.cut(1, linksReset)
				eventually(t, func() bool { return s.servedByHop(one, "/often/x") })
			}
			waitRetrySlack(t, s.instances)
			for at := range int64(len(cutHead) + 20) {
				for _, u := range cutters {
					u.at.Store(at)
					u.reset.Store(at%2 == 1)
					u.enabled.Store(true)
				}
				a, id := send(t, one.url, http.MethodPost, tt.target, "text", tt.header...)
				if a.err != nil {
					continue // it looks broken off
				}
				if a.status == http.StatusOK {
					must.EqOp(t, "2", a.header.Get("X-Snipepitch-Server-Seal")[1:2], must.Sprint(at))
					must.NotEq(t, "", a.body)
				}
				if tt.whole == "" {
					must.LessEq(t, 1, s.total(id))
					continue
				}
				if a.status == http.StatusOK {
					must.Eq(t, tt.whole, a.body)
				}
			}
			must.Positive(t, cuts.Load())
		})
	}
}

// startHeadCutters starts a cluster of which the first upstream of each service is a headCutter.
func startHeadCutters(t *testing.T) (s *cutCluster, cutters []*headCutter, cuts *atomic.Int64) {
	s, cuts = &cutCluster{}, &atomic.Int64{}
	s.testCluster = startTestCluster(t, time.Millisecond, twoOfEach(), func(r *snipestand.Runner) {
		u := &headCutter{next: r.Handler(), id: r.ID, cuts: cuts}
		r.Address = serve(t, u).String()
		if strings.HasSuffix(r.ID, "1") {
			cutters = append(cutters, u)
		}
	})
	s.declare(1)
	return s, cutters, cuts
}
