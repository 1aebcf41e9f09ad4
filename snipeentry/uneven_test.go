package snipeentry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPacedUpstreams guards against paces that are decoded and not used, against loads of upstreams
// that make a service without a pace one with a pace, and against malformed ones that fail requests.
// The log line of a request has its expected time if the upstreams state a pace.
func TestPacedUpstreams(t *testing.T) {
	tests := map[string]struct {
		load    string
		pace    string // in the log; empty if there is none
		ignored bool   // whether the loads are counted as ignored
	}{
		"Four":      {"1,0,8,150", `"Pace":1.`, false},
		"More":      {"1,0,8,150,7,x", `"Pace":1.`, false},
		"Three":     {"1,0,8", "", false},
		"Malformed": {"1,0,8,-150", "", true},
		"Huge":      {strings.Repeat("9", 4000) + ",0,8,150", "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, time.Millisecond)
			for _, r := range s.runners {
				r.Load = tt.load
			}
			s.declare(1)
			one := s.start("one")
			waitServing(t, one)
			stated := func(target string, header ...string) bool {
				a, id := send(t, one.url, http.MethodPost, target, "", header...)
				must.Eq(t, http.StatusOK, a.status, must.Sprint(a.body))
				eventually(t, func() bool { return s.ended(id) != "" })
				line := s.ended(id)
				return tt.pace != "" && strings.Contains(line, tt.pace) && strings.Contains(line, `"ExpectedMilliseconds":`)
			}
			engine := []string{modelHeader, "base", "X-Snipepitch-Token-Usage", "9000,6", "X-Snipepitch-Length-Hint", "6"}
			if tt.pace == "" {
				must.False(t, stated("/often/x"))
				must.False(t, stated("/final/x", engine...))
			} else {
				eventually(t, func() bool { return stated("/often/x") && stated("/final/x", engine...) })
			}
			text := one.metrics()
			must.NotEq(t, "", text)
			must.Eq(t, tt.ignored, !strings.Contains(text, "snipepitch_ignored_headers_total{header=\"Load\"} 0\n"))
		})
	}
}

// ended returns the log line of a request's end; empty if there is none yet.
func (s *testCluster) ended(id string) string {
	for line := range strings.Lines(s.logged()) {
		if strings.Contains(line, id) && strings.Contains(line, `"RequestEnded"`) {
			return line
		}
	}
	return ""
}
