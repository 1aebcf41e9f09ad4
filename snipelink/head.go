package snipelink

import (
	"bufio"
	"bytes"
	"net"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipebound"
	"snipepitch.example/snipepitch/snipepressure"
)

// Errors of Send about the head of an answer, which is what precedes its body: interim answers, the status line and the
// header. They come with ErrBroken.
var (
	// ErrTooLarge means that the answer exceeds a bound.
	ErrTooLarge = snipebound.ErrTooLarge
	// ErrNoRoom means that the instance must not hold more of the answer. It says nothing about the upstream.
	ErrNoRoom = errors.New("no room for the answer")
)

// Bounds of heads in bytes of memory; see headSize.
const (
	// DefaultHeadBound bounds the heads that are read for one request. A header of a megabyte passes, as at the
	// servers of net/http.
	DefaultHeadBound = 3 << 20
	// FreeHeadBytes of them are not counted in Message.Account. Whoever counts requests includes them.
	FreeHeadBytes = 32 << 10
	// headCopies is how many bytes of memory a byte of a head takes while it is read: a line is held in a buffer that
	// grows by copying, and is copied to a string at its end.
	headCopies = 3
	// fieldBytes is what a line takes beside its bytes: an entry of a map and of a slice, while these grow.
	fieldBytes = 256
)

// headSize returns the bytes of memory that a head takes at most.
func headSize(bytes, lines int64) int64 { return headCopies*bytes + fieldBytes*lines }

// headReader reads from a connection. While limited is set, what it reads belongs to a head, and it reads no more of one
// that exceeds the bound or finds no room. What follows the head in the last read is counted as part of it.
type headReader struct {
	net.Conn
	limited      bool
	bound        int64
	account      *snipepressure.Account
	bytes, lines int64
	// counted is what was added to the account.
	counted int64
	// err is the error that ended the head. net/http takes some heads for whole that end with an error.
	err error
}

// begin begins to limit what is read.
func (r *headReader) begin(bound int64, a *snipepressure.Account) {
	r.limited, r.bound, r.account = true, bound, a
	r.bytes, r.lines, r.counted, r.err = 0, 0, 0, nil
}

// end ends the limit. What was counted for a head that is of no use any more is released.
func (r *headReader) end(used bool) {
	r.limited = false
	if !used && r.account != nil {
		r.account.Release(r.counted)
	}
	r.account = nil
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.err == nil {
		r.err = r.count()
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Conn.Read(p)
	if n == 0 {
		r.err = err
	}
	r.bytes += int64(n)
	r.lines += int64(bytes.Count(p[:n], lineFeed))
	return n, err
}

// count counts what was read, and returns an error if it is too much.
func (r *headReader) count() error {
	size := headSize(r.bytes, r.lines)
	if size > r.bound {
		return errors.Wrapf(ErrTooLarge, "header after %d bytes", r.bytes)
	}
	more := size - FreeHeadBytes - r.counted
	if more <= 0 || r.account == nil {
		return nil
	}
	if !r.account.GrowAhead(more) {
		return errors.Wrapf(ErrNoRoom, "header after %d bytes", r.bytes)
	}
	r.counted += more
	return nil
}

// countFields counts a head that was read to its end. Its last read may have lines of the body, so that only the fields of
// the header count.
func (r *headReader) countFields(fields int) error {
	r.lines = int64(fields)
	return r.count()
}

var (
	lineFeed       = []byte{'\n'}
	protocolPrefix = []byte("HTTP/")
	errNoHTTP      = errors.New("no answer of HTTP")
)

// checkStatusLine waits for the first line of a head, and returns an error if the bytes so far cannot be a status line.
// net/http would read them all, up to the end of the line, and quote them in its error.
func checkStatusLine(r *bufio.Reader) error {
	for {
		line, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		known := min(len(line), len(protocolPrefix))
		switch {
		case !bytes.Equal(line[:known], protocolPrefix[:known]):
			return errNoHTTP
		case bytes.Contains(line, lineFeed):
			return nil
		case len(line) == r.Size():
			return errors.Wrapf(ErrTooLarge, "status line after %d bytes", len(line))
		}
		// Waits for one more byte; what else has arrived is buffered with it.
		if _, err := r.Peek(len(line) + 1); err != nil {
			return err
		}
	}
}

// headError is the error of Send for a head that was not read to its end. It is ErrBroken, and also its reason if that is
// ErrTooLarge or ErrNoRoom, or ErrSilent if the upstream was.
type headError struct{ reason error }

// maxErrorText bounds the text of an error, which may quote the upstream.
const maxErrorText = 200

// Error implements error.
func (e *headError) Error() string {
	text := e.reason.Error()
	return "read: " + text[:min(len(text), maxErrorText)] + ": " + ErrBroken.Error()
}

// Unwrap returns the errors that it is. Other reasons are left out: callers do not distinguish them.
func (e *headError) Unwrap() []error {
	if errors.Is(e.reason, ErrTooLarge) || errors.Is(e.reason, ErrNoRoom) {
		return []error{ErrBroken, e.reason}
	}
	if endedBySilence(e.reason) {
		return []error{ErrBroken, ErrSilent}
	}
	return []error{ErrBroken}
}
