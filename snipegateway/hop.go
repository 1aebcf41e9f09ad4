package snipegateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
)

// Hops passes requests that cannot reach an upstream from here on to other instances, their peers. A peer makes one
// attempt (hopserver.go); this instance decides what follows. Exported fields are set before the first
// request; the zero value passes nothing on.
type Hops struct {
	// Unreachable reports whether this instance can open no connection to a service; nil means never.
	Unreachable func(service string) bool
	// Peers returns the addresses of the other instances that may be asked.
	Peers func() []netip.AddrPort
	// Links holds the connections to peers. Its Identifier is HopIdentifier.
	Links *snipelink.Pool
	// Self is the name of this instance.
	Self string
	// Reached is called when a peer has reached a service; nil if that is not needed.
	Reached func(service string)

	peers  hopPeers
	served atomic.Int64
}

// maxHopFailure bounds the body of a peer's failure in bytes.
const maxHopFailure = 64 << 10

// needsHop reports whether the next attempt is passed on to a peer.
func (c *call) needsHop() bool {
	h := &c.gateway.Hops
	return c.hop == nil && h.Unreachable != nil && h.Unreachable(c.service)
}

// unreachableHere reports whether the request came by a hop and this instance cannot reach its service either.
func (c *call) unreachableHere() bool {
	unreachable := c.gateway.Hops.Unreachable
	return c.hop != nil && unreachable != nil && unreachable(c.service)
}

// attemptHop has a peer make the next attempt, and delivers its answer. Final is set if no other attempt can
// help: no upstream has received the request.
func (c *call) attemptHop(ctx context.Context) (final bool, err error) {
	h := &c.gateway.Hops
	if err := c.checkBeforeSend(); err != nil {
		return true, err
	}
	c.flight, c.events, c.output = nil, 0, noAnswer
	reached := c.reached
	refusal := snipeerror.New(snipeerror.ErrNoUpstream, c.outcome(), "no instance reaches the service").After(c.hopRetryAfter())
	var asked []netip.AddrPort
	for len(asked) < maxHopPeers && ctx.Err() == nil {
		peer, ok := h.peers.pick(h.Peers(), asked, c.service, c.ID)
		if !ok {
			break
		}
		asked = append(asked, peer)
		err := c.sendHop(ctx, peer)
		if !errors.Is(err, errDeclined) {
			return err != nil && c.reached == reached, err
		}
	}
	return true, refusal
}

// hopRetryAfter returns when a caller should retry a request that no instance can serve. The jitter prevents
// callers that are refused together from returning together.
func (c *call) hopRetryAfter() time.Duration {
	return hopPause/2 + time.Duration(c.jitter()*float64(hopPause))
}

// errDeclined is the error of a peer that made no attempt, so that another one may be asked.
var errDeclined = errors.New("the peer made no attempt")

// sendHop passes the request on to one peer and delivers the answer.
func (c *call) sendHop(ctx context.Context, peer netip.AddrPort) error {
	h := &c.gateway.Hops
	c.peer, c.sentAt = peer, time.Now()
	c.stop.SetSent(true)
	defer c.stop.SetSent(false)
	answer, sent, err := h.Links.Send(ctx, peer, c.message(c.hopMessage(peer)))
	c.noteConnection(peer.String(), sent)
	switch {
	case errors.Is(err, errBudgetUsed):
		return snipeerror.New(snipeerror.ErrOverloaded, c.outcome(), err.Error())
	case errors.Is(err, snipelink.ErrNotSent):
		if ctx.Err() == nil {
			h.peers.noteUnconnected(peer)
		}
		return errDeclined
	case err != nil:
		return c.brokenHop(ctx, err)
	}
	defer answer.Close()
	return c.handleHopAnswer(ctx, peer, answer)
}

// brokenHop records a hop whose peer may have sent the request on, and returns its error.
func (c *call) brokenHop(ctx context.Context, err error) error {
	c.noteTooLarge(err)
	c.countHop("Broken")
	c.noteHopSent()
	c.noteSilence(ctx, err)
	c.mayHaveRun++
	return snipeerror.New(snipeerror.ErrUpstreamFailed, snipeerror.MayHaveRun, "hop: "+err.Error())
}

// noteHopSent records that a peer has sent the request to an upstream.
func (c *call) noteHopSent() {
	c.takeQuotaAgain()
	c.reached++
}

// hopMessage returns the request to a peer, with a copy of the caller's header.
func (c *call) hopMessage(peer netip.AddrPort) *http.Request {
	header := c.header.Clone()
	header.Set(hopIDHeader, c.ID)
	message := hopRequest{
		From: c.gateway.Hops.Self, Method: c.request.Method, Target: []byte(c.request.RequestURI), Host: []byte(c.request.Host),
		ElapsedMilliseconds: time.Since(c.arrived).Milliseconds(), Catalog: c.catalog.Version,
		LastEvent: []byte(c.lastEvent), Software: c.boundSoftware(), Tried: c.tried,
	}
	if c.workspace != nil {
		message.Workspace, message.Key = c.workspace.Name, c.key
	}
	header.Set(hopHeader, encodeHop(&message))
	if len(header.Values("User-Agent")) == 0 {
		header.Set("User-Agent", "") // otherwise net/http sends its own name
	}
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: peer.String(), Path: HopPath}, Host: peer.String(), Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// handleHopAnswer records what a peer says about its attempt, and delivers the upstream's answer.
func (c *call) handleHopAnswer(ctx context.Context, peer netip.AddrPort, answer *snipelink.Answer) error {
	var result hopResult
	if err := decodeHop(answer.Header, &result); err != nil {
		return c.brokenHop(ctx, err)
	}
	answer.Header.Del(hopHeader)
	answer.Header.Del(hopIDHeader)
	if result.Answer {
		c.countHop("Answered")
		c.noteHopUpstream(result)
		c.mayHaveRun++
		if !c.software.allowsAnswer(result.Software) {
			return snipeerror.New(snipeerror.ErrIncomplete, snipeerror.MayHaveRun, "the peer's upstream runs another software version")
		}
		c.framing = answer.Framing()
		return c.deliver(ctx, "", answer)
	}
	return c.hopFailure(ctx, peer, result, answer)
}

// noteHopUpstream records the upstream that a peer has sent the request to.
func (c *call) noteHopUpstream(r hopResult) {
	c.noteHopSent()
	c.noteTried(r.Upstream, r.Software)
	c.gateway.Hops.peers.noteReached(c.service)
	if c.gateway.Hops.Reached != nil {
		c.gateway.Hops.Reached(c.service)
	}
}

// hopFailure returns the failure of a peer's attempt.
func (c *call) hopFailure(ctx context.Context, peer netip.AddrPort, result hopResult, answer *snipelink.Answer) error {
	if result.Declined {
		c.countHop("Declined")
		if result.Unreachable {
			c.gateway.Hops.peers.noteUnreachable(peer, c.service)
		}
		// The answer is read to its end so that the connection can be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxHopFailure))
		return errDeclined
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxHopFailure))
	if err != nil {
		return c.brokenHop(ctx, err)
	}
	failure, err := snipeerror.Decode(body)
	if err != nil {
		return c.brokenHop(ctx, err)
	}
	c.countHop("Failed")
	if result.Upstream != "" {
		c.noteHopUpstream(result)
	}
	if failure.Outcome == snipeerror.MayHaveRun {
		c.mayHaveRun++
	}
	if errors.Is(failure, snipeerror.ErrUnauthenticated) {
		return c.judgeDenial()
	}
	return failure
}

// countHop counts a hop that was answered.
func (c *call) countHop(outcome string) {
	c.gateway.Meter.Count(`snipepitch_hop_requests_total{role="Sent",service=` + strconv.Quote(c.service) + `,outcome="` + outcome + `"}`)
}

// logHop adds to the log fields of a request how it was passed on.
func (c *call) logHop(fields snipelog.Fields) {
	switch {
	case c.hop != nil:
		fields["From"] = c.hop.From
	case c.peer.IsValid():
		fields["Peer"] = c.peer
	}
}
