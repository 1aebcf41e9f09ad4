package snipegateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
)

// chunkSize is the buffer of a stream: events have about sixty bytes and come one
// by one.
const chunkSize = 8 << 10

// maxEvent bounds one event.
const maxEvent = 1 << 20

var chunks = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

var eventEnd = []byte("\n\n")

// stream passes events on as they come. Only whole events are passed on while the
// answer may still have to go on at another upstream.
func (c *call) stream(ctx context.Context, id string, answer *snipelink.Answer) error {
	chunk := chunks.Get().(*[]byte)
	defer chunks.Put(chunk)
	var pending []byte
	resumed := c.begun
	for {
		n, err := answer.Read(*chunk)
		pending = append(pending, (*chunk)[:n]...)
		if end := bytes.LastIndex(pending, eventEnd); end >= 0 {
			events := pending[:end+len(eventEnd)]
			if resumed {
				if !c.follows(events) {
					return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "the stream went on at another event")
				}
				resumed = false
			}
			if werr := c.events(answer, events); werr != nil {
				return werr
			}
			pending = append(pending[:0], pending[len(events):]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.finish(id, answer, pending)
		case err != nil:
			return c.broken(ctx, id, err)
		case len(pending) > maxEvent:
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "event too long")
		}
	}
}

// events writes whole events.
func (c *call) events(answer *snipelink.Answer, events []byte) error {
	if !c.begun {
		c.gateway.Chooser.paces.of(c.service).first(time.Since(c.sentAt), c.busy)
		c.head(http.StatusOK, forwarded(answer.Header))
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(events); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	c.notePause(time.Now())
	if id := lastID(events); id != "" {
		c.lastEvent = id
	}
	return nil
}

// notePause keeps the longest time between two writes to the caller.
func (c *call) notePause(now time.Time) {
	if !c.wroteAt.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.wroteAt))
	}
	c.wroteAt = now
}

// finish writes what is left of a stream that came to its end.
func (c *call) finish(id string, answer *snipelink.Answer, rest []byte) error {
	c.gateway.Balancer.Answered(id, false)
	if len(rest) == 0 && c.begun {
		return nil
	}
	return c.events(answer, rest)
}

// broken returns the failure of a stream that broke off.
func (c *call) broken(ctx context.Context, id string, err error) error {
	if ctx.Err() == nil {
		c.gateway.Balancer.Broken(id)
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
	}
	return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, err.Error())
}

var idField = []byte("id:")

// lastID returns the identifier of the last event that has one.
func lastID(events []byte) string {
	for len(events) > 0 {
		at := bytes.LastIndex(events, idField)
		if at < 0 {
			return ""
		}
		if at == 0 || events[at-1] == '\n' {
			return idAt(events[at:])
		}
		events = events[:at]
	}
	return ""
}

// firstID returns the identifier of the first event that has one.
func firstID(events []byte) string {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte{'\n'})
		if bytes.HasPrefix(line, idField) {
			return idAt(line)
		}
		events = rest
	}
	return ""
}

func idAt(line []byte) string {
	line, _, _ = bytes.Cut(line, []byte{'\n'})
	return string(bytes.TrimSpace(bytes.TrimPrefix(line, idField)))
}

// follows reports whether events go on where the caller's stream ends.
func (c *call) follows(events []byte) bool {
	last, err := strconv.ParseInt(c.lastEvent, 10, 64)
	if err != nil {
		return false
	}
	first, err := strconv.ParseInt(firstID(events), 10, 64)
	return err == nil && first == last+1
}
