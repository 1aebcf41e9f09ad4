// Package snipegateway forwards requests unchanged: method, path, query and body reach the upstream
// byte for byte, and its answer reaches the caller.
//
// Design. One goroutine, that of net/http, handles a request from its arrival to its end. A call
// (call.go) is the state of one request: the request is admitted (admit.go), an upstream is chosen
// (choose.go), the request is sent (attempt.go) and the answer is delivered, either buffered
// (attempt.go) or event by event (stream.go). After each attempt that failed, call.decideRetry
// alone decides whether another attempt follows. While this instance does not reach a request's service, another
// instance makes the attempt (hop.go, hopserver.go).
//
// Invariants:
//
//   - A request that may run at most once is sent again only if an upstream stated that it did not
//     run the request, or if none of the request's bytes were sent.
//   - This instance itself answers with status 503 only if the request has not run and never will.
//     An upstream's own status 503 is forwarded if the upstream signed the answer and did not state
//     that it did not run the request.
//   - An answer is forwarded only if it carries a signature header, whose value is not verified,
//     and the request's identifier. If an answer breaks off after the caller has received its
//     start, and no other upstream resumes it, the caller's connection is aborted. The framing of an
//     answer to a caller proves no more than that of the upstream's answer (answerend.go).
//   - A request takes one hop at most. The instance that the caller asked counts its attempts.
//   - Where operators declare workspaces, a request without the key of a workspace runs only on
//     public routes. The key is sent to no upstream and written to no log line.
//   - The events of a stream reach the caller whole, in order and once each, also when the stream
//     is resumed at another upstream. It is resumed only at the software version that began it, here
//     and when its caller takes it up with another attempt.
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
	"snipepitch.example/snipepitch/snipepressure"
	"snipepitch.example/snipepitch/snipequarantine"
	"snipepitch.example/snipepitch/sniperetry"
	"snipepitch.example/snipepitch/snipesignal"
	"snipepitch.example/snipepitch/snipestop"
)

// Gateway serves requests. Exported fields are set before the first request.
type Gateway struct {
	Catalog  *snipecatalog.Cache
	Chooser  *Chooser
	Balancer *snipebalance.Balancer
	Links    *snipelink.Pool
	Signals  *snipesignal.Tracker
	Brittle  *snipesignal.BrittleTracker
	Protocol Protocol
	Quotas   Quotas
	// Admission grants the permits that some plain services need.
	Admission Admission
	// Crashes observes the requests that crash upstreams.
	Crashes Crashes
	// Software tells at which software versions streams may begin and go on.
	Software Software
	// WaitForStart blocks a request that arrives before routes and upstreams are known. It returns
	// when they are known, when ctx ends, or at a fixed time shortly after the start.
	WaitForStart func(ctx context.Context)
	// Outdated reports whether operators may have declared something that this instance has not
	// read.
	Outdated func() bool
	// Hops passes requests on to other instances while this one does not reach their service.
	Hops Hops
	// Budget returns the budget that limits the retries of all requests to a service.
	Budget func(service string) *sniperetry.Window
	// Stop is the planned stop. Once it has begun, connections are closed after their current request.
	Stop snipestop.Stop
	// Pressure bounds the bytes that are held for all requests; nil for no bound.
	Pressure *snipepressure.Budget
	// SocketBytes is what the kernel may hold for a request at most beside Go's memory.
	SocketBytes int64
	Log         *snipelog.Logger
	Meter       *snipemeter.Meter

	inFlight        atomic.Int64
	workspaceLabels workspaceLabels
	headers         headerNames
	withoutPermit   attemptCounter
	oversizes       oversizes
	tooLarge        snipelog.Limiter
	partKeys        snipequarantine.PartKeys
	arrivals        arrivals
	silentRuns      silentRuns
	durations       snipestop.Durations
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	c := &call{gateway: g, writer: w, request: r, arrived: time.Now()}
	c.run()
}
