package snipelink

import (
	"context"
	"hash/maphash"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// maxCarried bounds the requests that one connection carries, and so the memory for their identifiers: 2 KiB.
const maxCarried = 256

// digest stands for the identifier of a request.
type digest uint64

var digestSeed = maphash.MakeSeed()

func digestOf(identifier string) digest { return digest(maphash.String(digestSeed, identifier)) }

// carried remembers the requests that a connection has carried. An upstream may answer one of them a second time, after
// the next one was sent.
//
// The identifier tells to which request an answer belongs, but not to which of two attempts of one request. A
// connection therefore carries no request twice: the second answer to the first attempt, a refusal that states that it has not
// run, would be taken for that to the second attempt.
type carried struct {
	requests []digest
	// withoutBody is set if the answer to one of them has no body whatever its header says, so that the end of another
	// answer to it cannot be found.
	withoutBody bool
}

func (c *carried) add(d digest, method string) {
	c.requests = append(c.requests, d)
	c.withoutBody = c.withoutBody || method == http.MethodHead || method == http.MethodConnect
}

func (c *carried) has(d digest) bool { return slices.Contains(c.requests, d) }

// full reports whether the connection must not carry another request.
func (c *carried) full() bool { return len(c.requests) >= maxCarried }

// digest returns what stands for a request's identifier, or false if messages have none.
func (p *Pool) digest(r *http.Request) (digest, bool) {
	if p.Identifier == nil {
		return 0, false
	}
	return digestOf(p.Identifier(r.Header)), true
}

// isAnswerTo reports whether an answer bears the identifier of the request. Where messages have none, it belongs to the last request.
func (p *Pool) isAnswerTo(r *http.Request, answer *http.Response) bool {
	return p.Identifier == nil || p.Identifier(answer.Header) == p.Identifier(r.Header)
}

const (
	// skipTime bounds the wait for the rest of an answer to an earlier request, during which the answer that is due waits too.
	skipTime = 100 * time.Millisecond
	// maxSkippedBytes bounds the body of such an answer.
	maxSkippedBytes = 1 << 20
)

// skip reads an answer to its end that belongs to an earlier request of the connection. It returns ErrForeign if it belongs to
// none, or if its end cannot be found, and ErrBroken if it does not end in time.
func (a *Answer) skip(ctx context.Context, answer *http.Response) error {
	c := a.connection
	foreign := errors.Wrapf(ErrForeign, "status %d", answer.StatusCode)
	earlier := c.carried.has(digestOf(a.pool.Identifier(answer.Header)))
	if !earlier || c.carried.withoutBody || framing(answer) == FramedByClose {
		return foreign
	}
	// What is skipped is not held, and is no part of the head that is due.
	account := c.head.account
	c.head.end(false)
	n, err := a.discardBody(ctx, answer.Body)
	c.head.begin(a.pool.headBound(), account)
	switch {
	case err != nil:
		return &headError{err}
	case n > maxSkippedBytes:
		return foreign
	}
	a.skipped++
	a.closing = a.closing || answer.Close
	return nil
}

// discardBody reads a body for skipTime at most, and not much more of it than maxSkippedBytes.
func (a *Answer) discardBody(ctx context.Context, body io.Reader) (int64, error) {
	conn := a.connection.conn
	_ = conn.SetReadDeadline(time.Now().Add(skipTime))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	_ = conn.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		a.Interrupt() // the end of ctx may have done so before the deadline was removed
	}
	return n, err
}
