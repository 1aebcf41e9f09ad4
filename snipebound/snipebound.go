// Package snipebound bounds what is read of one message of another process, so that no sequence of bytes, however long,
// takes more memory than a stated bound. Each reader of a network in this project is listed with its bound in
// docs/design/readers.md.
package snipebound

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// ErrTooLarge means that a message exceeds its bound.
var ErrTooLarge = errors.New("the message is too large")

// HeaderBytes bounds the header of an answer to a request of this project's own, in bytes. None of them has a header of
// more than a few hundred bytes.
const HeaderBytes = 64 << 10

// ReadAll reads r to its end. It returns an error that wraps ErrTooLarge, and no data, if that are more than bound bytes.
func ReadAll(r io.Reader, bound int64) ([]byte, error) {
	return io.ReadAll(&reader{from: r, bound: bound, left: bound})
}

// reader reads at most bound bytes, and fails if there are more.
type reader struct {
	from        io.Reader
	bound, left int64
}

// Read implements io.Reader. It reads one byte beyond the bound, to tell the end of the message there from a longer one.
func (r *reader) Read(p []byte) (int, error) {
	if int64(len(p)) > r.left+1 {
		p = p[:r.left+1]
	}
	n, err := r.from.Read(p)
	if int64(n) > r.left {
		n = int(r.left)
		err = errors.Wrapf(ErrTooLarge, "more than %d bytes", r.bound)
	}
	r.left -= int64(n)
	return n, err
}

// Transport bounds the bodies of the answers that a RoundTripper returns.
type Transport struct {
	http.RoundTripper
	// Bound is the most bytes of a body. Reading on fails with an error that wraps ErrTooLarge.
	Bound int64
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	a.Body = &body{reader: reader{from: a.Body, bound: t.Bound, left: t.Bound}, Closer: a.Body}
	return a, nil
}

// body is the body of an answer.
type body struct {
	reader
	io.Closer
}
