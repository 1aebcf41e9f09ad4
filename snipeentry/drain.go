package snipeentry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipetime"
)

// drainInterval is the time between two looks at the open connections of a server that is drained.
const drainInterval = 20 * time.Millisecond

// drainingServer is a server whose accepted connections are drained before it is shut down. From the beginning of
// http.Server.Shutdown on, net/http closes a connection without an answer if it reads the head of a request there, also of
// one that arrived before.
type drainingServer struct {
	*http.Server
	listener net.Listener
	open     atomic.Int64 // connections
}

// newDrainingServer returns a server that serves a listener. It is called before the server serves.
func newDrainingServer(s *http.Server, l net.Listener) *drainingServer {
	d := &drainingServer{Server: s, listener: l}
	next := s.ConnState
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			d.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			d.open.Add(-1)
		}
		if next != nil {
			next(c, state)
		}
	}
	return d
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
		if d.open.Load() == 0 {
			return
		}
	}
}
