package snipestand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// RunnerServer serves a runner on loopback and crashes it when it begins to run a request whose body
// contains a text. The runner serves again at the same address after Downtime.
type RunnerServer struct {
	Runner *Runner
	// CrashText is the text; empty if no request crashes the runner.
	CrashText string
	// CrashPart is the part of a prompt on which the runner crashes when it begins to write; empty if none.
	CrashPart string
	Downtime  time.Duration
	// WhileDown is what the runner's address does in the Downtime.
	WhileDown DownMode

	address   string
	handler   http.Handler
	forwarder *forwarder // nil with DownRefuses

	lock   sync.Mutex // guards the fields below
	server *http.Server
	front  net.Listener // the forwarder's; nil without one
	closed bool
}

// Start begins to serve on an unused port, and sets the runner's address.
func (s *RunnerServer) Start() error {
	s.handler, s.address = s.Runner.Handler(), loopback
	s.Runner.OnCrash(s.restart)
	if s.CrashText != "" {
		s.Runner.CrashOn(s.CrashText, s.restart)
	}
	if s.CrashPart != "" {
		s.Runner.CrashOnPart(s.CrashPart, s.restart)
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.Runner.Address = s.address
	return nil
}

// Close ends the server and all of its connections.
func (s *RunnerServer) Close() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closed = true
	_ = s.server.Close()
	if s.front != nil {
		_ = s.front.Close()
	}
}

// loopback is the address of an unused port.
const loopback = "127.0.0.1:0"

// listen opens the listener and serves it, unless the server was closed.
func (s *RunnerServer) listen() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.closed {
		return nil
	}
	l, err := s.newListener()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute, ConnContext: ConnContext}
	s.server = server
	go func() { _ = server.Serve(l) }()
	return nil
}

// newListener returns the listener of a start of the runner. The lock is held.
func (s *RunnerServer) newListener() (net.Listener, error) {
	if s.front != nil {
		return s.forwarder.begin(), nil
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	if s.WhileDown == DownRefuses {
		return l, nil
	}
	s.front, s.forwarder = l, &forwarder{address: l.Addr().(*net.TCPAddr).AddrPort(), mode: s.WhileDown}
	go s.forwarder.run(l)
	return s.forwarder.begin(), nil
}

// Crash crashes the runner for no reason of a request. It does nothing while the runner is down.
func (s *RunnerServer) Crash() {
	if s.Runner.beginUnexplainedCrash() {
		s.restart()
	}
}

// restart closes all connections and, without a forwarder, the listener, and serves again after Downtime.
func (s *RunnerServer) restart() {
	s.lock.Lock()
	if s.forwarder != nil {
		s.forwarder.end()
	}
	_ = s.server.Close()
	s.lock.Unlock()
	time.AfterFunc(s.Downtime, func() {
		s.Runner.StartAgain()
		for s.listen() != nil {
			time.Sleep(portRetryInterval)
		}
	})
}

// portRetryInterval is the time between two attempts to listen at the address of a runner that
// starts again: a connection of another process may use the port for a moment.
const portRetryInterval = 20 * time.Millisecond
