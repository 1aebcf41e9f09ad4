package snipeupstream

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestand"
)

// service returns the client of a plain service at the address of the scripted engine.
func (s *scriptedEngine) service() *Service {
	return &Service{
		Name: "orders-1", Address: engineAddress, Pooled: s.engine.Pooled, Fresh: s.engine.Fresh, Progress: 5 * time.Second,
	}
}

func serviceCall(idempotent bool) *snipecall.Call {
	return &snipecall.Call{ID: "call-1", Method: http.MethodPost, Path: "/order", Idempotent: idempotent, Key: "k-1"}
}

// delayed answers with text after d.
func delayed(d time.Duration, text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		raw(text)(w, r)
	}
}

// abort closes the connection without an answer.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestService guards against a call that is executed twice, and against a failure with a wrong outcome.
func TestService(t *testing.T) {
	type steps = []func(http.ResponseWriter, *http.Request)
	cases := map[string]struct {
		idempotent bool
		silence    bool // reused connections go silent before the call
		steps      steps
		want       string
		kind       error
		outcome    snipeerror.Outcome
		runs       int
	}{
		"answered":                    {false, false, steps{raw("done")}, "done", nil, "", 1},
		"slow is not silent":          {true, false, steps{delayed(20*time.Second, "done")}, "done", nil, "", 1},
		"silent kept, idempotent":     {true, true, steps{raw("done")}, "done", nil, "", 1},
		"silent kept, not idempotent": {false, true, steps{raw("done")}, "done", nil, "", 1},
		"no answer":                   {false, false, steps{abort, raw("twice")}, "", snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, 1},
		"body breaks": {false, false, steps{func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			raw("half")(w, r)
		}}, "", snipeerror.ErrIncomplete, snipeerror.MayHaveRun, 1},
		"body silent": {false, false, steps{func(w http.ResponseWriter, r *http.Request) {
			raw("half")(w, r)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}}, "", snipeerror.ErrIncomplete, snipeerror.MayHaveRun, 1},
		"redirect is the answer": {true, false, steps{func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}}, "", nil, "", 1},
		"too large": {
			false, false,
			steps{func(w http.ResponseWriter, r *http.Request) { raw(strings.Repeat("x", MaxServiceAnswer+1))(w, r) }},
			"", snipeerror.ErrTooLarge, snipeerror.MayHaveRun, 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newScriptedEngine(t, c.steps...)
				if c.silence {
					s.steps = append(steps{raw("first")}, c.steps...)
					must.NoError(t, s.service().Call(t.Context(), serviceCall(true), func(snipecall.Chunk) error { return nil }))
					synctest.Wait()
					s.network.Silence()
					s.requests = nil
					s.steps = c.steps
				}
				got := ""
				err := s.service().Call(t.Context(), serviceCall(c.idempotent), func(k snipecall.Chunk) error {
					got = string(k.Data)
					return nil
				})
				must.ErrorIs(t, err, c.kind)
				if err != nil {
					must.Eq(t, c.outcome, snipeerror.From(err).Outcome)
				}
				must.Eq(t, c.want, got)
				must.Len(t, c.runs, s.received())
			})
		})
	}
}

// TestServiceNotReached checks that a call which cannot have been sent is reported
// as not run.
func TestServiceNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedEngine(t)
		s.engine.Fresh = NewFresh((&snipestand.Network{}).Dial)
		err := s.service().Call(t.Context(), serviceCall(false), nil)
		must.ErrorIs(t, err, snipeerror.ErrNoUpstream)
		must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
	})
}

// TestNetHTTPRepeats shows why calls that may not be repeated need the fresh client:
// net/http sends a POST with an Idempotency-Key and no body again by itself when
// a reused connection fails, although GetBody is unset.
func TestNetHTTPRepeats(t *testing.T) {
	send := func(t *testing.T, client func(*scriptedEngine) *http.Client) int {
		runs := 0
		synctest.Test(t, func(t *testing.T) {
			s := newScriptedEngine(t, raw("first"), abort, raw("again"))
			call := func() {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.engine.url("/order"), strings.NewReader(""))
				must.NoError(t, err)
				r.GetBody = nil
				r.Header.Set("Idempotency-Key", "k-1")
				x, err := Begin(client(s), r, SilenceLimit{Pool: s.engine.Pooled})
				if err == nil {
					x.Finish()
				}
				synctest.Wait()
			}
			call()
			call()
			runs = len(s.received())
		})
		return runs
	}
	must.Eq(t, 3, send(t, func(s *scriptedEngine) *http.Client { return s.engine.Pooled }))
	must.Eq(t, 2, send(t, func(s *scriptedEngine) *http.Client { return s.engine.Fresh }))
}

// TestServiceCallerCancels checks that the request at the upstream ends when the
// caller cancels its call.
func TestServiceCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := false
		s := newScriptedEngine(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ended = true
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		err := s.service().Call(ctx, serviceCall(false), nil)
		must.ErrorIs(t, err, snipeerror.ErrCanceled)
		must.Eq(t, snipeerror.MayHaveRun, snipeerror.From(err).Outcome)
		synctest.Wait()
		must.True(t, ended)
	})
}
