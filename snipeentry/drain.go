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

// drainingServer is a server whose accepted connections are drained before it is closed. http.Server.Shutdown and
// SetKeepAlivesEnabled are not used: they close a connection also while the head of its next request is being read.
type drainingServer struct {
	*http.Server
	name        string
	listener    net.Listener
	connections *snipeconn.Tracker
	// served is closed when no more connections are accepted.
	served chan struct{}
}

// newDrainingServer returns a server for the connections of inner, which it tracks in connections.
func newDrainingServer(name string, s *http.Server, inner net.Listener, connections *snipeconn.Tracker) *drainingServer {
	s.ConnState = connections.StateChanged
	return &drainingServer{Server: s, name: name, listener: connections.Listener(inner), connections: connections, served: make(chan struct{})}
}

// serve serves the server's listener until that is closed. It is called once.
func (d *drainingServer) serve() error {
	defer close(d.served)
	return d.Serve(d.listener)
}

// drain accepts no more connections, closes those that are idle, and serves the others until they are closed after their
// requests, or until ctx ends.
func (d *drainingServer) drain(ctx context.Context) {
	// An error means that it is closed.
	_ = d.listener.Close()
	select {
	case <-d.served:
	case <-ctx.Done():
	}
	d.connections.Drain(minIdleTime)
	for ctx.Err() == nil && d.connections.Open() > 0 {
		snipetime.Sleep(ctx, drainInterval)
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
