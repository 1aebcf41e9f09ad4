package snipeupstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

const sampleReport = `# HELP vllm:num_requests_running Number of requests in model execution batches.
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{engine="0",model_name="base-1"} 3
vllm:num_requests_running{engine="1",model_name="base-1"} 1
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{engine="0",model_name="base-1"} 2
# TYPE vllm:lora_requests_info gauge
vllm:lora_requests_info{max_lora="8",running_lora_adapters="old",waiting_lora_adapters=""} 1.7e+09
vllm:lora_requests_info{max_lora="8",running_lora_adapters="t/a@1#1.2.3,t/b@1#1.3.3",waiting_lora_adapters="t/c@1#1.4.3"} 1.8e+09
# TYPE process_start_time_seconds gauge
process_start_time_seconds 1.7e+09
`

// newEngine returns the client of an engine that h serves.
func newEngine(t *testing.T, h http.Handler) *Engine {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return &Engine{Name: "e1", Address: address, Pooled: server.Client(), Fresh: server.Client(), Progress: time.Minute}
}

// TestReport guards against a report that is misread, and against a partial one that counts as whole.
func TestReport(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   Report
		err    error
	}{
		"all": {
			status: http.StatusOK, body: sampleReport,
			want: Report{
				Started: time.Unix(1_700_000_000, 0), Running: 4, Waiting: 2, BusyKnown: true,
				Busy: map[string]bool{"t/a@1#1.2.3": true, "t/b@1#1.3.3": true, "t/c@1#1.4.3": true},
			},
		},
		"no adapters told": {status: http.StatusOK, body: "# TYPE x gauge\nx 1\n"},
		"not metrics":      {status: http.StatusOK, body: "{", err: ErrReport},
		"refused":          {status: http.StatusServiceUnavailable, err: ErrReport},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			got, err := e.Report(t.Context())
			must.ErrorIs(t, err, c.err)
			must.Eq(t, c.want, got)
		})
	}
}

// TestSimulatedEngineReport checks that the client can read the list of models and the metrics of the
// engine that snipestand simulates.
func TestSimulatedEngineReport(t *testing.T) {
	e := newEngine(t, (&snipestand.Engine{Slots: 1, Batch: 1, TokenTime: 10 * time.Millisecond}).Handler())
	must.NoError(t, e.Load(t.Context(), "t/a@1#1.1.3", "p", 1))
	must.ErrorIs(t, e.Load(t.Context(), "t/b@1#1.2.3", "p", 1), ErrOrderRefused)
	names, err := e.Aliases(t.Context())
	must.NoError(t, err)
	must.Eq(t, []string{"t/a@1#1.1.3"}, names)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(CompletionsPath),
		strings.NewReader(`{"model":"t/a@1#1.1.3","prompt":"x","max_tokens":1000}`))
	must.NoError(t, err)
	response, err := e.Pooled.Do(r)
	must.NoError(t, err)
	defer closeBody(response)
	defer cancel()
	report, err := e.Report(t.Context())
	must.NoError(t, err)
	must.True(t, report.Busy["t/a@1#1.1.3"])
	must.Eq(t, 1, report.Running+report.Waiting)
	must.False(t, report.Started.IsZero())
}
