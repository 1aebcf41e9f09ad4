package snipepeer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
)

// eventBeat keeps a hop alive while the call waits for its first chunk.
const eventBeat = "Beat"

// maxWait bounds the time left that a hop may claim.
const maxWait = 24 * time.Hour

// Handler serves the hop. Exported fields are set before the first request.
type Handler struct {
	// Execute executes a call on this instance.
	Execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// Secret is what peers must show.
	Secret string
	// Beat is the time between two beats of a silent hop.
	Beat time.Duration
	// MaxBody bounds the body of a call in bytes.
	MaxBody int64
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(h.Secret)) != 1 {
		snipeerror.New(snipeerror.ErrUnauthenticated, snipeerror.NotRun, "peer secret").Write(w, "")
		return
	}
	c, wait, err := DecodeCall(r.Header)
	if err != nil {
		snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error()).Write(w, "")
		return
	}
	if c.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody)); err != nil {
		snipeerror.New(snipeerror.ErrTooLarge, snipeerror.NotRun, err.Error()).Write(w, c.ID)
		return
	}
	c.Deadline = time.Now().Add(wait)
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	out := &writer{response: w, controller: http.NewResponseController(w)}
	out.start()
	stop := out.beat(h.Beat)
	err = h.Execute(ctx, c, out.chunk)
	stop()
	if err != nil {
		out.fail(snipeerror.From(err), c.ID)
	}
}

// DecodeCall reads a call's fields and the time left from the hop's headers.
func DecodeCall(header http.Header) (*snipecall.Call, time.Duration, error) {
	c := &snipecall.Call{}
	if err := json.Unmarshal([]byte(header.Get(callHeader)), c); err != nil {
		return nil, 0, errors.Wrap(ErrBadCall, err.Error())
	}
	if c.Class >= snipecall.Classes || c.Upstream == "" {
		return nil, 0, errors.Wrap(ErrBadCall, "class or upstream")
	}
	milliseconds, err := strconv.ParseInt(header.Get(waitHeader), 10, 64)
	if err != nil || milliseconds > maxWait.Milliseconds() {
		return nil, 0, errors.Wrap(ErrBadCall, "time left")
	}
	return c, time.Duration(milliseconds) * time.Millisecond, nil
}

// writer sends the answer's events. Its lock keeps beats out of the middle of
// an event and from following the last one.
type writer struct {
	response   http.ResponseWriter
	controller *http.ResponseController

	lock   sync.Mutex // guards the fields below and writes to response
	buffer []byte
	ended  bool
}

func (w *writer) start() {
	w.response.Header().Set("Content-Type", "text/event-stream")
	w.response.WriteHeader(http.StatusOK)
}

func (w *writer) beat(interval time.Duration) (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				// A broken hop shows itself to the call's own writes.
				_ = w.send(snipestream.Event{Name: eventBeat, Data: []byte("{}")}, false)
			}
		}
	}()
	return func() { close(done) }
}

func (w *writer) chunk(c snipecall.Chunk) error {
	if c.ContentType != "" || c.Status != 0 {
		data, err := json.Marshal(whole{Status: c.Status, ContentType: c.ContentType, Data: c.Data})
		if err != nil {
			return errors.Wrap(err, "encode whole answer")
		}
		return w.send(snipestream.Event{ID: 1, Name: eventWhole, Data: data}, true)
	}
	name := eventChunk
	if c.Last {
		name = eventLast
	}
	return w.send(snipestream.Event{ID: c.Sequence, Name: name, Data: c.Data}, c.Last)
}

func (w *writer) fail(f *snipeerror.CallError, id string) {
	// The other side may be gone; there is nobody to tell.
	_ = w.send(snipestream.Event{Name: eventFailure, Data: f.Encode(id)}, true)
}

func (w *writer) send(e snipestream.Event, last bool) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.ended {
		return nil
	}
	w.ended = last
	w.buffer = snipestream.Append(w.buffer[:0], e)
	if _, err := w.response.Write(w.buffer); err != nil {
		return errors.Wrap(err, "write hop")
	}
	if err := w.controller.Flush(); err != nil {
		return errors.Wrap(err, "flush hop")
	}
	return nil
}
