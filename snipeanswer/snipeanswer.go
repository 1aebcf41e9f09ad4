// Package snipeanswer tells answers of HTTP from what another process sends in their place: a body without a length that was
// cut off while the request was still being written. Clients of net/http, which takes it for whole, use its Dial; snipelink writes
// all of a request before it reads.
package snipeanswer

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// DialFunc opens a connection; see net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections do not end in order if a request could not be written.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection that one goroutine may read while another one still writes, as net/http does.
//
// The kernel reports a reset once. If the write learns of it, the read finds the end of the stream, as after an orderly close,
// and a body that ends with its connection looks complete.
type conn struct {
	net.Conn
	lock sync.Mutex // held while a write is under way; guards failed
	// failed is set once a write has failed.
	failed bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn. The end of the stream is an error if a write has failed. It waits for a write that is under way, which
// may have learned of a reset, or have succeeded just before the other side closed the connection; Close ends both.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.failed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
