package snipeentry_test

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowReads delays what a process learns of the bytes that it reads: a read of the marked bytes returns only at a given time.
// It stands for a process that has a small part of a processor.
type slowReads struct {
	mark string

	lock  sync.Mutex // guards until
	until time.Time
}

func (s *slowReads) set(until time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.until = until
}

func (s *slowReads) wait(read []byte) {
	if !bytes.Contains(read, []byte(s.mark)) {
		return
	}
	s.lock.Lock()
	until := s.until
	s.lock.Unlock()
	time.Sleep(time.Until(until))
}

// slowListener is a listener whose connections are read slowly.
type slowListener struct {
	net.Listener
	reads *slowReads
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c.(*net.TCPConn), l.reads}, nil
}

// slowConn is a connection that is read slowly.
type slowConn struct {
	*net.TCPConn
	reads *slowReads
}

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.reads.wait(p[:n])
	return n, err
}

// keptRequest is a request on a connection that has served another one before. Its times count from the beginning of a stop.
type keptRequest struct {
	// sent is when it is sent, or its first piece; rest is when the second piece is sent, zero if there is one.
	sent, rest time.Duration
	// read is when the instance notices what it has read of it, zero for at once.
	read time.Duration
}

const keptMark = "X-Kept: 1"

// open opens a connection and has one request answered on it.
func (q keptRequest) open(t *testing.T, i *instance, target string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", i.Settings.Callers.String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	r := bufio.NewReader(c)
	_, err = io.WriteString(c, requestText(target, rand.Text(), ""))
	must.NoError(t, err)
	a, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, a.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, a.StatusCode)
	return c, r
}

func requestText(target, id, header string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Snipepitch-Attempt-Id: %s\r\nX-Snipepitch-Deadline-Ms: 8000\r\n%s%sContent-Length: 4\r\n\r\ntext",
		target, host, id, lateHeader, header)
}

// TestStopAnswersWhatIsRead guards against a stop that closes a connection as idle, or because of the shutdown, on which a request
// is being read: callers got no answer, also of requests that were passed on.
func TestStopAnswersWhatIsRead(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		keptRequest
		target string
		// want is the status that callers get.
		want int
	}{
		"Whole":          {keptRequest{2900 * ms, 0, 3300 * ms}, "/once/x", 200},
		"WholeStream":    {keptRequest{2900 * ms, 0, 3300 * ms}, "/final/x", 200},
		"Pieces":         {keptRequest{2900 * ms, 3300 * ms, 0}, "/once/x", 200},
		"PiecesStream":   {keptRequest{2900 * ms, 3300 * ms, 0}, "/final/x", 200},
		"PiecesSlow":     {keptRequest{2850 * ms, 2900 * ms, 3300 * ms}, "/once/x", 200},
		"BeforeTheEnd":   {keptRequest{2900 * ms, 0, 6500 * ms}, "/once/x", 200},
		"AfterTheEnd":    {keptRequest{2900 * ms, 0, 7600 * ms}, "/once/x", 503},
		"PiecesToTheEnd": {keptRequest{2900 * ms, 7600 * ms, 0}, "/once/x", 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 20*ms)
			s.declare(1)
			reads := &slowReads{mark: keptMark}
			s.slowReads = reads
			one := s.start("one")
			waitServing(t, one)
			c, r := tt.open(t, one, tt.target)
			one.Stop()
			stopped := time.Now()
			if tt.read > 0 {
				reads.set(stopped.Add(tt.read))
			}
			time.Sleep(time.Until(stopped.Add(tt.sent - 100*ms)))
			// The stop waits for another connection, or it would end before what is read slowly is passed on.
			other, err := net.Dial("tcp", one.Settings.Callers.String())
			must.NoError(t, err)
			t.Cleanup(func() { _ = other.Close() })
			id := rand.Text()
			text := requestText(tt.target, id, keptMark+"\r\n")
			first, rest := text, ""
			if tt.rest > 0 {
				first, rest, _ = strings.Cut(text, "Content-Length")
				rest = "Content-Length" + rest
			}
			time.Sleep(time.Until(stopped.Add(tt.sent)))
			_, err = io.WriteString(c, first)
			must.NoError(t, err)
			time.Sleep(time.Until(stopped.Add(tt.rest)))
			_, _ = io.WriteString(c, rest)
			a, err := http.ReadResponse(r, nil)
			if err != nil {
				must.NoError(t, <-one.ended)
				t.Fatalf("no answer, and the request ran %d times: %v", s.total(id), err)
			}
			_, err = io.Copy(io.Discard, a.Body)
			must.NoError(t, err)
			must.Eq(t, tt.want, a.StatusCode)
			must.True(t, a.Close, must.Sprint("the caller is not told that the connection ends"))
			if tt.want == http.StatusServiceUnavailable {
				must.Zero(t, s.total(id))
			}
			must.NoError(t, <-one.ended)
			must.StrNotContains(t, s.logged(), "RequestUnanswered")
		})
	}
}
