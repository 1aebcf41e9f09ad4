// Package snipeentry implements an entry instance for a platform that keeps routes, upstreams and
// rows in its own store. It builds the components of the instance and runs them.
//
// Each of these background tasks runs in its own goroutine: keeping copies of the store's three
// tables up to date (the operators' declarations, the registry of upstreams, and the ownership
// rows), renewing the ownership of engines, extending leases during an outage of the store,
// requesting units of workspace quotas, renewing permits of shared admission, reading engines that this instance has taken over,
// exchanging loads and signals with other instances, closing idle connections, the four listeners,
// and the planned stop. Requests run in the goroutines of net/http.
//
// The request path never calls the store. If the store is lost, the last known routes and upstreams
// stay in use; orders to engines (to load or evict adapters) end only if the owners can neither
// renew their leases through another instance nor have them extended.
package snipeentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"golang.org/x/sys/unix"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipepressure"
	"snipepitch.example/snipepitch/snipequarantine"
	"snipepitch.example/snipepitch/snipequota"
	"snipepitch.example/snipepitch/snipereach"
	"snipepitch.example/snipepitch/snipesignal"
	"snipepitch.example/snipepitch/snipesoftware"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// dialTimeout bounds the time to connect to an upstream or a peer, which are a few milliseconds
	// away. TCP retransmits the first packet after one second, too late for most requests.
	dialTimeout = 400 * time.Millisecond
	// idleConnectionTime is how long an idle connection to an upstream is kept if the upstream does
	// not announce its own keep-alive time.
	idleConnectionTime = 4 * time.Second
	// maxIdleConnections bounds the idle connections to one upstream, and those to one other
	// instance. An upstream accepts a few hundred connections from all instances together.
	maxIdleConnections = 16
	// sweepInterval is the time between two sweeps, which close idle connections and drop the state
	// of upstreams that are gone.
	sweepInterval = time.Second
	// takeInterval is the time between two checks for engines that this instance has come to own.
	takeInterval = 500 * time.Millisecond
	// reportInterval is the time between two reports of use to the owners of engines. It decides
	// how soon an adapter whose demand rises suddenly is loaded on more engines, and how soon
	// requests find it there.
	reportInterval = 80 * time.Millisecond
	// registryRecoveryTime is how long, after an outage of the registry, upstreams whose entries
	// expired during the outage are kept, so that the upstreams have time to write the entries
	// again. An instance that was cut off alone may be late to notice its end, and must give up upstreams that
	// have left within three seconds.
	registryRecoveryTime = 2 * time.Second
)

// Platform connects the instance to its environment: callers, engines and the store.
type Platform struct {
	// Protocol parses callers' requests and interprets upstreams' answers.
	Protocol snipegateway.Protocol
	// ReadyPath is the path on which the load balancer in front of the instances checks whether
	// this instance is ready.
	ReadyPath string
	// Engine sends orders to engines and reads their state.
	Engine snipeadapter.Engine
	// Identifier and KeepAlive interpret requests to upstreams and their answers; see snipelink.Pool.
	Identifier func(h http.Header) string
	KeepAlive  func(a *http.Response) time.Duration
	// Source returns the reader of a table of the store. Write changes rows; see snipeowner.Table.
	Source func(table string) snipemirror.Source
	Write  func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)
	// DeclaredTable is the name of the table of the operators' declarations, UpstreamTable that of
	// the registry. DecodeUpstreams also returns an error for each row that cannot be decoded, in
	// the order of the change's Undecodable keys.
	DeclaredTable   string
	DecodeDeclared  func(rows []snipemirror.Row, position uint64) snipecatalog.Change
	UpstreamTable   string
	DecodeUpstreams func(rows []snipemirror.Row, position uint64) (snipedirectory.Change, []error)
	// SameUpstream reports whether a new registry entry carries no information beyond the old one.
	SameUpstream func(old, now []byte) bool
}

// Instance is one entry instance. Exported fields are set before Run.
type Instance struct {
	Settings Settings
	Platform Platform
	// Incarnation identifies this start of the process.
	Incarnation string
	// Operation returns a new identifier for a write.
	Operation func() string
	Log       *snipelog.Logger
	// LogDropped returns the number of dropped log lines; nil means none.
	LogDropped func() uint64
	// Reload reads and checks the settings file again. It is called on SIGHUP; the result is only
	// compared with Settings and logged.
	Reload func() (Settings, error)
	// Dial opens connections to upstreams, for requests and probes; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Listen opens a listener at an address; nil means TCP.
	Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)

	meter           *snipemeter.Meter
	catalog         *snipecatalog.Cache
	directory       *snipedirectory.Cache
	balancer        *snipebalance.Balancer
	board           *snipebalance.Board
	residency       *snipeadapter.Residency
	holder          *snipeowner.Holder
	relay           *relay
	controller      *snipeadapter.Controller
	links           *snipelink.Pool
	reach           *snipereach.Tracker
	detachment      detachment
	hopLinks        *snipelink.Pool
	gateway         *snipegateway.Gateway
	signals         *snipesignal.Tracker
	brittle         *snipesignal.BrittleTracker
	peers           *peers
	crashes         *snipequarantine.Exchange
	crashDetector   *crashDetector
	quarantineStore *quarantineStore
	retryBudgets    *retryBudgets
	stalls          stallDetector
	issuer          *snipequota.Issuer
	account         *snipequota.Account
	lender          *lender
	admission       *admission
	accountCalls    accountCalls
	ended           endedInstances
	limitIssuer     snipesignal.Issuer
	limitGrants     snipesignal.Grants
	limitCalls      accountCalls
	// startedAt is when Run was called.
	startedAt   time.Time
	stopState   stopState
	startupGate *startupGate
	pressure    *snipepressure.Budget
	callers     *snipeconn.Tracker // the connections of callers
	connections *connectionLimit   // nil for no bound
	// unanswered limits the log lines about connections that were closed with a request and without an answer.
	unanswered snipelog.Limiter

	invalidEntries invalidEntries
	softwareGauges softwareGauges
	releases       *snipesoftware.Releases
	streams        *snipesoftware.Exchange
	storedStreams  *snipesoftware.Stored
	announcer      softwareAnnouncer
	// ownershipUnreadable is set while the ownership rows, from which other instances are
	// discovered, cannot be read.
	ownershipUnreadable atomic.Bool
	// catalogUnreadable is set from a failed read of the operators' declarations until the next page is applied.
	catalogUnreadable atomic.Bool
	// lastEviction is the number of the last eviction from an own engine that applyOwnLoads has
	// processed.
	lastEviction uint64

	tables         tables
	processSignals processSignals
}

// Run serves until ctx ends, SIGTERM, SIGINT or Stop stops the instance, or a task fails. It
// returns the error of the task that ended first, which is nil after a planned stop.
func (i *Instance) Run(ctx context.Context) error {
	i.startedAt = time.Now()
	i.build()
	defer i.processSignals.notify()()
	var g run.Group
	for _, f := range i.tables.all() {
		i.addTask(ctx, &g, f.Run)
	}
	i.addTask(ctx, &g, i.holder.Run)
	i.addTask(ctx, &g, i.holder.RunExtendLease)
	i.addTask(ctx, &g, i.account.Run)
	i.addTask(ctx, &g, i.storedStreams.Run)
	i.addTask(ctx, &g, func(ctx context.Context) error { return snipetime.Every(ctx, takeInterval, i.readTakenEngines) })
	i.addTask(ctx, &g, func(ctx context.Context) error {
		return snipetime.Every(ctx, sweepInterval, func(context.Context) {
			i.links.Sweep()
			i.hopLinks.Sweep()
			i.forgetUnregistered()
			i.forgetAdmission()
			i.crashDetector.Sweep()
			i.retryBudgets.report()
		})
	})
	i.addTask(ctx, &g, func(ctx context.Context) error {
		return snipetime.Every(ctx, reportInterval, func(ctx context.Context) {
			i.stalls.beat(time.Now())
			i.directory.RemoveExpired()
			i.reportUses(ctx)
			i.applyOwnLoads()
			i.spreadAdapters()
			i.sendSignals(ctx)
			i.askAccounts(ctx)
			i.stepCrashes(ctx)
			i.streams.Step()
			i.storedStreams.Step(ctx)
			i.announceSoftware(ctx)
			i.lender.refresh(i.directory.Snapshot())
		})
	})
	i.addTask(ctx, &g, func(ctx context.Context) error {
		return snipetime.Every(ctx, limitsInterval, i.askLimits)
	})
	i.addTask(ctx, &g, func(ctx context.Context) error { return snipetime.Every(ctx, probeInterval, i.reach.Probe) })
	i.addTask(ctx, &g, func(ctx context.Context) error { return snipetime.Every(ctx, renewInterval, i.admission.renew) })
	i.addTask(ctx, &g, func(ctx context.Context) error { return snipetime.Every(ctx, loadsInterval, i.updateLoads) })
	i.addTask(ctx, &g, i.runPressure)
	servers, err := i.listen(ctx, &g)
	if err != nil {
		return err
	}
	i.addTask(ctx, &g, func(ctx context.Context) error { return i.waitStop(ctx, servers) })
	i.addTask(ctx, &g, i.runReloads)
	i.Log.Log(snipelog.Started, snipelog.Fields{callersName: i.Settings.Callers, "Incarnation": i.Incarnation})
	err = g.Run()
	i.Log.Log(snipelog.Stopped, nil)
	return err
}

// addTask adds a background task to g. The task's context ends when any task of g has ended.
func (i *Instance) addTask(ctx context.Context, g *run.Group, f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// bootClock is a monotonic clock that includes the time for which the machine is suspended, since a
// lease also expires during a suspension.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux has this clock.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// catalogOutdated reports whether a newer catalog may be in force elsewhere: the last read of the
// declarations has failed, or the copy is older than it gets in calm. Each read of the store moves the
// position, even without changes, and so renews every copy that follows.
func (i *Instance) catalogOutdated() bool {
	return i.catalogUnreadable.Load() ||
		i.tables.catalog.Mirror.Age() > min(tableCopyAges.Direct, i.Settings.ApplyTime.Value())
}

// instances returns the number of live instances, this one included once it has read its own
// ownership row; 0 before the first read.
func (i *Instance) instances() int { return len(i.holder.View().Live) }

// logSuspect logs that an upstream is avoided because it is suspected to have failed, or trusted
// again.
func (i *Instance) logSuspect(id string, suspect bool) {
	if suspect {
		i.Log.Log(snipelog.UpstreamSuspect, snipelog.Fields{upstreamField: id})
		return
	}
	i.Log.Log(snipelog.UpstreamTrusted, snipelog.Fields{upstreamField: id})
}
