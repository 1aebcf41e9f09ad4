package snipeentry

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// peerServer serves other instances' questions to this instance's desk.
type peerServer struct {
	desk *snipeadapter.Desk
	// replicas returns where else an adapter of an engine is since a moment ago.
	replicas func(a snipecatalog.Adapter, engine string) []snipegateway.Replica
	board    *snipebalance.Board

	lock sync.Mutex // guards told
	// told is the last eviction that each instance was told of.
	told map[string]uint64
}

// news returns the evictions that an instance was not told of yet. Those in an answer
// that is lost are not told again: the registry shows them a second later.
func (s *peerServer) news(instance string) []snipeadapter.Eviction {
	s.lock.Lock()
	defer s.lock.Unlock()
	recent, last := s.desk.Evictions(s.told[instance])
	if s.told == nil {
		s.told = make(map[string]uint64)
	}
	s.told[instance] = last
	return recent
}

// Ensure implements snipeproto.Adapter.
func (s *peerServer) Ensure(ctx context.Context, r *snipeproto.AdapterEnsureRequest) (*snipeproto.AdapterEnsureResponse, error) {
	a := snipecatalog.Adapter{Model: r.GetModel(), Name: r.GetAdapter()}
	patience := time.Duration(r.GetPatienceMilliseconds()) * time.Millisecond
	version, err := s.desk.Ensure(ctx, r.GetEngine(), a, r.GetVersion(), patience)
	var busy *snipeadapter.BusyError
	switch {
	case errors.As(err, &busy):
		return &snipeproto.AdapterEnsureResponse{Busy: true, WaitMilliseconds: busy.Wait.Milliseconds()}, nil
	case errors.Is(err, snipeadapter.ErrNotOwner):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case errors.Is(err, snipeadapter.ErrUnreached):
		return nil, twirp.NewError(twirp.Aborted, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &snipeproto.AdapterEnsureResponse{Version: version}, nil
}

// Used implements snipeproto.Adapter.
func (s *peerServer) Used(_ context.Context, r *snipeproto.AdapterUsedRequest) (*snipeproto.AdapterUsedResponse, error) {
	if len(r.GetCounts()) != len(r.GetAdapters()) {
		return nil, twirp.InvalidArgumentError("counts", "is not as long as adapters")
	}
	uses := make(map[snipecatalog.Adapter]int, len(r.GetAdapters()))
	for n, name := range r.GetAdapters() {
		uses[snipecatalog.Adapter{Model: r.GetModel(), Name: name}] = int(r.GetCounts()[n])
	}
	s.board.Report(r.GetEngine(), r.GetInstance(), r.GetLoad())
	answer := &snipeproto.AdapterUsedResponse{}
	for _, v := range s.news(r.GetInstance()) {
		if v.Adapter.Model == r.GetModel() {
			answer.Evicted = append(answer.Evicted, &snipeproto.AdapterReplica{Engine: v.Engine, Adapter: v.Adapter.Name})
		}
	}
	for engine, load := range s.board.Loads() {
		answer.Loads = append(answer.Loads, &snipeproto.EngineLoad{Engine: engine, Load: load})
	}
	for _, a := range s.desk.Used(r.GetEngine(), uses) {
		answer.Gone = append(answer.Gone, a.Name)
	}
	for a := range uses {
		for _, other := range s.replicas(a, r.GetEngine()) {
			answer.Replicas = append(answer.Replicas, &snipeproto.AdapterReplica{
				Adapter: a.Name, Engine: other.Engine, Version: other.Version,
			})
		}
	}
	return answer, nil
}

// peers asks other instances' desks.
type peers struct {
	http *http.Client

	lock    sync.Mutex // guards the fields below
	clients map[netip.AddrPort]snipeproto.Adapter
	mirrors map[netip.AddrPort]snipeproto.Mirror
	// lost are the instances that the last report of use did not reach.
	lost map[netip.AddrPort]bool
}

// reached notes whether a report reached an instance, and tells whether that changed:
// reports are so frequent that each outage is logged once.
func (p *peers) reached(to netip.AddrPort, ok bool) (changed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.lost[to] == !ok {
		return false
	}
	if p.lost == nil {
		p.lost = make(map[netip.AddrPort]bool)
	}
	delete(p.lost, to)
	if !ok {
		p.lost[to] = true
	}
	return true
}

func (p *peers) mirror(address netip.AddrPort) snipeproto.Mirror {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.mirrors == nil {
		p.mirrors = make(map[netip.AddrPort]snipeproto.Mirror)
	}
	c := p.mirrors[address]
	if c == nil {
		c = snipeproto.NewMirrorProtobufClient("http://"+address.String(), p.http)
		p.mirrors[address] = c
	}
	return c
}

func (p *peers) client(address netip.AddrPort) snipeproto.Adapter {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.clients == nil {
		p.clients = make(map[netip.AddrPort]snipeproto.Adapter)
	}
	c := p.clients[address]
	if c == nil {
		c = snipeproto.NewAdapterProtobufClient("http://"+address.String(), p.http)
		p.clients[address] = c
	}
	return c
}

// ensure has an engine's owner load an adapter.
func (i *Instance) ensure(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, patience time.Duration) (int64, error) {
	owner, ok := i.holder.View().Owners[u.Address]
	if !ok {
		return 0, errors.Wrap(snipeadapter.ErrNotOwner, u.ID)
	}
	if owner.Self {
		return i.desk.Ensure(ctx, u.ID, a, version, patience)
	}
	answer, err := i.peers.client(owner.Instance.Peer).Ensure(ctx, &snipeproto.AdapterEnsureRequest{
		Engine: u.ID, Model: a.Model, Adapter: a.Name, Version: version,
		PatienceMilliseconds: patience.Milliseconds(),
	})
	var failure twirp.Error
	if errors.As(err, &failure) && failure.Code() == twirp.Aborted {
		return 0, errors.Wrapf(snipeadapter.ErrUnreached, "owner %s: %s", owner.Instance.Name, failure.Msg())
	}
	if err != nil {
		return 0, errors.Wrapf(err, "owner %s", owner.Instance.Name)
	}
	if answer.GetBusy() {
		return 0, &snipeadapter.BusyError{Wait: time.Duration(answer.GetWaitMilliseconds()) * time.Millisecond}
	}
	return answer.GetVersion(), nil
}

// reportUses tells engines' owners what was used, so that they evict what is not.
// A report that is lost is not repeated: the next one says nearly the same.
func (i *Instance) reportUses(ctx context.Context) {
	owners := i.holder.View().Owners
	for id, uses := range i.gateway.Chooser.TakeUses() {
		u := i.directory.Snapshot().ByID(id)
		if u == nil {
			continue
		}
		owner, ok := owners[u.Address]
		switch {
		case !ok:
		case owner.Self:
			i.board.Report(id, i.Settings.Peers.String(), i.balancer.Mine(id))
			for _, a := range i.desk.Used(id, uses) {
				i.residency.Deny(id, a)
			}
		default:
			go i.reportUse(ctx, owner.Instance.Peer, id, uses)
		}
	}
}

// reportTimeout bounds one report of use.
const reportTimeout = 500 * time.Millisecond

func (i *Instance) reportUse(ctx context.Context, to netip.AddrPort, id string, uses map[snipecatalog.Adapter]int) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	byModel := make(map[string]*snipeproto.AdapterUsedRequest)
	for a, n := range uses {
		r := byModel[a.Model]
		if r == nil {
			r = &snipeproto.AdapterUsedRequest{
				Engine: id, Model: a.Model, Instance: i.Settings.Peers.String(), Load: i.balancer.Mine(id),
			}
			byModel[a.Model] = r
		}
		r.Adapters = append(r.Adapters, a.Name)
		r.Counts = append(r.Counts, int64(n))
	}
	for _, r := range byModel {
		answer, err := i.peers.client(to).Used(ctx, r)
		changed := i.peers.reached(to, err == nil)
		switch {
		case err != nil && changed:
			i.Log.Error(snipelog.PeerUnreached, err, snipelog.Fields{"Peer": to})
		case changed:
			i.Log.Log(snipelog.PeerReached, snipelog.Fields{"Peer": to})
		}
		if err == nil {
			i.learn(r, answer)
		}
	}
}

// learn takes what an engine's owner knows of the adapters in a report of use.
func (i *Instance) learn(r *snipeproto.AdapterUsedRequest, answer *snipeproto.AdapterUsedResponse) {
	for _, name := range answer.GetGone() {
		i.residency.Deny(r.GetEngine(), snipecatalog.Adapter{Model: r.GetModel(), Name: name})
	}
	for _, v := range answer.GetEvicted() {
		i.residency.Deny(v.GetEngine(), snipecatalog.Adapter{Model: r.GetModel(), Name: v.GetAdapter()})
	}
	for _, l := range answer.GetLoads() {
		i.balancer.Told(l.GetEngine(), l.GetLoad())
	}
	for _, other := range answer.GetReplicas() {
		a := snipecatalog.Adapter{Model: r.GetModel(), Name: other.GetAdapter()}
		i.residency.Tell(other.GetEngine(), a, other.GetVersion())
	}
}

// tellOwn takes what others learn from this instance's answers: the loads of its own
// engines and what they no longer hold.
func (i *Instance) tellOwn() {
	recent, last := i.desk.Evictions(i.evicted)
	i.evicted = last
	for _, v := range recent {
		i.residency.Deny(v.Engine, v.Adapter)
	}
	for engine, load := range i.board.Loads() {
		i.balancer.Told(engine, load)
	}
}

// spread has more engines load what is used much on this instance's engines.
func (i *Instance) spread() {
	for _, u := range i.engines() {
		if _, ok := i.holder.Fence(u.Address); !ok {
			continue
		}
		i.gateway.Chooser.Spread(u, i.desk.Rates(u.ID, snipegateway.ReplicaRate))
	}
}
