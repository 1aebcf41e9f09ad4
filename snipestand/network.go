package snipestand

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrRefused reports a dial to an address without an open listener.
var ErrRefused = errors.New("connection refused")

// Network is an in-memory network for tests that run on a paused clock. Its open connections can be
// closed, or made silent permanently while new connections work.
type Network struct {
	lock      sync.Mutex // guards the fields below
	listeners map[string]*networkListener
	ends      []*networkConn
	opened    int
}

// Listen returns a listener for an address. It replaces an earlier listener of that address.
func (n *Network) Listen(address netip.AddrPort) net.Listener {
	n.lock.Lock()
	defer n.lock.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*networkListener{}
	}
	l := newNetworkListener(address)
	n.listeners[address.String()] = l
	return l
}

// Dial opens a connection. It has the signature of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.lock.Lock()
	l, ok := n.listeners[address]
	n.lock.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrRefused}
	}
	clientPipe, serverPipe := net.Pipe()
	silent := &atomic.Bool{}
	client, server := &networkConn{Conn: clientPipe, silent: silent}, &networkConn{Conn: serverPipe, silent: silent}
	select {
	case l.accepted <- server:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: network, Err: ErrRefused}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	n.lock.Lock()
	defer n.lock.Unlock()
	n.ends = append(n.ends, client, server)
	n.opened++
	return client, nil
}

// Opened returns the number of connections that have been opened so far.
func (n *Network) Opened() int {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.opened
}

// Silence makes the connections that are open now drop everything that is written to them. The
// closing of one end is no longer visible at the other end either.
func (n *Network) Silence() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, c := range n.ends {
		c.silent.Store(true)
	}
}

// Cut closes all open connections.
func (n *Network) Cut() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, c := range n.ends {
		// A pipe's Close does not fail.
		_ = c.Conn.Close()
	}
	n.ends = nil
}

// networkListener is a listener that accepts the connections that are passed to it.
type networkListener struct {
	address  netip.AddrPort
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func newNetworkListener(address netip.AddrPort) *networkListener {
	return &networkListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
}

// offer passes a connection to Accept, and reports false if the listener is closed.
func (l *networkListener) offer(conn net.Conn) bool {
	select {
	case l.accepted <- conn:
		return true
	case <-l.closed:
		return false
	}
}

func (l *networkListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *networkListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *networkListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// networkConn is one end of a connection.
type networkConn struct {
	net.Conn
	silent *atomic.Bool // shared by both ends
}

func (c *networkConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes both ends. If the connection is silent, it stops this end only, by a deadline in the
// past.
func (c *networkConn) Close() error {
	if c.silent.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
