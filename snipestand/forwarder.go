package snipestand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// DownMode is what the address of a runner does between a crash and the next start.
type DownMode uint8

// What the address of a runner that is down does. In all modes but DownRefuses another process holds the
// socket, such as a supervisor or a forwarder.
const (
	// DownRefuses refuses connections.
	DownRefuses DownMode = iota
	// DownCloses accepts connections and closes them.
	DownCloses
	// DownResets accepts connections and resets them.
	DownResets
	// DownSilent accepts connections and never answers.
	DownSilent
	// DownFails answers requests with status 502 in the place of the runner.
	DownFails
)

// forwarder holds the socket of a runner across its crashes, and passes connections on to its current
// start.
type forwarder struct {
	address netip.AddrPort
	mode    DownMode

	lock    sync.Mutex       // guards the fields below
	current *networkListener // nil while the runner is down
	held    []net.Conn       // connections that were accepted while it was down
}

// run accepts connections until l is closed.
func (f *forwarder) run(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.lock.Lock()
		to := f.current
		f.lock.Unlock()
		if to == nil || !to.offer(conn) {
			f.answerDown(conn)
		}
	}
}

// begin returns a listener for the connections of a start of the runner. It closes those that were
// accepted before.
func (f *forwarder) begin() net.Listener {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, conn := range f.held {
		_ = conn.Close()
	}
	f.held = nil
	f.current = newNetworkListener(f.address)
	return f.current
}

// end ends the current start.
func (f *forwarder) end() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.current = nil
}

// answerDown handles a connection that was accepted while the runner is down.
func (f *forwarder) answerDown(conn net.Conn) {
	switch f.mode {
	case DownSilent:
		f.lock.Lock()
		defer f.lock.Unlock()
		f.held = append(f.held, conn)
	case DownFails:
		go failRequest(conn)
	case DownResets:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	default:
		_ = conn.Close()
	}
}

// maxFailWait bounds the wait for a request that is answered with status 502.
const maxFailWait = 5 * time.Second

// failRequest reads a request and answers it with status 502.
func failRequest(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(maxFailWait))
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	// An error from writing shows at the client as well.
	_, _ = io.WriteString(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
}
