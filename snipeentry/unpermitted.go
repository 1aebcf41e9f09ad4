package snipeentry

import (
	"context"
	"net/netip"

	"snipepitch.example/snipepitch/snipeproto"
)

// unpermittedKey names the upstreams that one coordinator lends.
type unpermittedKey struct {
	coordinator netip.AddrPort
	name        string
}

// reportUnpermitted tells coordinators how many requests of this instance are at upstreams of brittle services
// without a permit of them: requests that were sent before the service became brittle, or with a permit of a
// former coordinator. It does not wait for the answers.
func (a *admission) reportUnpermitted(ctx context.Context) {
	if a.Brittle == nil || a.Brittle.Count() == 0 {
		clear(a.reported)
		return
	}
	counts := a.countUnpermitted()
	for key := range a.reported {
		if counts[key] == nil {
			a.sendUnpermitted(ctx, key, nil)
		}
	}
	a.reported = make(map[unpermittedKey]bool)
	for key, upstreams := range counts {
		a.reported[key] = true
		a.sendUnpermitted(ctx, key, upstreams)
	}
}

// countUnpermitted counts the requests of this instance without a permit of the coordinator, for the coordinators
// of whose upstreams there are any.
func (a *admission) countUnpermitted() map[unpermittedKey]map[string]int {
	counts := make(map[unpermittedKey]map[string]int)
	for id, n := range a.InFlight() {
		u := a.Engine(id)
		if u == nil {
			continue
		}
		if _, brittle := a.Brittle.Get(u.Service); !brittle {
			continue
		}
		name := u.Service
		if !a.Plain(u.Service) {
			name = enginePrefix + id
		}
		to, ok := a.firstCoordinator(name)
		if !ok {
			continue
		}
		key := unpermittedKey{to, name}
		if without := n - a.permits.held(to, id); without > 0 {
			if counts[key] == nil {
				counts[key] = make(map[string]int)
			}
			counts[key][id] = without
		}
	}
	return counts
}

// sendUnpermitted reports counts to a coordinator, which may be this instance. Upstreams that are not counted have none.
func (a *admission) sendUnpermitted(ctx context.Context, key unpermittedKey, counts map[string]int) {
	if key.coordinator == a.Self {
		a.Lender.reportUnpermitted(a.Self.String(), key.name, counts)
		return
	}
	m := &snipeproto.AdmissionUnpermitted{Service: key.name}
	for id, n := range counts {
		m.Counts = append(m.Counts, &snipeproto.AdmissionCount{Upstream: id, Requests: boundedFigure(n)})
	}
	go func() {
		_ = a.sendRelease(ctx, key.coordinator, &snipeproto.AdmissionReleaseRequest{Unpermitted: []*snipeproto.AdmissionUnpermitted{m}})
	}()
}
