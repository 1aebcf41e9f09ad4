package snipeconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
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

// headTime is the time for the head of a request.
const headTime = 2 * time.Second

// serve starts a server, whose answers to /wait are held until the test ends.
func serve(t *testing.T) *testServer {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closings := make(chan snipeconn.Closing, 8)
	tracker := &snipeconn.Tracker{HeadTime: headTime, Closed: func(c snipeconn.Closing) { closings <- c }}
	held := make(chan struct{})
	s := &http.Server{
		ReadHeaderTimeout: headTime, IdleTimeout: time.Minute, ConnState: tracker.StateChanged,
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

// minIdle is the least time that connections of the tests are idle before they are closed.
const minIdle = 200 * time.Millisecond

// TestDrain guards against closing a connection as idle though some of a request has arrived, and against one that stays open.
func TestDrain(t *testing.T) {
	half := len(request("/")) / 2
	first, rest := request("/")[:half], request("/")[half:]
	tests := map[string]struct {
		// before are the bytes that are sent before the drain, answered is how many requests of them are answered.
		before   string
		answered int
		// after are the pieces that are sent after it, each of them wait later.
		after []string
		wait  time.Duration
		// answers is the number of answers after that.
		answers int
	}{
		"Unused":         {"", 0, []string{request("/")}, 2 * minIdle, 1},
		"Used":           {request("/"), 1, nil, 0, 0},
		"UsedInTime":     {request("/"), 1, []string{request("/")}, minIdle / 2, 1},
		"PieceBefore":    {request("/") + first, 1, []string{rest}, 2 * minIdle, 1},
		"PieceInTime":    {request("/"), 1, []string{first, rest}, 3 * minIdle / 4, 1},
		"Pipelined":      {request("/") + request("/") + first, 2, []string{rest}, 2 * minIdle, 1},
		"FirstInPieces":  {first, 0, []string{rest}, 2 * minIdle, 1},
		"HandledSeveral": {request("/") + request("/"), 2, nil, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			c := s.dial(t)
			c.send(t, tt.before)
			for range tt.answered {
				must.Eq(t, http.StatusOK, c.answer(t))
			}
			for s.tracker.Open() == 0 {
				time.Sleep(time.Millisecond)
			}
			s.tracker.Drain(minIdle)
			for _, piece := range tt.after {
				time.Sleep(tt.wait)
				c.send(t, piece)
			}
			for range tt.answers {
				must.Eq(t, http.StatusOK, c.answer(t))
			}
			_, err := c.reader.ReadByte()
			must.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestEndOldest guards against closing a connection that was used more lately than another one, one that has just connected, and one
// with a request.
func TestEndOldest(t *testing.T) {
	s := serve(t)
	busy, used, unused := s.dial(t), s.dial(t), s.dial(t)
	busy.send(t, request("/wait"))
	for s.tracker.Open() < 3 {
		time.Sleep(time.Millisecond)
	}
	must.False(t, s.tracker.EndOldest(minIdle))
	time.Sleep(2 * minIdle)
	used.send(t, request("/"))
	must.Eq(t, http.StatusOK, used.answer(t))
	must.True(t, s.tracker.EndOldest(minIdle))
	_, err := unused.reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.False(t, s.tracker.EndOldest(minIdle))
	time.Sleep(2 * minIdle)
	must.True(t, s.tracker.EndOldest(minIdle))
	_, err = used.reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.False(t, s.tracker.EndOldest(minIdle))
	for s.tracker.Open() > 1 { // counted until the close is complete
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 1, s.tracker.Open())
}

// TestLateRead guards against giving up a request that has arrived before the deadline of a connection, and was not read until after
// it, because the process was stopped for a while.
func TestLateRead(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	sender, err := net.Dial("tcp", inner.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	c, err := (&snipeconn.Tracker{}).Listener(inner).Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(sender, "GET")
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // until it has arrived
	must.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	buffer := make([]byte, 8)
	n, err := c.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, "GET", string(buffer[:n]))
	_, err = io.WriteString(sender, " / HT")
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	n, err = c.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, " / HT", string(buffer[:n]))
	must.NoError(t, c.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = c.Read(buffer)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestStalledHeads guards against heads that are never completed and hold the places of callers, and against giving up one of which
// more arrives, or a request that is being handled.
func TestStalledHeads(t *testing.T) {
	s := serve(t)
	handled, stalled, going := s.dial(t), s.dial(t), s.dial(t)
	handled.send(t, request("/wait"))
	stalled.send(t, "GET / HT")
	for s.tracker.Open() < 3 {
		time.Sleep(time.Millisecond)
	}
	text := request("/")
	for n := range 12 { // 1.2 s
		going.send(t, text[n:n+1])
		must.False(t, n < 8 && s.tracker.EndOldest(minIdle), must.Sprint("within a second"))
		time.Sleep(100 * time.Millisecond)
	}
	must.True(t, s.tracker.EndOldest(minIdle))
	_, err := io.Copy(io.Discard, stalled.reader)
	must.NoError(t, err)
	must.False(t, s.tracker.EndOldest(minIdle))
	going.send(t, text[12:])
	must.Eq(t, http.StatusOK, going.answer(t))
}

// TestUnusedPlaces guards against a connection that stays open in a drain though its caller asks for nothing more: after a piece of a
// head, and after a head with a line that is longer than the server's buffer.
func TestUnusedPlaces(t *testing.T) {
	const bufferSize = 4096 // of net/http
	long := "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 3*bufferSize/2) + "\r\n\r\n"
	line := strings.Index(long, "Long")
	tests := map[string]struct {
		// pieces are sent one after the other, and then after is once they are answered.
		pieces []string
		after  string
	}{
		"OneByte":  {[]string{request("/")}, "G"},
		"NewLine":  {[]string{request("/")}, "\r\n"},
		"LongLine": {[]string{long[:line], long[line : line+bufferSize-1], long[line+bufferSize-1:]}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serve(t)
			c := s.dial(t)
			for _, piece := range tt.pieces {
				c.send(t, piece)
				time.Sleep(100 * time.Millisecond)
			}
			must.Eq(t, http.StatusOK, c.answer(t))
			c.send(t, tt.after)
			time.Sleep(100 * time.Millisecond) // until the server has read it
			s.tracker.Drain(minIdle)
			begun := time.Now()
			_, err := io.Copy(io.Discard, c.reader)
			must.NoError(t, err)
			must.Less(t, 2*headTime, time.Since(begun))
		})
	}
}
