package snipeentry

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// refusalText is the answer on a connection that is refused at the bound. The request, of which
	// nothing is read, has not run.
	refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// minIdleTime is how long a connection has been idle before it is closed for a new one. A caller
	// that has just connected or been answered is likely to send a request.
	minIdleTime = 200 * time.Millisecond
	// lingerTime is how long a refused connection stays half open. A close while bytes of the request
	// arrive would reset the connection, and the caller would lose the answer.
	// It is many round trips.
	lingerTime = 100 * time.Millisecond
	// lingerBuffer is the receive buffer of a refused connection; the kernel raises it to its least.
	lingerBuffer = 2 << 10
	// maxLingering bounds the refused connections that are half open; the next ones are reset.
	// It allows thousands of callers that connect at once to be refused with an answer; each of these
	// connections takes kernel memory.
	maxLingering = 1024
	// refusalLogInterval is the least time between two log lines about refused connections.
	refusalLogInterval = time.Second
)

// connectionLimit bounds the open connections of callers. At the bound the connection that is idle
// for longest, or has sent no request for longest, is closed for a new one; if there is none, the new
// one is refused. It is safe for concurrent use.
//
// The server calls stateChanged only after it has read the header of a request, so that a connection
// that counts as idle may have one. It is therefore not closed, but its read deadline is set to the
// past: the server closes a connection on which it still waits for a request, and removes the
// deadline otherwise. The bound may be exceeded by the connections on which a request has just arrived.
type connectionLimit struct {
	most int
	// refused is called for each refused connection; first is set for the first one of a second.
	refused func(open int, first bool)

	lock      sync.Mutex // guards the fields below
	open      int
	idle      map[net.Conn]time.Time
	lingering int
	nextLog   time.Time
}

// count returns the number of open connections.
func (l *connectionLimit) count() int {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.open
}

// stateChanged implements http.Server.ConnState.
func (l *connectionLimit) stateChanged(c net.Conn, s http.ConnState) {
	l.lock.Lock()
	defer l.lock.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		if l.idle == nil {
			l.idle = make(map[net.Conn]time.Time)
		}
		l.idle[c] = time.Now()
	case http.StateActive:
		if _, ok := l.idle[c]; !ok {
			// It was to be closed, and would otherwise be when the server watches for its end.
			_ = c.SetReadDeadline(time.Time{})
		}
		delete(l.idle, c)
	case http.StateClosed, http.StateHijacked:
		delete(l.idle, c)
		l.open--
	}
}

// add counts a new connection, and reports false if it must be refused. At the bound it ends an idle
// connection.
func (l *connectionLimit) add() (ok bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.open >= l.most && !l.endIdle() {
		return false
	}
	l.open++
	return true
}

// endIdle ends the connection that is idle for longest, and reports false if there is none. The lock
// is held.
func (l *connectionLimit) endIdle() bool {
	latest := time.Now().Add(-minIdleTime)
	var victim net.Conn
	for c, since := range l.idle {
		if !since.After(latest) && (victim == nil || since.Before(l.idle[victim])) && !hasUnread(c) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	delete(l.idle, victim)
	_ = victim.SetReadDeadline(time.Unix(1, 0))
	return true
}

// hasUnread reports whether bytes have arrived on a connection that the server has not read yet, as
// when the process was stopped for a while.
func hasUnread(c net.Conn) bool {
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

// listener returns a listener whose connections count; l itself if the limit is nil.
func (l *connectionLimit) listener(inner net.Listener) net.Listener {
	if l == nil {
		return inner
	}
	return &limitedListener{Listener: inner, limit: l}
}

// limitedListener is a listener with a connectionLimit.
type limitedListener struct {
	net.Listener
	limit *connectionLimit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limit.add() {
			return c, nil
		}
		l.limit.refuse(c)
	}
}

// refuse answers a connection that is not accepted, and closes it.
func (l *connectionLimit) refuse(c net.Conn) {
	now := time.Now()
	l.lock.Lock()
	linger, first, open := l.lingering < maxLingering, !now.Before(l.nextLog), l.open
	if linger {
		l.lingering++
	}
	if first {
		l.nextLog = now.Add(refusalLogInterval)
	}
	l.lock.Unlock()
	l.refused(open, first)
	t, isTCP := c.(*net.TCPConn)
	if !linger || !isTCP {
		_ = c.Close()
		return
	}
	_ = t.SetReadBuffer(lingerBuffer)
	// The empty send buffer takes the whole answer, so the write does not block.
	_, _ = t.Write([]byte(refusalText))
	_ = t.CloseWrite()
	time.AfterFunc(lingerTime, func() {
		_ = t.Close()
		l.lock.Lock()
		l.lingering--
		l.lock.Unlock()
	})
}
