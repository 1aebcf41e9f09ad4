package snipeentry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/sniperoute"
)

// lostCoordinator is an instance that is not asked for permits for now.
type lostCoordinator struct {
	until time.Time
	// declined is set if the instance answered that it does not coordinate.
	declined bool
}

// coordinator returns the instance to ask for the permits of a service, or false if this instance
// is to pace its requests.
func (a *admission) coordinator(service string) (netip.AddrPort, bool) {
	candidates := a.coordinators(service)
	now, lost := time.Now(), 0
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, peer := range candidates {
		l, ok := a.lost[peer]
		switch {
		case !ok:
			return peer, true
		case !now.Before(l.until):
			// This request finds out whether the instance answers again; the others go on without
			// it until then.
			l.until = now.Add(permitTimeout)
			a.lost[peer] = l
			return peer, true
		case !l.declined:
			lost++
		}
		if lost >= maxLostCalls {
			return netip.AddrPort{}, false
		}
	}
	return netip.AddrPort{}, false
}

// coordinators returns the instances that may coordinate a service, best first: the live ones that
// are neither leaving nor on standby and have at least coordinatorPower of the highest Power, by
// rendezvous hash.
func (a *admission) coordinators(service string) []netip.AddrPort {
	type candidate struct {
		peer  netip.AddrPort
		score uint64
	}
	ranked := a.View().Ranked
	highest := 0.0
	for _, other := range ranked {
		if mayCoordinate(other) {
			highest = max(highest, other.Power)
		}
	}
	key := sniperoute.Hash("admission", service)
	all := make([]candidate, 0, len(ranked))
	for _, other := range ranked {
		if mayCoordinate(other) && other.Power >= coordinatorPower*highest {
			all = append(all, candidate{other.Peer, sniperoute.Score(key, sniperoute.Hash(other.Peer.String()))})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	peers := make([]netip.AddrPort, 0, len(all))
	for _, c := range all {
		peers = append(peers, c.peer)
	}
	return peers
}

func mayCoordinate(i snipeowner.Instance) bool { return !i.Leaving && !i.Standby }

// noteCall records the end of a call for a permit: the instance answered, declined or is lost.
func (a *admission) noteCall(service string, to netip.AddrPort, err error) {
	switch {
	case err == nil, errors.Is(err, snipeadmission.ErrRefused), errors.Is(err, snipeadmission.ErrStillWaiting):
		a.noteAnswer(service, to)
	default:
		a.noteLost(service, to, errors.Is(err, errNotCoordinating), err)
	}
}

// noteAnswer records that an instance answered a call for a permit.
func (a *admission) noteAnswer(service string, from netip.AddrPort) {
	a.lock.Lock()
	s := a.service(service)
	before, paced, since, requests := s.coordinator, s.pacing, s.pacingSince, s.pacedRequests
	s.coordinator, s.pacing = from, false
	delete(a.lost, from)
	a.lock.Unlock()
	if paced {
		a.Log.Log(snipelog.PacingEnded, snipelog.Fields{
			serviceField: service, coordinatorField: a.name(from), "AfterMilliseconds": time.Since(since).Milliseconds(), "Requests": requests,
		})
	}
	if before != from {
		a.Log.Log(snipelog.CoordinatorChanged, snipelog.Fields{serviceField: service, coordinatorField: a.name(from)})
	}
}

// noteLost records that an instance did not answer a call for a permit or declined, so that it is
// not asked for lostPause. Of several losses at the same time, one is logged and counted.
func (a *admission) noteLost(service string, to netip.AddrPort, declined bool, err error) {
	now := time.Now()
	a.lock.Lock()
	before, known := a.lost[to]
	if a.lost == nil {
		a.lost = make(map[netip.AddrPort]lostCoordinator)
	}
	a.lost[to] = lostCoordinator{until: now.Add(lostPause), declined: declined}
	a.lock.Unlock()
	if declined || known && !before.declined {
		return
	}
	a.Meter.Count("snipepitch_admission_coordinators_lost_total")
	a.Log.Error(snipelog.CoordinatorLost, err, snipelog.Fields{serviceField: service, coordinatorField: a.name(to)})
}

// name returns the name of an instance, or its address if it is no longer live.
func (a *admission) name(peer netip.AddrPort) string {
	if i, ok := a.View().Live[peer]; ok {
		return i.Name
	}
	return peer.String()
}
