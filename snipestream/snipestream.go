// Package snipestream reads and writes server-sent events, the framing of
// streamed answers from engines, between instances, and to callers.
//
// The format is defined in the section on server-sent events (EventSource) of the
// HTML standard. Only the fields id, event and data are used, and identifiers are
// decimal sequence numbers.
package snipestream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// MaxEvent is the largest size of one event's data in bytes.
const MaxEvent = 1 << 20

// bufferSize is the size of the read buffer in bytes. Longer lines are copied.
const bufferSize = 4096

// Errors of Reader.Read.
var (
	ErrTooLong = errors.New("event too long")
	ErrBadID   = errors.New("event identifier is no sequence number")
)

// Event is one server-sent event.
type Event struct {
	// ID is the sequence number; zero when the event has none.
	ID uint64
	// Name is the event's type; empty for the default type.
	Name string
	// Data is the payload without the final line end. It is valid until the next
	// Read.
	Data []byte
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	reader *bufio.Reader
	data   []byte
	lines  int // number of data fields of the current event
	limit  int // maximum size of an event's data in bytes
}

// NewReader returns a Reader of r that accepts at most MaxEvent bytes of data in an
// event.
func NewReader(r io.Reader) *Reader { return NewLimitedReader(r, MaxEvent) }

// NewLimitedReader returns a Reader of r that accepts at most limit bytes of data in
// an event.
func NewLimitedReader(r io.Reader, limit int) *Reader {
	return &Reader{reader: bufio.NewReaderSize(r, bufferSize), limit: limit}
}

// Read returns the next event, whose data is empty if it has no data field. It returns
// io.EOF if the stream ended between two events, io.ErrUnexpectedEOF if the stream ended
// inside an event, and ErrTooLong or ErrBadID for an event that it does not accept.
func (r *Reader) Read() (Event, error) {
	var e Event
	r.data = r.data[:0]
	r.lines = 0
	started := false
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && started {
				return Event{}, io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if started {
				e.Data = r.data
				return e, nil
			}
			continue
		}
		started = true
		if err := r.field(&e, line); err != nil {
			return Event{}, err
		}
	}
}

// line returns the next line without its line end. The result is valid until the next
// call.
func (r *Reader) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	long := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > r.limit {
			return nil, ErrTooLong
		}
		line, err = r.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return bytes.TrimRight(long, "\r\n"), err
}

var (
	fieldData  = []byte("data")
	fieldEvent = []byte("event")
	fieldID    = []byte("id")
)

// field adds one field to e. Unknown fields and comments are ignored.
func (r *Reader) field(e *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch {
	case bytes.Equal(name, fieldData):
		if r.lines++; r.lines > 1 {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		if len(r.data) > r.limit {
			return ErrTooLong
		}
	case bytes.Equal(name, fieldEvent):
		e.Name = string(value)
	case bytes.Equal(name, fieldID):
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return errors.Wrap(ErrBadID, strconv.Quote(string(value)))
		}
		e.ID = n
	}
	return nil
}

// Append appends the encoding of e to buffer and returns the extended buffer. A zero ID
// and an empty name are left out. Data that contains line feeds is written as several
// data fields, and empty data as one empty field.
func Append(buffer []byte, e Event) []byte {
	if e.ID > 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendUint(buffer, e.ID, 10)
		buffer = append(buffer, '\n')
	}
	if e.Name != "" {
		buffer = append(buffer, "event: "...)
		buffer = append(buffer, e.Name...)
		buffer = append(buffer, '\n')
	}
	remaining := e.Data
	for {
		line, after, found := bytes.Cut(remaining, []byte{'\n'})
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, line...)
		buffer = append(buffer, '\n')
		if !found {
			break
		}
		remaining = after
	}
	return append(buffer, '\n')
}
