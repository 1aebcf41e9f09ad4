// Package snipelink sends single HTTP requests to upstreams over kept
// connections, and knows of each whether it may have run.
//
// Design. The transport of net/http sends a request again by itself when a kept
// connection dies, and does not tell whether a byte of it had left. Both decide
// here whether a request runs twice, so this package keeps the connections
// itself and leaves the messages to net/http (Request.Write, ReadResponse). The
// caller's goroutine writes and reads; nothing is handed over.
//
// Invariants:
//
//   - One call of Send writes one request to one connection at most.
//   - An error that wraps ErrNotSent means that no byte of the request has left.
//   - A connection is used again only after a whole answer to its last request,
//     with nothing left to read and no word that it closes. Before it is used it
//     is looked at: bytes that wait there belong to no request.
//   - An answer whose identifier is not the request's is never returned.
package snipelink

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Errors of Send.
var (
	// ErrNotSent: no byte of the request has left this instance.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken: the request may have reached the upstream; its answer did not
	// come, or is none.
	ErrBroken = errors.New("no answer to the request")
	// ErrForeign: an answer to another request came.
	ErrForeign = errors.New("answer to another request")
)

// Pool keeps connections to upstreams. Exported fields are set before the first
// call; it is safe for concurrent use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialTimeout bounds it.
	DialTimeout time.Duration
	// Idle is how long a connection may wait for its next request when the
	// upstream does not say how long it keeps it.
	Idle time.Duration
	// Kept bounds the idle connections to one upstream.
	Kept int
	// Belongs reports whether an answer belongs to the request.
	Belongs func(request *http.Request, answer *http.Response) bool
	// KeepAlive returns how long the upstream keeps an idle connection; zero when
	// the answer does not say.
	KeepAlive func(answer *http.Response) time.Duration

	lock sync.Mutex // guards idle
	idle map[netip.AddrPort][]*link
}

// link is one connection.
type link struct {
	conn    net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	until   time.Time // no use after it
}

// Answer is the answer to one request. Close must be called.
type Answer struct {
	*http.Response
	pool *Pool
	link *link
	stop func() bool
	// whole tells that the body was read to its end.
	whole bool
}

// Sent describes how a request was sent.
type Sent struct {
	// Reused tells that the connection had served a request before.
	Reused bool
}

// Send sends a request and waits for the head of its answer. The request's body,
// if any, is body. The context bounds the exchange up to Close.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, r *http.Request, body []byte, fresh bool) (*Answer, Sent, error) {
	l, reused, err := p.take(ctx, address, fresh)
	sent := Sent{Reused: reused}
	if err != nil {
		return nil, sent, errors.Wrapf(ErrNotSent, "connect: %v", err)
	}
	a := &Answer{pool: p, link: l}
	a.stop = context.AfterFunc(ctx, func() {
		// Wakes the read or write in progress; the connection is closed then.
		_ = l.conn.SetDeadline(time.Unix(1, 0))
	})
	if n, err := l.write(r, body); err != nil {
		a.discard()
		if n == 0 {
			return nil, sent, errors.Wrapf(ErrNotSent, "write: %v", err)
		}
		return nil, sent, errors.Wrapf(ErrBroken, "write: %v", err)
	}
	if err := a.head(r); err != nil {
		a.discard()
		return nil, sent, err
	}
	return a, sent, nil
}

// maxBuffered bounds the requests that are put together in memory before they
// are written.
const maxBuffered = 64 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request in one piece, so that a small one costs one system
// call. It returns how many bytes have left.
func (l *link) write(r *http.Request, body []byte) (int, error) {
	b := buffers.Get().(*bytes.Buffer)
	defer func() {
		if b.Cap() <= maxBuffered {
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
	if err := r.Write(b); err != nil {
		return 0, err
	}
	return l.conn.Write(b.Bytes())
}

// maxInformational bounds the interim answers before the final one.
const maxInformational = 4

// head reads the answer's head.
func (a *Answer) head(r *http.Request) error {
	for range maxInformational {
		answer, err := http.ReadResponse(a.link.reader, r) //nolint:bodyclose // Answer.Close ends the connection or has read it all
		if err != nil {
			return errors.Wrapf(ErrBroken, "read: %v", err)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if !a.pool.Belongs(r, answer) {
			return errors.Wrap(ErrForeign, answer.Status)
		}
		a.Response = answer
		return nil
	}
	return errors.Wrap(ErrBroken, "too many interim answers")
}

// Read reads the answer's body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close gives the connection back if the whole answer was read and closes it
// otherwise, which ends the request at the upstream.
func (a *Answer) Close() {
	if !a.stop() || !a.whole || a.Response.Close || a.link.reader.Buffered() > 0 {
		_ = a.link.conn.Close()
		return
	}
	idle := a.pool.Idle
	if kept := a.pool.KeepAlive(a.Response); kept > 0 {
		idle = min(idle, kept)
	}
	a.link.until = time.Now().Add(idle)
	a.pool.put(a.link)
}

func (a *Answer) discard() {
	a.stop()
	_ = a.link.conn.Close()
}

// take returns an idle connection that is still good, or a new one. A fresh
// connection is always new.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, fresh bool) (l *link, reused bool, err error) {
	for !fresh {
		l := p.pop(address)
		if l == nil {
			break
		}
		if time.Now().Before(l.until) && quiet(l.conn) {
			return l, true, nil
		}
		_ = l.conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	return &link{conn: conn, reader: bufio.NewReader(conn), address: address}, false, nil
}

func (p *Pool) pop(address netip.AddrPort) *link {
	p.lock.Lock()
	defer p.lock.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	l := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return l
}

func (p *Pool) put(l *link) {
	_ = l.conn.SetDeadline(time.Time{})
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*link)
	}
	all := p.idle[l.address]
	if len(all) >= p.Kept {
		_ = all[0].conn.Close()
		all = append(all[:0], all[1:]...)
	}
	p.idle[l.address] = append(all, l)
}

// Forget closes the idle connections to an upstream.
func (p *Pool) Forget(address netip.AddrPort) {
	p.lock.Lock()
	all := p.idle[address]
	delete(p.idle, address)
	p.lock.Unlock()
	for _, l := range all {
		_ = l.conn.Close()
	}
}

// Sweep closes idle connections whose time is over.
func (p *Pool) Sweep() {
	now := time.Now()
	p.lock.Lock()
	defer p.lock.Unlock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, l := range all {
			if now.Before(l.until) {
				kept = append(kept, l)
				continue
			}
			_ = l.conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
