package snipestand

import (
	"io"
	"net"
	"time"
)

// maxRawRead bounds what is read of a request if RawAnswer.Read is zero.
const maxRawRead = 64 << 10

// RawAnswer answers the request on each connection with bytes that need not be an answer of HTTP, and ends the connection.
type RawAnswer struct {
	// Read is how many bytes of the request are read before the answer; zero means what one read returns.
	Read int
	// Text is what is sent.
	Text string
	// Pause is the time from the answer to the end of the connection.
	Pause time.Duration
	// Reset is set if the connection is reset, and not closed in order.
	Reset bool
}

// Serve answers the connections of a listener until it is closed.
func (a RawAnswer) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go a.Answer(c)
	}
}

// Answer answers the request on a connection.
func (a RawAnswer) Answer(c net.Conn) {
	// A request or a connection that ends early gets what is left of the answer.
	if a.Read > 0 {
		_, _ = io.CopyN(io.Discard, c, int64(a.Read))
	} else {
		_, _ = c.Read(make([]byte, maxRawRead))
	}
	_, _ = io.WriteString(c, a.Text)
	time.Sleep(a.Pause)
	if t, ok := c.(*net.TCPConn); ok && a.Reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
