package snipecaller

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetree"
)

const testKey = "ash-key-that-must-not-be-logged"

func testTree() *snipetree.Tree {
	return snipetree.NewTree(1, &snipetree.Platform{}, map[string]*snipetree.Branch{"ash": {
		Keys:     map[string]snipetree.KeyHash{"k": snipetree.HashKey(testKey)},
		Services: []string{"orders"},
		Adapters: map[string]snipetree.Adapter{
			"plume": {Base: "base-1", Versions: map[string]snipetree.Version{"2": {Path: "p"}}},
		},
	}})
}

func newServer(serve func(context.Context, *snipecall.Call, snipecall.Sink) error) *Server {
	return &Server{
		Tree: testTree, Serve: serve, NewID: func() string { return "id-1" },
		Admit:   func(*snipecall.Call) (func(), error) { return func() {}, nil },
		MaxBody: 1000, MaxHeader: 1000, BodyTimeout: 10 * time.Second,
		Meter: snipemeter.New(), Log: snipelog.Discard(),
	}
}

func request(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	return r
}

const goodBody = `{"model":"plume@2","prompt":"p"}`

// answerWhole returns a Serve function that answers with one chunk.
func answerWhole(data string) func(context.Context, *snipecall.Call, snipecall.Sink) error {
	return func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
		return sink(snipecall.Chunk{Sequence: 1, Status: http.StatusOK, Data: []byte(data), Last: true})
	}
}

// TestRefusals guards against invalid requests that are accepted, and against a refusal with another status,
// kind or reason.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		body   string
		change func(s *Server, r *http.Request)
		status int
		kind   error
		reason string
	}{
		"answered":          {goodBody, nil, 200, nil, ""},
		"null fields":       {`{"model":"plume@2","n":null,"stream":null,"stream_options":null}`, nil, 200, nil, ""},
		"token prompt":      {`{"model":"plume@2","prompt":[1,2,3]}`, nil, 200, nil, ""},
		"one prompt":        {`{"model":"plume@2","prompt":["a"]}`, nil, 200, nil, ""},
		"stream options":    {`{"model":"plume@2","stream":true,"stream_options":{"include_usage":true}}`, nil, 200, nil, ""},
		"not JSON":          {`{"model":`, nil, 400, snipeerror.ErrBadRequest, "JSON"},
		"array":             {`[]`, nil, 400, snipeerror.ErrBadRequest, "JSON object"},
		"too deep":          {`{"model":"plume@2","x":` + strings.Repeat("[", 200) + strings.Repeat("]", 200) + "}", nil, 400, snipeerror.ErrBadRequest, "nested"},
		"model twice":       {`{"model":"plume@2","model":"plume@1"}`, nil, 400, snipeerror.ErrBadRequest, "twice"},
		"model by escape":   {`{"model":"plume@2","mod\u0065l":"plume@1"}`, nil, 400, snipeerror.ErrBadRequest, "twice"},
		"model by case":     {`{"model":"plume@2","MODEL":"plume@1"}`, nil, 400, snipeerror.ErrBadRequest, "twice"},
		"no version":        {`{"model":"plume"}`, nil, 400, snipeerror.ErrBadRequest, "version"},
		"model of a number": {`{"model":7}`, nil, 400, snipeerror.ErrBadRequest, "string"},
		"n":                 {`{"model":"plume@2","n":2}`, nil, 400, snipeerror.ErrBadRequest, `"n" must be 1`},
		"best_of":           {`{"model":"plume@2","best_of":3}`, nil, 400, snipeerror.ErrBadRequest, `"best_of" must be 1`},
		"two prompts":       {`{"model":"plume@2","prompt":["a","b"]}`, nil, 400, snipeerror.ErrBadRequest, "one prompt"},
		"stream as text":    {`{"model":"plume@2","stream":"yes"}`, nil, 400, snipeerror.ErrBadRequest, "true or false"},
		"lone options":      {`{"model":"plume@2","stream_options":{}}`, nil, 400, snipeerror.ErrBadRequest, "stream_options"},
		"unknown adapter":   {`{"model":"plume@3"}`, nil, 404, snipeerror.ErrUnknownAdapter, "plume@3"},
		"body too large":    {`{"model":"plume@2","prompt":"` + strings.Repeat("x", 1000) + `"}`, nil, 413, snipeerror.ErrTooLarge, "1000 bytes"},
		"header too large": {goodBody, func(_ *Server, r *http.Request) {
			r.Header.Set("X-Long", strings.Repeat("x", 1000))
		}, 431, snipeerror.ErrHeaderTooLarge, "1000 bytes"},
		"no key":        {goodBody, func(_ *Server, r *http.Request) { r.Header.Del("Authorization") }, 401, snipeerror.ErrUnauthenticated, "bearer"},
		"unknown key":   {goodBody, func(_ *Server, r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, 401, snipeerror.ErrUnauthenticated, "key"},
		"other path":    {goodBody, func(_ *Server, r *http.Request) { r.URL.Path = "/v1/embeddings" }, 400, snipeerror.ErrBadRequest, "no such call"},
		"other method":  {goodBody, func(_ *Server, r *http.Request) { r.Method = http.MethodGet }, 400, snipeerror.ErrBadRequest, "no such call"},
		"bad class":     {goodBody, func(_ *Server, r *http.Request) { r.Header.Set(ClassHeader, "Urgent") }, 400, snipeerror.ErrBadRequest, "Urgent"},
		"bad timeout":   {goodBody, func(_ *Server, r *http.Request) { r.Header.Set(TimeoutHeader, "-1s") }, 400, snipeerror.ErrBadRequest, TimeoutHeader},
		"bad flag":      {goodBody, func(_ *Server, r *http.Request) { r.Header.Set(IdempotentHeader, "maybe") }, 400, snipeerror.ErrBadRequest, IdempotentHeader},
		"long key":      {goodBody, func(_ *Server, r *http.Request) { r.Header.Set(KeyHeader, strings.Repeat("k", 257)) }, 400, snipeerror.ErrBadRequest, KeyHeader},
		"stopping":      {goodBody, func(s *Server, _ *http.Request) { s.Stop() }, 503, snipeerror.ErrStopping, "another instance"},
		"no settings":   {goodBody, func(s *Server, _ *http.Request) { s.Tree = func() *snipetree.Tree { return nil } }, 503, snipeerror.ErrUnavailable, "settings"},
		"not admitted":  {goodBody, func(s *Server, _ *http.Request) { s.Admit = refuseAll }, 429, snipeerror.ErrLimited, "full"},
		"other adapter": {goodBody, func(s *Server, _ *http.Request) { s.Serve = answerWhole(`{"model":"plume@1"}`) }, 502, snipeerror.ErrMismatch, "plume@1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(answerWhole(`{"model":"plume@2"}`))
			r := request(c.body)
			if c.change != nil {
				c.change(s, r)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			must.Eq(t, c.status, w.Code)
			if c.kind == nil {
				return
			}
			f, err := snipeerror.Decode(w.Body.Bytes())
			must.NoError(t, err)
			must.ErrorIs(t, f, c.kind)
			must.StrContains(t, f.Reason, c.reason)
			if !errors.Is(c.kind, snipeerror.ErrMismatch) {
				must.Eq(t, snipeerror.NotRun, f.Outcome)
			}
			must.Zero(t, s.InFlight())
		})
	}
}

func refuseAll(*snipecall.Call) (func(), error) {
	return nil, snipeerror.New(snipeerror.ErrLimited, snipeerror.NotRun, "full").After(time.Second)
}

// TestStreamEnds guards against streams without a proper end: after a failure,
// a missing or repeated chunk or another adapter's chunk the caller gets one typed error
// event, otherwise the end mark, and no chunk of another adapter.
func TestStreamEnds(t *testing.T) {
	chunk := func(n uint64, model string) snipecall.Chunk {
		return snipecall.Chunk{Sequence: n, Data: []byte(`{"model":"` + model + `"}`)}
	}
	end := snipecall.Chunk{Sequence: 2, Data: []byte("[DONE]"), Last: true}
	cases := map[string]struct {
		chunks []snipecall.Chunk
		err    error
		want   string
		code   string
	}{
		"complete": {[]snipecall.Chunk{chunk(1, "plume@2"), end}, nil, "id: 1\ndata: {\"model\":\"plume@2\"}\n\nid: 2\ndata: [DONE]\n\n", ""},
		"failure": {
			[]snipecall.Chunk{chunk(1, "plume@2")},
			snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "engine gone"),
			"id: 2\nevent: error\n", "AnswerIncomplete",
		},
		"failure that says not run": {
			[]snipecall.Chunk{chunk(1, "plume@2")},
			snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "x"),
			"id: 2\nevent: error\n", "Overloaded",
		},
		"gap":              {[]snipecall.Chunk{chunk(1, "plume@2"), chunk(3, "plume@2")}, nil, "id: 2\nevent: error\n", "AnswerIncomplete"},
		"duplicate":        {[]snipecall.Chunk{chunk(1, "plume@2"), chunk(1, "plume@2")}, nil, "id: 2\nevent: error\n", "AnswerIncomplete"},
		"other adapter":    {[]snipecall.Chunk{chunk(1, "plume@2"), chunk(2, "plume@1")}, nil, "id: 2\nevent: error\n", "AnswerMismatch"},
		"failure after it": {[]snipecall.Chunk{chunk(1, "plume@2"), end}, snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "x"), "data: [DONE]\n\n", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newServer(func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
				for _, k := range c.chunks {
					if err := sink(k); err != nil {
						return err
					}
				}
				return c.err
			})
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, request(`{"model":"plume@2","stream":true}`))
			got := w.Body.String()
			must.StrContains(t, got, c.want)
			must.StrNotContains(t, got, "plume@1\"}")
			must.Eq(t, c.code == "", strings.HasSuffix(got, "data: [DONE]\n\n"))
			must.Eq(t, c.code != "", strings.Contains(got, `"code":"`+c.code+`"`))
			must.StrNotContains(t, got, "NotRun")
		})
	}
}

// TestNoKeyInLog guards against API keys and prompts in the log of failed calls, and
// against API keys in their answers.
func TestNoKeyInLog(t *testing.T) {
	var log strings.Builder
	s := newServer(func(context.Context, *snipecall.Call, snipecall.Sink) error {
		return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "fault")
	})
	s.Log = snipelog.New(&log, logrus.TraceLevel, "entry-1")
	for _, body := range []string{`{"model":"plume@2","prompt":"secret-prompt"}`, `{"model":"secret-prompt`, `{"model":"plume@9"}`} {
		w := httptest.NewRecorder()
		r := request(body)
		r.Header.Set(KeyHeader, "request-key")
		s.Handler().ServeHTTP(w, r)
		must.StrNotContains(t, w.Body.String(), testKey)
	}
	must.StrContains(t, log.String(), "CallFailed")
	must.StrNotContains(t, log.String(), testKey)
	must.StrNotContains(t, log.String(), "secret-prompt")
}

// onNetwork runs f against the server over an in-memory network.
func onNetwork(t *testing.T, s *Server, f func(n *snipestand.Network, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		n := &snipestand.Network{}
		address := netip.MustParseAddrPort("10.0.0.3:1")
		server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
		l := n.Listen(address)
		go func() { _ = server.Serve(l) }()
		f(n, func() net.Conn {
			c, err := n.Dial(t.Context(), "tcp", address.String())
			must.NoError(t, err)
			return c
		})
		_ = server.Close()
		n.Cut()
	})
}

// requestHeader returns the header of a model call with the given Content-Length.
func requestHeader(length string) string {
	return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: " + length + "\r\n\r\n"
}

// TestCallerGone guards against calls that go on after their caller has
// disconnected: the call's context ends at once, also after the body's read
// deadline has passed.
func TestCallerGone(t *testing.T) {
	for name, wait := range map[string]time.Duration{"soon": time.Second, "after the body's time": 15 * time.Second} {
		t.Run(name, func(t *testing.T) {
			var ended time.Duration
			s := newServer(func(ctx context.Context, _ *snipecall.Call, _ snipecall.Sink) error {
				start := time.Now()
				<-ctx.Done()
				ended = time.Since(start)
				return ctx.Err()
			})
			onNetwork(t, s, func(_ *snipestand.Network, dial func() net.Conn) {
				c := dial()
				_, _ = io.WriteString(c, requestHeader("32")+goodBody)
				time.Sleep(wait)
				_ = c.Close()
				synctest.Wait()
				must.Zero(t, s.InFlight())
			})
			must.Eq(t, wait, ended)
		})
	}
}

// TestSlowCallers guards against calls that stay open without bound because the
// caller does not send its body or does not read its answer.
func TestSlowCallers(t *testing.T) {
	s := newServer(func(_ context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
		for n := uint64(1); ; n++ {
			if err := sink(snipecall.Chunk{Sequence: n, Data: []byte(`{"model":"plume@2"}`)}); err != nil {
				return err
			}
		}
	})
	cases := map[string]struct {
		send string
		read bool
		held time.Duration
	}{
		"body never comes":   {requestHeader("32"), true, s.BodyTimeout},
		"answer never taken": {requestHeader("32") + goodBody, false, DefaultTimeout + writeGrace},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			onNetwork(t, s, func(_ *snipestand.Network, dial func() net.Conn) {
				conn := dial()
				_, _ = io.WriteString(conn, c.send)
				if c.read {
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
				synctest.Wait()
				must.Eq(t, 1, s.InFlight())
				time.Sleep(c.held - time.Second)
				must.Eq(t, 1, s.InFlight())
				time.Sleep(2 * time.Second)
				must.Zero(t, s.InFlight())
			})
		})
	}
}
