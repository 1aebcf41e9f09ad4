// Package snipeconn tells what the connections of an HTTP/1 server are used for at the moment.
//
// The server itself (net/http) counts a connection as idle until the whole head of its next request has been read. A Tracker
// counts it as idle only until the first byte of the request has been read.
package snipeconn

import (
	"net"
	"net/http"
	"sync"
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

	lock  sync.Mutex // guards conns
	conns map[*Conn]struct{}
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, tracker: t}
}

// StateChanged implements http.Server.ConnState.
func (t *Tracker) StateChanged(c net.Conn, s http.ConnState) {
	tracked, ok := c.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		tracked.setIdle()
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
