package snipeentry

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/sniperoute"
)

// ownPermits counts the permits for upstreams of brittle services that this instance grants itself while it
// reaches no coordinator. It is safe for concurrent use.
type ownPermits struct {
	lock sync.Mutex // guards out
	out  map[string]int
}

// take takes a permit if fewer than the given number are out.
func (p *ownPermits) take(upstream string, most int) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.out[upstream] >= most {
		return false
	}
	if p.out == nil {
		p.out = make(map[string]int)
	}
	p.out[upstream]++
	return true
}

func (p *ownPermits) giveBack(upstream string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.out[upstream]--; p.out[upstream] <= 0 {
		delete(p.out, upstream)
	}
}

// ownShareRetry is the retry time of a request that is refused because the share of this instance is in use.
const ownShareRetry = 500 * time.Millisecond

// shareAlone grants a permit from this instance's own share of the slots of a brittle service, or refuses the
// request: all instances that reach no coordinator may do so at the same moment.
func (a *admission) shareAlone(name string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	for _, u := range a.Upstreams(name) {
		if u.Leaving || slices.Contains(r.Excluded, u.ID) || !a.own.take(u.ID, a.ownShare(u)) {
			continue
		}
		return &snipegateway.Permit{
			Upstream: u.ID, Release: func(snipeadmission.Result) { a.own.giveBack(u.ID) },
		}, nil
	}
	return nil, denied("", &snipeadmission.RefusedError{Reason: snipeadmission.ReasonBusy, RetryAfter: ownShareRetry})
}

// ownShare returns this instance's share of the slots of an upstream: an even one among the live instances, whose
// remainder goes to the first by rendezvous hash.
func (a *admission) ownShare(u *snipedirectory.Upstream) int {
	live := a.View().Live
	instances := max(len(live), minSharingInstances)
	share := u.Slots / instances
	if rankFor(u.ID, a.Self, live) < u.Slots%instances {
		share++
	}
	return share
}

// rankFor returns the rank of an instance, from 0, among the live ones for an upstream, by rendezvous hash. All
// instances that know the same live instances compute the same ranking.
func rankFor(upstream string, self netip.AddrPort, live map[netip.AddrPort]snipeowner.Instance) int {
	key := sniperoute.Hash(upstream)
	own := sniperoute.Score(key, addressKey(self))
	rank := 0
	for peer := range live {
		if peer != self && sniperoute.Score(key, addressKey(peer)) > own {
			rank++
		}
	}
	return rank
}
