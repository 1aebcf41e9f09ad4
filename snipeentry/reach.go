package snipeentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipereach"
)

const (
	// probeInterval is the time between two probes of a service to which no connection can be opened.
	// Callers expect that their requests go straight to upstreams within three seconds of the heal.
	probeInterval = 500 * time.Millisecond
	// minDialTime is how long an attempt to connect that a request has ended must have lasted to count as
	// failed: a sound upstream answers within milliseconds.
	minDialTime = 300 * time.Millisecond
)

// hopIdleTime is how long an idle connection for hops is kept. It is below idleTimeout, after which the
// other instance closes it.
const hopIdleTime = 30 * time.Second

// dialer opens connections.
type dialer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// upstreamDialer returns the dialer for connections to upstreams, with kernel buffers of the given size.
func (i *Instance) upstreamDialer(buffer int) dialer {
	if i.Dial != nil {
		return i.Dial
	}
	return snipelink.BufferedDialer(buffer)
}

// buildReach creates what finds out which services this instance cannot reach.
func (i *Instance) buildReach() {
	dial := i.upstreamDialer(0)
	i.reach = &snipereach.Tracker{
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, address)
		},
		Upstreams: i.serviceAddresses, Changed: i.reachChanged,
	}
}

// hopHeadBytes is the memory for what another instance adds to the head of an upstream's answer.
const hopHeadBytes = 64 << 10

// buildHops creates the connections for requests that are passed on to other instances.
func (i *Instance) buildHops() {
	i.hopLinks = &snipelink.Pool{
		Dial: snipelink.Dialer(), DialTimeout: dialTimeout, IdleTimeout: hopIdleTime, MaxIdle: maxIdleConnections,
		Identifier: snipegateway.HopIdentifier, KeepAlive: func(*http.Response) time.Duration { return 0 },
		HeadBound: snipelink.DefaultHeadBound + hopHeadBytes,
	}
}

// hopPeers returns the addresses of the other instances that requests may be passed on to: those that are
// live, not leaving, and have answered the last message.
func (i *Instance) hopPeers() []netip.AddrPort {
	live := i.holder.View().Ranked
	all := make([]netip.AddrPort, 0, len(live))
	for _, v := range live {
		if v.Peer != i.Settings.Peers && !v.Leaving && !i.peers.isUnreachable(v.Peer) {
			all = append(all, v.Peer)
		}
	}
	return all
}

// serviceAddresses returns the addresses of the upstreams of a service that are not leaving.
func (i *Instance) serviceAddresses(service string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, u := range i.directory.Snapshot().Service(service) {
		if !u.Leaving {
			all = append(all, u.Address)
		}
	}
	return all
}

// recordDials returns a dialer that records whether upstreams could be connected to.
func (i *Instance) recordDials(dial dialer) dialer {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		begun := time.Now()
		conn, err := dial(ctx, address)
		switch {
		case err == nil && i.reach.Active():
			if u := i.upstreamAt(address); u != nil {
				i.reach.RecordConnection(u.Service)
			}
		case err != nil && (ctx.Err() == nil || time.Since(begun) >= minDialTime):
			if u := i.upstreamAt(address); u != nil {
				i.reach.RecordFailure(u.Service, address, begun)
			}
		}
		return conn, err
	}
}

// upstreamAt returns the upstream that is registered at an address; nil if there is none.
func (i *Instance) upstreamAt(address netip.AddrPort) *snipedirectory.Upstream {
	return i.directory.Snapshot().ByAddress(address)
}

// detachTime is how long a service must be unreachable here before what others say about it counts: if its
// upstreams are down, they have noticed it by then.
const detachTime = time.Second

// detachment finds out whether this instance cannot reach services that others reach. The zero value is ready
// to use. It is safe for concurrent use.
type detachment struct {
	lock sync.Mutex // guards services
	// services holds the services that cannot be reached.
	services map[string]*unreachedService
}

// unreachedService is since when a service cannot be reached, and whether another instance has shown later that
// it reaches the service.
type unreachedService struct {
	since   time.Time
	reached bool
}

// setReachable records that a service can be reached again, or cannot be reached.
func (d *detachment) setReachable(service string, reachable bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if reachable {
		delete(d.services, service)
		return
	}
	if d.services == nil {
		d.services = make(map[string]*unreachedService)
	}
	d.services[service] = &unreachedService{since: time.Now()}
}

// noteReached records that another instance reaches a service: it has answered a hop, or asks for a load.
func (d *detachment) noteReached(service string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if s := d.services[service]; s != nil && time.Since(s.since) >= detachTime {
		s.reached = true
	}
}

// detachedFrom reports whether a service cannot be reached here although others reach it.
func (d *detachment) detachedFrom(service string) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	s := d.services[service]
	return s != nil && s.reached
}

// detached reports whether this instance reaches no service that runs models, although others reach one: it can
// order none of the engines that it owns.
func (i *Instance) detached() bool {
	c := i.catalog.Catalog()
	if c == nil {
		return false
	}
	detached := false
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		if !i.reach.Unreachable(name) {
			return false
		}
		detached = detached || i.detachment.detachedFrom(name)
	}
	return detached
}

// reachChanged logs that a service can be reached no more, or again. In the second case its upstreams are no
// longer suspect, because the failures were not theirs.
func (i *Instance) reachChanged(c snipereach.Change) {
	i.detachment.setReachable(c.Service, c.Reachable)
	event := snipelog.ServiceUnreached
	if c.Reachable {
		event = snipelog.ServiceReached
		for _, u := range i.directory.Snapshot().Service(c.Service) {
			i.balancer.EndSuspicion(u.ID)
		}
	}
	i.Log.Log(event, snipelog.Fields{
		"Service": c.Service, "Failed": c.Failed, "AfterMilliseconds": c.After.Milliseconds(),
	})
}
