// Package snipepeer carries calls from the instance that a caller is connected
// to, to the instance that owns the chosen engine.
//
// A hop is one call at one owner. It begins with one HTTP request: the call's
// fields in a header, its body as the body, and the answer as server-sent
// events. Events are numbered from 1 without gaps; beats, which keep a silent
// hop alive, have no number. Exactly one last event (Last, Whole or Failure)
// ends the answer.
//
// A hop outlives its connection. The owner keeps the latest events, and an
// entry whose connection broke or went silent asks for those that it misses on
// a new one. A call is never sent a second time by this package: what the
// owner does not know any more ends in ErrIncomplete. An entry whose caller
// has gone away says so with a cancel of its own, since a closed connection is
// not news of that, and on a silent one no news arrives at all.
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

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestream"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipeupstream"
)

// Path is where an instance takes calls of its peers: POST begins a hop, GET
// resumes one, DELETE cancels one.
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
	// eventBeat keeps a hop alive while the call waits for its next chunk.
	eventBeat = "Beat"
)

const (
	// maxResumes bounds the connections in a row that bring nothing new.
	maxResumes    = 3
	resumePause   = 50 * time.Millisecond
	cancelTimeout = 2 * time.Second
	maxStatus     = 599
	// maxWhole bounds one event: the largest is an answer that is not
	// streamed, in base64.
	maxWhole = 2 * snipeupstream.MaxAnswer
)

// Errors of hops.
var (
	// ErrBadCall: the hop's headers are no call.
	ErrBadCall = errors.New("not a call")
	// errBroken marks a connection that failed before the last event.
	errBroken = errors.New("hop to a peer broke")
)

// whole is the payload of an answer that is not streamed.
type whole struct {
	Status      int
	ContentType string
	Data        []byte
}

// Client forwards calls. Exported fields are set before the first call.
type Client struct {
	// HTTP sends idempotent calls over kept connections. Fresh opens a
	// connection for each request and sends all else: resumes, cancels, and
	// calls that may not be repeated.
	HTTP, Fresh *http.Client
	// Secret proves to the peer that the sender is an instance.
	Secret string
	// Progress is the longest silence of a connection before it is given up.
	Progress time.Duration
	// Log takes events; nil is none.
	Log *snipelog.Logger
	// Reach tells which instances were not reached lately.
	Reach Reach
}

// hop is the state of one call at one owner, across connections. It belongs to
// the goroutine of its call.
type hop struct {
	client  *Client
	address netip.AddrPort
	call    *snipecall.Call
	sink    snipecall.Sink

	id       string
	sequence uint64 // of the last event that arrived
	left     bool   // the call may have reached the owner
	ended    bool   // the owner has ended the hop, or refused it
}

// Forward executes c on the instance at address.
func (p *Client) Forward(ctx context.Context, address netip.AddrPort, c *snipecall.Call, sink snipecall.Sink) error {
	h := &hop{client: p, address: address, call: c, sink: sink, id: rand.Text()}
	err := h.run(ctx)
	if err != nil && h.left && !h.ended {
		p.cancel(address, h.id)
	}
	return err
}

func (h *hop) run(ctx context.Context) error {
	client := h.client.HTTP
	if !h.call.Idempotent {
		client = h.client.Fresh
	}
	err := h.connect(ctx, client, h.begin)
	for n := 0; errors.Is(err, errBroken); n++ {
		if n == maxResumes || !snipetime.Sleep(ctx, resumePause<<n) {
			return broken(ctx, err)
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

// broken is the failure of a hop that cannot be resumed.
func broken(ctx context.Context, err error) error {
	kind := snipeerror.ErrIncomplete
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		kind = snipeerror.ErrDeadline
	case ctx.Err() != nil:
		kind = snipeerror.ErrCanceled
	}
	return snipeerror.New(kind, snipeerror.MayHaveRun, err.Error())
}

func (p *Client) request(ctx context.Context, method string, address netip.AddrPort, id string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.Header.Set(secretHeader, p.Secret)
	r.Header.Set(hopHeader, id)
	return r, nil
}

func (h *hop) begin(ctx context.Context) (*http.Request, error) {
	fields, err := json.Marshal(h.call)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	r, err := h.client.request(ctx, http.MethodPost, h.address, h.id, bytes.NewReader(h.call.Body))
	if err != nil {
		return nil, err
	}
	// net/http must not send a call twice on its own.
	r.GetBody = nil
	r.Header.Set(callHeader, string(fields))
	// The clocks of instances differ: the time left travels, not the deadline.
	r.Header.Set(waitHeader, strconv.FormatInt(time.Until(h.call.Deadline).Milliseconds(), 10))
	return r, nil
}

func (h *hop) resume(ctx context.Context) (*http.Request, error) {
	r, err := h.client.request(ctx, http.MethodGet, h.address, h.id, http.NoBody)
	if err == nil {
		r.Header.Set(afterHeader, strconv.FormatUint(h.sequence, 10))
	}
	return r, err
}

// cancel tells the owner that nobody waits for the answer any more. It has a
// context of its own, since the caller's has ended.
func (p *Client) cancel(address netip.AddrPort, id string) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		r, err := p.request(ctx, http.MethodDelete, address, id, http.NoBody)
		if err != nil {
			return
		}
		// Without this cancel the owner ends the call when its window is over.
		if response, err := p.Fresh.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}()
}

// connect sends one request and reads its events to the last one.
func (h *hop) connect(ctx context.Context, client *http.Client, request func(context.Context) (*http.Request, error)) error {
	r, err := request(ctx)
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	x, err := snipeupstream.Begin(client, r, snipeupstream.SilenceLimit{Progress: h.client.Progress, Pool: h.client.HTTP})
	h.left = h.left || x.MaybeSent
	if err != nil {
		if ctx.Err() == nil {
			h.client.Reach.Failed(h.address)
		}
		return h.sendError(ctx, err)
	}
	h.client.Reach.Answered(h.address)
	err = h.take(x)
	if h.ended {
		x.Finish()
	} else {
		x.Close()
	}
	return err
}

func (h *hop) take(x *snipeupstream.Exchange) error {
	if x.Response.StatusCode != http.StatusOK {
		return h.refusal(x.Response)
	}
	if got := x.Response.Header.Get(adapterHeader); got != h.call.Adapter.String() {
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "peer answers as "+strconv.Quote(got))
	}
	return h.read(x)
}

func (h *hop) sendError(ctx context.Context, err error) error {
	if h.left {
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

// refusal reads the answer to a request that the peer did not take. A refused
// resume is the end of a call that was taken before.
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

func (h *hop) read(x *snipeupstream.Exchange) error {
	reader := snipestream.NewLimitedReader(x.Response.Body, maxWhole)
	for {
		e, err := reader.Read()
		if err != nil {
			return errors.Wrapf(errBroken, "after event %d: %v", h.sequence, err)
		}
		x.StopTimer()
		if err := h.event(e); err != nil || h.ended {
			return err
		}
		x.RestartTimer(h.client.Progress)
	}
}

// event puts one event in its place and hands it on.
func (h *hop) event(e snipestream.Event) error {
	switch {
	case e.ID > h.sequence+1, e.ID == 0 && e.Name != eventBeat:
		return errors.Wrapf(errBroken, "event %d after %d", e.ID, h.sequence)
	case e.ID == h.sequence+1:
		h.sequence = e.ID
		return h.pass(e)
	}
	return nil
}

// pass hands one event on.
func (h *hop) pass(e snipestream.Event) error {
	switch e.Name {
	case eventChunk:
		return h.sink(snipecall.Chunk{Sequence: e.ID, Data: e.Data})
	case eventLast:
		h.ended = true
		return h.sink(snipecall.Chunk{Sequence: e.ID, Data: e.Data, Last: true})
	case eventWhole:
		var w whole
		if err := json.Unmarshal(e.Data, &w); err != nil {
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "whole answer: "+err.Error())
		}
		if e.ID != 1 || w.Status < http.StatusOK || w.Status > maxStatus {
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "whole answer in place or status")
		}
		h.ended = true
		return h.sink(snipecall.Chunk{
			Sequence: 1, Status: w.Status, ContentType: w.ContentType, Data: w.Data, Last: true,
		})
	case eventFailure:
		f, err := snipeerror.Decode(e.Data)
		if err != nil {
			return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, err.Error())
		}
		h.ended = true
		if e.ID > 1 {
			// What has begun to answer has run.
			f.Outcome = snipeerror.MayHaveRun
		}
		return f
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "event "+strconv.Quote(e.Name))
}
