package snipeinstance

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	readHeaderTimeout = 10 * time.Second
	keepAliveTimeout  = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
	// maxOperators bounds the connections of operators and metric scrapers.
	maxOperators = 256
	// refusalDivisor bounds the connections over a listener's limit that get a refusal as an
	// answer: limit/refusalDivisor+1 of them. Further connections are closed without an answer.
	refusalDivisor = 8
	// overloadedRetryAfter is the Retry-After of requests on connections over the limit.
	overloadedRetryAfter = time.Second
)

// listener holds the settings of the listener for callers, operators or peers.
type listener struct {
	name    string
	address netip.AddrPort
	handler http.Handler
	// connections bounds the open connections.
	connections int
	// certificate is the certificate for TLS; nil serves without TLS.
	certificate *snipecert.Reloader
	log         *snipelog.Logger
}

// boundedListener counts its open connections. It closes a new connection at once if more than
// limit/refusalDivisor+1 connections over the limit are open.
type boundedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// boundedConn is a connection that its listener counts until it is closed.
type boundedConn struct {
	net.Conn
	overLimit bool
	listener  *boundedListener
	closed    atomic.Bool
}

// Accept implements net.Listener.
func (b *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := b.open.Add(1)
		counted := &boundedConn{Conn: c, overLimit: n > b.limit, listener: b}
		if n <= b.limit+b.limit/refusalDivisor+1 {
			return counted, nil
		}
		// The connection is closed without an answer, so an error has no consequence.
		_ = counted.Close()
	}
}

// NetConn returns the connection that is counted.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// unwrapConn returns the counted connection that c is or that TLS on c uses, and false if there is
// none.
func unwrapConn(c net.Conn) (*boundedConn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	b, ok := c.(*boundedConn)
	return b, ok
}

// overLimitKey is the context key that marks a connection over the limit.
type overLimitKey struct{}

func markOverLimit(ctx context.Context, c net.Conn) context.Context {
	if b, ok := unwrapConn(c); ok && b.overLimit {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

// refuseOverLimit refuses requests on connections over the limit and passes all others to next.
func refuseOverLimit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(overLimitKey{}) == nil {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "too many connections").After(overloadedRetryAfter).Write(w, "")
	})
}

// server is the HTTP server of one listener. The field listener is the one that it serves, with TLS
// if there is a certificate; connections are the connections below it.
type server struct {
	http        *http.Server
	listener    net.Listener
	connections *snipeconn.Tracker
	// draining is set from the beginning of a planned stop, and served is closed when no more connections are accepted.
	draining atomic.Bool
	served   chan struct{}
}

func newServer(l listener, n net.Listener) *server {
	s := &server{connections: &snipeconn.Tracker{HeadTime: readHeaderTimeout}, served: make(chan struct{})}
	s.listener = &boundedListener{Listener: s.connections.Listener(n), limit: int64(l.connections)}
	if l.certificate != nil {
		s.listener = tls.NewListener(s.listener, l.certificate.Server())
	}
	s.http = &http.Server{
		Handler: refuseOverLimit(l.handler), ConnContext: markOverLimit, ConnState: s.connections.StateChanged, MaxHeaderBytes: 2 * maxHeader,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keepAliveTimeout,
		ErrorLog: l.log.ServerErrors(l.name),
	}
	return s
}

// listenTCP opens a TCP listener.
func listenTCP(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

func (i *Instance) addListener(ctx context.Context, g *run.Group, l listener) error {
	listen := i.Listen
	if listen == nil {
		listen = listenTCP
	}
	n, err := listen(ctx, l.address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", l.name)
	}
	s := newServer(l, i.meter.Traffic(l.name).Listener(n))
	g.Add(func() error {
		err := s.serve()
		if err == nil {
			return nil
		}
		i.Log.Error(snipelog.ListenerFailed, err, snipelog.Fields{"Listener": l.name})
		return errors.Wrapf(err, "serve %s", l.name)
	}, s.shutdown)
	return nil
}

// serve serves the server's listener. It returns nil once the server has been closed or is drained. It is called once.
func (s *server) serve() error {
	defer close(s.served)
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// shutdown closes the server. A forced stop closes it at once. Otherwise shutdown waits up to
// shutdownTimeout for the connections that were used, or on which a request is arriving: a call counts as
// ended before the last bytes of its answer are written. Connections without a request are not waited for.
func (s *server) shutdown(cause error) {
	if !errors.Is(cause, ErrForced) {
		s.drain()
	}
	_ = s.http.Close()
}

// drain accepts no more connections and closes those that are idle. It returns when none is left that was used for a request, or
// after shutdownTimeout.
func (s *server) drain() {
	s.draining.Store(true)
	// An error means that it is closed.
	_ = s.listener.Close()
	<-s.served
	s.connections.Drain(0)
	for end := time.Now().Add(shutdownTimeout); s.connections.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(stopPoll)
	}
}
