package snipegateway

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipequarantine"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesoftware"
	"snipepitch.example/snipepitch/snipestop"
)

const (
	// answerSlack is how long past the deadline an answer is awaited: an upstream stops at the
	// deadline that it was given, and its answer about that takes a few milliseconds to arrive.
	answerSlack = 100 * time.Millisecond
	// minTimeLeft is the time until the deadline that another attempt needs: with less, it would
	// not be answered in time.
	minTimeLeft = 30 * time.Millisecond
	// loadWaitShare bounds the expected time in which an adapter is loaded for a request, in
	// multiples of the route's latency target. A load that takes longer comes too late for its
	// request, and would delay other loads that can still finish in time.
	loadWaitShare = 1
)

// noAnswer is the output of an attempt without a whole answer.
const noAnswer = -1

// Log fields: a request's identifier, and that of an upstream.
const (
	requestField  = "Request"
	upstreamField = "Upstream"
)

// call is the state of one request.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	Request
	body []byte
	// bodyLate is set if the body did not arrive in time.
	bodyLate bool
	header   http.Header
	catalog  *snipecatalog.Catalog
	route    *snipecatalog.Route
	service  string
	deadline time.Time
	// key and workspace identify the request's workspace; nil if they are not known. checkedVersion is the version of the newer
	// catalog by which the key was checked again, zero if it was not. cost is what the request counts against
	// the workspace's quota, and units is how much of that was taken from the quota.
	key            *snipecatalog.KeyDigest
	workspace      *snipecatalog.Workspace
	checkedVersion int64
	cost           float64
	units          float64

	// upstream is the upstream of the last attempt, digest the fingerprint of the request once it was
	// needed.
	upstream *snipedirectory.Upstream
	digest   *snipequarantine.Fingerprint
	// parts are the fingerprints of the parts of the prompt once they were needed, partsProven is set once the
	// current attempt has shown that they don't crash its upstream.
	parts       []snipequarantine.Fingerprint
	partsProven bool
	// blamedPart is the part for which the request is refused; nil if it is not.
	blamedPart *snipequarantine.Fingerprint
	// tried lists the upstreams that were tried. reached counts the upstreams that the request was
	// sent to, at least in part, and mayHaveRun counts the upstreams that may have run it.
	tried []string
	// softwareTried holds the software version of each upstream in tried, empty where it is not known, and
	// lastSoftware that of the last one, nil if it is not known.
	softwareTried  []snipesoftware.Version
	lastSoftware   *snipesoftware.Version
	streamSoftware streamSoftware
	reached        int
	mayHaveRun     int
	// reused is set if the connection of the last attempt had served a request before.
	reused bool
	// mayStillRun is set if the upstream, or the peer, of an attempt was silent, and may still work on the request. reset is
	// set if it has lost the connection since.
	mayStillRun, reset bool
	// hop is set if another instance passes the request on, peer is the instance that it was passed on to in
	// its last attempt.
	hop  *hopRequest
	peer netip.AddrPort
	// declined is set if no attempt was made.
	declined bool
	// excluded holds the upstreams that had received the request before the hop.
	excluded []string
	// fullUpstreams counts the upstreams that did not run a request without an adapter and asked
	// for no backoff: they are assumed to have had no free slot.
	fullUpstreams int
	// tooLarge is set if the last upstream refused the request for its size.
	tooLarge bool
	// retryReserved is set while a retry is reserved from the retry budget and not sent yet, retrySpent
	// while the current attempt is a retry that was charged to it.
	retryReserved, retrySpent bool
	// retryDenial is why the request was not sent again after its last attempt.
	retryDenial retryDenial
	// version is the adapter version expected at the last chosen upstream, and waited is how long
	// the request has waited for adapters to load, over all attempts that chose an upstream.
	version int64
	waited  time.Duration
	// busy is the occupancy of the last upstream when it was chosen (see
	// snipebalance.Balancer.Busy), and holders is the Holders of that choice.
	busy    float64
	holders int
	// flight is the record of the last attempt at the Balancer, events the number of its events so
	// far, and output the number of output tokens of its whole answer: 0 if it is not known, noAnswer
	// if there is no whole answer.
	flight *snipebalance.Flight
	events int
	output int
	// sentAt is when the request was last sent.
	sentAt time.Time
	// answerStarted is set when the answer to the caller has begun, streaming if it is a stream, and closes if
	// it ends with the caller's connection. lastEvent is the identifier of the last event that the caller
	// has, unnumbered is set if it has another one after that, without an identifier.
	answerStarted bool
	streaming     bool
	closes        bool
	lastEvent     string
	unnumbered    bool
	firstAt       time.Time
	// lastWriteAt is when data was last written to the caller, and longestPause the longest time
	// between two writes.
	lastWriteAt  time.Time
	longestPause time.Duration
	status       int
	// framing is how the last answer was framed; empty if there was none. leftover is the number of bytes
	// after the last event of a stream that has ended.
	framing   snipelink.Framing
	leftover  int
	admission permitUse
	// fallback is an error answer of an upstream, delivered if no later attempt succeeds.
	fallback *bufferedAnswer
	// pressure is what the request holds of the instance's memory.
	pressure pressure
	stop     snipestop.Watch
}

// run serves the request and records its end.
func (c *call) run() {
	defer c.pressure.Close()
	ctx, cancel := context.WithCancelCause(c.request.Context())
	defer cancel(nil)
	c.stop.Cancel = cancel
	c.gateway.Stop.Enter(&c.stop)
	defer c.gateway.Stop.Leave(&c.stop)
	err := c.admit(ctx)
	c.declined = err != nil
	if err == nil {
		err = c.serveAdmitted(ctx)
	}
	c.endStreamSoftware()
	if err = c.endedError(err); err != nil && errors.Is(context.Cause(ctx), snipestop.ErrStopped) {
		err = c.stopError()
	}
	if err != nil && !c.callerLeft() && !c.answerStarted {
		c.writeError(snipeerror.From(err))
	}
	c.recordEnd(err)
	if err != nil && (c.answerStarted || c.callerLeft()) {
		// Aborts the connection without completing the answer, so that the caller can detect that
		// the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// callerLeft reports whether the caller has disconnected. net/http also ends the context of a request whose body did not arrive
// in time, or whose read a stop has interrupted.
func (c *call) callerLeft() bool {
	return c.request.Context().Err() != nil && !c.bodyLate && !c.stop.Interrupted()
}

// serveAdmitted serves a request that was admitted, until its deadline.
func (c *call) serveAdmitted(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(answerSlack))
	defer cancel()
	defer c.returnQuota()
	c.pressure.cancel = cancel
	if err := c.serve(ctx); err != nil {
		return err
	}
	c.gateway.durations.Record(c.route.Name, time.Since(c.sentAt))
	return c.finishAnswer()
}

// serve tries upstreams until one has answered or no further attempt is allowed. It releases a retry that
// was reserved and not sent.
func (c *call) serve(ctx context.Context) error {
	defer func() { c.settleRetry(c.reached) }()
	for {
		if err := c.checkQuarantine(); err != nil {
			return c.finalError(err)
		}
		if err := c.checkSize(); err != nil {
			return c.finalError(err)
		}
		if err := c.checkSilentRuns(); err != nil {
			return c.finalError(err)
		}
		reached := c.reached
		final, err := c.attemptNext(ctx)
		c.settleRetry(reached)
		switch {
		case final:
			return c.finalError(err)
		case err == nil:
			c.noteAnswered()
			c.noteSizeServed()
			return nil
		}
		if c.retryDenial = c.decideRetry(ctx, err); c.retryDenial != retryAllowed {
			return c.finalError(err)
		}
		c.gateway.Log.Log(snipelog.RequestSentAgain, snipelog.Fields{
			requestField: c.ID, "Route": c.route.Name, "After": err.Error(), "Tried": c.tried, "Ran": c.mayHaveRun,
			"LeftMilliseconds": time.Until(c.deadline).Milliseconds(), "Silent": c.mayStillRun, "Reset": c.reset, "Reused": c.reused,
		})
	}
}

// attemptNext makes the next attempt, here or at a peer. Final is set if no upstream could be chosen.
func (c *call) attemptNext(ctx context.Context) (final bool, err error) {
	if c.needsHop() {
		return c.attemptHop(ctx)
	}
	c.peer = netip.AddrPort{}
	if c.declined = c.unreachableHere(); c.declined {
		return true, noUpstreamError("this instance does not reach the service")
	}
	choice, err := c.choose(ctx)
	if err != nil {
		return true, err
	}
	return false, c.attemptWithPermit(ctx, choice)
}

// choose returns the upstream for the next attempt.
func (c *call) choose(ctx context.Context) (Choice, error) {
	bounded, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.setDemand()
	var choice Choice
	var err error
	switch {
	case c.needsPermit():
		choice, err = c.chooseWithPermit(bounded)
	case c.needsEnginePermit():
		choice, err = c.chooseEngineWithPermit(bounded)
	default:
		choice, err = c.gateway.Chooser.Choose(bounded, c.service, &c.Request, c.allTried(), c.maxLoadWait())
	}
	c.waited += choice.Waited
	c.version = choice.Version
	if choice.Upstream != nil {
		c.busy, c.holders = c.gateway.Balancer.Busy(choice.Upstream), choice.Holders
	}
	return choice, err
}

// allTried returns the upstreams that were tried here or, before a hop, elsewhere.
func (c *call) allTried() []string {
	if len(c.excluded) == 0 {
		return c.tried
	}
	return slices.Concat(c.excluded, c.tried)
}

// setDemand sets the fields of the request that the gateway states itself.
func (c *call) setDemand() {
	c.Priority, c.Workspace = c.priority(), c.workspaceName()
	if c.route.Target > 0 {
		c.Target = c.arrived.Add(c.route.Target)
	}
}

// jitter returns a number from 0 to 1, derived from the request's identifier.
func (c *call) jitter() float64 { return float64(sniperoute.Hash(c.ID)) / math.MaxUint64 }

// maxLoadWait returns how long the load of an adapter for the request is expected to take at most:
// loadWaitShare latency targets of the route, zero if the route has none, and no longer than until
// the deadline. If the load would take longer, the request is refused at once with the time when
// capacity is expected.
func (c *call) maxLoadWait() time.Duration {
	return min(time.Until(c.deadline), loadWaitShare*c.route.Target)
}
