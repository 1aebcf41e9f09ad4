package snipecaller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// serveFor returns a Serve function that takes a time, and fails if its context ends before. With begins, it sends a chunk first.
func serveFor(work time.Duration, begins bool) func(context.Context, *snipecall.Call, snipecall.Sink) error {
	return func(ctx context.Context, _ *snipecall.Call, sink snipecall.Sink) error {
		if begins {
			if err := sink(snipecall.Chunk{Sequence: 1, Data: []byte(`{"model":"plume@2"}`)}); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, ctx.Err().Error())
		case <-time.After(work):
			return answerWhole(`{"model":"plume@2"}`)(ctx, nil, sink)
		}
	}
}

// TestStopEndsCalls guards against calls that are cut without a final answer as a planned stop ends, and against calls that are
// begun though they cannot be answered before.
func TestStopEndsCalls(t *testing.T) {
	const left = 300 * time.Millisecond
	tests := map[string]struct {
		// known is how long a call before the stop took, work how long this one does.
		known, work time.Duration
		begins      bool // whether the answer begins at once
		noBody      bool
		status      int
		text        string
		ran         bool
	}{
		"InTime":    {0, 10 * time.Millisecond, false, false, 200, "plume@2", true},
		"Working":   {0, time.Minute, false, false, 504, "the instance stops", true},
		"Answering": {0, time.Minute, true, false, 200, "the instance stops", true},
		"TooLong":   {200 * time.Millisecond, 200 * time.Millisecond, false, false, 503, "use another instance", false},
		"NoBody":    {0, time.Minute, false, true, 503, "use another instance", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newServer(serveFor(tt.known, false))
			server := httptest.NewServer(s.Handler())
			defer server.Close()
			if tt.known > 0 {
				sendTo(t, server, false)
			}
			ran := false
			s.Serve = func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
				ran = true
				return serveFor(tt.work, tt.begins)(ctx, c, sink)
			}
			s.Ending.Begin(time.Now().Add(left))
			go s.Ending.Run(t.Context())
			status, body := sendTo(t, server, tt.noBody)
			must.Eq(t, tt.status, status)
			must.StrContains(t, body, tt.text)
			must.Eq(t, tt.ran, ran)
		})
	}
}

// sendTo sends a call, or all but its body, and returns the status and the body of the answer.
func sendTo(t *testing.T, server *httptest.Server, noBody bool) (status int, body string) {
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	text := goodBody
	if noBody {
		text = ""
	}
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(goodBody), text)
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err, must.Sprint("no final answer"))
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	return answer.StatusCode, strings.TrimSpace(string(data))
}
