package snipeentry

import (
	"net"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeconn"
)

const (
	// refusalText is the answer on a connection that is refused at the bound. The request, of which
	// nothing is read, has not run.
	refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// minIdleTime is how long a connection has been idle before it is closed, for a new one or in a planned stop. A caller
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

// connectionLimit bounds the open connections of callers. At the bound the connection that is idle for longest, or has sent no
// request for longest, is closed for a new one; if there is none, the new one is refused. The bound may be exceeded by the
// connections that are to be closed, and by those of them on which a request has just arrived. It is safe for concurrent use.
type connectionLimit struct {
	most int
	// connections are the open connections. The listener of the limit is below that of connections.
	connections *snipeconn.Tracker
	// refused is called for each refused connection; first is set for the first one of a second.
	refused func(open int, first bool)

	lock      sync.Mutex // guards the fields below
	lingering int
	nextLog   time.Time
}

// admit reports whether a new connection may be served. At the bound it ends an idle connection.
func (l *connectionLimit) admit() bool {
	return l.connections.Open() < l.most || l.connections.EndOldest(minIdleTime)
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
		if l.limit.admit() {
			return c, nil
		}
		l.limit.refuse(c)
	}
}

// refuse answers a connection that is not accepted, and closes it.
func (l *connectionLimit) refuse(c net.Conn) {
	now, open := time.Now(), l.connections.Open()
	l.lock.Lock()
	first := !now.Before(l.nextLog)
	if first {
		l.nextLog = now.Add(refusalLogInterval)
	}
	l.lock.Unlock()
	l.refused(open, first)
	l.answerRefusal(c, refusalText)
}

// answerRefusal answers a connection on which no whole request was read, and closes it.
func (l *connectionLimit) answerRefusal(c net.Conn, text string) {
	t, isTCP := c.(*net.TCPConn)
	if !isTCP || !l.beginLinger() {
		_ = c.Close()
		return
	}
	_ = t.SetReadBuffer(lingerBuffer)
	// The send buffer is empty, but for a caller that has not read its answer before, and takes the whole answer.
	_ = t.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = t.Write([]byte(text))
	_ = t.CloseWrite()
	time.AfterFunc(lingerTime, func() {
		_ = t.Close()
		l.lock.Lock()
		l.lingering--
		l.lock.Unlock()
	})
}

// beginLinger counts a refused connection that stays half open; false if there are too many.
func (l *connectionLimit) beginLinger() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}
