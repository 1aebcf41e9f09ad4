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

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
)

const (
	// maxBuffered bounds, in bytes, an answer that is buffered until it is complete, so that the
	// request can be sent again if the answer breaks off. A longer answer is forwarded as it
	// arrives. maxBuffered also bounds how much is read of an answer that is discarded.
	maxBuffered = 1 << 20
	eventStream = "text/event-stream"
)

// bufferedAnswer is a complete answer in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// framing is that of the upstream's answer.
	framing snipelink.Framing
}

// attempt sends the request to the chosen upstream and delivers the answer. It returns nil if the
// answer was delivered whole.
func (c *call) attempt(ctx context.Context, choice Choice) error {
	u := choice.Upstream
	g := c.gateway
	c.upstream = u
	c.noteTried(u.ID, &u.Software)
	if err := c.checkUpstream(u); err != nil {
		return err
	}
	if err := c.checkBeforeSend(); err != nil {
		return err
	}
	returnSlot, ok := g.Signals.Take(u.ID)
	if !ok {
		return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), "the upstream takes no more requests now")
	}
	c.takeQuotaAgain()
	d := Dispatch{
		Upstream: u, TimeLeft: time.Until(c.deadline), Version: choice.Version, Priority: c.priority(), LastEvent: c.lastEvent,
		Workspace: c.workspaceName(),
	}
	// At the start and at the end of the request, the Balancer's record of requests in flight is
	// updated before the use is recorded: a recorded use triggers a report to the engine's owner,
	// and the report contains the weight of the requests in flight.
	c.flight, c.events, c.output = g.Balancer.Start(u, g.Chooser.demand(c.service, &c.Request)), 0, noAnswer
	c.partsProven = false
	endUse := g.Chooser.Use(u.ID, c.Adapter)
	defer func() {
		c.flight.End(c.output)
		endUse()
	}()
	c.sentAt = time.Now()
	c.stop.SetSent(true)
	defer c.stop.SetSent(false)
	answer, sent, err := g.Links.Send(ctx, u.Address, c.message(c.upstreamRequest(d)))
	c.noteConnection(u.ID, sent)
	if errors.Is(err, errBudgetUsed) {
		returnSlot()
		return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), err.Error())
	}
	if errors.Is(err, snipelink.ErrNotSent) {
		returnSlot()
	} else {
		c.reached++
	}
	if err != nil {
		c.noteUnreached(ctx, err)
		return c.handleNoAnswer(ctx, u.ID, err)
	}
	defer answer.Close()
	return c.handleAnswer(ctx, d, answer)
}

// noteConnection records which kind of connection the request was sent on, and the answers to earlier requests that came there.
func (c *call) noteConnection(upstream string, sent snipelink.Sent) {
	c.reused = sent.Reused
	if sent.Skipped == 0 {
		return
	}
	c.gateway.Meter.Add("snipepitch_skipped_answers_total{service="+strconv.Quote(c.service)+"}", sent.Skipped)
	c.gateway.Log.Log(snipelog.AnswerSkipped, snipelog.Fields{requestField: c.ID, upstreamField: upstream, "Answers": sent.Skipped})
}

// checkUpstream returns an error if the upstream has left, or changed its software, since it was chosen: the request may have
// waited for its adapter to load.
func (c *call) checkUpstream(u *snipedirectory.Upstream) error {
	now := c.gateway.Chooser.Directory.Snapshot().ByID(u.ID)
	switch {
	case now == nil || now.Leaving:
		return snipeerror.New(snipeerror.ErrNoUpstream, c.outcome(), "the upstream is leaving")
	case now.Software != u.Software || !c.software.allows(now):
		return snipeerror.New(snipeerror.ErrNoUpstream, c.outcome(), "the upstream runs another software version now")
	}
	return nil
}

// message returns what is sent for an attempt.
func (c *call) message(r *http.Request) snipelink.Message {
	return snipelink.Message{Request: r, Body: c.body, Allowed: c.spendRetry, Account: &c.pressure.Account}
}

// checkBeforeSend returns an error if the request must not be sent now.
func (c *call) checkBeforeSend() error {
	if time.Until(c.deadline) < minTimeLeft && len(c.tried) > 1 {
		return snipeerror.New(snipeerror.ErrDeadline, c.outcome(), "no time left")
	}
	if c.gateway.Stop.TooLate(&c.stop) {
		return c.stopError()
	}
	if err := c.recheckKey(); err != nil {
		return err
	}
	return c.checkQuarantine()
}

// handleAnswer records what an answer states about its upstream. It delivers the answer unless the
// answer states that the upstream did not run the request, or has no signature header.
func (c *call) handleAnswer(ctx context.Context, d Dispatch, answer *snipelink.Answer) error {
	g, u := c.gateway, d.Upstream
	v := g.Protocol.Classify(answer.Response, d)
	if v.Elsewhere {
		v.Load = nil // it is that of the upstream that has the address now
	}
	c.noteLoad(v.Load)
	if v.Load != nil {
		g.setStated(u, v.Load)
	}
	c.logNewHeaders(u.ID, answer.Response)
	if v.signalApplies() {
		g.Signals.Record(u.ID, c.sentAt, v.Signal)
		g.Brittle.Record(c.service, u.ID, c.sentAt, v.Signal)
	}
	if v.NotRun {
		return c.handleNotRun(answer, d, v)
	}
	c.mayHaveRun++
	if !v.Signed {
		g.Balancer.RecordUnanswered(u.ID)
		// A forwarder answers so in the place of an upstream that has ended.
		c.noteBroken(ctx)
		return c.discardAnswer(u.ID, answer.StatusCode, snipeerror.ErrMismatch, "the upstream's answer has no receipt")
	}
	c.noteLives()
	c.framing = answer.Framing()
	return c.deliver(ctx, u.ID, answer)
}

// logNewHeaders logs the names of headers that no earlier answer had.
func (c *call) logNewHeaders(id string, answer *http.Response) {
	for name := range answer.Header {
		if c.gateway.headers.add(name) {
			c.gateway.Log.Log(snipelog.HeaderAppeared, snipelog.Fields{
				requestField: c.ID, upstreamField: id, "Header": name, "Status": answer.StatusCode,
			})
		}
	}
}

// upstreamRequest returns the request to send to an upstream, with the caller's method, target and
// host and a prepared copy of the caller's header.
func (c *call) upstreamRequest(d Dispatch) *http.Request {
	h := c.header.Clone()
	c.gateway.Protocol.Prepare(h, d)
	if len(h.Values("User-Agent")) == 0 {
		h.Set("User-Agent", "") // otherwise net/http sends its own name
	}
	return &http.Request{
		Method: c.request.Method,
		URL:    &url.URL{Scheme: "http", Host: d.Upstream.Address.String(), Opaque: c.request.RequestURI},
		Host:   c.request.Host,
		Header: h,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// outcome returns whether an upstream may have run the request in any attempt so far.
func (c *call) outcome() snipeerror.Outcome {
	if c.mayHaveRun > 0 {
		return snipeerror.MayHaveRun
	}
	return snipeerror.NotRun
}

// handleNoAnswer records an attempt that got no answer and returns its error. The failure is not
// recorded for the upstream if ctx has ended, because the end of ctx may have caused it.
func (c *call) handleNoAnswer(ctx context.Context, id string, err error) error {
	b := c.gateway.Balancer
	c.noteTooLarge(err)
	c.noteBrokenUpstream(ctx, id)
	if errors.Is(err, snipelink.ErrNotSent) {
		if ctx.Err() == nil {
			b.RecordUnreached(id)
		}
		return snipeerror.New(snipeerror.ErrNoUpstream, c.outcome(), err.Error())
	}
	c.mayHaveRun++
	c.noteSilence(ctx, err)
	if ctx.Err() != nil {
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.MayHaveRun, err.Error())
	}
	if !errors.Is(err, snipelink.ErrNoRoom) {
		b.RecordUnanswered(id)
		c.noteBroken(ctx)
	}
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, err.Error())
}

// handleNotRun records an answer by which the upstream did not run the request, and returns the
// attempt's error. Without a backoff, the refusal of a request for an adapter is recorded as the
// absence of the adapter at the engine.
func (c *call) handleNotRun(answer *snipelink.Answer, d Dispatch, v AnswerState) error {
	// The answer is read to its end so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxBuffered))
	c.admission.retryAfter = v.Signal.Backoff
	c.tooLarge = c.refusedForSize(v)
	c.releasePermit(c.refusalOutcome(v))
	id := d.Upstream.ID
	if !v.Elsewhere && !v.Missing && v.Signal.Backoff == 0 {
		c.noteRefusedForRoom(id)
	}
	switch {
	case v.Elsewhere:
		c.gateway.Balancer.RecordReplaced(id)
		c.noteReplaced()
	case c.tooLarge, v.Signal.Backoff > 0, c.admission.asked && !v.Missing && c.Adapter.Name != "":
		// The engine has no free slot, but keeps its adapters.
	case c.Adapter.Name != "":
		c.gateway.Chooser.Residency.RecordAbsent(id, c.Adapter)
	default:
		c.fullUpstreams++
	}
	reason := "the upstream did not run it: status " + strconv.Itoa(answer.StatusCode)
	return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), reason)
}

// deliver writes a signed answer to the caller. An answer with a status of 500 or above is instead
// stored as c.fallback if the request may be repeated.
func (c *call) deliver(ctx context.Context, id string, answer *snipelink.Answer) error {
	kind, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	if kind == eventStream && answer.StatusCode == http.StatusOK {
		return c.stream(ctx, id, answer)
	}
	if c.answerStarted {
		return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun,
			"the stream did not go on: status "+strconv.Itoa(answer.StatusCode))
	}
	body, err := c.readAnswer(answer, answer.ContentLength)
	noRoom := errors.Is(err, errNoRoom)
	if why := (answerEnd{framing: answer.Framing(), err: err}).broken(); why != nil && !noRoom {
		return c.brokenOff(ctx, id, why)
	}
	failed := answer.StatusCode >= http.StatusInternalServerError
	c.recordAnswer(id, failed)
	complete := len(body) < maxBuffered && !noRoom
	if complete {
		c.releasePermit(answerOutcome(failed))
		if answer.StatusCode < http.StatusBadRequest {
			c.output = 0
		}
		c.endFlight() // the time that the caller takes to read is not the upstream's
	}
	if c.promisesFalsely(answer.StatusCode) {
		reason := "the upstream's status promises what it does not state: " + strconv.Itoa(answer.StatusCode)
		return c.discardAnswer(id, answer.StatusCode, snipeerror.ErrUpstreamFailed, reason)
	}
	w := &bufferedAnswer{status: answer.StatusCode, header: endToEnd(answer.Header), body: body, framing: answer.Framing()}
	if !complete {
		return c.writeUnbuffered(ctx, id, w, answer)
	}
	return c.passOn(w, failed)
}

// passOn writes a complete answer, or stores it as c.fallback if it failed and another upstream may do better.
func (c *call) passOn(w *bufferedAnswer, failed bool) error {
	if failed && c.route.MayRepeat() {
		c.fallback = w
		return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "the upstream's status is "+strconv.Itoa(w.status))
	}
	return c.writeBuffered(w)
}

// recordAnswer records an answer of an upstream, unless a peer has received it, which records it.
func (c *call) recordAnswer(id string, failed bool) {
	if !c.peer.IsValid() {
		c.gateway.Balancer.RecordAnswer(id, failed)
	}
}

// endFlight ends the record of the attempt at the Balancer; a peer has that of its attempt.
func (c *call) endFlight() {
	if c.flight != nil {
		c.flight.End(c.output)
	}
}

// writeBuffered writes a complete answer.
func (c *call) writeBuffered(w *bufferedAnswer) error {
	c.setHeader(w.status, w.header)
	c.setFraming(w.framing, len(w.body))
	c.writer.WriteHeader(w.status)
	_, stop := c.startDelivery(nil)
	defer stop()
	if err := c.write(w.body, false); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	return nil
}

// writeUnbuffered writes an answer that is too long to be buffered: first w, which holds what has
// been read, then the rest of the answer as it arrives.
func (c *call) writeUnbuffered(ctx context.Context, id string, w *bufferedAnswer, answer *snipelink.Answer) error {
	c.setHeader(w.status, w.header)
	c.setFraming(w.framing, unknownLength)
	c.writer.WriteHeader(w.status)
	body, stop := c.startDelivery(answer)
	defer stop()
	if err := c.write(w.body, false); err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, err.Error())
	}
	w.body = nil // otherwise it would remain in memory until the end of the answer
	to := &callWriter{call: c}
	_, err := io.Copy(to, body)
	if to.err != nil {
		return snipeerror.New(snipeerror.ErrCanceled, snipeerror.MayHaveRun, to.err.Error())
	}
	if why := (answerEnd{framing: w.framing, err: err}).broken(); why != nil {
		return c.brokenOff(ctx, id, why)
	}
	return nil
}

// setHeader sets the header of the answer to the caller, without sending it, and records the status
// and the start of the answer.
func (c *call) setHeader(status int, h http.Header) {
	out := c.writer.Header()
	for name, values := range h {
		out[name] = values
	}
	c.setHopResult(true)
	c.closeWhenStopping()
	c.answerStarted, c.status, c.firstAt = true, status, time.Now()
}
