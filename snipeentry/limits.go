package snipeentry

import (
	"context"
	"math"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

const (
	// limitsInterval is the time between two requests for shares of limits. It decides how soon shares follow callers
	// that move to another instance.
	limitsInterval = 200 * time.Millisecond
	// limitsTimeout bounds one such request.
	limitsTimeout = time.Second
)

// limitShare returns this instance's share of an upstream's limit, which is in requests per second
// of all instances together. An even part depends on this instance's rank among the live instances (see rankFor), the rest
// was issued by the upstream's owner.
func (i *Instance) limitShare(upstream string, limit float64) snipesignal.Share {
	rank := rankFor(upstream, i.Settings.Peers, i.holder.View().Live)
	issued, promised := i.limitGrants.PerSecond(upstream)
	if !promised {
		return snipesignal.Divide(limit, i.sharingInstances(), rank)
	}
	return snipesignal.DivideByNeed(limit, i.sharingInstances(), rank, issued)
}

// ownerKey returns the address whose owner decides for an upstream of a service: that of an engine itself, or the one
// that stands for a plain service.
func (i *Instance) ownerKey(service string, address netip.AddrPort) netip.AddrPort {
	if i.plain(service) {
		return serviceKey(service)
	}
	return address
}

// askLimits asks the owners of the upstreams that name limits for shares of them, and does not wait for the answers.
func (i *Instance) askLimits(ctx context.Context) {
	asks := make(map[netip.AddrPort][]snipesignal.Ask)
	directory, owners := i.directory.Snapshot(), i.holder.View().Owners
	for id, limit := range i.signals.Limits() {
		u := directory.ByID(id)
		if u == nil {
			continue
		}
		owner, ok := owners[i.ownerKey(u.Service, u.Address)]
		if !ok {
			continue
		}
		held, _ := i.limitGrants.PerSecond(id)
		asks[owner.Instance.Peer] = append(asks[owner.Instance.Peer], snipesignal.Ask{
			Upstream: id, Limit: limit, Need: i.gateway.Arrivals(u.Service), Held: held,
		})
	}
	for owner, all := range asks {
		if i.limitCalls.begin(owner.String()) {
			go func() {
				defer i.limitCalls.end(owner.String())
				i.askOwnerLimits(ctx, owner, all)
			}()
		}
	}
}

// askOwnerLimits asks one owner, which may be this instance.
func (i *Instance) askOwnerLimits(ctx context.Context, owner netip.AddrPort, asks []snipesignal.Ask) {
	m := &snipeproto.AdmissionLimitsRequest{Version: admissionVersion, Instance: i.Settings.Peers.String()}
	for _, a := range asks {
		i.limitGrants.Promise(a.Upstream)
		m.Asks = append(m.Asks, &snipeproto.AdmissionLimitAsk{Upstream: a.Upstream, Limit: a.Limit, Need: a.Need, Held: a.Held})
	}
	asked := time.Now()
	answer, err := i.callLimits(ctx, owner, m)
	if err != nil {
		return // the share lasts for some time, and then the even part is left
	}
	for n, perSecond := range answer.GetPerSecond() {
		switch {
		case n >= len(asks):
		case perSecond >= 0 && perSecond <= math.MaxInt32:
			i.limitGrants.Set(asks[n].Upstream, perSecond, asked)
		default:
			i.limitGrants.Refused(asks[n].Upstream)
		}
	}
}

// callLimits passes a request for shares to an owner.
func (i *Instance) callLimits(ctx context.Context, owner netip.AddrPort, m *snipeproto.AdmissionLimitsRequest) (*snipeproto.AdmissionLimitsResponse, error) {
	if owner == i.Settings.Peers {
		return i.issueLimits(m), nil
	}
	ctx, cancel := context.WithTimeout(ctx, limitsTimeout)
	defer cancel()
	return i.peers.permits.client(owner).Limits(ctx, m)
}

// noShare is the answer for an upstream that this instance may not decide for, or not yet.
const noShare = -1

// issueLimits answers a request for shares of limits.
func (i *Instance) issueLimits(m *snipeproto.AdmissionLimitsRequest) *snipeproto.AdmissionLimitsResponse {
	answer := &snipeproto.AdmissionLimitsResponse{}
	directory := i.directory.Snapshot()
	for _, a := range m.GetAsks() {
		issued := float64(noShare)
		if u := directory.ByID(a.GetUpstream()); u != nil {
			if r, ok := i.holder.Right(i.ownerKey(u.Service, u.Address)); ok {
				ask := snipesignal.Ask{Upstream: u.ID, Limit: a.GetLimit(), Need: a.GetNeed(), Held: a.GetHeld()}
				if perSecond, ok := i.limitIssuer.Issue(m.GetInstance(), ask, r.Fence, r.Since, i.instances()); ok {
					issued = perSecond
				}
			}
		}
		answer.PerSecond = append(answer.PerSecond, issued)
	}
	return answer
}
