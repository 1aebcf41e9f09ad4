package snipegateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// defaultTimeout bounds a request whose route and caller name no time.
	defaultTimeout = 30 * time.Second
	// answerSlack is how much longer than the time left an answer is waited for:
	// an upstream ends its work at the deadline that it was given, and its word
	// of that takes a few milliseconds.
	answerSlack = 100 * time.Millisecond
	// leastLeft is the time below which another attempt cannot be answered.
	leastLeft = 30 * time.Millisecond
	// maxSends bounds the upstreams that a request reaches, those that refuse it
	// without running it included.
	maxSends = 4
	// maxTries bounds the upstreams that are tried, those that cannot be connected to
	// included: a quarter of all may have died a moment ago.
	maxTries = 12
	// loadShare is how many times its objective a request may wait for an adapter:
	// longer ones hold up loads that could still be in time.
	loadShare = 1
	// coldRetry is when an instance that has just started is worth asking again.
	coldRetry = 300 * time.Millisecond
)

// requestName names a request in log lines.
const requestName = "Request"

// call is the state of one request.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	arrived time.Time

	Request
	body     []byte
	header   http.Header
	catalog  *snipecatalog.Catalog
	route    *snipecatalog.Route
	service  string
	deadline time.Time
	// key and workspace are whose the request is, asked what it counts against its quota, and
	// units what of that was taken.
	key       snipecatalog.KeyDigest
	workspace *snipecatalog.Workspace
	asked     float64
	units     float64

	// tried are the upstreams that were tried, reached how many of them the request
	// reached, ran how many may have run it.
	tried   []string
	reached int
	ran     int
	// full counts the upstreams that had no room.
	full int
	// paid tells that the attempt under way is a repeat that was paid for.
	paid    bool
	version int64
	waited  time.Duration
	// busy is the share of the last upstream's slots that were thought to be taken when
	// it was chosen, holders how many upstreams could have been.
	busy    float64
	holders int
	// sentAt is when the request was last sent.
	sentAt time.Time
	// begun tells that the answer has begun, lastEvent what the caller has of it.
	begun     bool
	lastEvent string
	firstAt   time.Time
	// wroteAt is when something was last passed on, longestPause the longest time
	// between two such moments.
	wroteAt      time.Time
	longestPause time.Duration
	status       int
	// spare is a failure of an upstream, to be passed on if nothing better comes.
	spare *whole
}

// run serves the request and tells its end.
func (c *call) run() {
	err := c.admit()
	if err == nil {
		ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline.Add(answerSlack))
		defer cancel()
		err = c.serve(ctx)
		c.uncount()
	}
	if err != nil && c.request.Context().Err() == nil && !c.begun {
		c.refuse(snipeerror.From(err))
	}
	c.tell(err)
	if err != nil && (c.begun || c.request.Context().Err() != nil) {
		// Ends the connection without an end of the answer, so that what was
		// broken off looks broken off.
		panic(http.ErrAbortHandler)
	}
}

// admit reads the request, finds its route and counts it.
func (c *call) admit() error {
	g := c.gateway
	if g.Stopping() {
		c.writer.Header().Set("Connection", "close")
	}
	if err := c.resolve(); err != nil {
		return err
	}
	if err := c.identify(); err != nil {
		return err
	}
	c.service = c.route.Backend(sniperoute.Hash(c.ID))
	if s := c.catalog.Services[c.service]; s == nil || s.Engine == nil {
		// A plain service holds no models, whatever the caller names.
		c.Adapter = snipecatalog.Adapter{}
	}
	c.deadline = c.arrived.Add(c.patience())
	c.lastEvent = c.LastEvent
	if err := c.count(c.request.Context()); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		c.uncount()
		return err
	}
	c.header = forwarded(c.request.Header)
	if c.catalog.Keyed() {
		c.header.Del(keyHeader)
	}
	g.Budget(c.service).Count()
	return nil
}

// resolve reads the caller's header and finds the route by the catalog in force.
func (c *call) resolve() error {
	g := c.gateway
	if g.Catalog.Catalog() == nil || g.Chooser.Directory.Snapshot() == nil {
		g.Begin(c.request.Context())
	}
	c.catalog = g.Catalog.Catalog()
	if c.catalog == nil {
		return snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "no routes are known yet").After(coldRetry)
	}
	var err error
	if c.Request, err = g.Protocol.Decode(c.request); err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	if !strings.HasPrefix(c.request.RequestURI, "/") {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, "the target is no path")
	}
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	if c.route = c.lookup(path); c.route == nil {
		return c.outdated(snipeerror.New(snipeerror.ErrUnknownService, snipeerror.NotRun, "no route for this host and path"))
	}
	return nil
}

// lookup finds the route; a host may carry a port.
func (c *call) lookup(path string) *snipecatalog.Route {
	if r := c.catalog.Lookup(c.request.Host, path); r != nil {
		return r
	}
	host, _, found := strings.Cut(c.request.Host, ":")
	if !found {
		return nil
	}
	return c.catalog.Lookup(host, path)
}

// patience is how long the request may take: what the caller waits and what the
// route allows.
func (c *call) patience() time.Duration {
	d := defaultTimeout
	if c.route.Timeout > 0 {
		d = c.route.Timeout
	}
	if c.Patience > 0 {
		d = min(d, c.Patience)
	}
	return d
}

// readBody reads the whole body: it may have to be sent more than once.
func (c *call) readBody() error {
	limit := c.catalog.Limits.BodyBytes
	tooLarge := snipeerror.New(snipeerror.ErrTooLarge, snipeerror.NotRun, "the body is too large")
	if limit > 0 && c.request.ContentLength > limit {
		c.writer.Header().Set("Connection", "close")
		return tooLarge
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.deadline)
	body := io.Reader(c.request.Body)
	if limit > 0 {
		body = http.MaxBytesReader(c.writer, c.request.Body, limit)
	}
	var err error
	c.body, err = io.ReadAll(body)
	_ = control.SetReadDeadline(time.Time{})
	var exceeded *http.MaxBytesError
	switch {
	case errors.As(err, &exceeded):
		return tooLarge
	case err != nil:
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, "the body cannot be read")
	}
	return nil
}

// single are the headers that concern one connection only.
var single = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwarded returns a copy of a header without what concerns one connection only.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range single {
		out.Del(name)
	}
	return out
}

// serve tries upstreams until one has answered, or nothing more may be tried.
func (c *call) serve(ctx context.Context) error {
	for {
		reached := c.reached
		choice, err := c.choose(ctx)
		if err != nil {
			c.settle(reached)
			return c.giveUp(err)
		}
		err = c.attempt(ctx, choice)
		c.settle(reached)
		if err == nil {
			return nil
		}
		if again := c.next(ctx, err); !again {
			return c.giveUp(err)
		}
		c.gateway.Log.Log(snipelog.RequestSentAgain, snipelog.Fields{
			requestName: c.ID, "Route": c.route.Name, "After": err.Error(), "Tried": c.tried, "Ran": c.ran,
			"LeftMilliseconds": time.Until(c.deadline).Milliseconds(),
		})
	}
}

// choose returns the upstream of the next attempt.
func (c *call) choose(ctx context.Context) (Choice, error) {
	bounded, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	choice, err := c.gateway.Chooser.Choose(bounded, c.service, &c.Request, c.tried, c.loadPatience())
	c.waited += choice.Waited
	c.version = choice.Version
	if choice.Upstream != nil {
		c.busy, c.holders = c.gateway.Balancer.Busy(choice.Upstream), choice.Holders
	}
	return choice, err
}

// spread returns a number from 0 to 1 that differs from request to request.
func (c *call) spread() float64 { return float64(sniperoute.Hash(c.ID)) / math.MaxUint64 }

// loadPatience is how long the request may wait for an adapter. Beyond it the caller
// is told at once when there will be room.
func (c *call) loadPatience() time.Duration {
	return min(time.Until(c.deadline), loadShare*c.route.Target)
}

// next decides whether a request is sent once more after an attempt that did not
// answer it.
func (c *call) next(ctx context.Context, err error) bool {
	f := snipeerror.From(err)
	switch {
	case errors.Is(f, snipeerror.ErrUnauthenticated):
		return false
	case ctx.Err() != nil, time.Until(c.deadline) < leastLeft:
		return false
	case c.reached >= maxSends, len(c.tried) >= maxTries:
		return false
	case f.Outcome == snipeerror.MayHaveRun && !c.route.MayRepeat():
		return false
	case c.ran >= c.route.MaxAttempts:
		return false
	case c.begun && !c.route.Resumable:
		return false
	case c.reached == 0:
		// What reached no upstream is no repeat for any.
		return true
	}
	c.paid = c.gateway.Budget(c.service).Spend()
	return c.paid
}

// settle takes back what was paid for an attempt that reached no upstream.
func (c *call) settle(reached int) {
	if c.paid && c.reached == reached {
		c.gateway.Budget(c.service).Refund()
	}
	c.paid = false
}
