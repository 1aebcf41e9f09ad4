package snipeentry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// renewInterval is the time between two renewals of the permits of requests that still run: a
	// third of the default lifetime. A permit is renewed from the age of renewAge on, for the second
	// time at 5/6 of its lifetime at the latest, so that one lost renewal ends no permit.
	renewInterval = time.Second / 3
	renewAge      = renewInterval / 2
	// releaseTimeout bounds one message that gives permits back. It is not repeated: the permits end
	// by themselves after their lifetime.
	releaseTimeout = time.Second
)

// heldPermit identifies a permit by the instance that granted it.
type heldPermit struct {
	coordinator netip.AddrPort
	service     string
	id          uint64
	upstream    string
}

// permits holds the permits of this instance's requests, and the results to be sent to coordinators.
// It is safe for concurrent use.
type permits struct {
	lock sync.Mutex // guards the fields below
	// granted is when each permit was granted.
	granted map[heldPermit]time.Time
	// unsent holds the results that wait until the previous message to a coordinator was answered;
	// an entry exists as long as a goroutine sends.
	unsent map[netip.AddrPort][]*snipeproto.AdmissionResult
}

// hold records a permit until its Release is called.
func (a *admission) hold(coordinator netip.AddrPort, service string, p snipeadmission.Permit) *snipegateway.Permit {
	h := heldPermit{coordinator, service, p.ID, p.Upstream}
	a.permits.add(h)
	return &snipegateway.Permit{
		Upstream: p.Upstream, Coordinator: a.name(coordinator),
		Release: func(r snipeadmission.Result) {
			a.permits.drop(h)
			a.release(h, r)
		},
	}
}

func (p *permits) add(h heldPermit) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.granted == nil {
		p.granted = make(map[heldPermit]time.Time)
	}
	p.granted[h] = time.Now()
}

func (p *permits) drop(h heldPermit) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.granted, h)
}

// dueForRenewal returns the permits that were granted at least renewAge ago, by coordinator and service.
func (p *permits) dueForRenewal() map[netip.AddrPort]map[string][]uint64 {
	before := time.Now().Add(-renewAge)
	var all map[netip.AddrPort]map[string][]uint64
	p.lock.Lock()
	defer p.lock.Unlock()
	for h, at := range p.granted {
		if at.After(before) {
			continue
		}
		if all == nil {
			all = make(map[netip.AddrPort]map[string][]uint64)
		}
		if all[h.coordinator] == nil {
			all[h.coordinator] = make(map[string][]uint64)
		}
		all[h.coordinator][h.service] = append(all[h.coordinator][h.service], h.id)
	}
	return all
}

// enqueue adds a result for a coordinator and reports whether the caller must send it: no goroutine
// sends to that coordinator.
func (p *permits) enqueue(to netip.AddrPort, r *snipeproto.AdmissionResult) (first bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.unsent == nil {
		p.unsent = make(map[netip.AddrPort][]*snipeproto.AdmissionResult)
	}
	waiting, sending := p.unsent[to]
	p.unsent[to] = append(waiting, r)
	return !sending
}

// take returns the results to be sent to a coordinator, at most maxResults. It returns nil, and the
// caller must end, if there are none.
func (p *permits) take(to netip.AddrPort) []*snipeproto.AdmissionResult {
	p.lock.Lock()
	defer p.lock.Unlock()
	all := p.unsent[to]
	if len(all) == 0 {
		delete(p.unsent, to)
		return nil
	}
	n := min(len(all), maxResults)
	p.unsent[to] = all[n:]
	return all[:n:n]
}

// release gives a permit back to its coordinator. A result for another instance is sent at once by a
// goroutine of its own, or together with others if a message to that instance is in progress.
func (a *admission) release(h heldPermit, r snipeadmission.Result) {
	if h.coordinator == a.Self {
		a.Lender.release(h.service, h.id, r)
		return
	}
	if a.permits.enqueue(h.coordinator, encodeResult(h.service, h.id, r)) {
		go a.sendResults(h.coordinator)
	}
}

// sendResults sends the results for a coordinator until none are left. It does not depend on the
// contexts of requests or tasks, since the permits have to be given back also when these end.
func (a *admission) sendResults(to netip.AddrPort) {
	for {
		results := a.permits.take(to)
		if results == nil {
			return
		}
		// The loss of the coordinator shows when the next permit is asked for, and permits end by themselves.
		_ = a.sendRelease(context.Background(), to, &snipeproto.AdmissionReleaseRequest{Results: results})
	}
}

// sendRelease sends a message to a coordinator.
func (a *admission) sendRelease(ctx context.Context, to netip.AddrPort, r *snipeproto.AdmissionReleaseRequest) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	r.Version, r.Instance = admissionVersion, a.Self.String()
	_, err := a.Client(to).Release(ctx, r)
	return err
}

// renew renews the permits of requests that have run for renewAge, by one message to each
// coordinator, and does not wait for the answers.
func (a *admission) renew(ctx context.Context) {
	for to, services := range a.permits.dueForRenewal() {
		if to == a.Self {
			for service, ids := range services {
				a.Lender.renew(a.Self.String(), service, ids)
			}
			continue
		}
		go a.sendRenewal(ctx, to, services)
	}
}

// sendRenewal renews permits. A coordinator that does not answer is lost for all of their services: an instance
// without new requests would not notice it otherwise, nor tell the next one of the requests that still run.
func (a *admission) sendRenewal(ctx context.Context, to netip.AddrPort, services map[string][]uint64) {
	err := a.sendRelease(ctx, to, &snipeproto.AdmissionReleaseRequest{Renewals: encodeRenewals(services)})
	if err == nil || ctx.Err() != nil {
		return
	}
	for service := range services {
		a.noteLost(service, to, false, err)
	}
}
