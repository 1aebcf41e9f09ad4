// Package snipeinstance assembles the components of one instance and runs them.
//
// Each component runs in its own goroutine of a run group; among them are the settings store, the
// lease holder, and three listeners (callers, operators, peers). The group ends as soon as one of
// its members ends.
//
// A planned stop takes these steps: the instance turns readiness off and starts to release its
// engines, each one when it is idle; after a notice period it refuses new calls; calls in flight
// finish and the remaining engines are released; the listeners close and the process exits. A
// second signal ends the process at once.
package snipeinstance

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipecaller"
	"snipepitch.example/snipepitch/snipecert"
	"snipepitch.example/snipepitch/snipeclaim"
	"snipepitch.example/snipepitch/snipeconfig"
	"snipepitch.example/snipepitch/snipedispatch"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipeoperator"
	"snipepitch.example/snipepitch/snipepeer"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipequarantine"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
	"snipepitch.example/snipepitch/snipeweight"
)

const (
	// leaseMargin is the time that an instance waits beyond the duration of a lease before it takes
	// over the engines of the lease.
	leaseMargin = 2 * time.Second
	// maxHeader bounds the request line and the header of a call in bytes, bodyTimeout the time in
	// which the body of a call must arrive.
	maxHeader   = 32 << 10
	bodyTimeout = 30 * time.Second
	// peerBeat is the time between two heartbeats while a call that a peer has forwarded is executed.
	peerBeat = time.Second
	// stopPoll is the time between two checks whether the instance is ready, or whether a stop or the
	// shutdown of a server has completed.
	stopPoll = 50 * time.Millisecond
)

// Instance is one running instance. Exported fields are set before Run.
type Instance struct {
	// Config is the settings file after validation.
	Config snipeconfig.Config
	// Log receives the instance's events.
	Log *snipelog.Logger
	// LogDropped returns the number of dropped log lines; nil omits the metric.
	LogDropped func() uint64
	// Listen opens a listener; nil listens on TCP.
	Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)

	meter    *snipemeter.Meter
	settings *snipetree.Store
	holder   *snipelease.Holder
	dispatch *snipedispatch.Dispatcher
	callers  *snipecaller.Server
	forward  *snipepeer.Client
	peers    *snipepeer.Handler
	weights  *snipeweight.Queue
	permits  *snipeweight.Permits
	router   router
	replicas replicas
	// certificates holds the TLS certificates by listener name.
	certificates map[string]*snipecert.Reloader
	members      *snipemember.Membership
	// rowSeeds are the seeds from the last read of the lease rows, rowSeedsRead is the time of that
	// read. Only the goroutine of members accesses them.
	rowSeeds     []snipemember.Seed
	rowSeedsRead time.Time
	claims       *snipeclaim.Claims

	quarantine *quarantine
	health     *health
	limits     *limits

	phase    phase
	stopping chan struct{}
	signals  chan os.Signal
}

// Run serves until a signal or a drain order arrives, then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.build(); err != nil {
		return err
	}
	signal.Notify(i.signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(i.signals)
	return i.serve(ctx)
}

// serve runs the components until one of them ends, then stops the others.
func (i *Instance) serve(ctx context.Context) error {
	var g run.Group
	i.addLoop(ctx, &g, i.settings.Run)
	i.addLoop(ctx, &g, i.holder.Run)
	i.addLoop(ctx, &g, i.dispatch.Watch)
	i.addLoop(ctx, &g, i.watchReplicas)
	i.addLoop(ctx, &g, i.members.Run)
	i.addLoop(ctx, &g, i.claims.Run)
	i.addLoop(ctx, &g, i.quarantine.loop)
	i.addLoop(ctx, &g, i.health.loop)
	i.addLoop(ctx, &g, i.limits.loop)
	i.addLoop(ctx, &g, i.quarantine.guard.Loop)
	i.addLoop(ctx, &g, i.watchReady)
	for _, k := range i.certificates {
		i.addLoop(ctx, &g, k.Run)
	}
	for _, l := range i.listeners() {
		if err := i.addListener(ctx, &g, l); err != nil {
			return err
		}
	}
	i.addLoop(ctx, &g, i.waitStop)
	i.Log.Log(snipelog.Started, snipelog.Fields{"Callers": i.Config.Callers.String()})
	err := g.Run()
	i.Log.Log(snipelog.Stopped, nil)
	return err
}

func (i *Instance) build() error {
	c := i.Config
	if err := i.loadCertificates(); err != nil {
		return err
	}
	i.stopping = make(chan struct{}, 1)
	i.signals = make(chan os.Signal, 2)
	i.meter = snipemeter.New()
	if i.LogDropped != nil {
		i.meter.Gauge("snipepitch_log_lines_dropped", func() float64 { return float64(i.LogDropped()) })
	}
	table := snipeplatform.Dynamo{
		Address: c.Platform.Table, Table: c.Platform.TableName,
		AccessKey: c.Platform.AccessKey, SecretKey: c.Platform.SecretKey,
		Timeout: c.Platform.Timeout.Value(),
		Dial:    i.meter.Traffic("Platform").Dialer(snipeupstream.DialTCP()),
	}.Open()
	guard := &snipeplatform.Guard{Table: table, Share: i.tableShare}
	leases, settings := guard.For(snipeplatform.Leases), guard.For(snipeplatform.Settings)
	i.buildMembers(settings)
	i.buildSettings(settings)
	i.buildDispatch(leases)
	i.buildHolder(leases)
	i.buildQuarantine()
	i.buildLimits()
	i.buildCallers(guard)
	return nil
}

func (i *Instance) buildDispatch(table snipeplatform.Table) {
	c := i.Config
	dial := snipeupstream.DialTCP()
	i.buildWeights()
	i.dispatch = &snipedispatch.Dispatcher{
		Tree:   i.settings.Current,
		Fence:  func(engine string) (uint64, bool) { return i.holder.Fence(engine) },
		Holds:  func(engine string, fence uint64) bool { return i.holder.Owns(engine, fence) },
		Record: aliasRecords(table),
		Budget: i.permits.Acquire,
		Client: snipeupstream.NewPooled(dial), Fresh: snipeupstream.NewFresh(dial),
		Progress: c.Progress.Value(), FirstChunk: c.FirstChunk.Value(), LoadTimeout: c.LoadTimeout.Value(),
		Meter: i.meter, Log: i.Log,
	}
	i.buildHealth()
	toPeers := i.peerDial("ToPeers")
	i.forward = &snipepeer.Client{
		Pooled: snipeupstream.NewPooled(toPeers), Fresh: snipeupstream.NewFresh(toPeers),
		Secret: c.PeerSecret, Progress: c.Progress.Value(), Log: i.Log,
	}
	i.peers = &snipepeer.Handler{
		Execute: i.health.execute, Secret: c.PeerSecret, HeartbeatInterval: peerBeat, ResumeWindow: 2 * c.Progress.Value(),
		WriteTimeout: c.Progress.Value(), MaxBody: c.MaxBody, MaxCalls: c.MaxCalls,
	}
}

func (i *Instance) buildHolder(table snipeplatform.Table) {
	c := i.Config
	i.holder = &snipelease.Holder{
		Table: table,
		Self: snipelease.Instance{
			Name: c.Name, Incarnation: rand.Text(), PeerAddress: c.Announced(),
			OperatorAddress: c.Operators, Domain: c.Domain,
		},
		Duration: c.Lease.Value(), Renew: c.Renew.Value(), Margin: leaseMargin,
		Engines: i.engineNames, Revision: i.revision, Busy: i.dispatch.Busy,
		Operation: rand.Text, Random: mathrand.Float64, Members: i.leaseMembers(), Log: i.Log,
	}
}

func (i *Instance) engineNames() []string {
	t := i.settings.Current()
	if t == nil {
		return nil
	}
	names := make([]string, 0, len(t.Platform.Engines))
	for n := range t.Platform.Engines {
		names = append(names, n)
	}
	return names
}

func (i *Instance) revision() uint64 {
	if t := i.settings.Current(); t != nil {
		return t.Revision
	}
	return 0
}

func (i *Instance) buildCallers(guard *snipeplatform.Guard) {
	serve := i.buildClaims(guard, i.retries())
	i.callers = &snipecaller.Server{
		Tree: i.settings.Admitting, Serve: serve, Admit: i.limits.admit, NewID: rand.Text,
		MaxBody: i.Config.MaxBody, MaxHeader: maxHeader, BodyTimeout: bodyTimeout,
		Meter: i.meter, Log: i.Log,
	}
}

// noUpstreamRetryAfter is the Retry-After of a call that is refused because no upstream is usable.
const noUpstreamRetryAfter = 2 * time.Second

// choose returns the upstream for the next attempt of a call. It excludes the upstreams in failed,
// unhealthy ones and, for a suspect, all but the isolation upstream. It returns ErrNoUpstream if
// none is left.
func (i *Instance) choose(c *snipecall.Call, failed []string) (string, error) {
	buffer := i.candidates(c, failed)
	defer i.router.buffers.Put(buffer)
	candidates := *buffer
	call := sniperoute.Hash(c.ID)
	i.health.tracker.MarkUnusable(call, candidates)
	candidates = i.quarantine.isolate(c, candidates)
	var n int
	if c.Service != "" {
		n = i.health.tracker.LeastLoaded(call, candidates)
	} else {
		key := sniperoute.AdapterHash(c.Adapter)
		n = sniperoute.PickReplica(key, call, i.replicas.count(key), candidates)
	}
	if n < 0 {
		return "", snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "no usable upstream").After(noUpstreamRetryAfter)
	}
	return candidates[n].Name, nil
}

// execute runs a call on this instance or forwards it to the instance that owns its engine. Calls to
// plain services always run on this instance. It returns ErrNoUpstream if the engine has no owner.
func (i *Instance) execute(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error {
	if c.Service != "" {
		return i.health.execute(ctx, c, sink)
	}
	o, ok := i.holder.View().Owners[c.Upstream]
	if !ok {
		return snipeerror.New(snipeerror.ErrNoUpstream, snipeerror.NotRun, "engine "+c.Upstream+" has no owner")
	}
	if o.Instance.Name == i.Config.Name {
		return i.health.execute(ctx, c, sink)
	}
	err := i.forward.Forward(ctx, o.Instance.PeerAddress, c, sink)
	i.health.tracker.ObserveForward(c, err)
	return err
}

func (i *Instance) listeners() []listener {
	peers := http.NewServeMux()
	peers.Handle(snipepeer.Path, i.peers)
	peers.Handle(snipelease.PathPrefix, snipepeer.Authorized(i.Config.PeerSecret, i.holder.Handler()))
	peers.Handle(snipetree.PathPrefix, snipepeer.Authorized(i.Config.PeerSecret, i.settings.Handler()))
	peers.Handle(snipemember.PathPrefix, snipepeer.Authorized(i.Config.PeerSecret, i.members.Handler()))
	peers.Handle(i.weightServer())
	peers.Handle(snipequarantine.PathPrefix, snipepeer.Authorized(i.Config.PeerSecret, i.quarantine.guard.Handler()))
	operators := i.buildOperators(peers)
	mux := http.NewServeMux()
	mux.Handle(snipeoperator.PathPrefix, operators.Handler())
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { i.meter.Write(w) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", i.serveReady)
	callers := http.NewServeMux()
	callers.Handle("/", i.callers.Handler())
	callers.HandleFunc("GET /ready", i.serveReady)
	return []listener{
		{"Callers", i.Config.Callers, i.phase.closeWhenStopping(callers), i.Config.MaxConnections, i.certificates["Callers"], i.Log},
		{"Operators", i.Config.Operators, mux, maxOperators, i.certificates["Operators"], i.Log},
		{"Peers", i.Config.Peers, peers, i.Config.MaxConnections, i.certificates["Peers"], i.Log},
	}
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.phase.ready() || !i.settings.Fresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// addLoop adds a component that runs until its context ends.
func (i *Instance) addLoop(ctx context.Context, g *run.Group, f func(context.Context) error) {
	inner, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(inner) }, func(error) { cancel() })
}
