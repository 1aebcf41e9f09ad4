package snipeinstance

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestand"
)

var testAddress = netip.MustParseAddrPort("10.0.0.9:1")

// startServer serves a listener on a network in memory.
func startServer(n *snipestand.Network, l listener) *server {
	l.log = snipelog.Discard()
	s := newServer(l, n.Listen(testAddress))
	go func() { _ = s.http.Serve(s.accept) }()
	return s
}

// get sends one request on a connection and returns its answer.
func get(t *testing.T, c net.Conn) (int, string) {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r.StatusCode, string(body)
}

// TestConnectionsAreBounded: over the bound a connection is told so; far over
// it, it is closed; and one that closes makes room.
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

// TestEndSendsWhatIsWritten: the last bytes of an answer go out although the
// call has ended before them; a forced end does not wait.
func TestEndSendsWhatIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		cause error
		whole bool
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
				go s.end(c.cause)
				r, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if !c.whole {
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

// TestEndDoesNotWaitForNothing: a connection that has brought no request, as a
// balancer keeps them ready, does not hold the end.
func TestEndDoesNotWaitForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &snipestand.Network{}
		s := startServer(n, listener{connections: 2, handler: http.NotFoundHandler()})
		_, err := n.Dial(t.Context(), "tcp", testAddress.String())
		must.NoError(t, err)
		synctest.Wait()
		start := time.Now()
		s.end(nil)
		must.Less(t, stopPoll, time.Since(start))
		n.Cut()
	})
}
