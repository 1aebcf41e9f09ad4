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

	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipegateway"
)

func listenLocal(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dialLocal(t *testing.T, l net.Listener) net.Conn {
	conn, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

func serveLimited(t *testing.T, s *http.Server, l net.Listener) {
	s.ReadHeaderTimeout = time.Minute
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// send sends a request on a connection, answer reads the answer.
func send(t *testing.T, conn net.Conn, path string) {
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
}

func answer(t *testing.T, r *bufio.Reader) *http.Response {
	a, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	_ = a.Body.Close()
	return a
}

// TestConnectionLimit guards against connections above the bound, against closing a connection that has a
// request, and against a refusal whose request runs or that names no time to return.
func TestConnectionLimit(t *testing.T) {
	refused := &atomic.Int32{}
	connections := &snipeconn.Tracker{}
	limit := &connectionLimit{most: 2, connections: connections, refused: func(int, bool) { refused.Add(1) }}
	runs := &atomic.Int32{}
	release := make(chan struct{})
	server := &http.Server{ConnState: connections.StateChanged, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/wait" {
			<-release
		}
	})}
	inner := listenLocal(t)
	serveLimited(t, server, connections.Listener(limit.listener(inner)))
	request := func(path string) *bufio.Reader {
		conn := dialLocal(t, inner)
		send(t, conn, path)
		return bufio.NewReader(conn)
	}
	busy := request("/wait")
	idle := request("/")
	must.Eq(t, http.StatusOK, answer(t, idle).StatusCode)
	time.Sleep(2 * minIdleTime)
	third := request("/wait") // takes the place of the idle connection
	_, err := idle.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	for runs.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	fourth := request("/") // both have a request
	a := answer(t, fourth)
	must.Eq(t, http.StatusServiceUnavailable, a.StatusCode)
	must.Eq(t, "1.000", a.Header.Get("Retry-After"))
	must.Eq(t, 1, refused.Load())
	must.Eq(t, 2, connections.Open())
	must.Eq(t, 3, runs.Load())
	close(release)
	must.Eq(t, http.StatusOK, answer(t, busy).StatusCode)
	must.Eq(t, http.StatusOK, answer(t, third).StatusCode)
	must.NoError(t, server.Close())
	for connections.Open() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestHalfHeadsAtBound guards against connections with half of a head that hold all places, so that whole requests are refused.
func TestHalfHeadsAtBound(t *testing.T) {
	const most = 20
	connections := &snipeconn.Tracker{HeadTime: headerTimeout}
	limit := &connectionLimit{most: most, connections: connections, refused: func(int, bool) {}}
	server := &http.Server{ConnState: connections.StateChanged, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	inner := listenLocal(t)
	serveLimited(t, server, connections.Listener(limit.listener(inner)))
	for range most {
		_, err := io.WriteString(dialLocal(t, inner), "POST / HT")
		must.NoError(t, err)
	}
	for connections.Open() < most {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	for range most / 2 {
		conn := dialLocal(t, inner)
		send(t, conn, "/")
		must.Eq(t, http.StatusOK, answer(t, bufio.NewReader(conn)).StatusCode)
	}
}

// TestRequestAtEviction guards against closing a connection whose request was read just as the
// connection was chosen to be closed for a new one: the request runs, and its answer must arrive.
func TestRequestAtEviction(t *testing.T) {
	connections := &snipeconn.Tracker{}
	limit := &connectionLimit{most: 1, connections: connections, refused: func(int, bool) {}}
	read, accepted := make(chan struct{}), make(chan struct{})
	server := &http.Server{
		ConnState: connections.StateChanged,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(10 * time.Millisecond)
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusTeapot)
			}
		}),
	}
	inner := listenLocal(t)
	conn := dialLocal(t, inner)
	held := &heldListener{Listener: inner, read: read, accepted: accepted}
	serveLimited(t, server, &notifyingListener{connections.Listener(limit.listener(held)), 2, accepted})
	time.Sleep(2 * minIdleTime)
	send(t, conn, "/")
	<-read
	dialLocal(t, inner)
	must.Eq(t, http.StatusOK, answer(t, bufio.NewReader(conn)).StatusCode)
}

// heldListener holds what is read first on its first connection until accepted is closed. It closes read when it has been read.
type heldListener struct {
	net.Listener
	read, accepted chan struct{}
	first          atomic.Bool
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || !l.first.CompareAndSwap(false, true) {
		return c, err
	}
	return &heldConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

// heldConn is the first connection of a heldListener.
type heldConn struct {
	*net.TCPConn
	listener *heldListener
	held     atomic.Bool
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.held.CompareAndSwap(false, true) {
		close(c.listener.read)
		<-c.listener.accepted
	}
	return n, err
}

// TestUnreadRequest guards against closing a connection whose request has arrived, but was not read
// because the process had been stopped.
func TestUnreadRequest(t *testing.T) {
	inner := listenLocal(t)
	caller := dialLocal(t, inner)
	connections := &snipeconn.Tracker{}
	limit := &connectionLimit{most: 1, connections: connections}
	must.True(t, limit.admit())
	conn, err := connections.Listener(inner).Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	time.Sleep(minIdleTime)
	send(t, caller, "/")
	time.Sleep(100 * time.Millisecond) // until the request has arrived
	must.False(t, limit.admit())
	_, err = http.ReadRequest(bufio.NewReader(conn))
	must.NoError(t, err)
	connections.StateChanged(conn, http.StateIdle)
	time.Sleep(minIdleTime)
	must.True(t, limit.admit())
}

// notifyingListener closes accepted when it has accepted the given number of connections.
type notifyingListener struct {
	net.Listener
	after    int
	accepted chan struct{}
}

// Accept implements net.Listener.
func (l *notifyingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if l.after--; l.after == 0 {
		close(l.accepted)
	}
	return c, err
}

// TestShares guards against parts of the memory that are together more than the memory: Go's limit, the
// kernel buffers of all requests that the bound admits, and the program's text; and against parts of Go's limit that leave less
// than a fifth of the memory for tables and garbage.
func TestShares(t *testing.T) {
	const goShare, textBytes, maxHeldShare = 0.7, 10 << 20, 0.5
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
				must.Eq(t, 0, s.headsBound())
				return
			}
			requests := s.pressureBound() / (snipegateway.RequestBytes + s.socketBytes())
			must.Less(t, tt.memory, int64(goShare*float64(tt.memory))+requests*s.socketBytes()+textBytes)
			must.Greater(t, int(requests), s.maxConnections())
			must.LessEq(t, int64(maxHeldShare*float64(tt.memory)), s.pressureBound()+s.headsBound()+int64(connectionShare*float64(tt.memory)))
		})
	}
}
