package snipeupstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// MaxServiceAnswer bounds the body of a plain service's answer in bytes.
const MaxServiceAnswer = 8 << 20

// Service is the client of one upstream of a plain service.
type Service struct {
	// Name and Address identify the upstream.
	Name    string
	Address netip.AddrPort
	// Pooled sends calls that may be repeated. Fresh opens a connection for
	// each call and sends calls that may not be repeated, so that none of them
	// is sent on a reused connection that has gone silent.
	Pooled, Fresh *http.Client
	// Progress is the longest silence of a reused connection before the answer's
	// header. After it, a call that may be repeated is sent again on a new
	// connection, where only its deadline bounds the wait for the header. It is also the longest silence within an answer. Zero means no
	// bound.
	Progress time.Duration
}

// Call executes c and passes the whole answer, whatever its status, to sink as
// one chunk. A call that may be repeated is sent a second time, on a new connection, if a
// reused connection was silent for Progress before the answer's header, or brought the answer to an earlier call. Errors are
// CallErrors, except an error of sink.
func (s *Service) Call(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if !c.Idempotent {
		// net/http repeats a request with an Idempotency-Key by itself, also
		// without GetBody if the body is empty, but never one that failed on a
		// connection that had not been used before.
		return s.send(ctx, c, s.Fresh, 0, sink)
	}
	delivered := false
	tracked := func(k snipecall.Chunk) error {
		delivered = true
		return sink(k)
	}
	err := s.send(ctx, c, s.Pooled, s.Progress, tracked)
	if !errors.Is(err, errSilent) && !errors.Is(err, errForeign) || delivered {
		return err
	}
	return s.send(ctx, c, s.Fresh, 0, sink)
}

// errSilent marks an exchange that was ended because a reused connection was
// silent before the answer's header.
var errSilent = errors.New("kept connection is silent")

// send sends the call once. On a reused connection the answer's header must
// arrive within progress.
func (s *Service) send(ctx context.Context, c *snipecall.Call, client *http.Client, progress time.Duration, sink snipecall.Sink) error {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.Address.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	r.Header.Set(requestHeader, c.ID)
	if c.ContentType != "" {
		r.Header.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		r.Header.Set("Idempotency-Key", c.Key)
	}
	x, err := Begin(client, r, SilenceLimit{Progress: progress, ReusedOnly: true, Pool: s.Pooled})
	if err != nil {
		return s.sendError(ctx, x, err)
	}
	if x.Foreign {
		x.Close()
		return errors.Wrap(errForeign, s.Name)
	}
	body, err := s.read(x)
	if err != nil {
		x.Close()
		if ctx.Err() != nil {
			return snipeerror.New(contextErrorKind(ctx), snipeerror.MayHaveRun, "while upstream "+s.Name+" was answering")
		}
		return err
	}
	x.Finish()
	return sink(snipecall.Chunk{
		Sequence: 1, Status: x.Response.StatusCode, ContentType: x.Response.Header.Get("Content-Type"),
		Unframed: isUnframed(x.Response), Data: body, Last: true,
	})
}

// isUnframed reports whether the body of a response ends with its connection.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// sendError returns the error of a request without a response. The call counts as
// not run only if it cannot have been sent.
func (s *Service) sendError(ctx context.Context, x *Exchange, err error) error {
	outcome := snipeerror.MayHaveRun
	if !x.MaybeSent {
		outcome = snipeerror.NotRun
	}
	switch {
	case ctx.Err() != nil:
		return snipeerror.New(contextErrorKind(ctx), outcome, "while upstream "+s.Name+" was answering")
	case x.Silent():
		return errors.Wrap(errSilent, s.Name)
	case !x.MaybeSent:
		return snipeerror.New(snipeerror.ErrNoUpstream, outcome, "upstream "+s.Name+" does not answer")
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, outcome, err.Error())
}

// read returns the answer's body. Progress bounds each silence within it.
func (s *Service) read(x *Exchange) ([]byte, error) {
	body := &timedBody{exchange: x, progress: s.Progress}
	data, err := io.ReadAll(io.LimitReader(body, MaxServiceAnswer+1))
	if err != nil {
		return nil, snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
	}
	if len(data) > MaxServiceAnswer {
		return nil, snipeerror.New(snipeerror.ErrTooLarge, snipeerror.MayHaveRun, "answer of upstream "+s.Name)
	}
	return data, nil
}

// timedBody reads the body of an exchange and bounds the silence during each Read.
type timedBody struct {
	exchange *Exchange
	progress time.Duration
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.exchange.RestartTimer(b.progress)
	return b.exchange.Response.Body.Read(p)
}
