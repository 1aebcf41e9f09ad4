package snipeentry

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// One instance, the coordinator of a service, lends the slots of the service's upstreams to all
// instances (see snipeadmission). Instances derive the coordinator from their own view of the live
// instances. If views differ, two instances lend at the same time, and the load headers of the
// upstreams show each of them what the other one lends.

const (
	// permitWait is the longest wait of one call for a permit. A request that waits longer calls
	// again and keeps its place by its time of arrival, so that it follows a change of coordinator
	// and notices the loss of one within this time.
	permitWait = 250 * time.Millisecond
	// permitTimeout bounds one call for a permit: permitWait, and time for the message on a busy
	// machine. A coordinator that does not answer in this time counts as lost.
	permitTimeout = permitWait + 100*time.Millisecond
	// lostPause is how long a coordinator that did not answer is not asked.
	lostPause = 3 * time.Second
	// maxLostCalls is the number of lost calls, and of lost coordinators, after which an instance
	// paces its requests on its own: two lost coordinators in a row show that this instance is cut
	// off more often than that both have failed.
	maxLostCalls = 2
	// maxDeclinedCalls bounds the calls of one request to instances that decline to coordinate.
	maxDeclinedCalls = 4
	// coordinatorPower is the share of the highest Power that a coordinator needs.
	coordinatorPower = 0.5
)

// callMetric is the histogram of the time that calls for permits of other instances take, by priority (class).
const callMetric = "snipepitch_admission_call_seconds"

// Log fields of shared admission.
const (
	serviceField     = "Service"
	coordinatorField = "Coordinator"
)

// errNotCoordinating is returned by a call for a permit to an instance that is stopping or does not
// know the service.
var errNotCoordinating = errors.New("the instance does not coordinate")

// admission acquires permits for the requests of this instance. Exported fields are set before the
// first call. It is safe for concurrent use.
type admission struct {
	// Self is the address of this instance for other instances, Share is Settings.AdmissionShare.
	Self  netip.AddrPort
	Share float64
	// Plain reports whether a service is declared as one that runs no models, and Paced whether its
	// upstreams state a pace. Upstreams returns the upstreams of a service, and View the live
	// instances.
	Plain     func(service string) bool
	Paced     func(service string) bool
	Upstreams func(service string) []*snipedirectory.Upstream
	View      func() *snipeowner.View
	// Brittle tracks the brittle services, which need permits without a pace and whatever the Share; nil for
	// none. Engine returns an upstream by its identifier, nil if it is not registered, and Outside the numbers
	// of this instance's requests in flight without a strict permit, by upstream.
	Brittle *snipesignal.BrittleTracker
	Engine  func(id string) *snipedirectory.Upstream
	Outside func() map[string]int
	// Incarnation identifies the start of this process. RequestRead has the ownership rows read again soon.
	Incarnation string
	RequestRead func()
	// CallFailed is called when a call for a strict permit has failed. Ended reports whether a start of an instance is
	// known to have ended, and Successor returns the instance that then takes an address over.
	CallFailed func(peer netip.AddrPort, err error)
	Ended      func(i snipeowner.Instance) bool
	Successor  func(address, ended netip.AddrPort) (netip.AddrPort, bool)
	// Lender grants the permits of the services that this instance coordinates. Client returns the
	// client of another instance.
	Lender *lender
	Client func(netip.AddrPort) snipeproto.Admission
	Log    *snipelog.Logger
	Meter  *snipemeter.Meter

	permits permits
	full    fullEngines
	keepers keepers
	claims  claims

	lock sync.Mutex // guards the fields below
	// lost holds the coordinators that did not answer, or declined.
	lost map[netip.AddrPort]lostCoordinator
	// services holds what is known of each service with shared admission.
	services map[string]*admittedService
}

// admittedService is the state of a service on this instance.
type admittedService struct {
	// coordinator is the instance that answered the last call.
	coordinator netip.AddrPort
	// pacing is set from the first paced request, at pacingSince, until a coordinator answers. pacedRequests counts
	// the requests meanwhile.
	pacing        bool
	pacingSince   time.Time
	pacedRequests int
	pacer         *snipeadmission.Pacer
}

// applies reports whether requests to a service need permits: it is a plain service that is brittle, or one with fewer than
// Share slots for each live instance, whose upstreams state their pace. Upstreams that are leaving do
// not count. Without a pace, a coordinator would know too late which upstream is slow now.
func (a *admission) applies(service string) bool {
	if a.brittle(service) && validName(service) && a.Plain(service) {
		return true
	}
	if a.Share <= 0 || !validName(service) || !a.Plain(service) || !a.Paced(service) {
		return false
	}
	limit, slots := a.Share*float64(len(a.View().Live)), 0
	for _, u := range a.Upstreams(service) {
		if !u.Leaving {
			slots += max(u.Slots, 1)
		}
		if float64(slots) >= limit {
			return false
		}
	}
	return slots > 0
}

// acquire returns a permit for a request: a strict one if the service is brittle.
func (a *admission) acquire(ctx context.Context, service string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	r.Instance = a.Self.String()
	if !a.brittle(service) {
		return a.acquireShared(ctx, service, r)
	}
	permit, err := a.acquireStrict(ctx, service, r)
	if err == nil || a.brittle(service) || ctx.Err() != nil {
		return permit, err
	}
	// The upstreams have ceased to be brittle meanwhile.
	return a.acquireShared(ctx, service, r)
}

// acquireShared returns a permit for a request: from the coordinator of the service, or from the next
// instance by hash if that does not answer. After maxLostCalls lost calls, or while as many
// coordinators are lost, this instance paces its requests on its own.
func (a *admission) acquireShared(ctx context.Context, service string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	begun, lost, declined := time.Now(), 0, 0
	for ctx.Err() == nil && lost < maxLostCalls && declined < maxDeclinedCalls {
		to, ok := a.coordinator(service)
		if !ok {
			break
		}
		permit, err := a.ask(ctx, to, service, r)
		switch {
		case ctx.Err() != nil:
			releaseUnused(permit)
		case err == nil, errors.Is(err, snipeadmission.ErrRefused):
			return permit, denied(a.name(to), err)
		case errors.Is(err, snipeadmission.ErrStillWaiting):
			// The upstreams were avoided for the time in which their queues empty.
			r.Arrived, r.Excluded = arrivedBy(r, begun), nil
		case errors.Is(err, errNotCoordinating):
			declined++
		default:
			r.Arrived = arrivedBy(r, begun)
			lost++
		}
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return a.pace(ctx, service, r)
}

// releaseUnused gives back a permit of a request that is not sent; p may be nil.
func releaseUnused(p *snipegateway.Permit) {
	if p != nil {
		p.Release(snipeadmission.Result{Outcome: snipeadmission.OutcomeUnused})
	}
}

// arrivedBy returns when a request arrived: the time that it states, or else t.
func arrivedBy(r snipeadmission.Request, t time.Time) time.Time {
	if r.Arrived.IsZero() {
		return t
	}
	return r.Arrived
}

// denied returns a refusal with the instance that refused, and any other error as it is.
func denied(coordinator string, err error) error {
	var refused *snipeadmission.RefusedError
	if errors.As(err, &refused) {
		return &snipegateway.DeniedError{Coordinator: coordinator, Refusal: refused}
	}
	return err
}

// pace waits until this instance may send a request on its own.
func (a *admission) pace(ctx context.Context, service string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	pacer := a.notePacing(service)
	upstream, err := pacer.Acquire(ctx, r)
	if err != nil {
		return nil, denied("", err)
	}
	return &snipegateway.Permit{
		Upstream: upstream, Release: func(r snipeadmission.Result) { pacer.Release(upstream, r) },
	}, nil
}

// service returns the state of a service, and creates it on the first call. The lock is held.
func (a *admission) service(name string) *admittedService {
	if s := a.services[name]; s != nil {
		return s
	}
	if a.services == nil {
		a.services = make(map[string]*admittedService)
	}
	s := &admittedService{}
	lines := &decisionLog{Service: name, Log: a.Log, Meter: a.Meter}
	s.pacer = &snipeadmission.Pacer{
		OnDecision: lines.record,
		Upstreams:  func() []snipeadmission.Upstream { return lendable(a.Upstreams(name)) },
		Instances:  func() int { return max(len(a.View().Live), minSharingInstances) },
	}
	a.services[name] = s
	return s
}

// lendable returns the upstreams that are not leaving.
func lendable(all []*snipedirectory.Upstream) []snipeadmission.Upstream {
	usable := make([]snipeadmission.Upstream, 0, len(all))
	for _, u := range all {
		if !u.Leaving {
			usable = append(usable, snipeadmission.Upstream{ID: u.ID, Slots: max(u.Slots, 1)})
		}
	}
	return usable
}

// notePacing records that a request to a service is paced, and returns the pacer.
func (a *admission) notePacing(service string) *snipeadmission.Pacer {
	a.Meter.Count("snipepitch_admission_paced_total")
	a.lock.Lock()
	s := a.service(service)
	begins := !s.pacing
	if begins {
		s.pacingSince, s.pacedRequests = time.Now(), 0
	}
	s.pacing = true
	s.pacedRequests++
	a.lock.Unlock()
	if begins {
		a.Log.Log(snipelog.PacingBegun, snipelog.Fields{serviceField: service, "Instances": len(a.View().Live)})
	}
	return s.pacer
}

// forget drops the state of services that are no longer declared, and of lost coordinators that are
// no longer live.
func (a *admission) forget() {
	a.full.sweep()
	live := a.View().Live
	a.lock.Lock()
	defer a.lock.Unlock()
	for name := range a.services {
		if !a.Lender.lends(name) {
			delete(a.services, name)
		}
	}
	for peer := range a.lost {
		if _, ok := live[peer]; !ok {
			delete(a.lost, peer)
		}
	}
}

// buildAdmission creates the lender, which coordinates services for all instances, and the account
// of this instance's own permits.
func (i *Instance) buildAdmission() {
	i.lender = &lender{
		Plain: i.plain, Upstreams: i.admittedUpstreams, Stopping: i.stopState.stopping, Log: i.Log, Meter: i.meter, Brittle: i.brittle,
		Right: i.holder.Right, Members: i.permitMembers, CheckOwner: i.checkOwner, Linger: i.lingerTime,
	}
	i.admission = &admission{
		Self: i.Settings.Peers, Share: i.Settings.AdmissionShare, Plain: i.plain, Paced: i.balancer.Paced, Upstreams: i.admittedUpstreams,
		View: i.holder.View, Lender: i.lender, Client: i.peers.permits.client, Log: i.Log, Meter: i.meter,
		Brittle: i.brittle, Outside: i.outsideRequests, Incarnation: i.Incarnation, RequestRead: i.holder.RequestRead,
		CallFailed: i.noteCallFailed, Ended: i.ended.has, Successor: i.holder.Successor,
		Engine: func(id string) *snipedirectory.Upstream { return i.directory.Snapshot().ByID(id) },
	}
	i.meter.Gauge("snipepitch_admission_permits_out", func() float64 { out, _ := i.lender.stats(); return float64(out) })
	i.meter.Gauge("snipepitch_admission_permits_held", func() float64 { held, _ := i.admission.keepers.counts(); return float64(held) })
	i.meter.Gauge("snipepitch_admission_permits_idle", func() float64 { _, idle := i.admission.keepers.counts(); return float64(idle) })
	i.meter.Gauge("snipepitch_admission_waiting", func() float64 { _, waiting := i.lender.stats(); return float64(waiting) })
}

// gatewayAdmission returns the functions by which the gateway acquires permits.
func (i *Instance) gatewayAdmission() snipegateway.Admission {
	return snipegateway.Admission{
		Applies: i.admission.applies, Acquire: i.admission.acquire, AcquireEngine: i.admission.acquireEngine, EngineFull: i.admission.full.has,
	}
}

// plain reports whether the current catalog declares a service as one that runs no models.
func (i *Instance) plain(service string) bool {
	c := i.catalog.Catalog()
	return c != nil && c.Services[service] != nil && c.Services[service].Engine == nil
}

// declared reports whether the current catalog declares a service, or whether there is no catalog yet.
func (i *Instance) declared(service string) bool {
	c := i.catalog.Catalog()
	return c == nil || c.Services[service] != nil
}

// serviceUpstreams returns the known upstreams of a service.
func (i *Instance) serviceUpstreams(service string) []*snipedirectory.Upstream {
	return i.directory.Snapshot().Service(service)
}

// upstreamOpen reports whether an upstream accepts requests now, by its own signals and by the permits that are
// out for it.
func (i *Instance) upstreamOpen(id string) bool {
	return i.signals.Open(id) && !i.admission.full.has(id)
}

// admittedUpstreams returns the upstreams whose slots are lent under a name: those of a service, or one engine.
func (i *Instance) admittedUpstreams(name string) []*snipedirectory.Upstream {
	id, isEngine := strings.CutPrefix(name, enginePrefix)
	if !isEngine {
		return i.serviceUpstreams(name)
	}
	if u := i.directory.Snapshot().ByID(id); u != nil {
		return []*snipedirectory.Upstream{u}
	}
	return nil
}

// forgetAdmission drops what shared admission holds for services and instances that are gone.
func (i *Instance) forgetAdmission() {
	live := i.holder.View().Live
	i.admission.forget()
	i.lender.forget(live)
	i.admission.keepers.sweep(i.lender.lends)
}
