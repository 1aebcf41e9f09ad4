// Package snipeanswer tells answers of HTTP from what another process sends in their place: a status that is none, and a body
// without a length that was cut off while the request was still being written. Clients of net/http, which pass both for
// answers, use its Transport and its Dial; snipelink, which writes all of a request before it reads, needs CheckStatus alone.
package snipeanswer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// ErrStatus means that the status of a final answer is none of HTTP, so that the answer says nothing: the request may have run.
var ErrStatus = errors.New("no status of an answer")

// maxStatus is the largest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error that wraps ErrStatus unless the status is one of a final answer.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Wrapf(ErrStatus, "%03d", status)
	}
	return nil
}

// IsInterim reports whether the status is that of an interim answer, which another one follows.
func IsInterim(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// Transport fails where its RoundTripper returns an answer whose status is none of a final answer.
type Transport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(a.StatusCode); err != nil {
		_ = a.Body.Close() // the connection is closed with it, or has no bytes left
		return nil, err
	}
	return a, nil
}

// CloseIdleConnections closes the idle connections of the RoundTripper; http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

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
