package snipereplay_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipereplay"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetrace"
)

// system is a fake of the serving layer and its upstreams: one function answers
// every request.
type system func(r *http.Request) (*http.Response, error)

func (s system) RoundTrip(r *http.Request) (*http.Response, error) { return s(r) }

const timeout = snipejson.Duration(10 * time.Second)

var (
	streamed = snipetrace.Record{Team: "t", Model: "a@1", Path: "t/a/1", Prompt: "p", MaxTokens: 3, Stream: true, Timeout: timeout}
	whole    = snipetrace.Record{Team: "t", Model: "a@1", Path: "t/a/1", Prompt: "p", MaxTokens: 3, Timeout: timeout}
	unknown  = snipetrace.Record{Team: "t", Model: "b@1", Code: "UnknownAdapter", Prompt: "p", Timeout: timeout}
	keyed    = snipetrace.Record{Team: "t", Service: "s", Key: "k", Prompt: "p", Timeout: timeout}
	crashing = snipetrace.Record{Team: "t", Model: "a@1", Path: "t/a/1", Prompt: "p", MaxTokens: 3, Crashes: true, Timeout: timeout}
	keyless  = snipetrace.Record{Team: "t", Service: "s", Prompt: "p", Timeout: timeout}

	errDial = &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	errCut  = errors.New("connection reset")
)

func answer(status int, body, adapter string) (*http.Response, error) {
	h := http.Header{"X-Request-Id": {"r1"}}
	if adapter != "" {
		h.Set("Snipe-Adapter", adapter)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func failure(kind error, outcome snipeerror.Outcome) (*http.Response, error) {
	f := snipeerror.New(kind, outcome, "for a test")
	return answer(f.Status(), string(f.Encode("r1")), "")
}

// stream returns the answer of an adapter as a stream of events; edit may corrupt them.
func stream(path, model string, edit func(events []string) []string) (*http.Response, error) {
	var events []string
	tokens := snipestand.Answer(path, "p", 3)
	for n, token := range tokens {
		reason := "null"
		if n == len(tokens)-1 {
			reason = `"stop"`
		}
		events = append(events, fmt.Sprintf(`data: {"model":%q,"choices":[{"text":%q,"finish_reason":%s}]}`, model, token, reason))
	}
	events = append(events, "data: [DONE]")
	for n := range events {
		events[n] = fmt.Sprintf("id: %d\n%s\n\n", n+1, events[n])
	}
	return answer(http.StatusOK, strings.Join(edit(events), ""), "a@1")
}

func asIs(events []string) []string { return events }

func wholeAnswer(path, model, reason string) (*http.Response, error) {
	text := strings.Join(snipestand.Answer(path, "p", 3), "")
	return answer(http.StatusOK, fmt.Sprintf(`{"model":%q,"choices":[{"text":%q,"finish_reason":%q}]}`, model, text, reason), "a@1")
}

func replay(t *testing.T, r snipetrace.Record, s system) snipereplay.Result {
	t.Helper()
	p := &snipereplay.Replay{
		Entries: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:1")},
		Client:  &http.Client{Transport: s}, KeyedRepeats: true, MaxInFlight: 10,
	}
	return p.Run(t.Context(), []snipetrace.Record{r})[0]
}

// TestCheckAnswers guards against wrong answers and refusals that the replay accepts,
// and against right ones that it reports as breaches.
func TestCheckAnswers(t *testing.T) {
	tests := map[string]struct {
		record snipetrace.Record
		system func() (*http.Response, error)
		breach string // empty for a right answer
	}{
		"right stream": {streamed, func() (*http.Response, error) { return stream("t/a/1", "a@1", asIs) }, ""},
		"right whole":  {whole, func() (*http.Response, error) { return wholeAnswer("t/a/1", "a@1", "stop") }, ""},
		"right refusal": {unknown, func() (*http.Response, error) {
			return failure(snipeerror.ErrUnknownAdapter, snipeerror.NotRun)
		}, ""},
		"right service": {keyed, func() (*http.Response, error) { return answer(200, `{"Body":"p","Key":"k"}`, "") }, ""},
		"other version in a stream": {streamed, func() (*http.Response, error) {
			return stream("t/a/2", "a@1", asIs)
		}, "wrong answer"},
		"other version as a whole": {whole, func() (*http.Response, error) {
			return wholeAnswer("t/a/2", "a@1", "stop")
		}, "wrong answer"},
		"other model in a chunk": {streamed, func() (*http.Response, error) {
			return stream("t/a/1", "a@2", asIs)
		}, "chunk of model a@2"},
		"other adapter in the header": {whole, func() (*http.Response, error) {
			o, err := wholeAnswer("t/a/1", "a@1", "stop")
			o.Header.Set("Snipe-Adapter", "a@2")
			return o, err
		}, "answered as a@2"},
		"chunk missing": {streamed, func() (*http.Response, error) {
			return stream("t/a/1", "a@1", func(e []string) []string { return append(e[:1], e[2:]...) })
		}, "out of order"},
		"chunk twice": {streamed, func() (*http.Response, error) {
			return stream("t/a/1", "a@1", func(e []string) []string { return append([]string{e[0]}, e...) })
		}, "out of order"},
		"no finish reason in a stream": {streamed, func() (*http.Response, error) {
			return stream("t/a/1", "a@1", func(e []string) []string {
				e[2] = strings.Replace(e[2], `"stop"`, "null", 1)
				return e
			})
		}, "without a finish reason"},
		"no finish reason as a whole": {whole, func() (*http.Response, error) {
			return wholeAnswer("t/a/1", "a@1", "")
		}, "without a finish reason"},
		"something after the end": {streamed, func() (*http.Response, error) {
			return stream("t/a/1", "a@1", func(e []string) []string { return append(e, e[3]) })
		}, "follows the end"},
		"not run after a part": {streamed, func() (*http.Response, error) {
			return stream("t/a/1", "a@1", func(e []string) []string {
				f := snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.NotRun, "").Encode("r1")
				return append(e[:1], "id: 2\nevent: error\ndata: "+string(f)+"\n\n")
			})
		}, "after a part"},
		"answer of another caller": {keyed, func() (*http.Response, error) {
			return answer(200, `{"Body":"other","Key":"k"}`, "")
		}, "another caller"},
		"answered, must be refused": {unknown, func() (*http.Response, error) {
			return wholeAnswer("t/b/1", "b@1", "stop")
		}, "must be refused"},
		"crashes, but answered": {crashing, func() (*http.Response, error) {
			return wholeAnswer("t/a/1", "a@1", "stop")
		}, "crashes engines"},
		"refused, must be answered": {whole, func() (*http.Response, error) {
			return failure(snipeerror.ErrUnknownAdapter, snipeerror.NotRun)
		}, "refused with UnknownAdapter"},
		"refused with another code": {unknown, func() (*http.Response, error) {
			return failure(snipeerror.ErrForbidden, snipeerror.NotRun)
		}, "refused with Forbidden"},
		"refused as stated, may have run": {unknown, func() (*http.Response, error) {
			return failure(snipeerror.ErrUnknownAdapter, snipeerror.MayHaveRun)
		}, "as may have run"},
		"refusal without a body": {whole, func() (*http.Response, error) {
			return answer(http.StatusBadGateway, "oops", "")
		}, "without a failure body"},
		"no request identifier": {whole, func() (*http.Response, error) {
			o, err := wholeAnswer("t/a/1", "a@1", "stop")
			o.Header.Del("X-Request-Id")
			return o, err
		}, "without a request identifier"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := replay(t, tc.record, func(*http.Request) (*http.Response, error) { return tc.system() })
				if tc.breach == "" {
					must.SliceEmpty(t, r.Breaches)
					return
				}
				must.StrContains(t, strings.Join(r.Breaches, "; "), tc.breach)
			})
		})
	}
}

// TestRetries guards against retries that could run a call twice, missing retries, and
// retries at the same instance.
func TestRetries(t *testing.T) {
	notRun := func() (*http.Response, error) { return failure(snipeerror.ErrNoUpstream, snipeerror.NotRun) }
	mayHaveRun := func() (*http.Response, error) { return failure(snipeerror.ErrIncomplete, snipeerror.MayHaveRun) }
	keySpent := func() (*http.Response, error) { return failure(snipeerror.ErrDuplicate, snipeerror.MayHaveRun) }
	refused := func() (*http.Response, error) { return nil, errDial }
	broken := func() (*http.Response, error) { return nil, errCut }
	tests := map[string]struct {
		record snipetrace.Record
		first  func() (*http.Response, error)
		tries  int
	}{
		"keyless after a refused connection": {keyless, refused, 2},
		"keyless after not run":              {keyless, notRun, 2},
		"keyless after may have run":         {keyless, mayHaveRun, 1},
		"keyless after a broken connection":  {keyless, broken, 1},
		"keyed after may have run":           {keyed, mayHaveRun, 2},
		"keyed after its key was spent":      {keyed, keySpent, 1},
		"model after a broken connection":    {whole, broken, 2},
		"model after may have run":           {whole, mayHaveRun, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var hosts []string
				r := replay(t, tc.record, func(q *http.Request) (*http.Response, error) {
					hosts = append(hosts, q.URL.Host)
					switch {
					case len(hosts) == 1:
						return tc.first()
					case tc.record.Service != "":
						return answer(http.StatusOK, fmt.Sprintf(`{"Body":"p","Key":%q}`, tc.record.Key), "")
					}
					return wholeAnswer("t/a/1", "a@1", "stop")
				})
				must.SliceEmpty(t, r.Breaches)
				must.SliceLen(t, tc.tries, hosts)
				must.Eq(t, tc.tries == 2, r.Answered)
				if tc.tries == 2 {
					must.NotEq(t, hosts[0], hosts[1])
				}
			})
		})
	}
}

// TestPlannedStops guards against excusing a call that is cut short although nothing
// fails: with Planned set it is a breach even if the retry is answered.
func TestPlannedStops(t *testing.T) {
	tests := map[string]struct {
		first  func() (*http.Response, error)
		breach bool
	}{
		"refused connection": {func() (*http.Response, error) { return nil, errDial }, false},
		"not run":            {func() (*http.Response, error) { return failure(snipeerror.ErrStopping, snipeerror.NotRun) }, false},
		"may have run":       {func() (*http.Response, error) { return failure(snipeerror.ErrIncomplete, snipeerror.MayHaveRun) }, true},
		"broken connection":  {func() (*http.Response, error) { return nil, errCut }, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				p := &snipereplay.Replay{
					Entries: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:1")}, MaxInFlight: 1, Planned: true,
					Client: &http.Client{Transport: system(func(*http.Request) (*http.Response, error) {
						if sent++; sent == 1 {
							return tc.first()
						}
						return wholeAnswer("t/a/1", "a@1", "stop")
					})},
				}
				r := p.Run(t.Context(), []snipetrace.Record{whole})[0]
				must.True(t, r.Answered)
				must.Eq(t, tc.breach, len(r.Breaches) > 0)
			})
		})
	}
}

// TestAudit guards against missing a contradiction between the outcome of a call and the
// executions that the upstreams have recorded.
func TestAudit(t *testing.T) {
	ran := func(n int, key, body string) []snipestand.Execution {
		var all []snipestand.Execution
		for range n {
			all = append(all, snipestand.Execution{Request: "r1", Key: key, Body: body})
		}
		return all
	}
	repeated := keyless
	repeated.Idempotent = true
	tests := map[string]struct {
		record   snipetrace.Record
		answered bool
		outcome  snipereplay.Outcome
		ran      []snipestand.Execution
		breach   string
	}{
		"once and answered":           {keyed, true, snipereplay.Done, ran(1, "k", "p"), ""},
		"unknown and never":           {keyed, false, snipereplay.MayHaveRun, nil, ""},
		"unknown and once":            {keyless, false, snipereplay.MayHaveRun, ran(1, "", "p"), ""},
		"not run and never":           {keyless, false, snipereplay.NotRun, nil, ""},
		"idempotent twice":            {repeated, true, snipereplay.Done, ran(2, "", "p"), ""},
		"keyed twice":                 {keyed, true, snipereplay.Done, ran(2, "k", "p"), "executed 2 times"},
		"keyless twice":               {keyless, false, snipereplay.MayHaveRun, ran(2, "", "p"), "executed 2 times"},
		"answered and never":          {keyed, true, snipereplay.Done, nil, "never executed"},
		"not run, but executed":       {keyless, false, snipereplay.NotRun, ran(1, "", "p"), "as not run, but was executed"},
		"model not run, but executed": {whole, false, snipereplay.NotRun, ran(1, "", ""), "as not run, but was executed"},
		"two crashes":                 {crashing, false, snipereplay.MayHaveRun, ran(2, "", "p"), ""},
		"three crashes":               {crashing, false, snipereplay.MayHaveRun, ran(3, "", "p"), "crashed 3 engines"},
		"model answered":              {whole, true, snipereplay.Done, ran(1, "", ""), ""},
		"model answered and never":    {whole, true, snipereplay.Done, nil, "no engine executed it"},
		"not sent, but executed":      {keyless, false, snipereplay.NotSent, ran(1, "", "p"), "every try"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			results := []snipereplay.Result{{
				Record: tc.record, Answered: tc.answered, Tries: []snipereplay.Try{{Request: "r1", Outcome: tc.outcome}},
			}}
			a, err := audit(t, snipestand.ExecutedList{Executions: tc.ran})
			must.NoError(t, err)
			a.Check(results)
			must.Eq(t, tc.breach == "", len(results[0].Breaches) == 0, must.Sprint(results[0].Breaches))
			must.StrContains(t, strings.Join(results[0].Breaches, "; "), tc.breach)
		})
	}
}

func audit(t *testing.T, list snipestand.ExecutedList) (*snipereplay.Audit, error) {
	t.Helper()
	client := &http.Client{Transport: system(func(*http.Request) (*http.Response, error) {
		var x snipestand.Executed
		for _, e := range list.Executions {
			must.NoError(t, x.Add(e))
		}
		if list.Dropped > 0 {
			return answer(http.StatusOK, `{"Dropped":1}`, "")
		}
		w := &recorder{}
		x.ServeHTTP(w, nil)
		return answer(http.StatusOK, w.String(), "")
	})}
	return snipereplay.ReadAudit(t.Context(), client, []netip.AddrPort{netip.MustParseAddrPort("192.0.2.3:1")})
}

type recorder struct{ bytes.Buffer }

func (*recorder) Header() http.Header { return http.Header{} }
func (*recorder) WriteHeader(int)     {}

// TestAuditIncomplete guards against an audit that passes although an upstream has dropped
// executions from its record.
func TestAuditIncomplete(t *testing.T) {
	_, err := audit(t, snipestand.ExecutedList{Dropped: 1})
	must.ErrorIs(t, err, snipereplay.ErrAudit)
}
