package snipeconn

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Conn is a connection of a server with a Tracker. It is safe for concurrent use as net.Conn is.
type Conn struct {
	net.Conn
	tracker *Tracker

	lock  sync.Mutex // guards the fields below
	state State
	// changed is when the state changed last, or bytes of a request arrived.
	changed time.Time
	// left is set if the other side has closed the connection, or it has failed.
	left   bool
	closed bool
}

// Closing is the close of a connection.
type Closing struct {
	// State is the state in which it was closed.
	State State
	// Left reports that the other side had closed the connection, or that it had failed.
	Left bool
	// Quiet is the time since the state changed last, or bytes of a request arrived.
	Quiet time.Duration
}

// Unanswered reports whether the connection was closed with a request and without an answer, though the other side had not left.
func (c Closing) Unanswered() bool { return c.State == Unanswered && !c.Left }

func newConn(inner net.Conn, t *Tracker) *Conn {
	return &Conn{Conn: inner, tracker: t, changed: time.Now()}
}

// NetConn returns the connection that is tracked.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.noteRead(n, err)
	return n, err
}

// noteRead records the outcome of a read.
func (c *Conn) noteRead(n int, err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if n > 0 {
		c.noteArrived()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.left = true
	}
}

// noteArrived records that some of a request has arrived. The lock is held.
func (c *Conn) noteArrived() {
	c.changed = time.Now()
	if c.state == Unused || c.state == Idle {
		c.state = Unanswered
	}
}

// setArrived records that some of a request has arrived.
func (c *Conn) setArrived() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.noteArrived()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.noteWritten()
	}
	return n, err
}

// noteWritten records that some of an answer has been written.
func (c *Conn) noteWritten() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.state != Answering {
		c.state, c.changed = Answering, time.Now()
	}
}

// setIdle records that the answer is complete.
func (c *Conn) setIdle() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.state, c.changed = Idle, time.Now()
}

// CloseWrite closes the side of the connection that the server writes; net/http does so before it closes a connection on
// which more of a request may arrive.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	end, first := c.noteClosed()
	err := c.Conn.Close()
	if first {
		c.tracker.remove(c, end)
	}
	return err
}

// noteClosed records the close, and reports whether it is the first one.
func (c *Conn) noteClosed() (end Closing, first bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	first = !c.closed
	c.closed = true
	return Closing{State: c.state, Left: c.left, Quiet: time.Since(c.changed)}, first
}
