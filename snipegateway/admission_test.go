package snipegateway_test

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipepressure"
	"snipepitch.example/snipepitch/sniperetry"
	"snipepitch.example/snipepitch/snipesignal"
)

// fakePermits grants permits for the upstreams in order, the last one again and again.
type fakePermits struct {
	upstreams []string
	// before is called before each grant.
	before func(r snipeadmission.Request)
	err    error

	lock     sync.Mutex // guards the fields below
	requests []snipeadmission.Request
	released []snipeadmission.Result
	unpaired int // releases of permits that were released before
}

func (f *fakePermits) acquire(_ context.Context, _ string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	if f.before != nil {
		f.before(r)
	}
	if f.err != nil {
		return nil, f.err
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.requests = append(f.requests, r)
	id := f.upstreams[min(len(f.requests), len(f.upstreams))-1]
	var done atomic.Bool
	return &snipegateway.Permit{Upstream: id, Coordinator: "c", Release: func(r snipeadmission.Result) {
		f.lock.Lock()
		defer f.lock.Unlock()
		if done.Swap(true) {
			f.unpaired++
		}
		f.released = append(f.released, r)
	}}, nil
}

// outcomes returns the outcomes of all releases.
func (f *fakePermits) outcomes() []snipeadmission.Outcome {
	f.lock.Lock()
	defer f.lock.Unlock()
	var all []snipeadmission.Outcome
	for _, r := range f.released {
		all = append(all, r.Outcome)
	}
	return all
}

func (f *fakePermits) admission() snipegateway.Admission {
	return snipegateway.Admission{Applies: func(string) bool { return true }, Acquire: f.acquire}
}

// generous returns a retry budget that is not spent by a test.
func generous(string) *sniperetry.Window {
	return &sniperetry.Window{Share: 1, Slack: func() float64 { return 100 }, Span: time.Minute}
}

// TestPermitOutcomes guards against permits that are not given back, or given back with a wrong
// result, when an attempt ends in one of the possible ways.
func TestPermitOutcomes(t *testing.T) {
	type outcomes = []snipeadmission.Outcome
	served, refused := snipeadmission.OutcomeServed, snipeadmission.OutcomeRefused
	unused, unreachable := snipeadmission.OutcomeUnused, snipeadmission.OutcomeUnreachable
	tests := map[string]struct {
		upstreams      []string
		dead, refusing string
		prepare        func(g *snipegateway.Gateway)
		answer         http.HandlerFunc
		status         int
		want           outcomes
	}{
		"Served":      {upstreams: []string{"e0"}, status: http.StatusOK, want: outcomes{served}},
		"Refused":     {upstreams: []string{"e0", "e1"}, refusing: "e0", status: http.StatusOK, want: outcomes{refused, served}},
		"Unreachable": {upstreams: []string{"e0", "e1"}, dead: "e0", status: http.StatusOK, want: outcomes{unreachable, served}},
		"Leaving": {
			upstreams: []string{"e0", "e1"}, status: http.StatusOK, want: outcomes{unused, served},
			prepare: func(g *snipegateway.Gateway) { g.Chooser.Directory.MarkLeaving("e0") },
		},
		"Gone": {upstreams: []string{"e9", "e1"}, status: http.StatusOK, want: outcomes{unused, served}},
		"InBackoff": {
			upstreams: []string{"e0", "e1"}, status: http.StatusOK, want: outcomes{unused, served},
			prepare: func(g *snipegateway.Gateway) {
				g.Signals.Record("e0", time.Now(), snipesignal.Signal{Backoff: time.Minute})
			},
		},
		"AllGone": {upstreams: []string{"e9"}, status: http.StatusServiceUnavailable, want: outcomes{unused, unused, unused}},
		"Failed": {
			upstreams: []string{"e0"}, status: http.StatusInternalServerError, want: outcomes{snipeadmission.OutcomeFailed},
			prepare: func(g *snipegateway.Gateway) {
				g.Protocol.Classify = func(*http.Response, snipegateway.Dispatch) snipegateway.AnswerState {
					return snipegateway.AnswerState{Signed: true}
				}
			},
			answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		},
		"BrokenOff": {
			upstreams: []string{"e0"}, status: http.StatusBadGateway, want: outcomes{snipeadmission.OutcomeFailed},
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChooser(&fakeOwners{}, 2)
			dead := map[netip.AddrPort]bool{}
			if tt.dead != "" {
				dead[c.Directory.Snapshot().ByID(tt.dead).Address] = true
			}
			g, _ := newGateway(t, c, dead, map[string]bool{tt.refusing: tt.refusing != ""})
			g.Budget = generous
			f := &fakePermits{upstreams: tt.upstreams}
			g.Admission = f.admission()
			if tt.prepare != nil {
				tt.prepare(g)
			}
			if tt.answer != nil {
				answerWith(t, g, tt.answer)
			}
			must.Eq(t, tt.status, sendRequest(g).Code)
			must.Eq(t, tt.want, f.outcomes())
			must.Eq(t, 0, f.unpaired)
			for n, r := range f.requests {
				must.Eq(t, n > 0, !r.Arrived.IsZero(), must.Sprint("a further request for a permit keeps its place"))
				must.Eq(t, n, len(r.Excluded))
			}
		})
	}
}

// answerWith makes the upstreams of a gateway answer by h.
func answerWith(t *testing.T, g *snipegateway.Gateway, h http.HandlerFunc) {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	to := netip.MustParseAddrPort(server.Listener.Addr().String())
	g.Links.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	}
}

// TestPermitOfPanic guards against a permit that is not given back when the attempt panics.
func TestPermitOfPanic(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	g, _ := newGateway(t, c, nil, nil)
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	g.Protocol.Prepare = func(http.Header, snipegateway.Dispatch) { panic(http.ErrAbortHandler) }
	func() {
		defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
		sendRequest(g)
	}()
	must.Eq(t, []snipeadmission.Outcome{snipeadmission.OutcomeUnused}, f.outcomes())
}

// TestPermitDenied guards against a refusal that reaches an upstream, waits, or has another retry
// time than that of the coordinator.
func TestPermitDenied(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	g, upstream := newGateway(t, c, nil, nil)
	f := &fakePermits{err: &snipegateway.DeniedError{Refusal: &snipeadmission.RefusedError{RetryAfter: 1234 * time.Millisecond}}}
	g.Admission = f.admission()
	w := sendRequest(g)
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "1.234", w.Header().Get("Retry-After"))
	must.Eq(t, 0, upstream.Load())
}

// TestCallerLeavesBeforePermit guards against a request that is sent after its caller has left while
// it waited for its permit, and against a permit that is not given back then.
func TestCallerLeavesBeforePermit(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	g, upstream := newGateway(t, c, nil, nil)
	ctx, leave := context.WithCancel(t.Context())
	f := &fakePermits{upstreams: []string{"e0"}, before: func(snipeadmission.Request) { leave() }}
	g.Admission = f.admission()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/x/", http.NoBody)
	r.Host = "calls.example"
	func() {
		defer func() { must.Eq(t, any(http.ErrAbortHandler), recover()) }()
		g.ServeHTTP(httptest.NewRecorder(), r)
	}()
	must.Eq(t, 0, upstream.Load())
	must.Eq(t, []snipeadmission.Outcome{snipeadmission.OutcomeUnused}, f.outcomes())
}

// TestPermitBeforeSlowCaller guards against an upstream's slot that stays lent until a slow caller
// has read the answer.
func TestPermitBeforeSlowCaller(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	g, _ := newGateway(t, c, nil, nil)
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	r := httptest.NewRequest(http.MethodPost, "/x/", http.NoBody)
	r.Host = "calls.example"
	w := &slowRecorder{ResponseRecorder: httptest.NewRecorder(), released: func() bool { return len(f.outcomes()) == 1 }}
	g.ServeHTTP(w, r)
	must.True(t, w.releasedFirst)
}

// TestPermitWithoutRoom guards against a permit that is given back while the upstream still sends its
// answer, because the instance has no room to buffer the answer.
func TestPermitWithoutRoom(t *testing.T) {
	g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
	g.Pressure = &snipepressure.Budget{Bound: 1_000_000}
	var other snipepressure.Account
	must.NoError(t, g.Pressure.Open(&other, "other", 0))
	must.True(t, other.Grow(700_000))
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	var early atomic.Bool
	answerWith(t, g, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 400_000))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(100 * time.Millisecond)
		early.Store(len(f.outcomes()) > 0)
		_, _ = w.Write(make([]byte, 1000))
	})
	w := sendRequest(g)
	must.Eq(t, 401_000, w.Body.Len())
	must.False(t, early.Load())
	must.Eq(t, []snipeadmission.Outcome{snipeadmission.OutcomeServed}, f.outcomes())
}

// TestSuspectUpstream guards against permits for an upstream that breaks off each request: its slots
// are always free, so that it would get most of the requests.
func TestSuspectUpstream(t *testing.T) {
	g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	answerWith(t, g, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range 3 {
		sendRequest(g)
	}
	failed := snipeadmission.OutcomeFailed
	must.Eq(t, []snipeadmission.Outcome{failed, failed, snipeadmission.OutcomeSuspect}, f.outcomes())
}

// slowRecorder records whether the permit was released before the answer was written.
type slowRecorder struct {
	*httptest.ResponseRecorder
	released      func() bool
	releasedFirst bool
}

// WriteHeader implements http.ResponseWriter.
func (w *slowRecorder) WriteHeader(status int) {
	w.releasedFirst = w.released()
	w.ResponseRecorder.WriteHeader(status)
}

// TestNoPermitForEngines guards against permits for requests for adapters, and against a change of
// services for which shared admission does not apply.
func TestNoPermitForEngines(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	g, upstream := newGateway(t, c, nil, nil)
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	g.Admission.Applies = func(string) bool { return false }
	must.Eq(t, http.StatusOK, sendRequest(g).Code)
	g.Admission.Applies = func(string) bool { return true }
	g.Catalog.Catalog().Services[service].Engine = &snipecatalog.Engine{}
	g.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		return snipegateway.Request{ID: "1", Adapter: request.Adapter}, nil
	}
	must.Eq(t, http.StatusOK, sendRequest(g).Code)
	must.Eq(t, 2, upstream.Load())
	must.SliceEmpty(t, f.requests)
}

// TestHugePermitRequest guards against sizes that callers state whose sum overflows.
func TestHugePermitRequest(t *testing.T) {
	g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
	g.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		return snipegateway.Request{ID: "1", PromptTokens: math.MaxInt, OutputTokens: math.MaxInt}, nil
	}
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	must.Eq(t, http.StatusOK, sendRequest(g).Code)
	must.Positive(t, f.requests[0].Tokens)
}

// TestPermitRequest guards against a request for a permit without the priority, the workspace's
// tokens, the target or the deadline, and against results without time or load.
func TestPermitRequest(t *testing.T) {
	c := newChooser(&fakeOwners{}, 1)
	g, _ := newGateway(t, c, nil, nil)
	route := &g.Catalog.Catalog().Routes[0]
	route.Target, route.Priority = 2*time.Second, 3
	g.Protocol.Decode = func(*http.Request) (snipegateway.Request, error) {
		return snipegateway.Request{ID: "1", PromptTokens: 100, OutputTokens: 20, MaxWait: 5 * time.Second}, nil
	}
	classify := g.Protocol.Classify
	g.Protocol.Classify = func(a *http.Response, d snipegateway.Dispatch) snipegateway.AnswerState {
		v := classify(a, d)
		v.Load = &snipegateway.Load{Running: 3, Waiting: 2, Slots: 4, Pace: 1.5}
		return v
	}
	f := &fakePermits{upstreams: []string{"e0"}}
	g.Admission = f.admission()
	begun := time.Now()
	must.Eq(t, http.StatusOK, sendRequest(g).Code)
	r := f.requests[0]
	must.Eq(t, 3, r.Priority)
	must.Eq(t, 120.0, r.Tokens)
	must.Between(t, 2*time.Second, r.Target.Sub(begun), 3*time.Second)
	must.Between(t, 5*time.Second, r.Deadline.Sub(begun), 6*time.Second)
	result := f.released[0]
	must.Positive(t, result.Took)
	must.Eq(t, 3, result.Load.Running)
	must.Eq(t, "1.5", strconv.FormatFloat(result.Load.Pace, 'f', -1, 64))
	must.False(t, slices.Contains(f.outcomes(), snipeadmission.OutcomeFailed))
}
