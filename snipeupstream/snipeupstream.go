// Package snipeupstream talks to upstreams: it is the only package that knows
// the formats of model engines (the OpenAI-compatible API with dynamic adapter
// loading) and of plain services (HTTP).
//
// A call at an engine is always streamed, also when the caller wants one whole
// answer: the progress of the stream tells a slow engine from a connection
// that has gone silent. A stream that breaks is resumed on a new connection
// from the last chunk that arrived. An answer is complete only when the engine
// has sent a finish reason and the end mark; a chunk of another model than the
// one asked for ends the answer with ErrMismatch.
package snipeupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
)

// FenceHeader carries the fencing number of an order.
const FenceHeader = "Fencing-Number"

// maxErrorBody bounds what is read of an upstream's error.
const maxErrorBody = 4096

// maxResumes bounds how often one answer is resumed.
const maxResumes = 3

// Errors of orders and calls.
var (
	// ErrFenced: the engine refused an order with an old fencing number.
	ErrFenced = errors.New("order refused: old fencing number")
	// ErrOrder: the engine answered that it did not carry out an order.
	ErrOrder = errors.New("order failed")
	// ErrOrderRefused: an ErrOrder for a reason that lies in the order or in
	// the engine's slots.
	ErrOrderRefused = errors.New("order refused")
	// ErrOrderUnknown: the order may have been carried out, or may be later.
	ErrOrderUnknown = errors.New("order outcome unknown")
	// ErrNotResident: the engine does not have the alias; the call was not run.
	ErrNotResident = errors.New("adapter not resident")
)

// Engine is the client of one model engine. Exported fields are set before
// the first call.
type Engine struct {
	// Name and Address name the engine.
	Name    string
	Address netip.AddrPort
	// Client sends calls and orders.
	Client *http.Client
	// Progress is the longest time between two chunks of an answer before its
	// connection is given up.
	Progress time.Duration
}

// order is the body of the load and unload orders.
type order struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load orders the engine to load an adapter under an alias.
func (e *Engine) Load(ctx context.Context, alias, path string, fence uint64) error {
	return e.order(ctx, "/v1/load_lora_adapter", order{Name: alias, Path: path}, fence)
}

// Unload orders the engine to drop an alias. An alias that is not there is no
// error.
func (e *Engine) Unload(ctx context.Context, alias string, fence uint64) error {
	err := e.order(ctx, "/v1/unload_lora_adapter", order{Name: alias}, fence)
	if errors.Is(err, ErrNotResident) {
		return nil
	}
	return err
}

func (e *Engine) order(ctx context.Context, path string, o order, fence uint64) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(path), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make order")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(FenceHeader, strconv.FormatUint(fence, 10))
	response, err := e.Client.Do(r)
	if err != nil {
		return orderError(err, path+" "+o.Name)
	}
	defer closeBody(response)
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return errors.Wrapf(ErrFenced, "%s %s with %d", path, o.Name, fence)
	case http.StatusBadRequest, http.StatusConflict:
		return errors.Wrapf(ErrOrderRefused, "%s %s: status %d: %s", path, o.Name, response.StatusCode, readError(response))
	case http.StatusNotFound:
		return errors.Wrapf(ErrNotResident, "%s %s", path, o.Name)
	}
	return errors.Wrapf(ErrOrder, "%s %s: status %d: %s", path, o.Name, response.StatusCode, readError(response))
}

// orderError tells an order that was never sent from one that may have been.
func orderError(err error, what string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrapf(ErrOrder, "%s: %v", what, err)
	}
	return errors.Wrapf(ErrOrderUnknown, "%s: %v", what, err)
}

func (e *Engine) url(path string) string { return "http://" + e.Address.String() + path }

func closeBody(r *http.Response) {
	// What is left is short or the connection is closed; neither matters now.
	_, _ = io.CopyN(io.Discard, r.Body, maxErrorBody)
	_ = r.Body.Close()
}

func readError(r *http.Response) string {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxErrorBody))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Call executes c under the alias and passes the answer to sink. Errors are
// Failures, or ErrNotResident.
func (e *Engine) Call(ctx context.Context, c *snipecall.Call, alias string, sink snipecall.Sink) error {
	body, err := requestBody(c, alias)
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	a := &answer{engine: e, call: c, alias: alias, sink: sink}
	if !c.Stream {
		a.assembled = &assembly{chat: c.Path == ChatPath}
	}
	err = a.run(ctx, func(ctx context.Context) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(c.Path), bytes.NewReader(body))
		if err == nil {
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set("X-Request-Id", c.ID)
		}
		return r, err
	})
	if err != nil && a.id != "" {
		e.cancel(a.id)
	}
	return err
}

// Paths of the calls that engines serve.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// priorities of the classes at the engine; the lowest is the most urgent.
var priorities = [snipecall.Classes]int{0, 10, 20}

func requestBody(c *snipecall.Call, alias string) ([]byte, error) {
	body, err := sjson.SetBytes(c.Body, "model", alias)
	if err != nil {
		return nil, errors.Wrap(err, "set model")
	}
	if body, err = sjson.SetBytes(body, "stream", true); err != nil {
		return nil, errors.Wrap(err, "set stream")
	}
	if body, err = sjson.SetBytes(body, "priority", priorities[c.Class]); err != nil {
		return nil, errors.Wrap(err, "set priority")
	}
	return body, nil
}

// cancelTimeout bounds the order to cancel an answer.
const cancelTimeout = 2 * time.Second

// cancel tells the engine that nobody waits for the answer any more. It has a
// context of its own, since the caller's has ended.
func (e *Engine) cancel(id string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url("/v1/responses/"+id+"/cancel"), http.NoBody)
		if err != nil {
			return
		}
		response, err := e.Client.Do(r)
		if err != nil {
			return
		}
		closeBody(response)
	}()
}

// answer is the state of one answer across connections.
type answer struct {
	engine    *Engine
	call      *snipecall.Call
	alias     string
	sink      snipecall.Sink
	assembled *assembly // nil when the caller wants a stream

	id       string // the engine's identifier of the answer
	sequence uint64 // of the last chunk that arrived
	finished bool   // a finish reason arrived
	done     bool   // the end mark arrived
}

type requestMaker func(context.Context) (*http.Request, error)

// errBroken marks a connection that failed in the middle of an answer.
var errBroken = errors.New("stream broken")

func (a *answer) run(ctx context.Context, first requestMaker) error {
	err := a.connect(ctx, first)
	for n := 0; n < maxResumes && errors.Is(err, errBroken) && a.id != ""; n++ {
		if ctx.Err() != nil {
			break
		}
		err = a.connect(ctx, a.resume)
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return snipeerror.New(contextKind(ctx), snipeerror.MayHaveRun, "while the engine was answering")
	}
	if errors.Is(err, errBroken) {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
	}
	return err
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
func (a *answer) connect(parent context.Context, request requestMaker) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	r, err := request(ctx)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	watch := time.AfterFunc(a.engine.Progress, cancel)
	defer watch.Stop()
	response, err := a.engine.Client.Do(r)
	if err != nil {
		return a.sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return a.statusError(response)
	}
	reader := snipestream.NewReader(response.Body)
	for !a.done {
		event, err := reader.Read()
		if err != nil {
			return errors.Wrapf(errBroken, "after chunk %d: %v", a.sequence, err)
		}
		watch.Reset(a.engine.Progress)
		if err := a.take(event); err != nil {
			return err
		}
	}
	return nil
}

// sendError tells a request that never reached the engine from one that may
// have been taken.
func (a *answer) sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && a.id == "" {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "engine "+a.engine.Name+" does not answer")
	}
	return errors.Wrapf(errBroken, "send: %v", err)
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
		return snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, reason)
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, reason)
}

var endMark = []byte("[DONE]")

// take checks one event and passes it on.
func (a *answer) take(event snipestream.Event) error {
	if event.ID <= a.sequence {
		// A chunk that arrived before the connection broke.
		return nil
	}
	if event.ID != a.sequence+1 {
		return errors.Wrapf(errBroken, "chunk %d after %d", event.ID, a.sequence)
	}
	a.sequence = event.ID
	if bytes.Equal(event.Data, endMark) {
		return a.end(event)
	}
	if got := gjson.GetBytes(event.Data, "model").String(); got != a.alias {
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "engine "+a.engine.Name+" answered as "+strconv.Quote(got))
	}
	if a.id == "" {
		a.id = gjson.GetBytes(event.Data, "id").String()
	}
	if gjson.GetBytes(event.Data, "choices.0.finish_reason").String() != "" {
		a.finished = true
	}
	if a.assembled != nil {
		a.assembled.add(event.Data)
		return nil
	}
	data, err := sjson.SetBytes(event.Data, "model", a.call.Adapter.Model())
	if err != nil {
		return errors.Wrap(err, "set model")
	}
	return a.sink(snipecall.Chunk{Sequence: a.sequence, Data: data})
}

func (a *answer) end(event snipestream.Event) error {
	if !a.finished {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "end mark without a finish reason")
	}
	a.done = true
	if a.assembled == nil {
		return a.sink(snipecall.Chunk{Sequence: a.sequence, Data: event.Data, Last: true})
	}
	return a.sink(snipecall.Chunk{
		Sequence: 1, Status: http.StatusOK, ContentType: "application/json",
		Data: a.assembled.whole(a.call.Adapter.Model()), Last: true,
	})
}
