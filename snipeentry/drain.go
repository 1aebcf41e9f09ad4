package snipeentry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

// drainInterval is the time between two looks at the open connections of a server that is drained.
const drainInterval = 20 * time.Millisecond

// drainingServer is a server whose accepted connections are drained before it is shut down. From the beginning of
// http.Server.Shutdown on, net/http closes a connection without an answer if it reads the head of a request there, also of
// one that arrived before.
type drainingServer struct {
	*http.Server
	name        string
	listener    net.Listener
	connections *snipeconn.Tracker
}

// newDrainingServer returns a server that serves a listener, by its field. It is called before the server serves. Closed is
// called when the server closes a connection.
func newDrainingServer(name string, s *http.Server, l net.Listener, closed func(snipeconn.Closing)) *drainingServer {
	connections := &snipeconn.Tracker{Closed: closed}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		connections.StateChanged(c, state)
		if next != nil {
			next(c, state)
		}
	}
	return &drainingServer{Server: s, name: name, listener: connections.Listener(l), connections: connections}
}

// drain accepts no more connections, closes those that are idle, and serves the others until they are closed after their
// requests, until the given time, or until ctx ends. A connection that was used before is idle until the head of its next
// request has been read.
func (d *drainingServer) drain(ctx context.Context, until time.Time) {
	// An error means that it is closed.
	_ = d.listener.Close()
	for ctx.Err() == nil && time.Now().Before(until) {
		d.SetKeepAlivesEnabled(false) // closes idle connections each time
		// Before the first look too: a connection counts a moment after it was accepted.
		snipetime.Sleep(ctx, drainInterval)
		if d.connections.Open() == 0 {
			return
		}
	}
}

// connectionClosed returns the function that counts the connections that a listener's server closes. It logs those that are
// closed with a request and without an answer.
func (i *Instance) connectionClosed(listener string) func(snipeconn.Closing) {
	type kind struct {
		state snipeconn.State
		left  bool
	}
	counters := map[kind]string{}
	for s := snipeconn.Unused; s <= snipeconn.Answering; s++ {
		for _, left := range []bool{false, true} {
			counters[kind{s, left}] = fmt.Sprintf("snipepitch_connections_closed_total{listener=%q,state=%q,left=\"%t\"}", listener, s, left)
		}
	}
	return func(c snipeconn.Closing) {
		i.meter.Count(counters[kind{c.State, c.Left}])
		if !c.Unanswered() {
			return
		}
		suppressed, ok := i.unanswered.Admit(time.Now())
		if !ok {
			return
		}
		i.Log.Log(snipelog.RequestUnanswered, snipelog.Fields{
			"Listener": listener, "Stopping": i.stopState.stopping(), "QuietMilliseconds": c.Quiet.Milliseconds(), "Suppressed": suppressed,
		})
	}
}
