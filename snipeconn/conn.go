package snipeconn

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// lateHeadTime is the time for the rest of a request's head of which some had arrived, but was not read, when a deadline passed. A
// head of which nothing more arrives for so long may be given up for another connection.
const lateHeadTime = time.Second

// lookAhead is the size of the reads, in bytes, by which net/http watches for the end of a connection while a handler runs.
const lookAhead = 1

// Conn is a connection of a server with a Tracker. It is safe for concurrent use as net.Conn is.
type Conn struct {
	net.Conn
	tracker *Tracker

	lock  sync.Mutex // guards the fields below
	state State
	// changed is when the state changed last, or bytes of a request arrived.
	changed time.Time
	// ahead is set if some of the next request has been read before the answer was complete.
	ahead bool
	// used is set once the server has read a request, handling from the end of a request's head to that of its answer.
	used, handling bool
	// deadline is the read deadline that the server has set last, and deadlines how many it has set since the state changed.
	deadline  time.Time
	deadlines int
	// ending is set while the read deadline is that of End, in place of the server's.
	ending bool
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

// State returns what the connection is used for.
func (c *Conn) State() State {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.state
}

// pending reports whether the connection was used for a request, or some of one has arrived.
func (c *Conn) pending() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.used || c.state == Unanswered
}

// End lets the connection be closed once it has been idle, or unused, for minIdle, unless a request arrives before. It reports
// false, and does nothing, if one has arrived.
func (c *Conn) End(minIdle time.Duration) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.awaitsRequest() {
		return false
	}
	return c.endAt(c.changed.Add(minIdle))
}

// endStalled lets the connection be closed unless more of the head of its request has arrived. It reports false, and does nothing,
// if the head is complete or more has arrived.
func (c *Conn) endStalled() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.inHead() {
		return false
	}
	return c.endAt(c.changed)
}

// endAt sets the read deadline of a connection that is to be closed, and reports false if something has arrived. The lock is held.
func (c *Conn) endAt(t time.Time) bool {
	if c.closed || hasUnread(c.Conn) {
		return false
	}
	c.ending = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(t)
	return true
}

// idleSince returns since when the connection has been idle, or unused; false if it has a request, is to be closed already, or
// became idle after latest.
func (c *Conn) idleSince(latest time.Time) (time.Time, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.changed, c.awaitsRequest() && c.isQuiet(latest)
}

// stalledSince returns since when nothing more of the head of a request has arrived; false if there is no such head, the
// connection is to be closed already, or something has arrived after latest.
func (c *Conn) stalledSince(latest time.Time) (time.Time, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.changed, c.inHead() && c.isQuiet(latest)
}

// isQuiet reports whether nothing has changed since latest and the connection is not to be closed already. The lock is held.
func (c *Conn) isQuiet(latest time.Time) bool {
	return !c.closed && !c.ending && !c.changed.After(latest) && !hasUnread(c.Conn)
}

// inHead reports whether some of the head of a request has arrived, and not all of it. The lock is held.
func (c *Conn) inHead() bool { return c.state == Unanswered && !c.handling }

// awaitsRequest reports whether nothing of a request has arrived since the last one was answered. The lock is held.
func (c *Conn) awaitsRequest() bool { return c.state == Unused || c.state == Idle }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.noteRead(n, err, len(p) == lookAhead) {
			return n, err
		}
	}
}

// noteRead records the outcome of a read. It reports whether to read again: a deadline has passed before the head of a request was
// complete, but something has arrived meanwhile. Ahead is set if what was read belongs to the next request.
func (c *Conn) noteRead(n int, err error, ahead bool) (again bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && !late && !errors.Is(err, net.ErrClosed) {
		c.left = true
	}
	again = n == 0 && late && !c.handling && hasUnread(c.Conn)
	if n > 0 && ahead && c.handling {
		c.ahead = true
	}
	if n > 0 || again {
		c.noteArrived(again)
	}
	return again
}

// noteArrived records that some of a request has arrived. From the first of it on, the read deadline is that of its head. Late is
// set if the deadline has passed. The lock is held.
func (c *Conn) noteArrived(late bool) {
	now := time.Now()
	c.changed = now
	begins := c.awaitsRequest()
	if begins {
		c.state = Unanswered
	}
	if !late && !c.ending && (!begins || c.handling) {
		return
	}
	c.ending = false
	deadline := c.deadline
	if !c.handling {
		deadline = c.headDeadline(now)
	}
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(deadline)
}

// headDeadline returns the deadline of a head of which some has arrived. It is the server's, which sets that of an idle connection
// until it has seen four bytes. If it has passed, as when the process was stopped for a while, the rest has lateHeadTime. The lock is
// held.
func (c *Conn) headDeadline(now time.Time) time.Time {
	deadline := c.deadline
	if h := c.tracker.HeadTime; h > 0 && (deadline.IsZero() || deadline.After(now.Add(h))) {
		deadline = now.Add(h)
	}
	if !deadline.IsZero() && !deadline.After(now) {
		deadline = now.Add(lateHeadTime)
	}
	return deadline
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.deadline = t
	if c.deadlines++; c.deadlines > 1 && c.state == Idle {
		// net/http sets a deadline for the time that the connection may be idle, and then one for the head of the request. Some of
		// it may have arrived with the request before, so that no read tells.
		c.noteArrived(false)
	}
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// setArrived records that the server has read the head of a request.
func (c *Conn) setArrived() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.used, c.handling = true, true
	c.noteArrived(false)
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
	c.state, c.changed, c.deadlines, c.handling = Idle, time.Now(), 0, false
	if c.ahead {
		c.ahead = false
		c.noteArrived(false)
	}
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

// hasUnread reports whether bytes have arrived on a connection that have not been read.
func hasUnread(c net.Conn) bool {
	for w, ok := c.(wrapper); ok; w, ok = c.(wrapper) {
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	// Control, unlike Read, does not wait for the read in progress.
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, _ = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}
