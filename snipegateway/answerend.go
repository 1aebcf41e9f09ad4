package snipegateway

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipestream"
)

var (
	errTorn    = errors.New("the stream ended inside an event")
	errNoEvent = errors.New("the connection was closed before the stream's first event")
)

// answerEnd is how the body of an answer ended.
type answerEnd struct {
	framing snipelink.Framing
	// err is the error of the body's reader; nil at an end that its framing allows.
	err error
	// stream is set for a stream of events, begun if an event of it has arrived. leftover is what followed
	// its last event.
	stream, begun bool
	leftover      []byte
}

// broken returns why the answer is not whole; nil if it is whole as far as can be told. An answer that is
// framed by the end of its connection may have been cut off nevertheless, except inside an event of a stream.
func (e answerEnd) broken() error {
	switch {
	case e.err != nil:
		return e.err
	case e.stream && snipestream.IsTorn(e.leftover):
		return errTorn
	case e.stream && e.framing == snipelink.FramedByClose && !e.begun:
		return errNoEvent
	}
	return nil
}

// brokenOff records an answer that is not whole, and returns the attempt's error. Nothing is recorded for
// the upstream if ctx has ended, because the end of ctx may have caused it.
func (c *call) brokenOff(ctx context.Context, id string, why error) error {
	c.noteTooLarge(why)
	c.noteSilence(ctx, why)
	if ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, why.Error())
	}
	if !c.peer.IsValid() {
		c.gateway.Balancer.RecordUnanswered(id)
		c.noteBroken(ctx)
	}
	return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, why.Error())
}

// setFraming prepares the framing of the answer to the caller, whose header is not sent yet. The length is
// that of the body, or unknownLength. The framing never proves more than that of the upstream's answer: where
// that one ends with its connection, so does this one.
func (c *call) setFraming(framing snipelink.Framing, length int) {
	h := c.writer.Header()
	switch {
	case framing == snipelink.FramedByClose:
		frameByClose(h)
		c.closes = true
	case length != unknownLength:
		h.Set("Content-Length", strconv.Itoa(length))
	default:
		c.closes = !c.request.ProtoAtLeast(1, 1)
	}
	if c.closes {
		// Until the answer is whole, any end of the connection is a reset, that of a killed process too.
		c.setLinger(0)
	}
}

// frameByClose makes net/http frame an answer by the end of the connection.
func frameByClose(h http.Header) { h.Set("Transfer-Encoding", "identity") }

// unknownLength stands for the length of a body that is not in memory.
const unknownLength = -1

// finishAnswer allows the connection of a whole answer that ends with its connection to be closed without a
// reset, once the kernel has all of it.
func (c *call) finishAnswer() error {
	if !c.closes {
		return nil
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	c.setLinger(defaultLinger)
	return nil
}

// defaultLinger is the argument of SetLinger for a close that goes on sending what was written.
const defaultLinger = -1

func (c *call) setLinger(seconds int) {
	if t, ok := c.connection().(*net.TCPConn); ok {
		// An error means that the connection is closed.
		_ = t.SetLinger(seconds)
	}
}
