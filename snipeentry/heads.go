package snipeentry

import (
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipepressure"
)

// headRefusal is the answer to a request whose head there is no room for. Of the request nothing has run.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

const headsRefusedCounter = "snipepitch_heads_refused_total"

var errHeadRefused = errors.New("no room for the head of a request")

// headLimit bounds the memory of the heads that are being read. net/http reads a head whole before a handler sees it, and many
// short lines take a multiple of their bytes. Heads have a bound of their own, so that callers that send them slowly take nothing
// of what requests may hold.
type headLimit struct {
	budget *snipepressure.Budget
	// answer answers the connection of a head that there is no room for, and closes it.
	answer func(c net.Conn, text string)
	// refused is called for each head that there is no room for.
	refused func(*snipepressure.FullError)
}

// listener returns a listener whose connections count the heads that are read on them; inner if there is no bound.
func (l *headLimit) listener(inner net.Listener) net.Listener {
	if !l.budget.Active() {
		return inner
	}
	return &headListener{Listener: inner, limit: l}
}

// headListener is a listener with a headLimit.
type headListener struct {
	net.Listener
	limit *headLimit
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if t, ok := c.(*net.TCPConn); ok && err == nil {
		return &headConn{TCPConn: t, limit: l.limit, inHead: true}, nil
	}
	return c, err
}

// trackHeads returns a function for http.Server.ConnState that calls next and tells connections where a head begins and ends.
func trackHeads(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, s http.ConnState) {
		next(c, s)
		if w, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = w.NetConn()
		}
		h, ok := c.(*headConn)
		if !ok {
			return
		}
		switch s {
		case http.StateActive:
			h.endHead() // the gateway counts it with its request from now on
		case http.StateIdle:
			h.beginHead()
		}
	}
}

// headConn is a connection with a headLimit.
type headConn struct {
	*net.TCPConn
	limit *headLimit

	lock sync.Mutex // guards the fields below
	// inHead is set from the end of a request to the end of the next one's head. lineLength is the length of the line that has
	// not ended.
	inHead                   bool
	bytes, lines, lineLength int64
	account                  snipepressure.Account
	counted                  int64
	refused                  bool
}

// NetConn returns the connection whose heads are counted.
func (c *headConn) NetConn() net.Conn { return c.TCPConn }

// Read implements net.Conn. What it returns of a head has been counted.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	full := c.count(p[:n])
	if full == nil {
		return n, err
	}
	c.limit.refused(full)
	c.limit.answer(c.TCPConn, fmt.Sprintf(headRefusal, full.RetryAfter.Seconds()))
	// net/http writes no answer after an error of this type.
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
}

// count counts what was read of a head. It returns the refusal if there is no room for it.
func (c *headConn) count(data []byte) *snipepressure.FullError {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.inHead || len(data) == 0 {
		return nil
	}
	c.scan(data)
	more := snipegateway.HeadBytes(c.bytes, c.lines) - c.counted
	if more <= 0 {
		return nil
	}
	full := c.grow(more)
	if full == nil {
		c.counted += more
		return nil
	}
	c.refused = true
	c.account.Close()
	return full
}

// grow counts bytes of a head. The workspace of a request is not known before its head has been read. The lock is held.
func (c *headConn) grow(bytes int64) *snipepressure.FullError {
	if c.account.Active() {
		if c.account.GrowBody(bytes) {
			return nil
		}
		return c.account.Refusal(bytes)
	}
	var full *snipepressure.FullError
	errors.As(c.limit.budget.Open(&c.account, "", bytes), &full)
	return full
}

// scan notes the lines of what was read, up to the end of the head. The lock is held.
func (c *headConn) scan(data []byte) {
	for _, b := range data {
		c.bytes++
		switch {
		case b == '\n' && c.lineLength == 0 && c.lines > 0:
			c.inHead = false
			return
		case b == '\n':
			c.lines++
			c.lineLength = 0
		case b != '\r':
			c.lineLength++
		}
	}
}

// endHead releases what was counted for a head.
func (c *headConn) endHead() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.inHead = false
	c.account.Close()
}

// beginHead begins to count the next head.
func (c *headConn) beginHead() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.inHead, c.bytes, c.lines, c.lineLength, c.counted = true, 0, 0, 0, 0
}

// Close implements net.Conn. The connection of a head that was refused is closed by its answer.
func (c *headConn) Close() error {
	c.endHead()
	c.lock.Lock()
	refused := c.refused
	c.lock.Unlock()
	if refused {
		return nil
	}
	return c.TCPConn.Close()
}

// headRefused counts and logs a head that there is no room for.
func (i *Instance) headRefused(f *snipepressure.FullError) {
	i.meter.Count(headsRefusedCounter)
	i.Log.Log(snipelog.RefusedForMemory, snipelog.Fields{
		"Held": f.Held, "Bound": f.Bound, "WorkspaceHeld": f.WorkspaceHeld, "Wanted": f.Wanted, "FreedPerSecond": int64(f.FreedPerSecond),
		"RetryMilliseconds": f.RetryAfter.Milliseconds(), "Head": true,
	})
}
