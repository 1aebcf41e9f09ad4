package snipegateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// maxWhole bounds an answer that is kept until it is complete, so that a
	// broken one can be asked for again; a longer one is passed on as it comes.
	maxWhole    = 1 << 20
	eventStream = "text/event-stream"
)

// whole is a complete answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to an upstream and delivers its answer.
func (c *call) attempt(ctx context.Context, choice Choice) error {
	u := choice.Upstream
	g := c.gateway
	c.tried = append(c.tried, u.ID)
	if now := g.Chooser.Directory.Snapshot().ByID(u.ID); now == nil || now.Leaving {
		// It was chosen before the request waited for its adapter.
		return snipeerror.New(snipeerror.ErrNoUpstream, c.outcome(), "the upstream is leaving")
	}
	left := time.Until(c.deadline)
	if left < leastLeft && len(c.tried) > 1 {
		return snipeerror.New(snipeerror.ErrDeadline, c.outcome(), "no time left")
	}
	if err := c.authorizeAgain(); err != nil {
		return err
	}
	giveBack, ok := g.Signals.Take(u.ID)
	if !ok {
		return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), "the upstream takes no more requests now")
	}
	c.countAgain()
	d := Dispatch{
		Upstream: u, Left: left, Version: choice.Version, Priority: c.priority(), LastEvent: c.lastEvent,
		Workspace: c.workspaceName(),
	}
	// The use is noted last at both ends: its report tells the load.
	end := g.Balancer.Begin(u.ID, snipebalance.Weight(c.PromptTokens))
	used := g.Chooser.Use(u.ID, c.Adapter)
	defer func() {
		end()
		used()
	}()
	c.sentAt = time.Now()
	answer, _, err := g.Links.Send(ctx, u.Address, c.outgoing(d), c.body, false)
	if errors.Is(err, snipelink.ErrNotSent) {
		giveBack()
	} else {
		c.reached++
	}
	if err != nil {
		return c.unanswered(ctx, u.ID, err)
	}
	defer answer.Close()
	return c.judge(ctx, d, answer)
}

// judge takes what an answer says beside its content, and delivers it if it is one to the request.
func (c *call) judge(ctx context.Context, d Dispatch, answer *snipelink.Answer) error {
	g, u := c.gateway, d.Upstream
	v := g.Protocol.Judge(answer.Response, d)
	if v.Load != nil {
		g.Balancer.Told(u.ID, float64(v.Load.Running+v.Load.Waiting))
	}
	c.tellHeaders(u.ID, answer.Response)
	if v.says() {
		g.Signals.Hear(u.ID, c.sentAt, v.Signal)
	}
	if v.NotRun {
		return c.notRun(answer, d, v)
	}
	c.ran++
	if !v.Genuine {
		g.Balancer.Broken(u.ID)
		g.Log.Log(snipelog.AnswerDiscarded, snipelog.Fields{requestName: c.ID, "Upstream": u.ID, "Status": answer.StatusCode})
		return snipeerror.New(snipeerror.ErrMismatch, snipeerror.MayHaveRun, "the upstream's answer has no receipt")
	}
	return c.take(ctx, u.ID, answer)
}

// tellHeaders logs the names of an answer's headers that no answer had before.
func (c *call) tellHeaders(id string, answer *http.Response) {
	for name := range answer.Header {
		if c.gateway.headers.add(name) {
			c.gateway.Log.Log(snipelog.HeaderAppeared, snipelog.Fields{
				requestName: c.ID, "Upstream": id, "Header": name, "Status": answer.StatusCode,
			})
		}
	}
}

// outgoing makes the request for an upstream.
func (c *call) outgoing(d Dispatch) *http.Request {
	h := c.header.Clone()
	c.gateway.Protocol.Prepare(h, d)
	if len(h.Values("User-Agent")) == 0 {
		h.Set("User-Agent", "") // otherwise net/http names itself
	}
	return &http.Request{
		Method: c.request.Method,
		URL:    &url.URL{Scheme: "http", Host: d.Upstream.Address.String(), Opaque: c.request.RequestURI},
		Host:   c.request.Host,
		Header: h,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// outcome tells whether any upstream may have run the request.
func (c *call) outcome() snipeerror.Outcome {
	if c.ran > 0 {
		return snipeerror.MayHaveRun
	}
	return snipeerror.NotRun
}

// unanswered returns the failure of a request that got no answer.
func (c *call) unanswered(ctx context.Context, id string, err error) error {
	b := c.gateway.Balancer
	if errors.Is(err, snipelink.ErrNotSent) {
		if ctx.Err() == nil {
			b.Unreached(id)
		}
		return snipeerror.New(snipeerror.ErrNoUpstream, c.outcome(), err.Error())
	}
	c.ran++
	if ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, err.Error())
	}
	b.Broken(id)
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, err.Error())
}

// notRun returns the failure of a request that the upstream did not run.
func (c *call) notRun(answer *snipelink.Answer, d Dispatch, v Verdict) error {
	// Read to the end, so that the connection can be kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxWhole))
	id := d.Upstream.ID
	switch {
	case v.Elsewhere:
		c.gateway.Balancer.Replaced(id)
	case v.Signal.Rest > 0:
		// It has no room, and will hold what it holds after its rest.
	case c.Adapter.Name != "":
		c.gateway.Chooser.Residency.Deny(id, c.Adapter)
	default:
		c.full++
	}
	reason := "the upstream did not run it: status " + strconv.Itoa(answer.StatusCode)
	return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), reason)
}

// take delivers a genuine answer.
func (c *call) take(ctx context.Context, id string, answer *snipelink.Answer) error {
	kind, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	if kind == eventStream && answer.StatusCode == http.StatusOK {
		return c.stream(ctx, id, answer)
	}
	if c.begun {
		return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun,
			"the stream did not go on: status "+strconv.Itoa(answer.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxWhole))
	if err != nil {
		c.gateway.Balancer.Broken(id)
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
	}
	failed := answer.StatusCode >= http.StatusInternalServerError
	c.gateway.Balancer.Answered(id, failed)
	w := &whole{status: answer.StatusCode, header: forwarded(answer.Header), body: body}
	if len(body) == maxWhole {
		return c.pass(w, answer)
	}
	if failed && c.route.MayRepeat() {
		c.spare = w
		return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "the upstream's status is "+strconv.Itoa(w.status))
	}
	return c.deliver(w)
}

// deliver writes a complete answer.
func (c *call) deliver(w *whole) error {
	c.head(w.status, w.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	c.writer.WriteHeader(w.status)
	if _, err := c.writer.Write(w.body); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	return nil
}

// pass writes an answer that is too long to be kept.
func (c *call) pass(w *whole, answer *snipelink.Answer) error {
	c.head(w.status, w.header)
	c.writer.WriteHeader(w.status)
	if _, err := c.writer.Write(w.body); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	if _, err := io.Copy(c.writer, answer); err != nil {
		return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, err.Error())
	}
	return nil
}

// head sets the header of the answer that now begins.
func (c *call) head(status int, h http.Header) {
	out := c.writer.Header()
	for name, values := range h {
		out[name] = values
	}
	c.begun, c.status, c.firstAt = true, status, time.Now()
}
