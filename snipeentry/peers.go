package snipeentry

import (
	"context"
	"maps"
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
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// peerServer serves other instances' questions to this instance's desk.
type peerServer struct {
	desk *snipeadapter.Desk
	// replicas returns where else an adapter of an engine is since a moment ago.
	replicas func(a snipecatalog.Adapter, engine string) []snipegateway.Replica
	board    *snipebalance.Board
	balancer *snipebalance.Balancer
	signals  *snipesignal.Book

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

// Report implements snipeproto.Adapter.
func (s *peerServer) Report(_ context.Context, r *snipeproto.AdapterReportRequest) (*snipeproto.AdapterReportResponse, error) {
	answer := &snipeproto.AdapterReportResponse{}
	for _, e := range r.GetEngines() {
		s.take(r.GetInstance(), e, answer)
	}
	for _, v := range s.news(r.GetInstance()) {
		answer.Evicted = append(answer.Evicted, encodeAdapter(v.Engine, v.Adapter))
	}
	for engine, load := range s.board.Loads() {
		answer.Loads = append(answer.Loads, &snipeproto.EngineLoad{Engine: engine, Load: load})
	}
	return answer, nil
}

// take notes how an instance uses an engine, and adds to the answer what it should know of
// the adapters.
func (s *peerServer) take(instance string, e *snipeproto.EngineUse, answer *snipeproto.AdapterReportResponse) {
	engine, uses := e.GetEngine(), decodeUse(e)
	s.board.Report(engine, instance, e.GetLoad())
	for _, a := range s.desk.Used(engine, instance, uses) {
		answer.Gone = append(answer.Gone, encodeAdapter(engine, a))
	}
	for a := range uses {
		for _, other := range s.replicas(a, engine) {
			replica := encodeAdapter(other.Engine, a)
			replica.Version = other.Version
			answer.Replicas = append(answer.Replicas, replica)
		}
	}
}

// peers asks other instances.
type peers struct {
	adapters clients[snipeproto.Adapter]
	mirrors  clients[snipeproto.Mirror]
	owners   clients[snipeproto.Ownership]
	quotas   clients[snipeproto.Quota]

	lock sync.Mutex // guards the fields below
	// heard is when owners last answered, or were last asked.
	heard map[netip.AddrPort]time.Time
	// lost are the instances that the last report of use did not reach.
	lost map[netip.AddrPort]bool
	// noRight tells until when engines are not asked for, whose owners have said that they
	// have no right to order them now.
	noRight map[netip.AddrPort]time.Time
	// loadsTried is how many instances did not tell the loads of all engines of late,
	// loadsFailedAt when the last one did not, loadsLost whether the first is among them.
	loadsTried    int
	loadsFailedAt time.Time
	loadsLost     bool
	// questions are those under way, by the owner that is asked.
	questions map[netip.AddrPort]map[*question]bool
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
	if ok {
		return true
	}
	p.lost[to] = true
	for q := range p.questions[to] {
		q.cancel(errSilent)
	}
	return true
}

// noRightPause is how long an engine is left alone whose owner may not order it: somebody else
// owns it soon, or its owner may again.
const noRightPause = 500 * time.Millisecond

// noteNoRight notes that an engine's owner may not order it now.
func (p *peers) noteNoRight(engine netip.AddrPort) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.noRight == nil {
		p.noRight = make(map[netip.AddrPort]time.Time)
	}
	now := time.Now()
	maps.DeleteFunc(p.noRight, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	p.noRight[engine] = now.Add(noRightPause)
}

// hasRight reports whether an engine's owner may order it, as far as is known.
func (p *peers) hasRight(engine netip.AddrPort) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return !time.Now().Before(p.noRight[engine])
}

// hear notes that an owner has answered.
func (p *peers) hear(owner netip.AddrPort) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.heard == nil {
		p.heard = make(map[netip.AddrPort]time.Time)
	}
	p.heard[owner] = time.Now()
}

func (p *peers) heardAt(owner netip.AddrPort) time.Time {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.heard[owner]
}

// clients are those of one service, by the instances that serve it.
type clients[C any] struct {
	// Make makes the client of a service at a URL.
	Make func(url string, http snipeproto.HTTPClient, options ...twirp.ClientOption) C
	HTTP *http.Client

	lock sync.Mutex // guards all
	all  map[netip.AddrPort]C
}

// of returns the client of an instance.
func (c *clients[C]) of(address netip.AddrPort) C {
	c.lock.Lock()
	defer c.lock.Unlock()
	if found, ok := c.all[address]; ok {
		return found
	}
	if c.all == nil {
		c.all = make(map[netip.AddrPort]C)
	}
	made := c.Make("http://"+address.String(), c.HTTP)
	c.all[address] = made
	return made
}

// newPeers returns the clients of other instances, which share connections.
func newPeers(h *http.Client) *peers {
	return &peers{
		adapters: clients[snipeproto.Adapter]{Make: snipeproto.NewAdapterProtobufClient, HTTP: h},
		mirrors:  clients[snipeproto.Mirror]{Make: snipeproto.NewMirrorProtobufClient, HTTP: h},
		owners:   clients[snipeproto.Ownership]{Make: snipeproto.NewOwnershipProtobufClient, HTTP: h},
		quotas:   clients[snipeproto.Quota]{Make: snipeproto.NewQuotaProtobufClient, HTTP: h},
	}
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
	ctx, cancel := i.peers.ask(ctx, owner.Instance.Peer)
	defer cancel()
	answer, err := i.peers.adapters.of(owner.Instance.Peer).Ensure(ctx, &snipeproto.AdapterEnsureRequest{
		Engine: u.ID, Model: a.Model, Adapter: a.Name, Version: version,
		PatienceMilliseconds: patience.Milliseconds(),
	})
	var failure twirp.Error
	if errors.As(err, &failure) {
		switch failure.Code() {
		case twirp.Aborted:
			return 0, errors.Wrapf(snipeadapter.ErrUnreached, "owner %s: %s", owner.Instance.Name, failure.Msg())
		case twirp.FailedPrecondition:
			i.peers.noteNoRight(u.Address)
		}
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) {
		err = errSilent
	}
	if err != nil {
		return 0, errors.Wrapf(err, "owner %s", owner.Instance.Name)
	}
	if answer.GetBusy() {
		return 0, &snipeadapter.BusyError{Wait: time.Duration(answer.GetWaitMilliseconds()) * time.Millisecond}
	}
	return answer.GetVersion(), nil
}

// spread has more engines load what is used much on this instance's engines.
func (i *Instance) spread() {
	directory := i.directory.Snapshot()
	for _, id := range i.desk.Engines() {
		u := directory.ByID(id)
		if u == nil {
			continue
		}
		if _, ok := i.holder.Fence(u.Address); ok {
			i.gateway.Chooser.Spread(u, i.desk.Rates(id, snipegateway.ReplicaRate))
		}
	}
}
