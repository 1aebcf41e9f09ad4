// Package snipelink sends single HTTP requests to upstreams over persistent
// connections, and reports for each failed request whether it may have been executed.
//
// Design. The transport of net/http retries a request on its own when a persistent
// connection fails, and does not report whether any byte of the request was sent.
// Either can cause a request to be executed twice. This package therefore manages the
// connections itself, and uses net/http only for the messages (Request.Write,
// ReadResponse). The caller's goroutine writes the request and reads the answer;
// neither is passed to another goroutine.
//
// Invariants:
//
//   - One call of Send writes one request to one connection at most.
//   - An error that wraps ErrNotSent means that no byte of the request was sent.
//   - A connection is reused only after the complete answer to its last request, if
//     no bytes are left to read and the answer did not announce the end of the
//     connection. The connection is checked again before it is reused: bytes that
//     have arrived since belong to no request.
//   - An answer that does not belong to the request is never returned. One to an earlier request of the connection is
//     skipped (carried.go).
//   - A connection carries no request twice: an answer bears the same identifier for each attempt of a request.
//   - A connection that the kernel has ended because the upstream was silent is reset there as soon as the upstream can be
//     reached (silence.go): it would not learn of the end otherwise.
//   - The head of an answer takes a bounded amount of memory, whatever the upstream sends (head.go).
package snipelink

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeanswer"
	"snipepitch.example/snipepitch/snipepressure"
)

// Errors of Send.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that the request may have reached the upstream, and that no
	// valid answer was received.
	ErrBroken = errors.New("no answer to the request")
	// ErrForeign means that the received answer belongs to another request.
	ErrForeign = errors.New("answer to another request")
	// ErrSilent means that the kernel has ended the connection because nothing arrived from the upstream. The upstream
	// may not have learned of the end, and may go on with the request. It comes with ErrBroken, and is also an error of
	// Answer.Read.
	ErrSilent = errors.New("the upstream was silent")
	// ErrSurplus means that bytes follow an answer that may have been a copy of one before it, on a connection of a Pool
	// without Identifier. From Send it comes with ErrNotSent and is said of the last answer of an idle connection, which is
	// closed; from Answer.CheckSurplus it is said of this answer.
	ErrSurplus = errors.New("an answer too many")
)

// Pool manages connections to upstreams. Exported fields are set before the first
// call; it is safe for concurrent use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds each call of Dial.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for its next request. If the
	// upstream announces a shorter time, that one applies.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to one upstream.
	MaxIdle int
	// Identifier returns the identifier of a request, or that of the request to which an answer belongs, from its header.
	// Nil where messages have none: an answer then belongs to the last request of its connection, unless bytes follow it
	// (ErrSurplus). Sweep, which closes connections with bytes to read, is not called then.
	Identifier func(h http.Header) string
	// KeepAlive returns how long the upstream keeps an idle connection, as the answer
	// announces; zero when it does not.
	KeepAlive func(answer *http.Response) time.Duration
	// HeadBound bounds the memory for the head of an answer in bytes; zero means DefaultHeadBound.
	HeadBound int64

	resets resets

	lock sync.Mutex // guards idle
	idle map[netip.AddrPort][]*connection
}

// connection is one persistent connection to an upstream.
type connection struct {
	conn    net.Conn
	head    *headReader   // reads from conn
	reader  *bufio.Reader // reads from head
	address netip.AddrPort
	expires time.Time // the connection is not reused after this time
	carried carried
	// requests counts the requests that the connection has carried.
	requests int
}

// Answer is the answer to one request. The caller must call Close.
type Answer struct {
	*http.Response
	pool       *Pool
	connection *connection
	stop       func() bool // detaches the connection from the context of Send
	deadline   time.Time   // of the context of Send; zero if it has none
	// complete reports whether the body was read to its end.
	complete bool
	// skipped counts the answers to earlier requests of the connection that came before this one. closing is set if one of
	// them announced the end of the connection.
	skipped int
	closing bool
}

// Sent describes how a request was sent.
type Sent struct {
	// Reused reports whether the connection had served a request before.
	Reused bool
	// Skipped is the number of answers that were skipped because they belong to earlier requests of the connection.
	Skipped int
}

// Message is a request to send.
type Message struct {
	Request *http.Request
	// Body is the request's body, which may be empty.
	Body []byte
	// Fresh has a new connection opened.
	Fresh bool
	// Allowed is called when there is a connection, right before the request is sent, which then reaches the upstream
	// without further delay. If it returns an error, nothing is sent. Nil allows everything.
	Allowed func() error
	// Account counts what the head of the answer takes beyond FreeHeadBytes, until it is closed; nil counts nothing.
	Account *snipepressure.Account
}

// Send sends a request and reads the head of its answer. The context bounds the exchange until Close is called.
// Errors are ErrNotSent, ErrBroken or ErrForeign, or that of m.Allowed.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, m Message) (*Answer, Sent, error) {
	id, identified := p.digest(m.Request)
	c, reused, err := p.take(ctx, address, m.Fresh, id)
	sent := Sent{Reused: reused}
	if errors.Is(err, ErrSurplus) {
		return nil, sent, &surplusError{}
	}
	if err != nil {
		return nil, sent, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	if m.Allowed != nil {
		if err := m.Allowed(); err != nil {
			_ = c.conn.Close()
			return nil, sent, err
		}
	}
	a := &Answer{pool: p, connection: c}
	a.deadline, _ = ctx.Deadline()
	a.stop = context.AfterFunc(ctx, func() {
		// Interrupts the read or write in progress. The connection is closed after
		// that, in discard or Close.
		_ = c.conn.SetDeadline(time.Unix(1, 0))
	})
	c.requests++
	if identified {
		c.carried.add(id, m.Request.Method)
	}
	if n, err := c.write(m.Request, m.Body); err != nil {
		a.discard()
		if n == 0 {
			return nil, sent, errors.Wrapf(ErrNotSent, "write: %v", err)
		}
		return nil, sent, a.checkSilence(err, errors.Wrapf(ErrBroken, "write: %v", err))
	}
	c.head.begin(p.headBound(), m.Account)
	err = a.readHead(ctx, m.Request)
	c.head.end(err == nil)
	sent.Skipped = a.skipped
	if err != nil {
		a.discard()
		return nil, sent, a.checkSilence(err, err)
	}
	return a, sent, nil
}

// checkSilence returns err, which is ErrSilent if the kernel has ended the connection because the upstream was silent, as cause
// tells. The upstream is then made to reset the connection.
func (a *Answer) checkSilence(cause, err error) error {
	if !endedBySilence(cause) && !errors.Is(cause, ErrSilent) {
		return err
	}
	until := a.deadline
	if until.IsZero() {
		until = time.Now().Add(maxResetTime)
	}
	return &silenceError{reason: err, reset: a.pool.resets.begin(a.connection.conn, a.connection.address, until)}
}

func (p *Pool) headBound() int64 {
	if p.HeadBound > 0 {
		return p.HeadBound
	}
	return DefaultHeadBound
}

// maxPooledBuffer bounds the size of the request buffers that are kept for reuse.
const maxPooledBuffer = 64 << 10

// maxHeaderSize is the space for a request's header in the buffer of a large request.
const maxHeaderSize = 32 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request with a single Write, so that a small one costs one system
// call. It returns the number of bytes that were sent.
func (c *connection) write(r *http.Request, body []byte) (int, error) {
	b := buffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxPooledBuffer {
			b.Reset()
			buffers.Put(b)
		}
	}()
	r.Body = http.NoBody
	r.ContentLength = 0
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	if len(body) > maxPooledBuffer {
		// Growth by doubling would hold up to three times the body.
		b.Grow(len(body) + maxHeaderSize)
	}
	if err := writeRequest(b, r); err != nil {
		return 0, err
	}
	return c.conn.Write(b.Bytes())
}

// maxResponses bounds the number of responses that are read for one request: the
// informational (1xx) ones, those to earlier requests and the final one.
const maxResponses = 4

// readHead reads the status line and the header of the final answer.
func (a *Answer) readHead(ctx context.Context, r *http.Request) error {
	for range maxResponses {
		if err := checkStatusLine(a.connection.reader); err != nil {
			return &headError{err}
		}
		answer, err := http.ReadResponse(a.connection.reader, r) //nolint:bodyclose // Answer.Close ends the connection or has read it all
		if err := cmp.Or(a.connection.head.err, err); err != nil {
			return &headError{err}
		}
		if snipeanswer.IsInterim(answer.StatusCode) {
			continue
		}
		if err := snipeanswer.CheckStatus(answer.StatusCode); err != nil {
			return &headError{err}
		}
		if !a.pool.isAnswerTo(r, answer) {
			if err := a.skip(ctx, answer); err != nil {
				return err
			}
			continue
		}
		if err := a.connection.head.countFields(len(answer.Header)); err != nil {
			return &headError{err}
		}
		a.Response = answer
		return nil
	}
	return errors.Wrap(ErrBroken, "too many answers")
}

// Read reads the answer's body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, a.checkSilence(err, err)
}

// Close returns the connection to the pool if the body was read to its end, the context
// of Send has not ended, the answer allows reuse and no bytes are left to read.
// Otherwise Close closes the connection, which ends the request at the upstream.
func (a *Answer) Close() {
	if !a.stop() || !a.complete || a.closing || a.Response.Close || a.connection.carried.full() || a.connection.reader.Buffered() > 0 {
		_ = a.connection.conn.Close()
		return
	}
	idle := a.pool.IdleTimeout
	if kept := a.pool.KeepAlive(a.Response); kept > 0 {
		idle = min(idle, kept)
	}
	a.connection.expires = time.Now().Add(idle)
	a.pool.put(a.connection)
}

// Interrupt ends a Read in progress in another goroutine, and all later ones, with an error. The
// connection is not reused unless the body was read to its end.
func (a *Answer) Interrupt() { _ = a.connection.conn.SetDeadline(time.Unix(1, 0)) }

func (a *Answer) discard() {
	a.stop()
	_ = a.connection.conn.Close()
}
