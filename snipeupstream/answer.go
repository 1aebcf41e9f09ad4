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

// maxAhead bounds the chunks held back until an earlier one arrives.
const maxAhead = 16

// maxDepth bounds how deeply a chunk may be nested.
const maxDepth = 128

// answer is the state of one answer across connections. It belongs to the
// goroutine of its call.
type answer struct {
	engine    *Engine
	call      *snipecall.Call
	alias     string
	model     string // the caller's name of the adapter
	sink      snipecall.Sink
	assembled *assembly // nil when the caller wants a stream

	id       string            // the engine's identifier of the answer
	sequence uint64            // of the last chunk that was taken in order
	ahead    map[uint64][]byte // chunks that arrived before their turn
	finished bool              // a finish reason arrived
	done     bool              // the end mark arrived
	buffer   []byte
}

type requestMaker func(context.Context) (*http.Request, error)

// errBroken marks a connection that failed in the middle of an answer.
var errBroken = errors.New("stream broken")

func (a *answer) run(ctx context.Context, first requestMaker) error {
	client := a.engine.Client
	if !a.call.Idempotent {
		client = a.engine.Fresh
	}
	err := a.connect(ctx, client, first)
	for n := 0; n < maxResumes && errors.Is(err, errBroken) && a.id != ""; n++ {
		if ctx.Err() != nil {
			break
		}
		if a.engine.Log != nil {
			a.engine.Log.Error(snipelog.CallResumed, err, snipelog.Fields{"Call": a.call.ID, "Upstream": a.engine.Name})
		}
		err = a.connect(ctx, a.engine.Fresh, a.resume)
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, errBroken) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return a.broken(ctx, err)
	}
	return err
}

// broken is the failure of an answer that cannot be resumed.
func (a *answer) broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return snipeerror.New(contextKind(ctx), snipeerror.MayHaveRun, "while the engine was answering")
	}
	return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
}

func contextKind(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return snipeerror.ErrDeadline
	}
	return snipeerror.ErrCanceled
}

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
	x, err := Begin(client, r, Watch{Progress: a.engine.Progress, Kept: a.engine.Client})
	if err != nil {
		return a.sendError(ctx, x.Left, err)
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

func (a *answer) read(x *Exchange) error {
	reader := snipestream.NewReader(x.Response.Body)
	if a.sequence == 0 && a.engine.FirstChunk > 0 {
		x.Alive(a.engine.FirstChunk)
	}
	for !a.done {
		event, err := reader.Read()
		if err != nil {
			return errors.Wrapf(errBroken, "after chunk %d: %v", a.sequence, err)
		}
		x.Hold()
		if err := a.take(event); err != nil {
			return err
		}
		x.Alive(a.engine.Progress)
	}
	return nil
}

// sendError tells a request that never reached the engine from one that may
// have been taken.
func (a *answer) sendError(ctx context.Context, left bool, err error) error {
	if left || a.id != "" {
		return errors.Wrapf(errBroken, "send: %v", err)
	}
	if ctx.Err() != nil {
		return snipeerror.New(contextKind(ctx), snipeerror.NotRun, "before engine "+a.engine.Name+" was reached")
	}
	return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "engine "+a.engine.Name+" does not answer")
}

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

// maxRetryAfter bounds what an upstream may ask a caller to wait.
const maxRetryAfter = time.Minute

// retryAfter reads the response's Retry-After in seconds; zero when there is none.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// take puts one event in its place and passes on what is in order.
func (a *answer) take(event snipestream.Event) error {
	switch {
	case event.ID <= a.sequence:
		// A chunk that has arrived before, or a comment.
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
		if err := a.next(data); err != nil {
			return err
		}
		data, ok = a.ahead[a.sequence+1]
		delete(a.ahead, a.sequence+1)
	}
	return nil
}

var endMark = []byte("[DONE]")

// next checks the next chunk in order and passes it on.
func (a *answer) next(data []byte) error {
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

// chunkFields are the fields of a chunk that matter here.
type chunkFields struct {
	model    gjson.Result
	models   int // names that some decoder takes for "model"
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

// checkID holds all chunks to one answer of the engine.
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
