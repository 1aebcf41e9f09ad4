package snipeinstance

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestand"
)

var testAddress = netip.MustParseAddrPort("10.0.0.9:1")

// startServer serves a listener on an in-memory network.
func startServer(n *snipestand.Network, l listener) *server {
	l.log = snipelog.Discard()
	s := newServer(l, n.Listen(testAddress))
	go func() { _ = s.serve() }()
	return s
}

// get sends one request on a connection and returns the status and body of the answer.
func get(t *testing.T, c net.Conn) (int, string) {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r.StatusCode, string(body)
}

// TestConnectionsAreBounded guards against connections that exceed a listener's limit: a connection
// over the limit gets a refusal, one far over it is closed without an answer. After a connection is
// closed, a new one is served.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &snipestand.Network{}
		s := startServer(n, listener{
			connections: 2,
			handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		})
		dial := func() net.Conn {
			c, err := n.Dial(t.Context(), "tcp", testAddress.String())
			must.NoError(t, err)
			return c
		}
		first, second, third := dial(), dial(), dial()
		for _, c := range []net.Conn{first, second} {
			status, body := get(t, c)
			must.Eq(t, 200, status)
			must.Eq(t, "ok", body)
		}
		fourth := dial()
		_, err := fourth.Read(make([]byte, 1))
		must.ErrorIs(t, err, io.EOF)
		status, body := get(t, third)
		must.Eq(t, http.StatusServiceUnavailable, status)
		f, err := snipeerror.Decode([]byte(body))
		must.NoError(t, err)
		must.ErrorIs(t, f, snipeerror.ErrOverloaded)
		must.Eq(t, snipeerror.NotRun, f.Outcome)
		must.Eq(t, time.Second, f.RetryAfter)
		must.NoError(t, first.Close())
		synctest.Wait()
		status, _ = get(t, dial())
		must.Eq(t, 200, status)
		_ = s.http.Close()
		n.Cut()
	})
}

// TestShutdownSendsWrittenAnswer guards against a planned stop that cuts off an answer: the handler
// has written it, but the bytes are sent only when the handler returns. A forced stop does not
// wait.
func TestShutdownSendsWrittenAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		cause    error
		complete bool
	}{
		"planned": {nil, true},
		"forced":  {ErrForced, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &snipestand.Network{}
				s := startServer(n, listener{
					connections: 2,
					handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_, _ = io.WriteString(w, "all of it")
						time.Sleep(time.Second)
					}),
				})
				conn, err := n.Dial(t.Context(), "tcp", testAddress.String())
				must.NoError(t, err)
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
				must.NoError(t, err)
				synctest.Wait()
				go s.shutdown(c.cause)
				r, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if !c.complete {
					must.Error(t, err)
				} else {
					must.NoError(t, err)
					body, err := io.ReadAll(r.Body)
					must.NoError(t, err)
					must.Eq(t, "all of it", string(body))
				}
				time.Sleep(10 * time.Second)
				n.Cut()
			})
		})
	}
}

// TestShutdownIgnoresConnectionsWithoutRequest guards against a stop that is delayed by connections
// without a request, which a balancer opens in advance.
func TestShutdownIgnoresConnectionsWithoutRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &snipestand.Network{}
		s := startServer(n, listener{connections: 2, handler: http.NotFoundHandler()})
		_, err := n.Dial(t.Context(), "tcp", testAddress.String())
		must.NoError(t, err)
		synctest.Wait()
		start := time.Now()
		s.shutdown(nil)
		must.Less(t, stopPoll, time.Since(start))
		n.Cut()
	})
}

// TestShutdownAnswersWhatIsRead guards against a stop that closes a kept connection as idle while the next request is being read
// on it: its caller got no answer.
func TestShutdownAnswersWhatIsRead(t *testing.T) {
	for name, held := range map[string]time.Duration{"AtOnce": 0, "Late": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &snipestand.Network{}
				reads := &heldReads{}
				s := newServer(listener{connections: 2, log: snipelog.Discard(), handler: http.NotFoundHandler()}, heldListener{n.Listen(testAddress), reads})
				go func() { _ = s.serve() }()
				conn, err := n.Dial(t.Context(), "tcp", testAddress.String())
				must.NoError(t, err)
				status, _ := get(t, conn)
				must.Eq(t, http.StatusNotFound, status)
				reads.delay.Store(int64(held))
				answered := make(chan int, 1)
				go func() {
					status, _ := get(t, conn)
					answered <- status
				}()
				synctest.Wait()
				s.shutdown(nil)
				must.Eq(t, http.StatusNotFound, <-answered)
				n.Cut()
			})
		})
	}
}

// heldReads delays what a server learns of the bytes that it reads.
type heldReads struct{ delay atomic.Int64 }

// heldListener is a listener whose connections are read late.
type heldListener struct {
	net.Listener
	reads *heldReads
}

// Accept implements net.Listener.
func (l heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return heldConn{c, l.reads}, err
}

// heldConn is a connection that is read late.
type heldConn struct {
	net.Conn
	reads *heldReads
}

// Read implements net.Conn.
func (c heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(time.Duration(c.reads.delay.Load()))
	}
	return n, err
}
