package snipecaller

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
)

// errCallerGone is returned to the producer of an answer whose caller has
// disconnected.
var errCallerGone = errors.New("caller has gone away")

// reply sends the one answer of a call. Only the call's goroutine uses it.
type reply struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	call       *snipecall.Call
	// firstChunk is called before the first chunk is sent.
	firstChunk func()
	// sequence is the number of the last chunk sent.
	sequence uint64
	ended    bool
	buffer   []byte
}

// started reports whether a part of the answer has been sent.
func (o *reply) started() bool { return o.sequence > 0 }

// chunk sends the next chunk, before the first one also the header of the answer. It
// refuses a chunk that is out of order, that follows the last one, or that comes from
// another adapter than the call's. It returns errCallerGone if the chunk cannot be sent.
func (o *reply) chunk(c snipecall.Chunk) error {
	if o.ended || c.Sequence != o.sequence+1 {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun,
			"chunk "+strconv.FormatUint(c.Sequence, 10)+" after "+strconv.FormatUint(o.sequence, 10))
	}
	if err := o.checkAdapter(c); err != nil {
		return err
	}
	if !o.started() {
		o.firstChunk()
		o.sendHeader(c)
	}
	o.sequence = c.Sequence
	o.ended = c.Last
	o.buffer = o.buffer[:0]
	if c.Status != 0 {
		o.buffer = append(o.buffer, c.Data...)
	} else {
		o.buffer = snipestream.Append(o.buffer, snipestream.Event{ID: c.Sequence, Data: c.Data})
	}
	if _, err := o.response.Write(o.buffer); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if err := o.controller.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	return nil
}

// checkAdapter refuses a chunk that comes from another adapter than the call's.
// The instance that called the engine has made the same check; this check also
// covers the transfer between instances. The end mark of a stream names no model
// and is not checked.
func (o *reply) checkAdapter(c snipecall.Chunk) error {
	if o.call.Adapter.IsZero() || c.Last && c.Status == 0 {
		return nil
	}
	if got := gjson.GetBytes(c.Data, "model").String(); got != o.call.Adapter.Model() {
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "answer of "+strconv.Quote(got))
	}
	return nil
}

func (o *reply) sendHeader(c snipecall.Chunk) {
	h := o.response.Header()
	if !o.call.Adapter.IsZero() {
		h.Set(AdapterHeader, o.call.Adapter.Model())
	}
	if c.Status == 0 {
		h.Set("Content-Type", "text/event-stream")
		o.response.WriteHeader(http.StatusOK)
		return
	}
	if c.ContentType != "" {
		h.Set("Content-Type", c.ContentType)
	}
	if c.Unframed {
		// net/http then frames the answer by the end of the connection, which proves no more than the upstream's did.
		h.Set("Transfer-Encoding", "identity")
	}
	o.response.WriteHeader(c.Status)
}

// fail sends the failure as the whole answer, or as the last event if a part
// of the answer has been sent. It does nothing if the answer has ended.
func (o *reply) fail(f *snipeerror.CallError, id string) {
	if o.ended {
		return
	}
	o.ended = true
	if !o.started() {
		f.Write(o.response, id)
		return
	}
	partial := *f
	// A call that has produced a part of an answer has run, whatever outcome
	// the failure states.
	partial.Outcome = snipeerror.MayHaveRun
	f = &partial
	e := snipestream.Event{ID: o.sequence + 1, Name: "error", Data: f.Encode(id)}
	// The caller may have disconnected, and there is no other receiver for a
	// write error.
	_, _ = o.response.Write(snipestream.Append(nil, e))
	_ = o.controller.Flush()
}
