package snipeentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// stopAcceptTime is how long a stopping instance still accepts connections. The load balancer
	// in front of the instances checks readiness once a second, and removes an instance after two
	// failed checks. Shorter: the load balancer would still send callers to a closed listener.
	// Longer: less of the stop timeout is left for the requests in flight.
	stopAcceptTime = 3 * time.Second
	// stopReserve is the part of the stop timeout that is kept for ending the process, after the
	// wait for requests in flight.
	stopReserve = 500 * time.Millisecond
	// finalAnswerTime is the part of stopReserve in which the requests that were still in flight are answered.
	finalAnswerTime = 300 * time.Millisecond
)

// stopState records whether a planned stop has begun.
type stopState struct{ begun atomic.Bool }

func (s *stopState) stopping() bool { return s.begun.Load() }

// ready reports whether the load balancer may send callers to this instance: routes and some
// upstreams are known, and no planned stop has begun.
func (i *Instance) ready() bool {
	return !i.stopState.stopping() && i.catalog.Catalog() != nil && i.directory.Snapshot().Len() > 0
}

// waitStop blocks until a signal to stop arrives, carries out a planned stop, and returns nil; it
// returns nil without a stop when ctx ends.
//
// In a planned stop, readiness ends and the release of the owned engines begins at once, and
// connections are accepted for stopAcceptTime. Requests in flight, and those whose heads arrive later on
// connections that were accepted, may run until stopReserve before the end of the stop timeout; then they
// get a final answer. The servers are drained one after the other: until its callers'
// requests have ended, the instance answers other instances, because in an outage of the store an owner's
// lease extension may need this instance's grant.
func (i *Instance) waitStop(ctx context.Context, servers []*drainingServer) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.processSignals.stops:
	}
	began := time.Now()
	i.Log.Log(snipelog.Stopping, snipelog.Fields{"InFlight": i.gateway.InFlight()})
	i.stopState.begun.Store(true)
	i.holder.Leave()
	end := began.Add(i.Settings.StopTimeout.Value() - stopReserve)
	limit, cancel := context.WithDeadline(ctx, end.Add(finalAnswerTime))
	defer cancel()
	i.gateway.Stop.Begin(end)
	var requests sync.WaitGroup
	requests.Go(func() { i.gateway.Stop.Run(limit) })
	snipetime.Sleep(limit, stopAcceptTime)
	for _, s := range servers {
		// What is still in flight when limit expires, such as an answer that its caller does not read, is cut off when the
		// process ends.
		s.drain(limit)
		i.Log.Log(snipelog.ListenerDrained, snipelog.Fields{
			"Listener": s.name, "Milliseconds": time.Since(began).Milliseconds(), "Open": s.connections.Open(),
		})
	}
	cancel()
	requests.Wait()
	if n := i.gateway.InFlight(); n > 0 {
		i.Log.Log(snipelog.StopForced, snipelog.Fields{"InFlight": n})
	}
	return nil
}
