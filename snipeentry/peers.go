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

// peerServer serves the requests of other instances: to load adapters, to record the use of
// engines, to return the loads of engines, and to merge the signals of upstreams.
type peerServer struct {
	controller *snipeadapter.Controller
	ensure     func(ctx context.Context, engine string, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error)
	// replicas returns the engines, other than the given one, that have recently loaded an adapter
	// at this instance's request.
	replicas func(a snipecatalog.Adapter, engine string) []snipegateway.Replica
	board    *snipebalance.Board
	balancer *snipebalance.Balancer
	signals  *snipesignal.Tracker
	brittle  *snipesignal.BrittleTracker
	// ignoredWork is called for each message whose work is ignored; nil means that none is counted.
	ignoredWork func()

	lock sync.Mutex // guards reportedEvictions
	// reportedEvictions holds the number of the last eviction that was reported to each instance.
	reportedEvictions map[string]uint64
}

// newEvictions returns the recent evictions that have not been reported to an instance yet, and
// marks them as reported. Evictions in an answer that is lost are not reported again: the registry
// entries of the engines show them a second later.
func (s *peerServer) newEvictions(instance string) []snipeadapter.Eviction {
	s.lock.Lock()
	defer s.lock.Unlock()
	recent, last := s.controller.Evictions(s.reportedEvictions[instance])
	if s.reportedEvictions == nil {
		s.reportedEvictions = make(map[string]uint64)
	}
	s.reportedEvictions[instance] = last
	return recent
}

// Ensure implements snipeproto.Adapter. It waits until an engine that this instance owns holds an
// adapter. An answer with Busy set means that the load is not expected to complete in time. The
// error code FailedPrecondition means that this instance must not order the engine, and Aborted
// that the engine accepts no connection.
func (s *peerServer) Ensure(ctx context.Context, r *snipeproto.AdapterEnsureRequest) (*snipeproto.AdapterEnsureResponse, error) {
	a := snipecatalog.Adapter{Model: r.GetModel(), Name: r.GetAdapter()}
	version, err := s.ensure(ctx, r.GetEngine(), a, r.GetVersion(), decodeDemand(r))
	var busy *snipeadapter.BusyError
	switch {
	case errors.As(err, &busy):
		return encodeBusy(busy), nil
	case errors.Is(err, snipeadapter.ErrNotOwner):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	case errors.Is(err, snipeadapter.ErrUnreached):
		return nil, twirp.NewError(twirp.Aborted, err.Error())
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &snipeproto.AdapterEnsureResponse{Version: version}, nil
}

// Report implements snipeproto.Adapter. It records an instance's use of engines, and returns the
// loads of all engines for which there are reports, the evictions that were not reported to that
// instance before, and for the reported engines what recordUse adds.
func (s *peerServer) Report(_ context.Context, r *snipeproto.AdapterReportRequest) (*snipeproto.AdapterReportResponse, error) {
	answer := &snipeproto.AdapterReportResponse{}
	for _, e := range r.GetEngines() {
		s.recordUse(r.GetInstance(), e, answer)
	}
	for _, v := range s.newEvictions(r.GetInstance()) {
		answer.Evicted = append(answer.Evicted, encodeAdapter(v.Engine, v.Adapter))
	}
	for engine, t := range s.board.Totals() {
		answer.Loads = append(answer.Loads, encodeLoad(engine, t.Load, t.Work))
	}
	return answer, nil
}

// recordUse records how an instance uses an engine, in place of the instance's previous report, and
// adds to the answer which of the used adapters the engine neither holds nor loads, and which other
// engines have loaded the used adapters.
func (s *peerServer) recordUse(instance string, e *snipeproto.EngineUse, answer *snipeproto.AdapterReportResponse) {
	engine, uses := e.GetEngine(), decodeUse(e)
	load, w := decodeWork(e, s.ignoredWork)
	s.board.ReportWork(engine, instance, load, w)
	for _, a := range s.controller.RecordUse(engine, instance, uses) {
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

// peers holds the clients of other instances, and which of these instances recently answered.
type peers struct {
	adapters clients[snipeproto.Adapter]
	mirrors  clients[snipeproto.Mirror]
	owners   clients[snipeproto.Ownership]
	quotas   clients[snipeproto.Quota]
	permits  clients[snipeproto.Admission]
	crashes  clients[snipeproto.Crash]
	streams  clients[snipeproto.Stream]

	lock sync.Mutex // guards the fields below
	// answeredAt is when each owner last answered a report, or was last sent an empty report
	// because it had not answered for the longest time.
	answeredAt map[netip.AddrPort]time.Time
	// unreachable holds the instances that did not answer the last report of use.
	unreachable map[netip.AddrPort]bool
	// orderDenied holds the engines whose owners have answered that they have no right to order
	// them, and until when these engines are avoided.
	orderDenied map[netip.AddrPort]time.Time
	// loadsFailures is the rank of the instance of this failure domain to ask next for the engines'
	// loads (the work in flight at each engine, see loads.go). It is increased when the request to
	// the instance of that rank fails, and may exceed the number of the domain's instances. It is 0
	// again loadsRetryPause after the last failure; an answer does not change it. loadsFailedAt is
	// the time of the last failure. firstLoadsReaderLost is set from the first failure until the
	// instance of rank 0 answers.
	loadsFailures        int
	loadsFailedAt        time.Time
	firstLoadsReaderLost bool
	// pendingRequests holds the requests to load adapters in progress, by the address of the owner.
	pendingRequests map[netip.AddrPort]map[*pendingRequest]bool
}

// noteReachability records whether an instance answered a report, and returns true if the instance
// answered the previous one (or there was none) and not this one, or the reverse. Callers log only
// such changes, because reports are frequent. When an instance becomes unreachable,
// noteReachability also cancels the pending requests to it.
func (p *peers) noteReachability(to netip.AddrPort, ok bool) (changed bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.unreachable[to] == !ok {
		return false
	}
	if p.unreachable == nil {
		p.unreachable = make(map[netip.AddrPort]bool)
	}
	delete(p.unreachable, to)
	if ok {
		return true
	}
	p.unreachable[to] = true
	for q := range p.pendingRequests[to] {
		q.cancel(errOwnerUnresponsive)
	}
	return true
}

// orderDeniedPause is how long no loads are requested on an engine after its owner had no right to
// order it. After that time, another instance usually owns the engine, or its owner has regained
// the right.
const orderDeniedPause = 500 * time.Millisecond

// noteOrderDenied records that an engine's owner has no right to order it now. ownerMayOrder
// returns false for the engine for orderDeniedPause from now.
func (p *peers) noteOrderDenied(engine netip.AddrPort) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.orderDenied == nil {
		p.orderDenied = make(map[netip.AddrPort]time.Time)
	}
	now := time.Now()
	maps.DeleteFunc(p.orderDenied, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	p.orderDenied[engine] = now.Add(orderDeniedPause)
}

// ownerMayOrder reports whether no owner of an engine has denied a request for lack of the right to
// order the engine within the last orderDeniedPause.
func (p *peers) ownerMayOrder(engine netip.AddrPort) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return !time.Now().Before(p.orderDenied[engine])
}

// noteAnswer sets the time of an owner's last answer to now. addStalestOwner calls it also when it
// sends an empty report, to give the owner time to answer.
func (p *peers) noteAnswer(owner netip.AddrPort) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.answeredAt == nil {
		p.answeredAt = make(map[netip.AddrPort]time.Time)
	}
	p.answeredAt[owner] = time.Now()
}

// lastAnswer returns the time that noteAnswer last set for an owner, or zero.
func (p *peers) lastAnswer(owner netip.AddrPort) time.Time {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.answeredAt[owner]
}

// clients holds the clients of one service, by the address of the instance that serves it.
type clients[C any] struct {
	// Make creates a client of the service at a URL.
	Make func(url string, http snipeproto.HTTPClient, options ...twirp.ClientOption) C
	HTTP *http.Client

	lock sync.Mutex // guards all
	all  map[netip.AddrPort]C
}

// client returns the client of an instance, and creates it on the first call. Clients are kept
// until the process ends.
func (c *clients[C]) client(address netip.AddrPort) C {
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

// ensure waits until an engine holds an adapter in at least the given version, by a request to the
// engine's owner, and returns the version that the engine holds. It returns a BusyError if the load
// is not expected to complete within d.MaxWait, an error that wraps ErrNotOwner if no owner is known,
// one that wraps ErrUnreached if the engine accepts no connection, and errOwnerUnresponsive,
// wrapped, if the owner becomes unreachable during the wait.
func (i *Instance) ensure(ctx context.Context, u *snipedirectory.Upstream, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error) {
	owner, ok := i.holder.View().Owners[u.Address]
	if !ok {
		return 0, errors.Wrap(snipeadapter.ErrNotOwner, u.ID)
	}
	if owner.Self {
		return i.ensureOwn(ctx, u.ID, a, version, d)
	}
	ctx, cancel := i.peers.trackRequest(ctx, owner.Instance.Peer)
	defer cancel()
	request := &snipeproto.AdapterEnsureRequest{Engine: u.ID, Model: a.Model, Adapter: a.Name, Version: version}
	encodeDemand(request, d)
	answer, err := i.peers.adapters.client(owner.Instance.Peer).Ensure(ctx, request)
	var failure twirp.Error
	if errors.As(err, &failure) {
		switch failure.Code() {
		case twirp.Aborted:
			return 0, i.unreachedByOwner(u, owner.Instance.Name, failure.Msg())
		case twirp.FailedPrecondition:
			i.peers.noteOrderDenied(u.Address)
		}
	}
	if err != nil && errors.Is(context.Cause(ctx), errOwnerUnresponsive) {
		err = errOwnerUnresponsive
	}
	if err != nil {
		return 0, errors.Wrapf(err, "owner %s", owner.Instance.Name)
	}
	if answer.GetBusy() {
		return 0, decodeBusy(answer)
	}
	return answer.GetVersion(), nil
}

// ownAnswerTime is how long an answer of an engine to this instance goes before what its owner says.
const ownAnswerTime = time.Second

// unreachedByOwner returns the error for an engine that its owner cannot connect to. Where the engine has just
// answered this instance, the owner is cut off, and cannot order it.
func (i *Instance) unreachedByOwner(u *snipedirectory.Upstream, owner, reason string) error {
	if !i.balancer.AnsweredWithin(u.ID, ownAnswerTime) {
		return errors.Wrapf(snipeadapter.ErrUnreached, "owner %s: %s", owner, reason)
	}
	i.peers.noteOrderDenied(u.Address)
	return errors.Wrapf(snipeadapter.ErrNotOwner, "owner %s is cut off: %s", owner, reason)
}

// ensureOwn waits until an engine that this instance owns holds an adapter. It fails at once while this
// instance reaches no engine of the service and can therefore order none.
func (i *Instance) ensureOwn(ctx context.Context, engine string, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error) {
	if u := i.directory.Snapshot().ByID(engine); u != nil && i.reach.Unreachable(u.Service) {
		return 0, errors.Wrap(snipeadapter.ErrNotOwner, "the owner reaches no engine of the service")
	}
	return i.controller.Ensure(ctx, engine, a, version, d)
}

// ensureForPeer does the same for another instance. An instance that asks reaches the engine's service: it
// would pass its request on otherwise.
func (i *Instance) ensureForPeer(ctx context.Context, engine string, a snipecatalog.Adapter, version int64, d snipeadapter.Demand) (int64, error) {
	if u := i.directory.Snapshot().ByID(engine); u != nil {
		i.detachment.noteReached(u.Service)
	}
	return i.ensureOwn(ctx, engine, a, version, d)
}

// spreadAdapters has more engines load the adapters that are heavily used on the engines that this
// instance owns and may order. It does not wait for the loads.
func (i *Instance) spreadAdapters() {
	directory := i.directory.Snapshot()
	for _, id := range i.controller.Engines() {
		u := directory.ByID(id)
		if u == nil {
			continue
		}
		if _, ok := i.holder.Fence(u.Address); ok {
			i.gateway.Chooser.AddReplicas(u, i.controller.UseRates(id, snipegateway.ReplicaRate))
		}
	}
}
