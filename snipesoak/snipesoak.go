// Package snipesoak runs entry instances as processes on one machine, sends them requests,
// injects faults drawn from a seed, and checks the system's promises by what callers and
// upstreams observe.
//
// The store, the upstreams and the callers run in the soak's own process. Each instance
// has a link to the store that can be cut, and each upstream has one that all instances
// use. Faults overlap. When the last fault has ended, every instance must serve every
// kind of request again.
//
// The same seed draws the same faults; the state of the system in which they occur
// depends on the machine.
package snipesoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
)

// Breach describes a violation of one of the promises that the soak checks.
type Breach struct {
	Promise string
	Detail  string
}

// Soak is one run. Exported fields are set before Run.
type Soak struct {
	Seed uint64
	// Program is the path of the instance's executable; Folder takes settings and logs.
	Program string
	Folder  string
	// Length is how long new faults are begun.
	Length time.Duration
	// Instances is the number of processes. Run raises it to retryInstances for seeds that judge the
	// retries of failing upstreams.
	Instances int
	// Out takes a line for each fault and for each stall of the soak's own process.
	Out io.Writer
	// Streams is set by Run for seeds that judge software versions.
	Streams StreamCounts
	// Grants is set by Run for seeds whose operators add grants and take them away.
	Grants GrantCounts

	store       *snipestand.RowStore
	runners     []*snipestand.Runner
	faults      snipestand.RunnerFaults
	cutter      snipestand.Cutter
	links       map[string]netip.AddrPort
	instances   []*instance
	callerLoops sync.WaitGroup
	// targets are the instances that callers send requests to.
	targets atomic.Pointer[[]*instance]
	stalls  *stallMonitor
	version int

	lock     sync.Mutex // guards the fields below
	breaches []Breach
	outcomes map[string]outcome       // answered requests by identifier
	requests map[string]callerRequest // the requests of attempts, by the identifiers of these
	// resumed holds the times at which frozen instances were resumed, by their names.
	resumed map[string][]time.Time
	// senders holds the name of the instance that forwards a request to upstreams, by the
	// request's identifier. disturbances is keyed by the names of instances and upstreams.
	senders      map[string]string
	disturbances map[string][]disturbance
	// sentTimes holds the times at which requests were sent to instances that accepted the connection,
	// by the service of their route.
	sentTimes map[string][]time.Time
	// crashTexts are the texts in the bodies of the requests that crash upstreams.
	crashTexts []string
	// crashParts are the parts of prompts that crash engines, brittlePeriods the times in which upstreams were brittle;
	// the locks are held while those of a service are.
	crashParts                   []string
	brittlePeriods               []brittlePeriod
	brittlePlain, brittleEngines sync.Mutex
	// streams holds the attempts for streams of seeds that judge software versions.
	streams []streamAttempt
	// grants are what operators have added to the catalog, uses the attempts that use them.
	grants []*grant
	uses   []*use
	// unanswered are the requests that got no answer, though their callers had not left.
	unanswered []unanswered
	// answered counts the requests that were answered in full with status 200.
	answered int
}

const (
	host = "calls.example"
	// engineService and plainService are the services of the upstreams.
	engineService, plainService = "engines", "plain"
	// engineCount and plainUpstreams are the numbers of upstreams of the two services.
	engineCount, plainUpstreams = 3, 2
	// events is the number of events in a streamed answer.
	events = 6
	// adapters is the number of adapters that callers request, slots how many of them an
	// engine can hold. The difference keeps loads and evictions of adapters going on all the time.
	adapters, slots = 30, 5
	// recoveryTimeout bounds the time until every kind of request is served after the start
	// and after the last fault.
	recoveryTimeout = 40 * time.Second
	// heartbeatInterval is the time between two writes of an upstream's entry in the registry.
	heartbeatInterval = 500 * time.Millisecond
	// callerCount is the number of concurrent callers; each sends one request at a time.
	callerCount = 12
	// lateOrderDelay is how much later an engine executes an order under RunnerLateOrders. It is
	// long enough for the engine to have restarted in between.
	lateOrderDelay = 3 * time.Second
	// orderGap is the instances' OrderGap setting: the least time after which an instance may
	// again order an engine that another instance owned in between.
	orderGap = 3 * time.Second
	// maxBody bounds the bodies of requests in bytes.
	maxBody = 1 << 20
	// resumeGrace is how long after a process is resumed its orders are not audited, because
	// it may have checked its right to order before it was frozen.
	resumeGrace = 300 * time.Millisecond
)

// Run runs the soak. It returns the breaches and how many requests were answered in
// full with status 200. An error means that the soak could not be set up, or that not
// every instance served every kind of request before the first fault.
func (s *Soak) Run(ctx context.Context) ([]Breach, int, error) {
	s.outcomes, s.requests = map[string]outcome{}, map[string]callerRequest{}
	s.resumed, s.links = map[string][]time.Time{}, map[string]netip.AddrPort{}
	s.senders, s.disturbances, s.sentTimes = map[string]string{}, map[string][]disturbance{}, map[string][]time.Time{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.judgesRetries() {
		s.Instances = max(s.Instances, retryInstances)
	}
	s.stalls = &stallMonitor{Out: s.Out}
	go s.stalls.run(ctx)
	if err := s.setUp(ctx); err != nil {
		return nil, 0, err
	}
	defer s.killInstances()
	if err := s.awaitRecovery(ctx); err != nil {
		return nil, 0, errors.Wrap(err, "before the first fault")
	}
	s.targets.Store(&s.instances)
	calling, stop := context.WithCancel(ctx)
	for n := range s.callers() {
		s.callerLoops.Go(func() { s.runCaller(calling, n) })
	}
	if s.changesGrants() {
		s.callerLoops.Go(func() { s.changeGrants(calling) })
	}
	if s.asksInStops() {
		s.callerLoops.Go(func() { s.rewriteCatalog(calling) })
	}
	s.injectFaults(ctx)
	if err := s.awaitRecovery(ctx); err != nil {
		s.breach("served again after the last fault", "%v", err)
	}
	stop()
	s.callerLoops.Wait()
	s.audit()
	return s.breaches, s.answered, nil
}

func (s *Soak) breach(promise, format string, a ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.breaches = append(s.breaches, Breach{promise, fmt.Sprintf(format, a...)})
}

// setUp starts the store, the upstreams and the instances.
func (s *Soak) setUp(ctx context.Context) error {
	s.store = snipestand.NewRowStore()
	store, err := serve(ctx, s.store.Handler())
	if err != nil {
		return err
	}
	for n := range s.Instances {
		s.cutter.Links = append(s.cutter.Links, snipestand.Link{Listen: loopback, Target: store})
		s.instances = append(s.instances, &instance{soak: s, name: fmt.Sprint("one", n)})
	}
	for n := range s.engines() + plainUpstreams {
		r := &snipestand.Runner{
			ID: fmt.Sprint("e", n), Service: engineService, Model: "base", Slots: slots, Faults: &s.faults,
			LoadDuration: 60 * time.Millisecond, EventInterval: 5 * time.Millisecond, Events: events,
			LateOrderDelay: lateOrderDelay,
		}
		s.setSoftware(r, n)
		if n >= s.engines() {
			r.ID, r.Service, r.Model = fmt.Sprint("p", n), plainService, ""
			if s.sharesAdmission() {
				r.SetCapacity(plainSlots, plainQueue, plainTime)
			}
		}
		s.setRoom(r)
		s.setWork(r)
		address, err := serve(ctx, r.Handler())
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		s.cutter.Links = append(s.cutter.Links, snipestand.Link{Listen: loopback, Target: address})
	}
	if err := s.cutter.Listen(); err != nil {
		return err
	}
	for n, r := range s.runners {
		r.Address = s.cutter.Links[s.Instances+n].Listen.String()
	}
	go s.sendHeartbeats(ctx)
	if err := s.declare(); err != nil {
		return err
	}
	return s.start()
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start reserves ports for the instances and starts them.
func (s *Soak) start() error {
	if err := reservePorts(s.instances, drawPort); err != nil {
		return err
	}
	for n, i := range s.instances {
		i.store = s.cutter.Links[n].Listen
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) killInstances() {
	for _, i := range s.instances {
		i.kill()
	}
}

// serve serves a handler on a loopback port until ctx ends, and returns its address.
func serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ConnContext: snipestand.ConnContext}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return netip.ParseAddrPort(l.Addr().String())
}

// sendHeartbeats writes the upstreams' entries in the registry at intervals until ctx ends.
func (s *Soak) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, r := range s.runners {
			if err := r.SendHeartbeat(s.store); err != nil {
				s.breach("the soak itself", "entry: %v", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// declare writes the next version of the operators' catalog.
func (s *Soak) declare() error {
	s.version++
	route := declaredRoute
	d := snipestand.Declared{
		Version: s.version,
		Routes: []snipestand.DeclaredRoute{
			route("/once/", snipestand.RouteNonIdempotent, plainService, false), route("/often/", snipestand.RouteIdempotent, plainService, false),
			route("/draft/", snipestand.RouteStream, engineService, true), route("/final/", snipestand.RouteStream, engineService, false),
		},
		Services: []snipestand.DeclaredService{
			{Name: plainService},
			{Name: engineService, Engine: &snipestand.DeclaredEngine{
				AdapterSlots: slots, Models: []snipestand.DeclaredModel{{Name: "base"}},
			}},
		},
		Workspaces: []snipestand.DeclaredWorkspace{{Name: workspace, Keys: []string{key}}},
		Limits:     snipestand.DeclaredLimits{BodyBytes: maxBody},
	}
	s.declareGrants(&d)
	s.padCatalog(&d)
	return s.store.Declare(d)
}

func declaredRoute(prefix, kind, service string, resumable bool) snipestand.DeclaredRoute {
	return snipestand.DeclaredRoute{
		Name: prefix, Host: host, Prefix: prefix, Kind: kind, Service: service,
		Timeout: 5000, Target: 1000, MaxAttempts: 2, Resumable: resumable,
	}
}

// awaitRecovery waits until each instance serves each kind of request.
func (s *Soak) awaitRecovery(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	random := rand.New(rand.NewPCG(s.Seed, 0)) //nolint:gosec // the same calls for the same seed
	for _, i := range s.instances {
		for _, kind := range requestKinds {
			for !s.servesOne(ctx, i, kind, random) {
				if ctx.Err() != nil {
					return errors.Errorf("%s does not serve %s; %s", i.name, kind.prefix, s.stalls)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

// servesOne reports whether an instance serves a request.
func (s *Soak) servesOne(ctx context.Context, i *instance, k requestKind, r *rand.Rand) bool {
	q := callerRequest{id: newID(), kind: k}
	served, _ := s.sendAttempt(ctx, i, q, q.id, r, false)
	return served
}

// logPath returns the path of an instance's log.
func (s *Soak) logPath(name string) string { return filepath.Join(s.Folder, name+".log") }
