package snipeentry

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesignal"
)

// Requests to a brittle service need permits, as those of shared admission do: for a plain service from one
// coordinator of all its upstreams, for engines from one coordinator of each engine, since the adapter decides
// which engine may answer. A coordinator knows from the messages of the instances that ask it that it lends
// strictly (see snipeadmission), and from their reports which requests are there without a permit of it.

// enginePrefix begins the name by which the permits of one engine are asked for.
const enginePrefix = "engine:"

// brittleService returns the service whose brittleness decides about the permits of a name: of a plain service, or
// of an engine.
func (a *admission) brittleService(name string) string {
	id, isEngine := strings.CutPrefix(name, enginePrefix)
	if !isEngine {
		return name
	}
	if u := a.Engine(id); u != nil {
		return u.Service
	}
	return ""
}

// brittle reports whether the service of a name is brittle.
func (a *admission) brittle(name string) (snipesignal.Brittleness, bool) {
	if a.Brittle == nil {
		return snipesignal.Brittleness{}, false
	}
	return a.Brittle.Get(a.brittleService(name))
}

// acquireEngine returns a permit for a request to an engine of a brittle service. An engine that has none free is
// closed for fullTime, so that the next requests ask for others.
func (a *admission) acquireEngine(ctx context.Context, engine string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	permit, err := a.acquire(ctx, enginePrefix+engine, r)
	if err != nil && r.NoWait && ctx.Err() == nil {
		a.full.add(engine, time.Now())
	}
	return permit, err
}

// fullTime is how long an engine that had no free permit is not asked for another one. It is shorter than the time
// in which one becomes free where many requests run.
const fullTime = 20 * time.Millisecond

// fullEngines holds the engines that have just had no free permit. It is safe for concurrent use.
type fullEngines struct {
	lock  sync.Mutex // guards until
	until map[string]time.Time
}

func (f *fullEngines) add(engine string, now time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.until == nil {
		f.until = make(map[string]time.Time)
	}
	f.until[engine] = now.Add(fullTime)
}

func (f *fullEngines) has(engine string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	until, ok := f.until[engine]
	if ok && !time.Now().Before(until) {
		delete(f.until, engine)
		return false
	}
	return ok
}

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
	key := sniperoute.Hash(u.ID)
	own := sniperoute.Score(key, addressKey(a.Self))
	rank := 0
	for peer := range live {
		if peer != a.Self && sniperoute.Score(key, addressKey(peer)) > own {
			rank++
		}
	}
	instances := max(len(live), minSharingInstances)
	share := u.Slots / instances
	if rank < u.Slots%instances {
		share++
	}
	return share
}

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
		if _, again := counts[key]; !again {
			counts[key] = a.reported[key]
			for id := range counts[key] {
				counts[key][id] = 0
			}
		}
	}
	a.reported = make(map[unpermittedKey]map[string]int)
	for key, upstreams := range counts {
		if positive(upstreams) {
			a.reported[key] = upstreams
		}
		a.sendUnpermitted(ctx, key, upstreams)
	}
}

// positive reports whether any count is above zero.
func positive(counts map[string]int) bool {
	for _, n := range counts {
		if n > 0 {
			return true
		}
	}
	return false
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

// sendUnpermitted reports counts to a coordinator, which may be this instance.
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

// encodeBrittle returns the messages for brittle services.
func encodeBrittle(all []snipesignal.BrittleUpdate) []*snipeproto.BrittleService {
	encoded := make([]*snipeproto.BrittleService, 0, len(all))
	for _, u := range all {
		encoded = append(encoded, &snipeproto.BrittleService{
			Service: u.Service, MaxRefusals: int64(u.MaxRefusals), AgeMilliseconds: u.Age.Milliseconds(),
		})
	}
	return encoded
}

// decodeBrittle returns the brittle services of a message. Those that make no sense are left out.
func decodeBrittle(all []*snipeproto.BrittleService) []snipesignal.BrittleUpdate {
	decoded := make([]snipesignal.BrittleUpdate, 0, len(all))
	for _, m := range all {
		n, age := m.GetMaxRefusals(), m.GetAgeMilliseconds()
		if !validName(m.GetService()) || n < 0 || n > maxLoadFigure || age < 0 || outOfRange(age) {
			continue
		}
		decoded = append(decoded, snipesignal.BrittleUpdate{
			Service: m.GetService(), MaxRefusals: int(n), Age: milliseconds(age),
		})
	}
	return decoded
}
