package snipeupstream

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestream"
)

// maxAhead bounds how far the number of a chunk may exceed that of the last chunk
// in order. Chunks within the bound are held back until the missing ones arrive.
const maxAhead = 16

// maxDepth bounds the nesting of a chunk's JSON.
const maxDepth = 128

// answer is the state of one answer across connections. Only the goroutine of
// its call uses it.
type answer struct {
	engine    *Engine
	call      *snipecall.Call
	alias     string
	model     string // the adapter's name in the caller's answer
	sink      snipecall.Sink
	assembled *assembly // nil when the caller wants a stream

	id       string            // the engine's identifier of the answer
	sequence uint64            // number of the last chunk in order
	ahead    map[uint64][]byte // chunks that arrived before an earlier one, by number
	finished bool              // a finish reason arrived
	done     bool              // the end mark arrived
	buffer   []byte
}

// requestMaker returns the request that begins or resumes an answer.
type requestMaker func(context.Context) (*http.Request, error)

// errBroken marks a connection that failed in the middle of an answer.
var errBroken = errors.New("stream broken")

// run sends the first request and resumes the answer up to maxResumes times
// after its connection breaks.
func (a *answer) run(ctx context.Context, first requestMaker) error {
	err := a.begin(ctx, first)
	for n := 0; n < maxResumes && errors.Is(err, errBroken) && a.id != ""; n++ {
		if ctx.Err() != nil {
			break
		}
		a.logResumed(err)
		err = a.connect(ctx, a.engine.Fresh, a.resume)
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, errBroken) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return a.incompleteError(ctx, err)
	}
	return err
}

// begin sends the first request, a second time if its connection brought the answer to an earlier call.
func (a *answer) begin(ctx context.Context, first requestMaker) error {
	client := a.engine.Pooled
	if !a.call.Idempotent {
		client = a.engine.Fresh
	}
	err := a.connect(ctx, client, first)
	if !errors.Is(err, errForeign) {
		return err
	}
	// Only a connection that has carried another call brings its answer, and so only calls that may be repeated get here.
	a.logResumed(err)
	return a.connect(ctx, a.engine.Fresh, first)
}

func (a *answer) logResumed(err error) {
	if a.engine.Log != nil {
		a.engine.Log.Error(snipelog.CallResumed, err, snipelog.Fields{"Call": a.call.ID, "Upstream": a.engine.Name})
	}
}

// incompleteError returns the error of an answer that cannot be resumed.
func (a *answer) incompleteError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return snipeerror.New(contextErrorKind(ctx), snipeerror.MayHaveRun, "while the engine was answering")
	}
	return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
}

// contextErrorKind returns the kind of error for a context that has ended.
func contextErrorKind(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return snipeerror.ErrDeadline
	}
	return snipeerror.ErrCanceled
}

// resume returns the request for the chunks after the last one in order.
func (a *answer) resume(ctx context.Context) (*http.Request, error) {
	path := "/v1/responses/" + a.id + "?stream=true&starting_after=" + strconv.FormatUint(a.sequence, 10)
	return http.NewRequestWithContext(ctx, http.MethodGet, a.engine.url(path), http.NoBody)
}

// connect sends one request and reads its stream to the end.
func (a *answer) connect(ctx context.Context, client *http.Client, request requestMaker) error {
	r, err := request(ctx)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	x, err := Begin(client, r, SilenceLimit{Progress: a.engine.Progress, Pool: a.engine.Pooled})
	if err != nil {
		return a.sendError(ctx, x.MaybeSent, err)
	}
	if x.Foreign {
		x.Close()
		return errors.Wrap(errForeign, a.engine.Name)
	}
	if x.Response.StatusCode != http.StatusOK {
		defer x.Finish()
		return a.statusError(x.Response)
	}
	if err := a.read(x); err != nil {
		x.Close()
		return err
	}
	x.Finish()
	return nil
}

// read receives the events of one connection up to the end mark. If FirstChunk is
// set, it bounds the silence before the first chunk; Progress bounds all others.
func (a *answer) read(x *Exchange) error {
	reader := snipestream.NewReader(x.Response.Body)
	if a.sequence == 0 && a.engine.FirstChunk > 0 {
		x.RestartTimer(a.engine.FirstChunk)
	}
	for !a.done {
		event, err := reader.Read()
		if err != nil {
			return errors.Wrapf(errBroken, "after chunk %d: %v", a.sequence, err)
		}
		x.StopTimer()
		if err := a.receive(event); err != nil {
			return err
		}
		x.RestartTimer(a.engine.Progress)
	}
	return nil
}

// sendError returns the error of a request without a response. It distinguishes
// a request that was not sent from one that the engine may have received.
func (a *answer) sendError(ctx context.Context, maybeSent bool, err error) error {
	if maybeSent || a.id != "" {
		return errors.Wrapf(errBroken, "send: %v", err)
	}
	if ctx.Err() != nil {
		return snipeerror.New(contextErrorKind(ctx), snipeerror.NotRun, "before engine "+a.engine.Name+" was reached")
	}
	return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "engine "+a.engine.Name+" does not answer")
}

// statusError returns the error for a response whose status is not 200. After the
// first chunk, any such response means that the answer cannot be resumed.
func (a *answer) statusError(response *http.Response) error {
	text := readError(response)
	reason := "engine " + a.engine.Name + ": status " + strconv.Itoa(response.StatusCode) + ": " + text
	if a.id != "" {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, reason)
	}
	switch response.StatusCode {
	case http.StatusNotFound:
		return ErrNotResident
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, reason)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, reason).After(retryAfter(response))
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, reason)
}

// maxRetryAfter bounds the wait that an upstream can request of a caller.
const maxRetryAfter = time.Minute

// retryAfter returns the response's Retry-After, which is in seconds; zero if it
// is missing or invalid.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// receive delivers an event that is next in order, and the chunks held back
// after it. It holds back a chunk that arrived before an earlier one.
func (a *answer) receive(event snipestream.Event) error {
	switch {
	case event.ID <= a.sequence:
		// The event repeats a chunk, or is a comment.
		return nil
	case event.ID > a.sequence+maxAhead:
		return errors.Wrapf(errBroken, "chunk %d after %d", event.ID, a.sequence)
	case event.ID > a.sequence+1:
		if a.ahead == nil {
			a.ahead = map[uint64][]byte{}
		}
		a.ahead[event.ID] = bytes.Clone(event.Data)
		return nil
	}
	data, ok := event.Data, true
	for ok && !a.done {
		if err := a.deliver(data); err != nil {
			return err
		}
		data, ok = a.ahead[a.sequence+1]
		delete(a.ahead, a.sequence+1)
	}
	return nil
}

var endMark = []byte("[DONE]")

// deliver checks the next chunk in order and passes it to the sink or to the
// whole answer. In the chunk for the sink, the caller's name of the adapter
// replaces the alias.
func (a *answer) deliver(data []byte) error {
	if bytes.Equal(data, endMark) {
		return a.end()
	}
	if snipejson.Depth(data) > maxDepth || !gjson.ValidBytes(data) {
		return errors.Wrapf(errBroken, "chunk %d is not JSON", a.sequence+1)
	}
	f := readFields(data)
	if f.model.String() != a.alias || f.models != 1 {
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun,
			"engine "+a.engine.Name+" answered as "+strconv.Quote(f.model.String()))
	}
	if err := a.checkID(f.id); err != nil {
		return err
	}
	a.sequence++
	a.finished = a.finished || f.finished
	if a.assembled != nil {
		return a.assembled.add(data)
	}
	a.buffer = append(a.buffer[:0], data[:f.model.Index]...)
	a.buffer = strconv.AppendQuote(a.buffer, a.model)
	a.buffer = append(a.buffer, data[f.model.Index+len(f.model.Raw):]...)
	return a.sink(snipecall.Chunk{Sequence: a.sequence, Data: a.buffer})
}

// chunkFields are the fields of a chunk that deliver checks.
type chunkFields struct {
	model    gjson.Result
	models   int // number of names that equal "model" ignoring case, as some decoders match
	id       string
	finished bool
}

// readFields reads a chunk, which is valid JSON, in one pass.
func readFields(data []byte) chunkFields {
	var f chunkFields
	gjson.ParseBytes(data).ForEach(func(key, value gjson.Result) bool {
		switch name := key.String(); {
		case strings.EqualFold(name, "model"):
			f.models++
			f.model = value
		case name == "id":
			f.id = value.String()
		case name == "choices":
			f.finished = f.finished || value.Get("0.finish_reason").String() != ""
		}
		return true
	})
	return f
}

// checkID returns ErrMismatch for a chunk whose identifier differs from that of
// the first chunk.
func (a *answer) checkID(id string) error {
	if a.id == "" {
		a.id = id
	}
	if a.id == id {
		return nil
	}
	return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun,
		"chunk of answer "+strconv.Quote(id)+" in answer "+strconv.Quote(a.id))
}

// end handles the end mark: it passes on the end of a stream, or the whole answer.
// An answer without a finish reason is incomplete.
func (a *answer) end() error {
	if !a.finished {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "end mark without a finish reason")
	}
	a.sequence++
	a.done = true
	if a.assembled == nil {
		return a.sink(snipecall.Chunk{Sequence: a.sequence, Data: endMark, Last: true})
	}
	body, err := a.assembled.whole(a.model)
	if err != nil {
		return err
	}
	return a.sink(snipecall.Chunk{
		Sequence: 1, Status: http.StatusOK, ContentType: "application/json", Data: body, Last: true,
	})
}
