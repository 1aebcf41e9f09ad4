// Package snipepeer carries calls from the instance that a caller is connected
// to, to the instance that owns the chosen engine.
//
// The hop is one HTTP request: the call's fields in a header, its body as the
// body, and the answer as server-sent events named Chunk, Whole or Failure.
// Exactly one event that is last (a Chunk marked so, Whole or Failure) ends
// the answer; a stream that ends without it is a broken hop.
package snipepeer

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

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestream"
)

// Path is where an instance takes calls of its peers.
const Path = "/Peer/Call"

const (
	callHeader   = "Snipe-Call"
	waitHeader   = "Snipe-Wait-Milliseconds"
	secretHeader = "Snipe-Peer-Secret" //nolint:gosec // a header's name

	eventChunk   = "Chunk"
	eventLast    = "Last"
	eventWhole   = "Whole"
	eventFailure = "Failure"
)

// ErrBadCall is returned for a hop whose header is no call.
var ErrBadCall = errors.New("not a call")

// whole is the payload of an answer that is not streamed.
type whole struct {
	Status      int
	ContentType string
	Data        []byte
}

// Client forwards calls. Exported fields are set before the first call.
type Client struct {
	// HTTP sends the requests.
	HTTP *http.Client
	// Secret proves to the peer that the sender is an instance.
	Secret string
	// Progress is the longest silence of a hop before it is given up.
	Progress time.Duration
}

// Forward executes c on the instance at address.
func (p *Client) Forward(ctx context.Context, address netip.AddrPort, c *snipecall.Call, sink snipecall.Sink) error {
	hop, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := p.request(hop, address, c)
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	response, err := p.HTTP.Do(r)
	if err != nil {
		return sendError(ctx, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return p.read(ctx, cancel, response.Body, sink)
}

func (p *Client) request(ctx context.Context, address netip.AddrPort, c *snipecall.Call) (*http.Request, error) {
	fields, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// net/http must not send a call twice on its own.
	r.GetBody = nil
	r.Header.Set(callHeader, string(fields))
	// The clocks of instances differ: the time left travels, not the deadline.
	r.Header.Set(waitHeader, strconv.FormatInt(time.Until(c.Deadline).Milliseconds(), 10))
	r.Header.Set(secretHeader, p.Secret)
	return r, nil
}

func sendError(ctx context.Context, address netip.AddrPort, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "instance "+address.String()+" does not answer")
	}
	return broken(ctx, err)
}

func broken(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, "while a peer was answering")
	case ctx.Err() != nil:
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, "while a peer was answering")
	}
	return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "hop to a peer broke: "+err.Error())
}

func refusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, snipestream.MaxEvent))
	if err == nil {
		if f, err := snipeerror.Decode(body); err == nil {
			return f
		}
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun,
		"peer answered with status "+strconv.Itoa(response.StatusCode))
}

func (p *Client) read(ctx context.Context, cancel func(), body io.Reader, sink snipecall.Sink) error {
	reader := snipestream.NewReader(body)
	watch := time.AfterFunc(p.Progress, cancel)
	defer watch.Stop()
	for {
		e, err := reader.Read()
		if err != nil {
			return broken(ctx, err)
		}
		watch.Reset(p.Progress)
		last, err := pass(e, sink)
		if err != nil || last {
			return err
		}
	}
}

// pass hands one event to the sink and reports whether it was the last.
func pass(e snipestream.Event, sink snipecall.Sink) (bool, error) {
	switch e.Name {
	case eventChunk:
		return false, sink(snipecall.Chunk{Sequence: e.ID, Data: e.Data})
	case eventLast:
		return true, sink(snipecall.Chunk{Sequence: e.ID, Data: e.Data, Last: true})
	case eventWhole:
		var w whole
		if err := json.Unmarshal(e.Data, &w); err != nil {
			return true, snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "whole answer: "+err.Error())
		}
		return true, sink(snipecall.Chunk{
			Sequence: 1, Status: w.Status, ContentType: w.ContentType, Data: w.Data, Last: true,
		})
	case eventFailure:
		f, err := snipeerror.Decode(e.Data)
		if err != nil {
			return true, snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, err.Error())
		}
		return true, f
	case eventBeat:
		return false, nil
	}
	return true, snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "event "+strconv.Quote(e.Name))
}
