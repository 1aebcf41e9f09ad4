package snipeinstance

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	readHeaderTimeout = 10 * time.Second
	keepAliveTimeout  = 2 * time.Minute
	shutdownTimeout   = 5 * time.Second
	// maxOperators bounds the connections of operators and scrapers.
	maxOperators = 256
	// overBound is the share of connections over the bound that are still
	// answered, with a refusal; more are closed without an answer.
	overBound = 8
	// crowdedRetry is what a refused connection is told to wait.
	crowdedRetry = time.Second
)

// listener is one of the instance's listeners.
type listener struct {
	name    string
	address netip.AddrPort
	handler http.Handler
	// connections bounds the open connections.
	connections int
	// keys are those for TLS; nil for none.
	keys *snipecert.Keeper
	log  *snipelog.Logger
}

// connectionLog takes what net/http says about single connections.
type connectionLog struct {
	logger   *snipelog.Logger
	listener string
}

// Write implements io.Writer.
func (c *connectionLog) Write(line []byte) (int, error) {
	c.logger.Log(snipelog.ConnectionFailed, snipelog.Fields{
		"Listener": c.listener, "Error": strings.TrimSpace(string(line)),
	})
	return len(line), nil
}

// bounded counts the open connections of a listener, and those of them that
// have a request.
type bounded struct {
	net.Listener
	limit  int64
	open   atomic.Int64
	active atomic.Int64
}

// boundedConn is a connection that is counted until it is closed.
type boundedConn struct {
	net.Conn
	over   bool
	count  *bounded
	done   atomic.Bool
	active atomic.Bool
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := b.open.Add(1)
		counted := &boundedConn{Conn: c, over: n > b.limit, count: b}
		if n <= b.limit+b.limit/overBound+1 {
			return counted, nil
		}
		// There is nobody to tell.
		_ = counted.Close()
	}
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	if c.done.CompareAndSwap(false, true) {
		c.count.open.Add(-1)
		c.setActive(false)
	}
	return c.Conn.Close()
}

func (c *boundedConn) setActive(active bool) {
	if !c.active.CompareAndSwap(!active, active) {
		return
	}
	if active {
		c.count.active.Add(1)
	} else {
		c.count.active.Add(-1)
	}
}

// inner returns the counted connection below TLS.
func inner(c net.Conn) (*boundedConn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	b, ok := c.(*boundedConn)
	return b, ok
}

// follow is called by the server when a connection's state changes.
func follow(c net.Conn, state http.ConnState) {
	if b, ok := inner(c); ok {
		b.setActive(state == http.StateActive)
	}
}

// overKey marks the context of a connection over the bound.
type overKey struct{}

func markOver(ctx context.Context, c net.Conn) context.Context {
	if b, ok := inner(c); ok && b.over {
		return context.WithValue(ctx, overKey{}, true)
	}
	return ctx
}

// refuseOver answers requests on connections over the bound.
func refuseOver(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(overKey{}) == nil {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "too many connections").After(crowdedRetry).Write(w, "")
	})
}

// server serves one listener.
type server struct {
	http   *http.Server
	accept net.Listener
	count  *bounded
}

func newServer(l listener, n net.Listener) *server {
	s := &server{count: &bounded{Listener: n, limit: int64(l.connections)}}
	s.accept = s.count
	if l.keys != nil {
		s.accept = tls.NewListener(s.count, l.keys.Server())
	}
	s.http = &http.Server{
		Handler: refuseOver(l.handler), ConnContext: markOver, ConnState: follow, MaxHeaderBytes: 2 * maxHeader,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keepAliveTimeout,
		ErrorLog: log.New(&connectionLog{logger: l.log, listener: l.name}, "", 0),
	}
	return s
}

// listenTCP listens as the operating system does.
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
		err := s.http.Serve(s.accept)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		i.Log.Error(snipelog.ListenerFailed, err, snipelog.Fields{"Listener": l.name})
		return errors.Wrapf(err, "serve %s", l.name)
	}, s.end)
	return nil
}

// end closes the server: at once when the stop was forced, else after the last
// bytes of answers are out, which a call's end does not wait for. It does not
// wait for connections that have not brought a request, as Shutdown does.
func (s *server) end(cause error) {
	if !errors.Is(cause, ErrForced) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		go func() {
			defer cancel()
			for ctx.Err() == nil && s.count.active.Load() > 0 {
				time.Sleep(stopPoll)
			}
		}()
		// What is left after the time is cut.
		_ = s.http.Shutdown(ctx)
	}
	_ = s.http.Close()
}
