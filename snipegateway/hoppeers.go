package snipegateway

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// hopPause is how long a peer is not asked again after it could not be connected to, or has said that it
	// cannot reach the service either.
	hopPause = time.Second
	// maxHopPeers bounds the peers that are asked for one attempt. Each that makes none costs a round trip.
	maxHopPeers = 8
	// maxLostPeers is the number of peers in a row, for any requests, that cannot reach a service after which
	// no peer is asked for it during hopPause. Where three of four instances are cut off, a run of so many
	// is unlikely.
	maxLostPeers = 48
)

// hopPeers chooses the peers that requests are passed on to. It is safe for concurrent use.
type hopPeers struct {
	lock sync.Mutex // guards the fields below
	// pausedUntil is until when peers are not asked, for any service where the service is empty.
	pausedUntil map[peerService]time.Time
	// lost counts, by service, the peers in a row that could not reach it, and downUntil is until when no
	// peer is asked for it.
	lost      map[string]int
	downUntil map[string]time.Time
}

// peerService is a peer and a service, or a peer and no service.
type peerService struct {
	peer    netip.AddrPort
	service string
}

// pick returns the peer to ask for a request to a service: of those that may be asked, the first one by
// rendezvous hash of the request's identifier. It returns false if there is none.
func (p *hopPeers) pick(all, asked []netip.AddrPort, service, id string) (netip.AddrPort, bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	var best netip.AddrPort
	if now.Before(p.downUntil[service]) {
		return best, false
	}
	key, bestScore, found := sniperoute.Hash(id), uint64(0), false
	for _, peer := range all {
		if slices.Contains(asked, peer) || p.paused(peer, "", now) || p.paused(peer, service, now) {
			continue
		}
		if score := sniperoute.Score(key, sniperoute.Hash(peer.String())); !found || score > bestScore {
			best, bestScore, found = peer, score, true
		}
	}
	return best, found
}

// paused reports whether a peer is not asked now. The lock is held.
func (p *hopPeers) paused(peer netip.AddrPort, service string, now time.Time) bool {
	return now.Before(p.pausedUntil[peerService{peer, service}])
}

// noteUnconnected records that a peer could not be connected to.
func (p *hopPeers) noteUnconnected(peer netip.AddrPort) { p.pause(peerService{peer: peer}) }

// noteUnreachable records that a peer cannot reach a service.
func (p *hopPeers) noteUnreachable(peer netip.AddrPort, service string) {
	p.pause(peerService{peer, service})
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.lost == nil {
		p.lost, p.downUntil = make(map[string]int), make(map[string]time.Time)
	}
	if p.lost[service]++; p.lost[service] >= maxLostPeers {
		p.downUntil[service] = time.Now().Add(hopPause)
		p.lost[service] = maxLostPeers - maxHopPeers // the peers of one more request decide
	}
}

// noteReached records that a peer reaches a service.
func (p *hopPeers) noteReached(service string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.lost, service)
}

func (p *hopPeers) pause(k peerService) {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	if p.pausedUntil == nil {
		p.pausedUntil = make(map[peerService]time.Time)
	}
	for old, until := range p.pausedUntil {
		if !now.Before(until) {
			delete(p.pausedUntil, old)
		}
	}
	p.pausedUntil[k] = now.Add(hopPause)
}
