// Package snipesoak runs entry instances as processes on one machine under load and
// faults from a seed, and checks the promises by what callers and upstreams see.
//
// The store, the upstreams and the callers live in the soak's own process; each
// instance reaches the store, and all reach each upstream, through links that can be
// cut. Faults are drawn from the seed and overlap. When the last one has ended every
// instance must serve every kind of request again.
//
// The same seed draws the same faults; what they meet depends on the machine.
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
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipestand"
)

// Breach is a broken promise.
type Breach struct {
	Promise string
	Detail  string
}

// Soak is one run. Exported fields are set before Run.
type Soak struct {
	Seed uint64
	// Program is the instance's program, Folder takes settings and logs.
	Program string
	Folder  string
	// Length is the time in which faults begin.
	Length    time.Duration
	Instances int
	// Out takes a line for each fault.
	Out io.Writer

	store     *snipestand.RowStore
	runners   []*snipestand.Runner
	faults    snipestand.RunnerFaults
	cutter    snipestand.Cutter
	links     map[string]netip.AddrPort
	instances []*instance
	callers   sync.WaitGroup
	pulse     *pulse
	version   int

	lock     sync.Mutex // guards the fields below
	breaches []Breach
	calls    map[string]call // answered calls by identifier
	thawed   map[string][]time.Time
	// senders are the instances that were asked, by the requests' identifiers, disturbances what
	// was done to instances and upstreams, by their names.
	senders      map[string]string
	disturbances map[string][]disturbance
	answered     int
}

const (
	host = "calls.example"
	// engines and plains are how many upstreams there are of both kinds.
	engines, plains = 3, 2
	// events is how many events an answer has.
	events = 6
	// adapters is how many adapters are asked for, places how many an engine holds:
	// loads and evictions go on all the time.
	adapters, places = 30, 5
	// settle bounds the time until all is served again after the last fault.
	settle = 40 * time.Second
	// beatEvery is the time between two entries of an upstream in the registry.
	beatEvery = 500 * time.Millisecond
	// callers is how many callers send requests, one after another.
	callers = 12
	// lateOrder is how late an order is carried out that comes late: long enough for its
	// engine to have started again.
	lateOrder = 3 * time.Second
	// orderGap is the least time between two turns of an instance at an engine.
	orderGap = 3 * time.Second
	// maxBody bounds the bodies of requests in bytes.
	maxBody = 1 << 20
	// thawSlack is how long after a process goes on an order of it does not count: it
	// had passed its check before.
	thawSlack = 300 * time.Millisecond
)

// Run plays the soak and returns what was broken and how many requests were
// answered as they should.
func (s *Soak) Run(ctx context.Context) ([]Breach, int, error) {
	s.calls, s.thawed, s.links = map[string]call{}, map[string][]time.Time{}, map[string]netip.AddrPort{}
	s.senders, s.disturbances = map[string]string{}, map[string][]disturbance{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.pulse = &pulse{Out: s.Out}
	go s.pulse.run(ctx)
	if err := s.stage(ctx); err != nil {
		return nil, 0, err
	}
	defer s.end()
	if err := s.recover(ctx); err != nil {
		return nil, 0, errors.Wrap(err, "before the first fault")
	}
	calling, stop := context.WithCancel(ctx)
	for n := range callers {
		s.callers.Go(func() { s.caller(calling, n) })
	}
	s.play(ctx)
	if err := s.recover(ctx); err != nil {
		s.breach("served again after the last fault", "%v", err)
	}
	stop()
	s.callers.Wait()
	s.audit()
	return s.breaches, s.answered, nil
}

func (s *Soak) breach(promise, format string, a ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.breaches = append(s.breaches, Breach{promise, fmt.Sprintf(format, a...)})
}

// stage starts the store, the upstreams and the instances.
func (s *Soak) stage(ctx context.Context) error {
	s.store = snipestand.NewRowStore()
	store, err := serve(ctx, s.store.Handler())
	if err != nil {
		return err
	}
	for n := range s.Instances {
		s.cutter.Links = append(s.cutter.Links, snipestand.Link{Listen: loopback, Target: store})
		s.instances = append(s.instances, &instance{soak: s, name: fmt.Sprint("one", n)})
	}
	for n := range engines + plains {
		r := &snipestand.Runner{
			ID: fmt.Sprint("e", n), Service: "engines", Model: "base", Slots: places, Faults: &s.faults,
			Load: 60 * time.Millisecond, Event: 5 * time.Millisecond, Events: events,
			Late: lateOrder,
		}
		if n >= engines {
			r.ID, r.Service, r.Model = fmt.Sprint("p", n), "plain", ""
		}
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
	go s.beat(ctx)
	if err := s.declare(); err != nil {
		return err
	}
	return s.start()
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// start writes the instances' settings and starts them.
func (s *Soak) start() error {
	if err := reserve(s.instances, drawPort); err != nil {
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

func (s *Soak) end() {
	for _, i := range s.instances {
		i.kill()
	}
}

// serve serves a handler on loopback until ctx ends.
func serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return netip.ParseAddrPort(l.Addr().String())
}

// beat writes the upstreams' entries.
func (s *Soak) beat(ctx context.Context) {
	for ctx.Err() == nil {
		for _, r := range s.runners {
			if err := r.Beat(s.store); err != nil {
				s.breach("the soak itself", "entry: %v", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// declare writes the next version of the operators' catalog.
func (s *Soak) declare() error {
	s.version++
	route := func(prefix, kind, service string, resumable bool) snipestand.DeclaredRoute {
		return snipestand.DeclaredRoute{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Service: service,
			Timeout: 5000, Target: 1000, MaxAttempts: 2, Resumable: resumable,
		}
	}
	return s.store.Declare(snipestand.Declared{
		Version: s.version,
		Routes: []snipestand.DeclaredRoute{
			route("/once/", snipestand.RouteOnce, "plain", false), route("/often/", snipestand.RouteOften, "plain", false),
			route("/draft/", snipestand.RouteStream, "engines", true), route("/final/", snipestand.RouteStream, "engines", false),
		},
		Services: []snipestand.DeclaredService{
			{Name: "plain"},
			{Name: "engines", Engine: &snipestand.DeclaredEngine{
				AdapterSlots: places, Models: []snipestand.DeclaredModel{{Name: "base"}},
			}},
		},
		Workspaces: []snipestand.DeclaredWorkspace{{Name: workspace, Keys: []string{key}}},
		Limits:     snipestand.DeclaredLimits{BodyBytes: maxBody},
	})
}

// recover waits until each instance serves each kind of request.
func (s *Soak) recover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	random := rand.New(rand.NewPCG(s.Seed, 0)) //nolint:gosec // the same calls for the same seed
	for _, i := range s.instances {
		for _, kind := range kinds {
			for !s.ask(ctx, i, kind, random, false) {
				if ctx.Err() != nil {
					return errors.Errorf("%s does not serve %s; %s", i.name, kind.prefix, s.pulse)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

// log returns the path of an instance's log.
func (s *Soak) log(name string) string { return filepath.Join(s.Folder, name+".log") }
