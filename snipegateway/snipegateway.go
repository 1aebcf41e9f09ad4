// Package snipegateway passes requests on as they are: method, path, query and
// body reach the upstream byte for byte, and its answer reaches the caller.
//
// Design. One goroutine, that of net/http, carries a request from its arrival to
// its end. A call (call.go) is the state of one request: it is admitted, an
// upstream is chosen (choose.go), the request is sent (attempt.go) and the answer
// is delivered, whole (attempt.go) or event by event (stream.go). After each
// attempt that did not answer, one place decides whether another one follows
// (call.next).
//
// Invariants:
//
//   - A request that may run once at most is sent again only after an upstream
//     stated that it did not run it, or if none of its bytes had left.
//   - 503 is given only to requests that have not run and never will.
//   - An answer is passed on only if it carries the upstream's receipt and the
//     request's identifier. One that breaks off looks broken off.
//   - Where operators declare workspaces nothing runs, but on public routes, without a key that
//     one of them holds. The key goes to no upstream and into no log line.
//   - The events of a stream reach the caller whole and in order, each once, also
//     when the stream goes on at another upstream.
package snipegateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/sniperetry"
	"snipepitch.example/snipepitch/snipesignal"
)

// Gateway serves requests. Exported fields are set before the first request.
type Gateway struct {
	Catalog  *snipecatalog.Keeper
	Chooser  *Chooser
	Balancer *snipebalance.Balancer
	Links    *snipelink.Pool
	Signals  *snipesignal.Book
	Protocol Protocol
	Quotas   Quotas
	// Begin holds a request that has come before routes and upstreams are known, for a moment
	// after the start.
	Begin func(ctx context.Context)
	// Outdated reports that operators may have declared something that is not known here.
	Outdated func() bool
	// Budget returns what pays for the repeats of a service's requests.
	Budget func(service string) *sniperetry.Window
	// Stopping reports that a planned stop has begun: connections are not kept.
	Stopping func() bool
	Log      *snipelog.Logger
	Meter    *snipemeter.Meter

	inFlight atomic.Int64
	counted  counted
	headers  headerNames
}

// InFlight returns the number of requests that are served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{gateway: g, writer: w, request: r, arrived: time.Now()}
	c.run()
}
