// Package snipereach finds out whether an instance can open connections to the upstreams of a service, or
// is cut off from all of them.
//
// Evidence is whether new connections can be opened, by requests and by probes. Answers on connections
// that were opened before are none: these may live on while new ones are refused. A service counts as
// unreachable once no connection was opened to it since the attempts at all of its upstreams failed, or
// at sampleSize of them. After two failures the other upstreams of this sample are probed at once, so that
// little traffic suffices. While a service is unreachable, upstreams of it are probed at each Probe.
//
// While connections can be opened, nothing is sent and next to nothing is computed.
package snipereach

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sampleSize is the number of upstreams whose failures show that a service is unreachable, if it has
	// more: it is unlikely that so many have failed by themselves, and no connection was opened.
	sampleSize = 16
	// suspectFailures is the number of upstreams whose failures have the others of the sample probed. The
	// crash of one upstream is frequent and is no reason to probe others.
	suspectFailures = 2
	// failureLifetime is how long a failure counts while a service is reachable. Connections are kept for
	// long, so that an upstream may be back without a new one.
	failureLifetime = 5 * time.Second
	// probeGap is the least time between two such rounds of probes for a service. Where many of its
	// upstreams are down, requests run into two failures again and again.
	probeGap = time.Second
	// probeWidth is the number of upstreams of an unreachable service that one Probe tries.
	probeWidth = 2
)

// Change is the loss or the return of a service.
type Change struct {
	Service string
	// Reachable reports whether connections to the service can be opened again.
	Reachable bool
	// Failed is the number of upstreams at which attempts have failed, After the time since the first of
	// these failures.
	Failed int
	After  time.Duration
}

// Tracker records which services are unreachable. Exported fields are set before the first call; it is safe
// for concurrent use.
type Tracker struct {
	// Dial opens a connection, for probes. It bounds its own time.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Upstreams returns the addresses of the upstreams of a service that are not leaving.
	Upstreams func(service string) []netip.AddrPort
	// Changed is called when a service becomes unreachable, or reachable again, without a lock held.
	Changed func(c Change)

	active atomic.Bool // whether failures are recorded

	lock     sync.Mutex // guards services
	services map[string]*failures
}

// failures are the failed attempts at the upstreams of one service since a connection was opened to it.
type failures struct {
	at          map[netip.AddrPort]time.Time
	first       time.Time
	unreachable bool
	// connectedAt is when a connection was last opened while a failure was recorded, probedAt when the
	// others were last probed.
	connectedAt, probedAt time.Time
}

// Active reports whether any failure is recorded. While there is none, RecordConnection need not be called.
func (t *Tracker) Active() bool { return t.active.Load() }

// Unreachable reports whether no connection to a service can be opened.
func (t *Tracker) Unreachable(service string) bool {
	if !t.Active() {
		return false
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	s := t.services[service]
	return s != nil && s.unreachable
}

// Count returns the number of unreachable services.
func (t *Tracker) Count() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	n := 0
	for _, s := range t.services {
		if s.unreachable {
			n++
		}
	}
	return n
}

// RecordConnection records that a connection to an upstream of a service was opened.
func (t *Tracker) RecordConnection(service string) {
	if !t.Active() {
		return
	}
	t.lock.Lock()
	s := t.services[service]
	if s == nil {
		t.lock.Unlock()
		return
	}
	change := Change{Service: service, Reachable: true, Failed: len(s.at), After: time.Since(s.first)}
	regained := s.unreachable
	s.unreachable, s.connectedAt = false, time.Now()
	clear(s.at)
	t.setActive()
	t.lock.Unlock()
	if regained {
		t.Changed(change)
	}
}

// setActive sets active. The lock is held.
func (t *Tracker) setActive() {
	for _, s := range t.services {
		if len(s.at) > 0 {
			t.active.Store(true)
			return
		}
	}
	t.active.Store(false)
}

// RecordFailure records that an attempt, begun at the given time, to open a connection to an upstream of a
// service has failed. It does not count if another connection was opened since then, or if the upstream is
// leaving or gone.
func (t *Tracker) RecordFailure(service string, address netip.AddrPort, begun time.Time) {
	all := t.Upstreams(service)
	if !slices.Contains(all, address) {
		return
	}
	t.lock.Lock()
	s := t.services[service]
	if s == nil {
		s = &failures{at: make(map[netip.AddrPort]time.Time)}
		if t.services == nil {
			t.services = make(map[string]*failures)
		}
		t.services[service] = s
	}
	if !s.connectedAt.Before(begun) {
		t.lock.Unlock()
		return
	}
	s.add(address, all)
	t.active.Store(true)
	lost := !s.unreachable && len(s.at) >= min(sampleSize, len(all))
	s.unreachable = s.unreachable || lost
	probe := !s.unreachable && len(s.at) >= suspectFailures && time.Since(s.probedAt) >= probeGap
	if probe {
		s.probedAt = time.Now()
	}
	change := Change{Service: service, Failed: len(s.at), After: time.Since(s.first)}
	others := s.without(all, sampleSize-len(s.at))
	t.lock.Unlock()
	if lost {
		t.Changed(change)
	}
	if probe {
		go t.probeAll(context.Background(), service, others)
	}
}

// add records a failure, and drops those that are too old or at upstreams that are gone.
func (s *failures) add(address netip.AddrPort, all []netip.AddrPort) {
	now := time.Now()
	maps.DeleteFunc(s.at, func(a netip.AddrPort, at time.Time) bool {
		return !slices.Contains(all, a) || !s.unreachable && now.Sub(at) > failureLifetime
	})
	if len(s.at) == 0 {
		s.first = now
	}
	s.at[address] = now
}

// without returns up to most random upstreams at which no attempt has failed.
func (s *failures) without(all []netip.AddrPort, most int) []netip.AddrPort {
	others := slices.DeleteFunc(slices.Clone(all), func(a netip.AddrPort) bool {
		_, failed := s.at[a]
		return failed
	})
	shuffle(others)
	return others[:min(len(others), max(most, 0))]
}

// Probe probes upstreams of each unreachable service, and waits for the results.
func (t *Tracker) Probe(ctx context.Context) {
	var all sync.WaitGroup
	for _, service := range t.unreachable() {
		addresses := t.Upstreams(service)
		shuffle(addresses)
		all.Go(func() { t.probeAll(ctx, service, addresses[:min(len(addresses), probeWidth)]) })
	}
	all.Wait()
}

func (t *Tracker) unreachable() []string {
	if !t.Active() {
		return nil
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	var names []string
	for name, s := range t.services {
		if s.unreachable {
			names = append(names, name)
		}
	}
	return names
}

// probeAll opens a connection to each address and closes it.
func (t *Tracker) probeAll(ctx context.Context, service string, addresses []netip.AddrPort) {
	var all sync.WaitGroup
	for _, a := range addresses {
		all.Go(func() {
			begun := time.Now()
			conn, err := t.Dial(ctx, a)
			switch {
			case err == nil:
				_ = conn.Close()
				t.RecordConnection(service)
			case ctx.Err() == nil:
				t.RecordFailure(service, a, begun)
			}
		})
	}
	all.Wait()
}

func shuffle(all []netip.AddrPort) {
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] }) //nolint:gosec // no secret
}
