package snipesoak

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// TestRefusalsJudged guards against a soak that takes an upstream's own failure of a request that may be repeated for a refusal by an
// instance, or passes over a refusal without a time to come back because it bears an upstream's signature.
func TestRefusalsJudged(t *testing.T) {
	once, often := requestKinds[0], requestKinds[1]
	tests := map[string]struct {
		kind   requestKind
		header http.Header
		ran    bool
		want   []string
	}{
		"Refused":        {often, http.Header{"Retry-After": {"1"}}, false, nil},
		"WithoutTime":    {often, http.Header{}, false, []string{"a refusal tells when to come back"}},
		"UpstreamFailed": {often, http.Header{"X-Snipepitch-Server-Seal": {"p1.1"}}, true, nil},
		"NotRun":         {often, http.Header{"X-Snipepitch-Server-Seal": {"p1.1"}}, false, []string{"only an upstream's failure bears its signature"}},
		"OnceFailed": {once, http.Header{"X-Snipepitch-Server-Seal": {"p1.1"}}, true, []string{
			"a refusal tells when to come back", "told not run, was not run",
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := &snipestand.Runner{ID: "p1"}
			s := &Soak{runners: []*runner{r}, outcomes: map[string]outcome{}, Out: io.Discard}
			handler := r.Handler()
			if tt.ran {
				q, err := http.NewRequest(http.MethodPost, "/often/1", http.NoBody)
				must.NoError(t, err)
				snipestand.CallerHeader(q.Header, "1", "", requestTimeout, "")
				q.Header.Del("Authorization")
				q.Header.Set("X-Snipepitch-Tenant", workspace)
				handler.ServeHTTP(discardedAnswer{}, q)
			}
			s.checkAnswer("1", outcome{kind: tt.kind}, &http.Response{StatusCode: http.StatusServiceUnavailable, Header: tt.header}, "", nil)
			s.audit()
			var got []string
			for _, b := range s.breaches {
				got = append(got, b.Promise)
			}
			must.Eq(t, tt.want, got)
		})
	}
}

// discardedAnswer is an answer that nobody reads.
type discardedAnswer struct{}

func (discardedAnswer) Header() http.Header         { return http.Header{} }
func (discardedAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (discardedAnswer) WriteHeader(int)             {}
