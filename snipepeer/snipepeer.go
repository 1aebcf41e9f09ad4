// Package snipepeer forwards calls from the instance that a caller is connected
// to (the entry) to the instance that owns the chosen engine (the owner).
//
// A hop is one call at one owner. It begins with one HTTP request with the call's
// fields in a header and the call's body as the body. The answer consists of
// server-sent events. Events are numbered from 1 without gaps; heartbeats, which
// keep a silent hop alive, have no number. Exactly one last event (Last, Whole or
// Failure) ends the answer.
//
// A hop outlives its connection. The owner keeps the latest events, and an entry
// whose connection broke or went silent requests the missing events on a new
// connection. This package never sends a call a second time: if the owner no longer
// has the hop or the missing events, the call ends in ErrIncomplete. When its caller
// leaves, the entry sends a separate cancel request: to the owner, a closed
// connection does not mean that the caller has left, and on a silent connection the
// close never arrives.
package snipepeer

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeanswer"
	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestream"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipeupstream"
)

// Path is the HTTP path of calls from peers: POST begins a hop, GET resumes one,
// and DELETE cancels one.
const Path = "/Peer/Call"

const (
	callHeader    = "Snipe-Call"
	hopHeader     = "Snipe-Hop"
	afterHeader   = "Snipe-After"
	adapterHeader = "Snipe-Adapter"
	waitHeader    = "Snipe-Wait-Milliseconds"
	secretHeader  = "Snipe-Peer-Secret" //nolint:gosec // a header's name

	eventChunk   = "Chunk"
	eventLast    = "Last"
	eventWhole   = "Whole"
	eventFailure = "Failure"
	// eventHeartbeat keeps a hop alive while the call waits for its next chunk.
	eventHeartbeat = "Beat"
)

const (
	// maxResumes bounds the consecutive resumes that receive no new event.
	maxResumes    = 3
	resumePause   = 50 * time.Millisecond
	cancelTimeout = 2 * time.Second
	// maxHopEvent bounds one event in bytes: the largest is an answer that is not
	// streamed, in base64.
	maxHopEvent = 2 * snipeupstream.MaxAnswer
)

// Errors of hops.
var (
	// ErrBadCall means that the hop's headers do not contain a valid call.
	ErrBadCall = errors.New("not a call")
	// errBroken marks a connection that failed before the last event.
	errBroken = errors.New("hop to a peer broke")
)

// wholePayload is the payload of an answer that is not streamed.
type wholePayload struct {
	Status      int
	ContentType string
	Unframed    bool `json:",omitempty"`
	Data        []byte
}

// Client forwards calls. Exported fields are set before the first call.
type Client struct {
	// Pooled sends idempotent calls over reused connections. Fresh opens a
	// connection for each request and sends all others: resumes, cancels, and
	// calls that may not be repeated.
	Pooled, Fresh *http.Client
	// Secret proves to the peer that the sender is an instance.
	Secret string
	// Progress is the longest silence of a connection before it is closed.
	Progress time.Duration
	// Log receives events; nil disables logging.
	Log *snipelog.Logger
	// Reach records the instances that were not reached recently.
	Reach Reach
}

// hop is the state of one call at one owner, across connections. Only the goroutine
// of its call uses it.
type hop struct {
	client  *Client
	address netip.AddrPort
	call    *snipecall.Call
	sink    snipecall.Sink

	id        string
	sequence  uint64 // number of the last event received
	maybeSent bool   // the call may have reached the owner
	ended     bool   // the owner has ended the hop, or refused it
}

// Forward executes c on the instance at address and passes the answer to sink. If it
// fails before the owner has ended the hop, it cancels the hop in the background.
func (p *Client) Forward(ctx context.Context, address netip.AddrPort, c *snipecall.Call, sink snipecall.Sink) error {
	h := &hop{client: p, address: address, call: c, sink: sink, id: rand.Text()}
	err := h.run(ctx)
	if err != nil && h.maybeSent && !h.ended {
		p.cancel(address, h.id)
	}
	return err
}

// run begins the hop and resumes it when its connection breaks.
func (h *hop) run(ctx context.Context) error {
	client := h.client.Pooled
	if !h.call.Idempotent {
		client = h.client.Fresh
	}
	err := h.connect(ctx, client, h.begin)
	for n := 0; errors.Is(err, errBroken); n++ {
		if n == maxResumes || !snipetime.Sleep(ctx, resumePause<<n) {
			return incompleteError(ctx, err)
		}
		if h.client.Log != nil {
			h.client.Log.Error(snipelog.HopResumed, err, snipelog.Fields{"Call": h.call.ID, "Peer": h.address.String()})
		}
		before := h.sequence
		err = h.connect(ctx, h.client.Fresh, h.resume)
		if h.sequence > before {
			n = -1
		}
	}
	return err
}

// incompleteError returns the error of a hop that cannot be resumed.
func incompleteError(ctx context.Context, err error) error {
	kind := snipeerror.ErrIncomplete
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = snipeerror.ErrDeadline
	case ctx.Err() != nil:
		kind = snipeerror.ErrCanceled
	}
	return snipeerror.New(kind, snipeerror.MayHaveRun, err.Error())
}

// request returns a request to the owner of a hop.
func (p *Client) request(ctx context.Context, method string, address netip.AddrPort, id string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set(secretHeader, p.Secret)
	r.Header.Set(hopHeader, id)
	return r, nil
}

// begin returns the request that begins the hop.
func (h *hop) begin(ctx context.Context) (*http.Request, error) {
	fields, err := json.Marshal(h.call)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	r, err := h.client.request(ctx, http.MethodPost, h.address, h.id, bytes.NewReader(h.call.Body))
	if err != nil {
		return nil, err
	}
	// net/http must not send a call a second time by itself.
	r.GetBody = nil
	r.Header.Set(callHeader, string(fields))
	// The clocks of instances differ, so the time left is sent, and the owner computes the
	// deadline from it; the deadline among the call's fields is not used.
	r.Header.Set(waitHeader, strconv.FormatInt(time.Until(h.call.Deadline).Milliseconds(), 10))
	return r, nil
}

// resume returns the request for the events after the last one received.
func (h *hop) resume(ctx context.Context) (*http.Request, error) {
	r, err := h.client.request(ctx, http.MethodGet, h.address, h.id, http.NoBody)
	if err == nil {
		r.Header.Set(afterHeader, strconv.FormatUint(h.sequence, 10))
	}
	return r, err
}

// cancel sends, in the background, a request to cancel a hop whose answer is no
// longer needed. It uses its own context, since the caller's may have ended.
func (p *Client) cancel(address netip.AddrPort, id string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		r, err := p.request(ctx, http.MethodDelete, address, id, http.NoBody)
		if err != nil {
			return
		}
		// If the request fails, the owner cancels the call when its ResumeWindow ends.
		if response, err := p.Fresh.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
}

// connect sends one request and reads the events up to the last one.
func (h *hop) connect(ctx context.Context, client *http.Client, request func(context.Context) (*http.Request, error)) error {
	r, err := request(ctx)
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	x, err := snipeupstream.Begin(client, r, snipeupstream.SilenceLimit{Progress: h.client.Progress, Pool: h.client.Pooled})
	h.maybeSent = h.maybeSent || x.MaybeSent
	if err != nil {
		if ctx.Err() == nil {
			h.client.Reach.Failed(h.address)
		}
		return h.sendError(ctx, err)
	}
	h.client.Reach.Answered(h.address)
	err = h.receive(x)
	if h.ended {
		x.Finish()
	} else {
		x.Close()
	}
	return err
}

// receive checks the status and the adapter of a response and reads its events.
func (h *hop) receive(x *snipeupstream.Exchange) error {
	if x.Response.StatusCode != http.StatusOK {
		return h.refusal(x.Response)
	}
	if got := x.Response.Header.Get(adapterHeader); got != h.call.Adapter.String() {
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "peer answers as "+strconv.Quote(got))
	}
	return h.read(x)
}

// sendError returns the error of a request without a response. The hop can be resumed
// if the call may have reached the owner; otherwise the call was not run.
func (h *hop) sendError(ctx context.Context, err error) error {
	if h.maybeSent {
		return errors.Wrapf(errBroken, "send: %v", err)
	}
	kind := snipeerror.ErrNoUpstream
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = snipeerror.ErrDeadline
	case ctx.Err() != nil:
		kind = snipeerror.ErrCanceled
	}
	return snipeerror.New(kind, snipeerror.NotRun, "instance "+h.address.String()+" was not reached")
}

// refusal returns the error in the response to a request that the owner refused. A
// refused resume ends the call, which the owner accepted earlier.
func (h *hop) refusal(response *http.Response) error {
	h.ended = true
	body, err := io.ReadAll(io.LimitReader(response.Body, snipestream.MaxEvent))
	if err != nil {
		return errors.Wrapf(errBroken, "refusal: %v", err)
	}
	if f, err := snipeerror.Decode(body); err == nil {
		return f
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun,
		"peer answered with status "+strconv.Itoa(response.StatusCode))
}

// read handles the events of one connection up to the last event of the hop.
func (h *hop) read(x *snipeupstream.Exchange) error {
	reader := snipestream.NewLimitedReader(x.Response.Body, maxHopEvent)
	for {
		e, err := reader.Read()
		if err != nil {
			return errors.Wrapf(errBroken, "after event %d: %v", h.sequence, err)
		}
		x.StopTimer()
		if err := h.handleEvent(e); err != nil || h.ended {
			return err
		}
		x.RestartTimer(h.client.Progress)
	}
}

// handleEvent delivers the next event in order. It ignores heartbeats and repeated
// events, and returns errBroken for a gap or another event without a number.
func (h *hop) handleEvent(e snipestream.Event) error {
	switch {
	case e.ID > h.sequence+1, e.ID == 0 && e.Name != eventHeartbeat:
		return errors.Wrapf(errBroken, "event %d after %d", e.ID, h.sequence)
	case e.ID == h.sequence+1:
		h.sequence = e.ID
		return h.deliver(e)
	}
	return nil
}

// deliver passes the content of one event to the sink, or returns its failure.
func (h *hop) deliver(e snipestream.Event) error {
	switch e.Name {
	case eventChunk:
		return h.sink(snipecall.Chunk{Sequence: e.ID, Data: e.Data})
	case eventLast:
		h.ended = true
		return h.sink(snipecall.Chunk{Sequence: e.ID, Data: e.Data, Last: true})
	case eventWhole:
		var w wholePayload
		if err := json.Unmarshal(e.Data, &w); err != nil {
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "whole answer: "+err.Error())
		}
		if e.ID != 1 || snipeanswer.CheckStatus(w.Status) != nil {
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "whole answer in place or status")
		}
		h.ended = true
		return h.sink(snipecall.Chunk{
			Sequence: 1, Status: w.Status, ContentType: w.ContentType, Unframed: w.Unframed, Data: w.Data, Last: true,
		})
	case eventFailure:
		f, err := snipeerror.Decode(e.Data)
		if err != nil {
			return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, err.Error())
		}
		h.ended = true
		if e.ID > 1 {
			// The call has run, since a part of its answer has arrived.
			f.Outcome = snipeerror.MayHaveRun
		}
		return f
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "event "+strconv.Quote(e.Name))
}
