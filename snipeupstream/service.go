package snipeupstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// MaxServiceAnswer bounds the answer of a plain service.
const MaxServiceAnswer = 8 << 20

// Service is the client of one upstream of a plain service.
type Service struct {
	// Name and Address name the upstream.
	Name    string
	Address netip.AddrPort
	// Client sends calls that may be repeated; Fresh opens a connection for
	// each call and sends those that may not, so that none of them meets a
	// pooled connection that has gone silent.
	Client, Fresh *http.Client
}

// Call executes c and passes the whole answer to sink as one chunk.
func (s *Service) Call(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.Address.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	r.Header.Set("X-Request-Id", c.ID)
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		r.Header.Set("Idempotency-Key", c.Key)
	}
	client := s.Client
	if !c.Idempotent {
		client = s.Fresh
		// Without this net/http repeats a request itself in some cases.
		r.GetBody = nil
	}
	response, err := client.Do(r)
	if err != nil {
		return s.sendError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	return s.pass(response, sink)
}

func (s *Service) sendError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "upstream "+s.Name+" does not answer")
	}
	if ctx.Err() != nil {
		return snipeerror.New(contextKind(ctx), snipeerror.MayHaveRun, "while upstream "+s.Name+" was answering")
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, err.Error())
}

func (s *Service) pass(response *http.Response, sink snipecall.Sink) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxServiceAnswer+1))
	if err != nil {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
	}
	if len(body) > MaxServiceAnswer {
		return snipeerror.New(snipeerror.ErrTooLarge, snipeerror.MayHaveRun, "answer of upstream "+s.Name)
	}
	return sink(snipecall.Chunk{
		Sequence: 1, Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Data: body, Last: true,
	})
}
