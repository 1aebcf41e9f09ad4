package snipeentry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// TestEndToEnd runs a caller, one instance, upstreams and the store together. Subtests check what
// callers receive, and how often the upstreams execute each request.
func TestEndToEnd(t *testing.T) {
	s := newTestCluster(t, time.Millisecond)
	one := s.start("one")
	eventually(t, func() bool {
		a, _ := send(t, one.url, http.MethodPost, "/once/x", "")
		return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	})
	must.False(t, one.isReady())
	s.declare(1)
	waitServing(t, one)

	t.Run("ByteForByte", func(t *testing.T) {
		const target = "/once/%2F%41/..//x?a=%20+b;&&"
		a, id := send(t, one.url, http.MethodPost, target, "the body")
		must.Eq(t, http.StatusOK, a.status)
		must.Eq(t, "POST "+target+" the body", a.body)
		must.Eq(t, 1, s.total(id))
	})
	t.Run("Refusals", func(t *testing.T) { refusals(t, one) })
	t.Run("Faults", func(t *testing.T) { faults(t, s, one) })
	t.Run("Stream", func(t *testing.T) {
		eventually(t, func() bool {
			a, id := send(t, one.url, http.MethodPost, "/draft/x", "", modelHeader, "base/a7")
			return a.status == http.StatusOK && a.body == events(1) && s.total(id) == 1
		})
	})
	t.Run("ResumedByCaller", func(t *testing.T) {
		a, _ := send(t, one.url, http.MethodPost, "/draft/x", "", modelHeader, "base/a7", "Last-Event-Id", "4")
		must.Eq(t, events(5), a.body)
	})
	t.Run("NewVersion", func(t *testing.T) {
		for _, r := range s.runners {
			r.SetNewestVersion("a7", 2)
		}
		must.NoError(t, s.store.Put("op", "version/base.a7", object{"model": "base", "adapter": "a7", "version": 2}))
		eventually(t, func() bool {
			all := strings.Join(append(s.runners["e1"].Held(), s.runners["e2"].Held()...), " ")
			return strings.Contains(all, "a7@2") && !strings.Contains(all, "a7@1")
		})
	})
	t.Run("Leaving", func(t *testing.T) {
		s.runners["p1"].Drain()
		eventually(t, func() bool { return strings.Contains(s.logged(), `"Name":"UpstreamLeaving"`) })
		before := len(s.runners["p1"].RunCounts())
		for range 10 {
			a, _ := send(t, one.url, http.MethodGet, "/often/x", "")
			must.Eq(t, http.StatusOK, a.status)
		}
		must.Eq(t, before, len(s.runners["p1"].RunCounts()))
	})
}

func refusals(t *testing.T, one *instance) {
	tests := map[string]struct {
		target, body string
		header       []string
		want         int
	}{
		"UnknownPrefix": {"/other/x", "", nil, http.StatusNotFound},
		"UnknownHost":   {"/once/x", "", []string{"Host", "x"}, http.StatusOK},
		"NoIdentifier":  {"/once/x", "", []string{"X-Snipepitch-Attempt-Id", ""}, http.StatusBadRequest},
		"BadDeadline":   {"/once/x", "", []string{"X-Snipepitch-Deadline-Ms", "soon"}, http.StatusBadRequest},
		"BadTokens":     {"/draft/x", "", []string{"X-Snipepitch-Token-Usage", "many"}, http.StatusBadRequest},
		"BadParts":      {"/draft/x", "", []string{"X-Snipepitch-Prompt-Prefix", "ab:x"}, http.StatusBadRequest},
		"TooLarge":      {"/once/x", strings.Repeat("x", 1<<20+1), nil, http.StatusRequestEntityTooLarge},
		"Reserved":      {"/once/x", "", []string{"X-Snipepitch-Expect-Instance", "nobody", "X-Snipepitch-Hold", "h"}, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := send(t, one.url, http.MethodPost, tt.target, tt.body, tt.header...)
			if a.err != nil && tt.want == http.StatusRequestEntityTooLarge {
				return // refused while the body was being sent
			}
			must.Eq(t, tt.want, a.status, must.Sprint(a.body))
			must.Less(t, 1000, len(a.body))
		})
	}
}

// faults checks what callers receive when upstreams fail, and how often the requests are executed.
func faults(t *testing.T, s *testCluster, one *instance) {
	tests := map[string]struct {
		target, service string
		fault           snipestand.RunnerFault
		times           int
		status          int // 0: the answer is cut off
		body            string
		ran             int
	}{
		"OnceErrors":    {"/once/x", "plain", snipestand.RunnerErrors, 2, 500, "", 1},
		"OnceSheds":     {"/once/x", "plain", snipestand.RunnerRefuses, 1, 200, "POST /once/x ", 1},
		"OnceResets":    {"/once/x", "plain", snipestand.RunnerResets, 2, 502, "", 1},
		"OnceTears":     {"/once/x", "plain", snipestand.RunnerTruncates, 2, 502, "", 1},
		"OnceForeign":   {"/once/x", "plain", snipestand.RunnerWrongID, 2, 502, "", 1},
		"OnceUnsealed":  {"/once/x", "plain", snipestand.RunnerUnsigned, 2, 502, "", 1},
		"OftenErrors":   {"/often/x", "plain", snipestand.RunnerErrors, 2, 500, "", 2},
		"OftenResets":   {"/often/x", "plain", snipestand.RunnerResets, 2, 502, "", 2},
		"DraftTears":    {"/draft/x", "engines", snipestand.RunnerTruncates, 1, 200, events(1), 2},
		"DraftResets":   {"/draft/x", "engines", snipestand.RunnerResets, 1, 200, events(1), 2},
		"FinalTears":    {"/final/x", "engines", snipestand.RunnerTruncates, 2, 0, "", 1},
		"FinalUnsealed": {"/final/x", "engines", snipestand.RunnerUnsigned, 2, 502, "", 1},
	}
	waitRetrySlack(t, []*instance{one})
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var header []string
			if tt.service == "engines" {
				header = []string{modelHeader, "base"}
			}
			s.faults.Set(tt.fault, tt.times)
			a, id := send(t, one.url, http.MethodPost, tt.target, "", header...)
			s.faults.Set(snipestand.RunnerNoFault, 0)
			if tt.status == 0 {
				must.Error(t, a.err)
			} else {
				must.Eq(t, tt.status, a.status, must.Sprint(a.body))
			}
			if tt.body != "" {
				must.Eq(t, tt.body, a.body)
			}
			must.Eq(t, tt.ran, s.total(id))
		})
	}
}
