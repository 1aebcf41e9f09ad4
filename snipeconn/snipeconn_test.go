package snipeconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeconn"
)

// testServer is a server whose connections are tracked.
type testServer struct {
	*http.Server
	listener net.Listener
	tracker  *snipeconn.Tracker
	closings chan snipeconn.Closing
}

// serve starts a server, whose answers to /wait are held until the test ends.
func serve(t *testing.T) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closings := make(chan snipeconn.Closing, 8)
	tracker := &snipeconn.Tracker{Closed: func(c snipeconn.Closing) { closings <- c }}
	held := make(chan struct{})
	s := &http.Server{
		ReadHeaderTimeout: time.Second, IdleTimeout: time.Minute, ConnState: tracker.StateChanged,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-held
			}
		}),
	}
	listener := tracker.Listener(inner)
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() {
		close(held)
		_ = s.Close()
	})
	return &testServer{s, listener, tracker, closings}
}

// caller is a connection to a testServer.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *caller {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{c, bufio.NewReader(c)}
}

func request(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func (c *caller) send(t *testing.T, text string) {
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

// answer reads an answer, and returns its status.
func (c *caller) answer(t *testing.T) int {
	a, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	_ = a.Body.Close()
	return a.StatusCode
}

// TestClosing guards against a count that takes a connection with a request for an idle one, or one that its caller has left for one
// that the server has closed.
func TestClosing(t *testing.T) {
	tests := map[string]struct {
		// sent are the requests that the caller sends at once, answered the number of those that are answered.
		sent     []string
		answered int
		leaves   bool
		want     snipeconn.State
	}{
		"Unused":         {nil, 0, false, snipeconn.Unused},
		"Piece":          {[]string{"GET / HT"}, 0, false, snipeconn.Unanswered},
		"Handled":        {[]string{request("/wait")}, 0, false, snipeconn.Unanswered},
		"Idle":           {[]string{request("/")}, 1, false, snipeconn.Idle},
		"HandledLater":   {[]string{request("/"), request("/wait")}, 1, false, snipeconn.Unanswered},
		"UnusedAndLeft":  {nil, 0, true, snipeconn.Unused},
		"IdleAndLeft":    {[]string{request("/")}, 1, true, snipeconn.Idle},
		"HandledAndLeft": {[]string{request("/wait")}, 0, true, snipeconn.Unanswered},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			c := s.dial(t)
			for _, text := range tt.sent {
				c.send(t, text)
			}
			for range tt.answered {
				must.Eq(t, http.StatusOK, c.answer(t))
			}
			for s.tracker.Open() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond) // until the server has read what was sent
			if tt.leaves {
				_ = c.Close()
				time.Sleep(50 * time.Millisecond) // until the server has seen it
			}
			_ = s.Close()
			closing := <-s.closings
			must.Eq(t, tt.want, closing.State)
			must.Eq(t, tt.leaves, closing.Left)
			must.Eq(t, tt.want == snipeconn.Unanswered && !tt.leaves, closing.Unanswered())
			must.Zero(t, s.tracker.Open())
		})
	}
}
