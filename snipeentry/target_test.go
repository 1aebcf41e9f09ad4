package snipeentry_test

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// targetRecorder records the targets of the requests that reach an upstream.
type targetRecorder struct {
	lock    sync.Mutex // guards targets
	targets []string
}

func (r *targetRecorder) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.lock.Lock()
		r.targets = append(r.targets, q.RequestURI)
		r.lock.Unlock()
		next.ServeHTTP(w, q)
	})
}

func (r *targetRecorder) has(target string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Contains(r.targets, target)
}

// TestTargetsUnchanged guards against a request that runs with another path or query than its caller sent, here or by a
// hop.
func TestTargetsUnchanged(t *testing.T) {
	recorder := &targetRecorder{}
	runners := []*snipestand.Runner{{ID: "p1", Service: "plain"}, {ID: "e1", Service: "engines", Model: "base"}}
	s := startTestCluster(t, time.Millisecond, runners, func(r *snipestand.Runner) {
		r.Address = serve(t, recorder.handler(r.Handler())).String()
	})
	must.NoError(t, s.store.Put("op", "config", object{
		"version": 1,
		"routes": []object{{
			"name": "all", "host": host, "prefix": "/", "routeKind": "idempotent", "service": "plain", "timeoutMs": 8000, "targetLatencyMs": 3000, "maxAttempts": 2,
		}},
		"services": []object{{"name": "plain", "healthPath": "/healthz"}},
		"limits":   object{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
	}))
	links := &cutLinks{}
	s.dial = links.dial
	i := s.start("i0")
	s.dial = nil
	other := s.start("i1")
	for _, i := range []*instance{i, other} {
		eventually(t, i.isReady)
		eventually(t, func() bool { a, _ := send(t, i.url, http.MethodGet, "/ready", ""); return a.status == http.StatusOK })
	}
	check := func(way string) {
		for _, target := range []string{"//orders/17", "///a//b?c=//d", "//" + way, "/a//b", "/%2F?x=%20", "/a;b"} {
			target += way
			status := sendTarget(t, i.Settings.Callers.String(), target)
			must.EqOp(t, http.StatusOK, status, must.Sprint(target))
			must.True(t, recorder.has(target), must.Sprint(target, " reached the upstream as another one"))
		}
	}
	check("direct")
	links.set(linksReset)
	eventually(t, func() bool {
		send(t, i.url, http.MethodGet, "/cut", "")
		return strings.Contains(other.metrics(), `role="Served"`)
	})
	check("hop")
}

// sendTarget sends a request with a target, byte for byte, and returns the status of the answer.
func sendTarget(t *testing.T, address, target string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Snipepitch-Attempt-Id: %s\r\nX-Snipepitch-Deadline-Ms: 4000\r\n\r\n", target, host, rand.Text())
	must.NoError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	_ = a.Body.Close()
	return a.StatusCode
}
