// Package snipelease keeps an instance's lease and the ownership of engines in
// the platform's table.
//
// Design. Each instance has one lease row, renewed at an interval far shorter
// than the lease's duration. Each engine has an owner row; the row's version
// is the fencing number of the owner's orders. Who lives is learned from the
// membership and who owns what from announcements, so that an instance reads
// rows only when something changes and, rarely, all owner rows to make up for
// what it missed (step.go). Which instance should own an engine is decided in
// plan.go, how an engine changes hands in move.go.
//
// Invariants:
//
//   - An instance believes in its lease until the duration has passed on its
//     monotonic clock, counted from before the renewal was sent.
//   - An owner row changes hands only when its owner hands it over or gives it
//     up, or when the owner's lease row has stayed at one version for the
//     duration and a margin, counted by the new owner from its first direct
//     read of that version; the takeover's transaction checks the version, so
//     that a renewal in between defeats it. Membership decides only when to
//     look.
//   - After a lapse an instance owns an engine only once it has renewed the
//     lease and read the engine's owner row again. A renewal without that read
//     restores nothing.
//   - While the table is down for more than half of all known instances, and
//     none that is heard reaches it, an owner goes on past its lease: nobody can take over then. An order that
//     destroys something at an engine that ignores fencing numbers rests on a
//     write with OwnerCheck before it, which fails then.
//     An owner that alone cannot reach the table, or that hears of no other
//     instance, ends with its lease. So does one that was paused past the time
//     until which it went on: the table may have been back in between.
//   - A lease row that shows another incarnation under this instance's name
//     ends this instance's ownerships for good.
package snipelease

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
)

const (
	instancesPartition = "Instances"
	ownersPartition    = "Owners"
)

// Topics of announcements.
const (
	ownerTopic = "Owner"
	lostTopic  = "TableLost"
	hungTopic  = "Hung"
)

const (
	// hintTTL is how long a change of owner is announced; it outlasts the time
	// between two reads of all owner rows.
	hintTTL = 12 * time.Minute
	// listEvery is the time between two reads of all owner rows, for up to
	// listRows of them; it grows with their number up to listMost.
	listEvery = time.Minute
	listRows  = 60
	listMost  = 10 * time.Minute
	// checkEvery is the time between two looks at the lease rows of those whose
	// engines this instance would take.
	checkEvery = time.Minute
	// aloneWait is how long an instance that hears no other one takes nothing
	// over: the others may be in an outage that it does not hear of.
	aloneWait = 2 * time.Minute
	// jitterShare is by how much the time between renewals varies.
	jitterShare = 0.2
)

// Instance is the document of a lease row.
type Instance struct {
	// Name is the instance's name, Incarnation the start of its process.
	Name        string
	Incarnation string
	// PeerAddress is where other instances reach it.
	PeerAddress netip.AddrPort
	// OperatorAddress is where operators reach it.
	OperatorAddress netip.AddrPort
	// Domain is its failure domain.
	Domain string
	// Leaving tells that it takes no more ownership.
	Leaving bool
	// Revision is the revision of the settings in force on it at its last
	// renewal.
	Revision uint64
}

// owner is the document of an owner row.
type owner struct {
	// Instance and Incarnation name the owner; empty when it gave it up.
	Instance    string
	Incarnation string
}

// Ownership says who owns an engine.
type Ownership struct {
	// Instance is the owner.
	Instance Instance
	// Fence is the fencing number of the owner's orders.
	Fence uint64
	// Giving tells that the owner takes no new calls and hands the engine over.
	Giving bool
}

// View is an immutable snapshot of instances and owners.
type View struct {
	// Instances are those that are thought to live, by name.
	Instances map[string]Instance
	// Owners are the engines' owners by the engine's name.
	Owners map[string]Ownership
}

// seen is what the membership tells in one step.
type seen struct {
	all    []snipemember.Member
	byName map[string]snipemember.Member
	joined bool
	// lost are the instances that said that they cannot reach the table.
	lost map[string]bool
	// hung are live instances whose lease rows were seen not to change.
	hung map[string]bool
}

// knownInstance is a lease row as it was when its instance last started or
// changed, by the membership's incarnation.
type knownInstance struct {
	Instance
	member uint64
}

// Members is the part of the membership that the holder uses.
type Members struct {
	// All returns all known instances, and whether this instance has met the
	// others yet.
	All func() (all []snipemember.Member, joined bool)
	// Announce and Digests spread changes; see snipemember.Node.
	Announce func(topic, key string, data []byte, ttl time.Duration)
	Digests  func(topic string) []snipemember.Digest
	// Reached returns when another instance was last heard.
	Reached func() time.Time
	// Peers returns up to n random live peers, and HTTP sends requests to
	// them; nil when owners are never asked for.
	Peers func(n int) []netip.AddrPort
	HTTP  snipeproto.HTTPClient
}

// ownerRow is an owner row as last read or announced.
type ownerRow struct {
	owner
	version uint64
	giving  bool
}

// holding is an engine that this instance owns.
type holding struct {
	fence uint64
	// read tells that the owner row was read or written since the lease last
	// lapsed.
	read bool
	// giving tells that the engine is being handed over.
	giving bool
}

// Holder keeps the lease. Its exported fields are set before Run.
type Holder struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Members is the membership.
	Members Members
	// Self describes this instance.
	Self Instance
	// Duration is how long a lease holds, Renew the time between renewals and
	// Margin what another instance waits beyond the duration.
	Duration, Renew, Margin time.Duration
	// Engines returns the names of the engines in the settings.
	Engines func() []string
	// Revision returns the settings revision in force.
	Revision func() uint64
	// Busy reports that a call or an order is in flight at an engine that this
	// instance owns. A busy engine is not given up.
	Busy func(engine string) bool
	// Operation returns a new identifier for a write.
	Operation func() string
	// Random returns a number from 0 up to, not including, 1.
	Random func() float64
	// Log takes the holder's events.
	Log *snipelog.Logger

	view    atomic.Pointer[View]
	told    atomic.Pointer[map[string]ownerRow] // what peers are told
	leaving atomic.Bool

	lock     sync.Mutex // guards the fields below; never held during a request
	deadline time.Time
	goOn     time.Time // until when the holder goes on past its lease
	owned    map[string]holding
	hurried  bool // a renewal was tried early, as the outage is over
	outlived bool // going on past the lease was logged
	lapsed   bool // the lapse was logged
	ended    bool // the name is another's, or the planned stop is done

	// The fields below belong to Run's goroutine.
	began     time.Time
	retry     time.Time // no renewal is tried before
	version   uint64
	first     bool // the lease row is this incarnation's
	failed    bool // the last renewal failed, or its outcome is not known
	listed    time.Time
	looked    time.Time
	rows      map[string]ownerRow
	known     map[string]knownInstance
	watched   map[string]watch
	ownerless map[string]time.Time
	checked   map[string]uint64 // versions of lease rows at the last check
	seen      seen
}

// View returns the last snapshot; never nil.
func (h *Holder) View() *View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Fence returns the fencing number of an engine that this instance owns and
// is not giving up. It reports false when the lease has lapsed, unless the
// table is down for everybody.
func (h *Holder) Fence(engine string) (uint64, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.owned[engine]
	if !ok || o.giving || !h.believes(o, time.Now()) {
		return 0, false
	}
	return o.fence, true
}

// believes reports whether a holding holds now. The lock is held.
func (h *Holder) believes(o holding, now time.Time) bool {
	return o.read && now.Before(h.deadline) || now.Before(h.goOn)
}

// Owned returns the engines that this instance owns.
func (h *Holder) Owned() []string {
	h.lock.Lock()
	defer h.lock.Unlock()
	names := make([]string, 0, len(h.owned))
	for n := range h.owned {
		names = append(names, n)
	}
	return names
}

// Leave asks the holder to give up all engines.
func (h *Holder) Leave() { h.leaving.Store(true) }

// Run keeps the lease until ctx ends. Its steps are short, so that what others
// hand over is taken at once; most of them make no request.
func (h *Holder) Run(ctx context.Context) error {
	t := time.NewTicker(pace)
	defer t.Stop()
	for {
		h.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// pace is the time between two steps.
const pace = 250 * time.Millisecond

// spread returns a time that varies by jitterShare around d, so that instances
// that lost the table together do not come back together.
func (h *Holder) spread(d time.Duration) time.Duration {
	return time.Duration((1 - jitterShare + 2*jitterShare*h.Random()) * float64(d))
}
