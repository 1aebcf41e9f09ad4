package snipeentry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipegateway"
)

// TestConnectionLimit guards against connections above the bound, against closing a connection that has a
// request, and against a refusal whose request runs or that names no time to return.
func TestConnectionLimit(t *testing.T) {
	refused := &atomic.Int32{}
	limit := &connectionLimit{most: 2, refused: func(int, bool) { refused.Add(1) }}
	runs := &atomic.Int32{}
	release := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: limit.stateChanged, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/wait" {
			<-release
		}
	})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(limit.listener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	request := func(path string) *bufio.Reader {
		conn, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		must.NoError(t, err)
		return bufio.NewReader(conn)
	}
	status := func(r *bufio.Reader) *http.Response {
		a, err := http.ReadResponse(r, nil)
		must.NoError(t, err)
		_ = a.Body.Close()
		return a
	}
	busy := request("/wait")
	idle := request("/")
	must.Eq(t, http.StatusOK, status(idle).StatusCode)
	time.Sleep(2 * minIdleTime)
	third := request("/wait") // takes the place of the idle connection
	_, err = idle.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	for runs.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	fourth := request("/") // both have a request
	a := status(fourth)
	must.Eq(t, http.StatusServiceUnavailable, a.StatusCode)
	must.Eq(t, "1.000", a.Header.Get("Retry-After"))
	must.Eq(t, 1, refused.Load())
	must.Eq(t, 2, limit.count())
	must.Eq(t, 3, runs.Load())
	close(release)
	must.Eq(t, http.StatusOK, status(busy).StatusCode)
	must.Eq(t, http.StatusOK, status(third).StatusCode)
	must.NoError(t, server.Close())
	for limit.count() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestShares guards against parts of the memory that are together more than the memory: Go's limit, the
// kernel buffers of all requests that the bound admits, and the program's text.
func TestShares(t *testing.T) {
	const goShare, textBytes = 0.7, 10 << 20
	tests := map[string]struct {
		memory int64
		socket int
	}{"None": {0, 0}, "Least": {144_000_000, 16 << 10}, "Medium": {284_000_000, 17333}, "Most": {536_000_000, 32714}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Settings{MemoryBytes: tt.memory}
			must.Eq(t, tt.socket, s.socketBuffer())
			if tt.memory == 0 {
				must.Eq(t, 0, s.pressureBound())
				must.Eq(t, 0, s.maxConnections())
				return
			}
			requests := s.pressureBound() / (snipegateway.RequestBytes + s.socketBytes())
			must.Less(t, tt.memory, int64(goShare*float64(tt.memory))+requests*s.socketBytes()+textBytes)
			must.Greater(t, int(requests), s.maxConnections())
		})
	}
}
