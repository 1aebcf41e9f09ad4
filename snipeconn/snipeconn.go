// Package snipeconn tells what the connections of an HTTP/1 server are used for at the moment, and closes them only while they
// are idle. At a bound on their number it also closes those whose callers leave the head of a request unfinished.
//
// The server itself (net/http) counts a connection as idle until the whole head of its next request has been read, and closes
// idle ones at a shutdown whatever has arrived on them. Here a connection is idle only until the first byte of the request has
// been read. To close it, the goroutine that waits for this byte is woken, and looks whether anything has arrived: as this
// goroutine alone reads, nothing can be read between the look and the close.
package snipeconn

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// State is what a connection is used for.
type State int

// The states of a connection.
const (
	// Unused is a connection on which nothing has arrived yet.
	Unused State = iota
	// Idle is a connection whose last request has been answered, and on which nothing of the next one has been read.
	Idle
	// Unanswered is a connection on which some of a request has been read, and nothing of its answer has been written.
	Unanswered
	// Answering is a connection on which some of an answer has been written.
	Answering
)

var stateNames = [...]string{"Unused", "Idle", "Unanswered", "Answering"}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// Tracker knows the open connections of one server, which serves Listener and calls StateChanged. The zero value is ready to
// use. It is safe for concurrent use.
type Tracker struct {
	// Closed is called when the server closes a connection; nil for no call. It is set before the server serves.
	Closed func(Closing)
	// HeadTime bounds the time from the first byte of a request to the end of its head. It is that of the server; zero means no
	// bound.
	HeadTime time.Duration

	lock     sync.Mutex // guards the fields below
	conns    map[*Conn]struct{}
	draining bool
	minIdle  time.Duration
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, tracker: t}
}

// StateChanged implements http.Server.ConnState. The connection is one of Listener, or uses one, as a *tls.Conn does.
func (t *Tracker) StateChanged(c net.Conn, s http.ConnState) {
	tracked := unwrap(c)
	if tracked == nil {
		return
	}
	switch s {
	case http.StateIdle:
		tracked.setIdle()
		if draining, minIdle := t.isDraining(); draining {
			tracked.End(minIdle)
		}
	case http.StateActive:
		// Of a pipelined request nothing is read here: it arrived with the one before.
		tracked.setArrived()
	}
}

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.conns)
}

// Pending returns the number of open connections that were used for a request, or on which some of one has arrived. Below TLS it
// counts a connection only from the end of the first head on.
func (t *Tracker) Pending() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	n := 0
	for c := range t.conns {
		if c.pending() {
			n++
		}
	}
	return n
}

// EndOldest ends the connection that has been idle, or unused, for longest, and for minIdle at least. If there is none, it ends the
// one with part of a head that has waited for the rest for longest, and for a second at least. It reports false if there is
// neither.
func (t *Tracker) EndOldest(minIdle time.Duration) bool {
	now := time.Now()
	end := func(c *Conn) bool { return c.End(minIdle) }
	return t.endOldest(now.Add(-minIdle), (*Conn).idleSince, end) ||
		t.endOldest(now.Add(-lateHeadTime), (*Conn).stalledSince, (*Conn).endStalled)
}

// endOldest ends the connection for which since returns the earliest time, latest at most. It reports false if there is none.
func (t *Tracker) endOldest(latest time.Time, since func(*Conn, time.Time) (time.Time, bool), end func(*Conn) bool) bool {
	for {
		c := t.oldest(latest, since)
		if c == nil {
			return false
		}
		if end(c) {
			return true
		}
		// Something has arrived on it meanwhile.
	}
}

// oldest returns the connection for which since returns the earliest time, latest at most; nil if there is none.
func (t *Tracker) oldest(latest time.Time, since func(*Conn, time.Time) (time.Time, bool)) *Conn {
	t.lock.Lock()
	defer t.lock.Unlock()
	var oldest *Conn
	for c := range t.conns {
		if at, ok := since(c, latest); ok {
			oldest, latest = c, at
		}
	}
	return oldest
}

// Drain lets the connections that were used before be closed as soon as they have been idle for minIdle, those that are idle now
// and those that become idle later. Those that were not used yet stay open for their first request.
func (t *Tracker) Drain(minIdle time.Duration) {
	for _, c := range t.startDraining(minIdle) {
		if c.State() == Idle {
			c.End(minIdle)
		}
	}
}

// startDraining returns the connections that are open when draining begins.
func (t *Tracker) startDraining(minIdle time.Duration) []*Conn {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.draining, t.minIdle = true, minIdle
	return slices.Collect(maps.Keys(t.conns))
}

func (t *Tracker) isDraining() (draining bool, minIdle time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.draining, t.minIdle
}

func (t *Tracker) add(c *Conn) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.conns == nil {
		t.conns = make(map[*Conn]struct{})
	}
	t.conns[c] = struct{}{}
}

func (t *Tracker) remove(c *Conn, end Closing) {
	t.lock.Lock()
	delete(t.conns, c)
	t.lock.Unlock()
	if t.Closed != nil {
		t.Closed(end)
	}
}

// wrapper is a connection that uses another one.
type wrapper interface{ NetConn() net.Conn }

// unwrap returns the tracked connection that c is or uses; nil if there is none.
func unwrap(c net.Conn) *Conn {
	for {
		if tracked, ok := c.(*Conn); ok {
			return tracked
		}
		w, ok := c.(wrapper)
		if !ok {
			return nil
		}
		c = w.NetConn()
	}
}

// listener is a listener with a Tracker.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(inner, l.tracker)
	l.tracker.add(c)
	return c, nil
}
