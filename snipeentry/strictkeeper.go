package snipeentry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// strictCallTimeout bounds one call for a strict permit. It is much longer than calls take: a late answer is not
	// a lost coordinator, and the permit in it is used.
	strictCallTimeout = 3 * time.Second
	// joinTime is how long after its first row an instance that is new asks for no strict permits. Each instance
	// that takes over as a coordinator then knows it, and asks it for an account.
	joinTime = 4 * time.Second
)

// errNoCoordinator is the error of a call for a strict permit where no instance is known to lend.
var errNoCoordinator = errors.New("no coordinator is known")

// keepers holds the Keeper of each service and engine for which strict permits were asked for. It is safe for
// concurrent use.
type keepers struct {
	lock sync.Mutex // guards all
	all  map[string]*snipeadmission.Keeper
}

// get returns the keeper of a name, which newKeeper creates on the first call.
func (k *keepers) get(name string, newKeeper func() *snipeadmission.Keeper) *snipeadmission.Keeper {
	k.lock.Lock()
	defer k.lock.Unlock()
	if found := k.all[name]; found != nil {
		return found
	}
	if k.all == nil {
		k.all = make(map[string]*snipeadmission.Keeper)
	}
	made := newKeeper()
	k.all[name] = made
	return made
}

// sweep forgets the keepers of names under which nothing is lent any more and that hold no permit.
func (k *keepers) sweep(lends func(name string) bool) {
	k.lock.Lock()
	defer k.lock.Unlock()
	for name, keeper := range k.all {
		if !lends(name) && len(keeper.Held()) == 0 {
			delete(k.all, name)
		}
	}
}

// counts returns the numbers of permits held and of those that are idle, over all names.
func (k *keepers) counts() (held, idle int) {
	k.lock.Lock()
	all := slices.Collect(maps.Values(k.all))
	k.lock.Unlock()
	for _, keeper := range all {
		for _, n := range keeper.Held() {
			held += n
		}
		idle += keeper.Idle()
	}
	return held, idle
}

// claims holds the instances that have asked for accounts, by what they lend: they have the right to, and are known
// sooner by their questions than by the ownership rows. It is safe for concurrent use.
type claims struct {
	lock sync.Mutex // guards all
	all  map[string]claim
}

// claim is the claim of an instance to lend.
type claim struct {
	peer  netip.AddrPort
	fence uint64
	// failed is set while the instance does not answer calls.
	failed bool
}

// add records the claim of an instance that has asked for an account.
func (c *claims) add(name string, peer netip.AddrPort, fence uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if known, ok := c.all[name]; ok && known.fence > fence {
		return
	}
	if c.all == nil {
		c.all = make(map[string]claim)
	}
	c.all[name] = claim{peer: peer, fence: fence}
}

func (c *claims) get(name string) (claim, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	known, ok := c.all[name]
	return known, ok
}

// setFailed records whether an instance that claims to lend a name answers.
func (c *claims) setFailed(name string, peer netip.AddrPort, failed bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if known, ok := c.all[name]; ok && known.peer == peer {
		known.failed = failed
		c.all[name] = known
	}
}

// keeper returns the Keeper of a service or engine.
func (a *admission) keeper(name string) *snipeadmission.Keeper {
	return a.keepers.get(name, func() *snipeadmission.Keeper {
		return &snipeadmission.Keeper{
			Call: func(r snipeadmission.Request) (snipeadmission.Permit, time.Duration, error) {
				return a.callStrict(name, r)
			},
			Return: func(p snipeadmission.Permit, r snipeadmission.Result) {
				if to, ok := a.strictCoordinator(name); ok {
					// A Coordinator calls Keepers while it holds its lock, and this is called with that of the Keeper.
					go a.release(heldPermit{to, name, p.ID, p.Upstream}, r)
				}
			},
		}
	})
}

// acquireStrict returns a permit for a request to a brittle service: one that this instance holds, or one from the
// instance that has the right to lend.
func (a *admission) acquireStrict(ctx context.Context, name string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	if joined := a.View().JoinedAt; joined.IsZero() || time.Since(joined) < joinTime {
		return nil, denied("", &snipeadmission.RefusedError{Reason: snipeadmission.ReasonNoCoordinator, RetryAfter: joinTime})
	}
	k := a.keeper(name)
	p, err := k.Acquire(ctx, r)
	coordinator := ""
	if to, ok := a.strictCoordinator(name); ok {
		coordinator = a.name(to)
	}
	if err != nil {
		return nil, denied(coordinator, err)
	}
	return &snipegateway.Permit{
		Upstream: p.Upstream, Coordinator: coordinator, Strict: true,
		Release: func(r snipeadmission.Result) { k.Release(p.ID, r) },
	}, nil
}

// strictCoordinator returns the instance that may lend a service or an engine strictly: its owner, as far as it is
// known, or the one that takes over if the owner has ended.
func (a *admission) strictCoordinator(name string) (netip.AddrPort, bool) {
	known, claimed := a.claims.get(name)
	if claimed && !known.failed {
		return known.peer, true
	}
	key := a.strictKey(name)
	owner, ok := a.View().Owners[key]
	if !ok {
		return known.peer, claimed
	}
	if !owner.Self && a.Ended(owner.Instance) {
		return a.Successor(key, owner.Instance.Peer)
	}
	return owner.Instance.Peer, true
}

// callStrict asks the coordinator for a strict permit, once.
func (a *admission) callStrict(name string, r snipeadmission.Request) (snipeadmission.Permit, time.Duration, error) {
	to, ok := a.strictCoordinator(name)
	if !ok {
		a.noteStrictLost(name, netip.AddrPort{}, errNoCoordinator)
		return snipeadmission.Permit{}, 0, errNoCoordinator
	}
	var p snipeadmission.Permit
	var took time.Duration
	var err error
	if to == a.Self {
		p, err = a.Lender.acquire(context.Background(), name, r)
	} else {
		p, took, err = a.callAcquire(context.Background(), to, name, r, strictCallTimeout)
	}
	switch {
	case err == nil, errors.Is(err, snipeadmission.ErrRefused), errors.Is(err, snipeadmission.ErrStillWaiting):
		a.claims.setFailed(name, to, false)
		a.noteAnswer(name, to)
	default:
		a.noteStrictLost(name, to, err)
	}
	return p, took, err
}

// noteStrictLost records that an instance has not lent although it should, and has the ownership rows read again.
func (a *admission) noteStrictLost(name string, to netip.AddrPort, err error) {
	a.claims.setFailed(name, to, true)
	a.CallFailed(to, err)
	a.RequestRead()
	a.lock.Lock()
	s := a.service(name)
	begins := !s.pacing
	if begins {
		s.pacing, s.pacingSince, s.pacedRequests = true, time.Now(), 0
	}
	s.pacedRequests++
	a.lock.Unlock()
	if !begins {
		return
	}
	a.Meter.Count("snipepitch_admission_coordinators_lost_total")
	coordinator := ""
	if to.IsValid() {
		coordinator = a.name(to)
	}
	a.Log.Error(snipelog.CoordinatorLost, err, snipelog.Fields{serviceField: name, coordinatorField: coordinator})
}

// strictKey returns the address whose owner may lend a service or an engine strictly.
func (a *admission) strictKey(name string) netip.AddrPort {
	id, isEngine := strings.CutPrefix(name, enginePrefix)
	if !isEngine {
		return serviceKey(name)
	}
	if u := a.Engine(id); u != nil {
		return u.Address
	}
	return netip.AddrPort{}
}

// account answers the questions of a coordinator. Those that make no sense are answered as superseded.
func (a *admission) account(m *snipeproto.AdmissionAccountRequest, started time.Time) *snipeproto.AdmissionAccountResponse {
	from, err := netip.ParseAddrPort(m.GetInstance())
	answer := &snipeproto.AdmissionAccountResponse{Incarnation: a.Incarnation, UptimeMilliseconds: time.Since(started).Milliseconds()}
	outside := a.Outside()
	for _, q := range m.GetQuestions() {
		if err != nil || !validName(q.GetService()) || a.Brittle == nil {
			answer.Accounts = append(answer.Accounts, &snipeproto.AdmissionAccount{Superseded: true})
			continue
		}
		mergeBrittle(a.Brittle, q.GetBrittle(), nil)
		answer.Accounts = append(answer.Accounts, a.accountOf(q, from, outside))
	}
	return answer
}

// accountOf answers one question.
func (a *admission) accountOf(q *snipeproto.AdmissionQuestion, from netip.AddrPort, outside map[string]int) *snipeproto.AdmissionAccount {
	name := q.GetService()
	permits, ok := a.keeper(name).Answer(snipeadmission.Question{Fence: q.GetFence(), LastID: q.GetLastPermit(), Share: int(q.GetShare())})
	if !ok {
		return &snipeproto.AdmissionAccount{Superseded: true}
	}
	a.claims.add(name, from, q.GetFence())
	answer := &snipeproto.AdmissionAccount{Demand: a.keeper(name).Demand()}
	for _, p := range permits {
		answer.Permits = append(answer.Permits, &snipeproto.AdmissionHeldPermit{
			Permit: p.ID, Upstream: p.Upstream, LeftMilliseconds: max(boundedMilliseconds(p.Left), 0),
		})
	}
	for _, u := range a.Upstreams(name) {
		if n := outside[u.ID]; n > 0 {
			answer.Outside = append(answer.Outside, &snipeproto.AdmissionCount{Upstream: u.ID, Requests: boundedFigure(n)})
		}
	}
	return answer
}
