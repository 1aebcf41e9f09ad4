// Package snipeupstream contains the clients of upstreams. It is the only package
// that depends on the formats of model engines (the OpenAI-compatible API with
// dynamic adapter loading) and of plain services (HTTP).
//
// A call to an engine is always streamed, even if the caller requests one whole
// answer: the progress of the stream distinguishes a slow engine from a connection
// that has gone silent. A stream that breaks is resumed on a new connection
// from the last chunk that arrived. An answer is complete only after the engine
// has sent a finish reason and the end mark. A chunk of a model other than the
// requested one ends the answer with ErrMismatch.
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
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
)

// FenceHeader is the header that carries the fencing number of an order.
const FenceHeader = "Fencing-Number"

// maxErrorBody bounds the bytes read of an upstream's error text.
const maxErrorBody = 4096

// maxResumes bounds the number of resumes of one answer.
const maxResumes = 3

// Errors of orders and calls.
var (
	// ErrFenced means that the engine refused an order with an old fencing number.
	ErrFenced = errors.New("order refused: old fencing number")
	// ErrOrder means that the engine did not carry out an order, or that the order
	// was never sent.
	ErrOrder = errors.New("order failed")
	// ErrOrderRefused means that the engine refused an order because of the order
	// itself or because of its slots.
	ErrOrderRefused = errors.New("order refused")
	// ErrOrderUnknown means that the order may have been carried out, or may still be.
	ErrOrderUnknown = errors.New("order outcome unknown")
	// ErrNotResident means that the engine does not have the alias and did not run
	// the call.
	ErrNotResident = errors.New("adapter not resident")
)

// Engine is the client of one model engine. Exported fields are set before
// the first call.
type Engine struct {
	// Name and Address identify the engine.
	Name    string
	Address netip.AddrPort
	// Pooled sends idempotent calls over reused connections. Fresh opens a
	// connection for each request and sends all others: orders, cancels,
	// resumes, and calls that may not be repeated.
	Pooled, Fresh *http.Client
	// Progress is the longest silence of a connection before it is closed. It bounds
	// the time from the request to the first event, or to the response's header if
	// FirstChunk applies, and the time between two events.
	Progress time.Duration
	// FirstChunk is the longest silence between the response's header and the
	// first chunk, while the engine queues the call. Zero: the header does not
	// restart the silence, and Progress bounds the time to the first event.
	FirstChunk time.Duration
	// Log receives events; nil disables logging.
	Log *snipelog.Logger
}

// order is the request body of the load and unload orders.
type order struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load orders the engine to load an adapter under an alias, from a path in the weight store, and
// waits for the engine's answer. Errors of the connection and of the engine wrap one of the
// errors of orders.
func (e *Engine) Load(ctx context.Context, alias, path string, fence uint64) error {
	return e.order(ctx, "/v1/load_lora_adapter", order{Name: alias, Path: path}, fence)
}

// Unload orders the engine to unload an alias, and waits for the engine's answer. An
// alias that the engine does not have is no error; other errors are as for Load.
func (e *Engine) Unload(ctx context.Context, alias string, fence uint64) error {
	err := e.order(ctx, "/v1/unload_lora_adapter", order{Name: alias}, fence)
	if errors.Is(err, ErrNotResident) {
		return nil
	}
	return err
}

// order sends an order with a fencing number once, and returns one of the errors of
// orders according to the engine's answer.
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
	response, err := e.Fresh.Do(r)
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

// orderError returns the error of an order without a response: ErrOrder if no
// connection was opened, and ErrOrderUnknown if the order may have been sent.
func orderError(err error, operation string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrapf(ErrOrder, "%s: %v", operation, err)
	}
	return errors.Wrapf(ErrOrderUnknown, "%s: %v", operation, err)
}

func (e *Engine) url(path string) string { return "http://" + e.Address.String() + path }

// closeBody discards up to maxErrorBody bytes of what is left of a body, and closes it.
func closeBody(r *http.Response) {
	// The errors do not matter: the rest is short, or its connection is closed.
	_, _ = io.CopyN(io.Discard, r.Body, maxErrorBody)
	_ = r.Body.Close()
}

// readError returns the start of a response's body as text.
func readError(r *http.Response) string {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxErrorBody))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Call executes c under the alias, which must belong to the call's adapter, and
// passes the answer to sink: each chunk of a stream, or one chunk with the whole answer. Errors
// are CallErrors, ErrNotResident, or the error of sink, which ends the call. After an error, a
// request to cancel the answer is sent in the background if its identifier is known.
func (e *Engine) Call(ctx context.Context, c *snipecall.Call, alias string, sink snipecall.Sink) error {
	if !strings.HasPrefix(alias, c.Adapter.String()+"#") {
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.NotRun, "alias "+strconv.Quote(alias)+" for "+c.Adapter.String())
	}
	body, err := requestBody(c, alias)
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	a := &answer{engine: e, call: c, alias: alias, model: c.Adapter.Model(), sink: sink}
	if !c.Stream {
		a.assembled = &assembly{chat: c.Path == ChatPath}
	}
	err = a.run(ctx, func(ctx context.Context) (*http.Request, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url(c.Path), bytes.NewReader(body))
		if err == nil {
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set(requestHeader, c.ID)
		}
		return r, err
	})
	if err != nil && a.id != "" {
		e.cancel(a.id)
	}
	return err
}

// Paths of calls to engines.
const (
	CompletionsPath = "/v1/completions"
	ChatPath        = "/v1/chat/completions"
)

// cancelTimeout bounds the request that cancels an answer.
const cancelTimeout = 2 * time.Second

// cancel sends, in the background, a request to cancel an answer that is no
// longer needed. It uses its own context, since the caller's may have ended.
func (e *Engine) cancel(id string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url("/v1/responses/"+id+"/cancel"), http.NoBody)
		if err != nil {
			return
		}
		response, err := e.Fresh.Do(r)
		if err != nil {
			return
		}
		closeBody(response)
	}()
}
