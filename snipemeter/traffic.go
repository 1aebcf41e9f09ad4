package snipemeter

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Traffic counts the bytes that are received and sent on connections of one kind, such as
// "Peers" or "Platform". The capacity figures are derived from these counters.
type Traffic struct {
	received *metrics.Counter
	sent     *metrics.Counter
}

// Traffic returns the counters for connections of the given kind.
func (m *Meter) Traffic(kind string) *Traffic {
	return &Traffic{
		received: m.set.GetOrCreateCounter(`snipepitch_received_bytes_total{kind="` + kind + `"}`),
		sent:     m.set.GetOrCreateCounter(`snipepitch_sent_bytes_total{kind="` + kind + `"}`),
	}
}

// Listener returns a listener that counts the bytes of the connections of l.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

// Dial is the type of the dial function of an http.Transport.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial that counts the bytes of the connections of d.
func (t *Traffic) Dialer(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(n)
	return n, err
}

// Bytes returns the number of bytes received and sent so far.
func (t *Traffic) Bytes() (received, sent uint64) { return t.received.Get(), t.sent.Get() }
