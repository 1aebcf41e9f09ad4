package snipegateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// defaultTimeout bounds a request if neither its route nor its caller sets a timeout.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is the retry time for callers of an instance that does not know its routes
	// yet, or whose catalog may be outdated.
	startRetryAfter = 300 * time.Millisecond
)

// admit finds the request's route and workspace, charges the workspace's quota and reads the body.
// It counts an admitted request for the service's retry budget.
func (c *call) admit(ctx context.Context) error {
	g := c.gateway
	if err := c.resolveRoute(ctx); err != nil {
		return err
	}
	if err := c.identify(); err != nil {
		return err
	}
	c.service = c.route.Backend(sniperoute.Hash(c.streamAttempt()))
	if c.catalog.Engine(c.service) == nil {
		// A plain service holds no models, so the model named by the caller is ignored.
		c.Adapter = snipecatalog.Adapter{}
	}
	c.deadline = c.arrived.Add(c.timeout())
	c.stop.SetTimes(c.deadline, cmp.Or(g.durations.Longest(c.route.Name), c.route.Target))
	c.lastEvent = c.LastEvent
	if c.hop != nil {
		c.lastEvent, c.excluded = string(c.hop.LastEvent), c.hop.Tried
	}
	if err := c.openAccount(); err != nil {
		return err
	}
	if err := c.chargeQuota(ctx); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		c.returnQuota()
		return err
	}
	if err := c.setSoftwareRule(ctx); err != nil {
		c.returnQuota()
		return err
	}
	c.header = endToEnd(c.request.Header)
	if c.catalog.RequiresKeys() {
		c.header.Del(keyHeader)
	}
	g.arrivals.add(c.service)
	if c.hop == nil {
		g.Budget(c.service).CountRequest(c.arrived)
	}
	return nil
}

// identify finds the request's workspace.
func (c *call) identify() error {
	if c.hop != nil {
		return c.admitHop()
	}
	return c.identifyWorkspace()
}

// chargeQuota charges the request to its workspace's quota, unless the instance that the caller asked did so.
func (c *call) chargeQuota(ctx context.Context) error {
	if c.hop != nil {
		return nil
	}
	return c.takeQuota(ctx)
}

// resolveRoute decodes the caller's header and finds the route in the current catalog. It blocks
// for a short time if no routes or no upstreams are known yet.
func (c *call) resolveRoute(ctx context.Context) error {
	g := c.gateway
	if g.Catalog.Catalog() == nil || g.Chooser.Directory.Snapshot() == nil {
		g.WaitForStart(ctx)
	}
	c.catalog = g.Catalog.Catalog()
	if c.catalog == nil {
		return snipeerror.New(snipeerror.ErrUnavailable, snipeerror.NotRun, "no routes are known yet").After(startRetryAfter)
	}
	var err error
	if c.Request, err = g.Protocol.Decode(c.request); err != nil {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, err.Error())
	}
	if !strings.HasPrefix(c.request.RequestURI, "/") {
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, "the target is no path")
	}
	if c.route = c.findRoute(c.catalog); c.route == nil {
		return c.orOutdated(snipeerror.New(snipeerror.ErrUnknownService, snipeerror.NotRun, "no route for this host and path"))
	}
	return nil
}

// findRoute returns the route of a catalog for the request's host, with or without its port, and path.
func (c *call) findRoute(catalog *snipecatalog.Catalog) *snipecatalog.Route {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	if r := catalog.Lookup(c.request.Host, path); r != nil {
		return r
	}
	host, _, found := strings.Cut(c.request.Host, ":")
	if !found {
		return nil
	}
	return catalog.Lookup(host, path)
}

// timeout returns the longest time that the request may take: the smaller of the caller's and the
// route's timeout. If the route has none, defaultTimeout takes its place.
func (c *call) timeout() time.Duration {
	d := defaultTimeout
	if c.route.Timeout > 0 {
		d = c.route.Timeout
	}
	if c.MaxWait > 0 {
		d = min(d, c.MaxWait)
	}
	return d
}

// readBody reads the whole body, until the deadline at the latest, because the body may have to be
// sent more than once. It refuses a body above the catalog's limit.
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
	c.stop.BeginBody(control, c.deadline)
	body := io.Reader(c.request.Body)
	if limit > 0 {
		body = http.MaxBytesReader(c.writer, c.request.Body, limit)
	}
	var err error
	c.body, err = c.readAllBody(body)
	c.stop.EndBody(err == nil)
	var exceeded *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		return c.refuseForMemory(c.pressure.Refusal(int64(bodyCopies * len(c.body))))
	case errors.As(err, &exceeded):
		return tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.bodyLate = true
		return snipeerror.New(snipeerror.ErrDeadline, snipeerror.NotRun, "the body did not arrive in time").After(startRetryAfter)
	case err != nil:
		return snipeerror.New(snipeerror.ErrBadRequest, snipeerror.NotRun, "the body cannot be read")
	}
	return nil
}
