package snipeentry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// promises are the statuses after which a caller repeats a request that must run once.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// TestRunIsNotPromisedAway guards against requests that must run once and run twice: an upstream that has begun to work
// fails with a status that promises its caller that nothing has run, and the caller repeats the request.
func TestRunIsNotPromisedAway(t *testing.T) {
	tests := map[string]struct {
		target string
		header []string
		// byHop is set if the instance that the caller asks reaches no upstream.
		byHop bool
	}{
		"Plain":       {"/once/x", nil, false},
		"Stream":      {"/final/x", []string{modelHeader, "base"}, false},
		"PlainByHop":  {"/once/x", nil, true},
		"StreamByHop": {"/final/x", []string{modelHeader, "base"}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &cutCluster{testCluster: newTestCluster(t, time.Millisecond)}
			s.declare(1)
			asked := s.addInstance("asked")
			waitServing(t, asked)
			waitServing(t, s.addInstance("peer"))
			if tt.byHop {
				s.cut(1, linksReset)
				eventually(t, func() bool { return s.servedByHop(asked, tt.target, tt.header...) })
			}
			s.faults.Set(snipestand.RunnerBusyErrors, 1)
			a, id := send(t, asked.url, http.MethodPost, tt.target, "text", tt.header...)
			must.Eq(t, 1, s.total(id))
			must.SliceNotContains(t, promises, a.status, must.Sprint(a.body))
			must.Eq(t, http.StatusBadGateway, a.status)
			must.Eq(t, "", a.header.Get("X-Snipepitch-Server-Seal"))
		})
	}
}

// servedByHop sends a request to an instance that is cut off from upstreams, and reports whether it was served.
func (s *cutCluster) servedByHop(i *instance, target string, header ...string) bool {
	a, _ := send(s.t, i.url, http.MethodPost, target, "text", header...)
	return a.status == http.StatusOK
}
