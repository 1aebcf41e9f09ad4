package snipegateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipestream"
)

// chunkSize is the size of a stream's read buffer. Events have about sixty bytes and arrive one at
// a time.
const chunkSize = 8 << 10

// maxEvent is the largest event that is accepted, in bytes.
const maxEvent = 1 << 20

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// stream forwards events as they arrive. Only whole events are forwarded, because the stream may have to
// be resumed at another upstream. If the answer resumes a stream, its first event must directly follow the
// last one that the caller has.
func (c *call) stream(ctx context.Context, id string, answer *snipelink.Answer) error {
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	body, stop := c.startDelivery(answer)
	defer stop()
	var pending []byte
	resuming := c.answerStarted
	defer func() { c.pressure.Release(int64(cap(pending))) }()
	for {
		n, err := body.Read(*chunk)
		known := len(pending)
		var full error
		if pending, full = c.growPending(ctx, pending, n); full != nil {
			return c.brokenOff(ctx, id, full)
		}
		pending = append(pending, (*chunk)[:n]...)
		if end := snipestream.WholeEvents(pending, known); end > 0 {
			events := pending[:end]
			summary := snipestream.Summarize(events)
			c.countEvents(summary.Count)
			if c.events >= provenEvents {
				c.notePartsAnswered()
			}
			if resuming && summary.Count > 0 {
				if !c.continuesStream(summary.FirstID) {
					return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "the stream went on at another event")
				}
				resuming = false
				c.countResumed(resumedHere, streamGoesOn)
			}
			if werr := c.writeEvents(answer, events, summary); werr != nil {
				return werr
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err != nil:
			return c.endStream(ctx, id, answer, err, pending)
		case len(pending) > maxEvent:
			return c.brokenOff(ctx, id, errEventTooLong)
		}
	}
}

// writeEvents writes events to the caller at once, after the header if nothing was written before,
// and records the position of the caller in the stream.
func (c *call) writeEvents(answer *snipelink.Answer, events []byte, summary snipestream.Summary) error {
	c.startStream(answer)
	if err := c.write(events, true); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	c.recordPause(time.Now())
	if summary.LastID != "" {
		c.lastEvent = summary.LastID
	}
	if summary.Count > 0 {
		c.unnumbered = summary.Unnumbered
	}
	return nil
}

// startStream writes the header of the stream to the caller, unless it was written before.
func (c *call) startStream(answer *snipelink.Answer) {
	if c.answerStarted {
		return
	}
	if !c.peer.IsValid() {
		c.gateway.Chooser.estimators.forService(c.service).recordFirstChunk(time.Since(c.sentAt), c.busy)
	}
	if c.LastEvent != "" {
		c.countResumed(resumedByCaller, streamGoesOn)
	}
	c.beginStream()
	c.setHeader(http.StatusOK, endToEnd(answer.Header))
	c.setFraming(answer.Framing(), unknownLength)
	c.streaming = true
	c.writer.WriteHeader(http.StatusOK)
}

// recordPause updates the longest time between two writes to the caller.
func (c *call) recordPause(now time.Time) {
	if !c.lastWriteAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastWriteAt))
	}
	c.lastWriteAt = now
}

// endStream ends a stream whose body has ended with err, which is io.EOF at an end that its framing allows.
// Leftover is what followed its last event.
func (c *call) endStream(ctx context.Context, id string, answer *snipelink.Answer, err error, leftover []byte) error {
	c.leftover = len(leftover)
	end := answerEnd{framing: answer.Framing(), err: err, stream: true, begun: c.events > 0, leftover: leftover}
	if errors.Is(err, io.EOF) {
		end.err = nil
	}
	if err := end.broken(); err != nil {
		return c.brokenOff(ctx, id, err)
	}
	c.recordAnswer(id, false)
	// An engine sends an event for each token. The events of a resumed stream are only its rest.
	if c.output = c.events; c.LastEvent != "" || len(c.tried) > 1 {
		c.output = 0
	}
	if c.answerStarted && !c.closes && end.framing == snipelink.FramedByClose {
		// The caller's framing was that of an earlier answer, and its end would prove more than this one.
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "the resumed stream does not show that it is whole")
	}
	if len(leftover) == 0 && c.answerStarted {
		return nil
	}
	return c.writeEvents(answer, leftover, snipestream.Summary{})
}

// continuesStream reports whether an event directly follows the last one that the caller has: both
// identifiers are decimal numbers, and the first is one higher. A caller that has no event yet takes any.
func (c *call) continuesStream(firstID string) bool {
	if c.lastEvent == "" {
		return true
	}
	last, err := strconv.ParseInt(c.lastEvent, 10, 64)
	if err != nil {
		return false
	}
	first, err := strconv.ParseInt(firstID, 10, 64)
	return err == nil && first == last+1
}

// canResume reports whether another upstream can go on with the answer that the caller has begun to receive.
func (c *call) canResume() bool {
	return c.route.Resumable && c.streaming && !c.unnumbered && !c.streamSoftware.unknown
}
