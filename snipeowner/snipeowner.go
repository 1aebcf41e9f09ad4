// Package snipeowner decides which instance may give orders to an engine.
//
// Besides engines, instances own whatever else needs one that decides for all, under addresses that stand for it; where
// this package says engine, it means these too. Such an owner gives no orders, so that its right begins earlier (see
// Holder.Right).
//
// Design. Every instance sends calls directly to the engines; only orders (loads and
// evictions) require a single author at a time. Each instance renews one row in the table.
// The address of each engine has an owner row, which names the instance that may order the
// engine and a fencing number. In a step, about once a second, an instance reads the changed
// rows, renews its own row and takes over engines. An engine without a live owner is taken over
// by the live instance that ranks first for it by rendezvous hash, so that the loss of one
// instance leaves most engines with their owners.
//
// The engines do not check fencing numbers. Two successive owners are therefore separated by
// time:
//
//	renewal sent ....... orderTime ....... | margin ... | first order
//	          (old owner's orders end here)              (of the new owner)
//
// A lease lasts for orderTime and margin together.
//
// Invariants:
//
//   - An instance orders only within orderTime of sending its last successful renewal or its last
//     granted request for a lease extension, by a clock that also runs while the machine is
//     suspended.
//   - A renewal succeeds only while all rows that make this instance an owner are
//     in the version that this instance last read or wrote.
//   - A takeover succeeds only while the previous owner's row is in the version that the
//     new owner first read at least the lease's duration ago. An owner that releases an
//     engine has ended its orders before.
//   - While the store does not answer, an owner continues if the grantors grant a lease
//     extension: all live instances that are neither leaving nor on standby, and some of those
//     on standby; and if no other instance that it asks refuses. A grantor restarts its
//     observation of all rows, so that it can take over an engine no sooner than the extended
//     right ends.
//   - Two instances do not alternate as owners: an instance that becomes the owner of an
//     engine again, after another instance owned it, orders no sooner than OrderGap after it
//     lost the engine.
//   - A fencing number grows whenever the owner changes, also when the same instance has
//     restarted.
package snipeowner

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetime"
)

// Partition is the table partition that holds the instance rows and the owner rows. Both kinds
// are in one partition, so that one read returns them all as of one moment.
const Partition = "ownership"

// Key prefixes of the two kinds of rows.
const (
	instancePrefix = "instance/"
	ownerPrefix    = "engine/"
)

const (
	// stepInterval is the time between two renewals. One renewal may fail before orders stop.
	stepInterval = time.Second
	// maxRowAge is how old the rows that List returns may be, because they may come from another
	// instance's copy of the table. An instance counts as live for this much longer than a lease
	// after the last change of its row.
	maxRowAge = 2 * time.Second
	// lapsedRetention is how long after the last change of its row an instance that no longer
	// renews is listed as lapsed, since it may return. Its row is never deleted.
	lapsedRetention = 5 * time.Minute
	// recentTime is how long after the last change of its row an instance is listed as recent: longer than its right
	// to use what an owner has lent it.
	recentTime = 30 * time.Second
	// startPollInterval is the time between two attempts to read the rows until the first one
	// succeeds, so that an instance that restarts takes its engines back at once.
	startPollInterval = 20 * time.Millisecond
	// startWindow is the time after the start during which two things are repeated faster than
	// every stepInterval: the check whether any engine is known yet (every startPollInterval), and
	// the failed write by which a restarted instance takes its engines back (every
	// startRetryInterval). The time is limited because a deployment may have no engines.
	startWindow = 5 * time.Second
	// startRetryInterval is the time between two attempts of a restarted instance to take its
	// engines back. No instance orders these engines meanwhile.
	startRetryInterval = 200 * time.Millisecond
	// orderTime is how long this instance may order after it sent a renewal.
	orderTime = 2400 * time.Millisecond
	// margin covers the difference between the clock rates of two machines and the time
	// between the check of the right to order and the arrival of the order.
	margin = 300 * time.Millisecond
	// startSpread is the time over which instances that all start for the first time spread the
	// first writes of their rows.
	startSpread = time.Second
	// settleTime is how long an instance that starts waits for the rows of others before it
	// takes engines that it did not own: the instances of a deployment start within a third of
	// a second of each other.
	settleTime = 2 * time.Second
)

// Instance is the document of an instance row, which describes an instance to the others.
type Instance struct {
	Name string
	// Incarnation identifies this start of the instance's process.
	Incarnation string
	// Peer is the address at which other instances reach it.
	Peer   netip.AddrPort
	Domain string
	// Power is how much of a processor core the machine gives to the instance. Duties for all
	// instances, such as owning engines, go to the instances with the most power.
	Power float64 `json:",omitempty"`
	// Leaving reports that the instance is stopping. It owns no engines.
	Leaving bool `json:",omitempty"`
	// Standby reports that there are enough other owners. The instance owns no engines and
	// renews its row only every standbyInterval.
	Standby bool `json:",omitempty"`
	// Detached reports that the instance cannot reach the engines although others can. It owns no
	// engines.
	Detached bool `json:",omitempty"`
}

// ownership is the document of an owner row.
type ownership struct {
	// Peer is the owner's address, which stays the same when the owner restarts; empty when
	// the engine was released.
	Peer netip.AddrPort `json:"Machine,omitzero"`
	// Incarnation identifies the start of the owner's process; empty when the engine was released.
	Incarnation string
	Fence       uint64
}

// Table is the part of the platform's table that ownership depends on.
type Table struct {
	// List returns the rows of a partition that were added or changed after a position, which is
	// a number returned by an earlier call, or all rows for 0. It also returns the position for
	// the next call. The error is ErrNotRead of package snipeplatform while no rows are available.
	List func(ctx context.Context, partition string, since uint64) ([]snipeplatform.Row, uint64, error)
	// Write makes all changes or none and returns the version that the changed
	// rows have then. Its errors are those of package snipeplatform.
	Write func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)
}

// Holder maintains the row and the ownerships of this instance. Exported fields are set before
// Run.
type Holder struct {
	// Table is the platform's table.
	Table Table
	// Self describes this instance.
	Self Instance
	// Engines returns the addresses of the engines in the directory.
	Engines func() []netip.AddrPort
	// OrderGap is how long an instance that has lost an engine to another instance waits, from
	// the loss, before it orders the engine again. It prevents two owners from alternating. For
	// an engine that it has not lost since its start, the instance counts the time from its
	// start. The wait does not apply to engines that never had an owner, nor to those that an
	// earlier start of this instance still owns by their owner rows.
	OrderGap time.Duration
	// Clock is a monotonic clock that also counts the time for which the machine is
	// suspended.
	Clock func() time.Duration
	// Operation returns a new identifier for a write.
	Operation func() string
	// RequestExtension asks one other instance for a lease extension; it is called while the store
	// does not answer. If nil, no extensions are requested.
	RequestExtension ExtensionFunc
	// RowsAge returns the age of the rows that List returned last; nil if their age is unknown,
	// which counts as zero.
	RowsAge func() time.Duration
	// DivisionSpan is the longest span over which a limit on all instances together is divided; see
	// Division.
	DivisionSpan time.Duration
	// Detached reports whether this instance cannot reach the engines although others can. It then
	// releases its engines, and takes none over until it reaches them again. Nil means never.
	Detached func() bool
	// Ended reports whether a start of an instance is known to have ended, although its row does not show it yet. Nil
	// means never.
	Ended func(i Instance) bool
	// RenewalEnded, if not nil, is called after each renewal; ok reports whether the table
	// answered, also if it rejected the renewal because a row had changed.
	RenewalEnded func(ok bool)
	Log          *snipelog.Logger

	requestOnce   sync.Once // creates readRequested and stepRequested
	readRequested chan struct{}
	stepRequested chan struct{}
	view          atomic.Pointer[View]
	leaving       atomic.Bool
	outage        outage

	lock sync.Mutex // guards the fields below
	// orderDeadline is when the right of this instance to order ends.
	orderDeadline time.Duration
	holdings      map[netip.AddrPort]holding

	// The fields below are used only by the goroutine of Run.
	started time.Duration
	// position is the table position up to which the rows were read.
	position uint64
	// ownersChanged reports that an owner row has changed since the last view.
	ownersChanged bool
	instances     map[netip.AddrPort]instanceRow
	owners        map[netip.AddrPort]ownerRow
	// renewalFailed reports that the last renewal failed, for lack of an answer or of a condition.
	renewalFailed bool
	// enginesKnown reports that at least one engine was known when the last step began.
	enginesKnown bool
	// readFailed reports that the rows could not be read in this step.
	readFailed bool
	// answeredAt is when a step last read the rows after a renewal that had succeeded.
	answeredAt time.Duration
	// lastOwned maps each engine that this instance has lost to the time at which it noticed the
	// latest loss.
	lastOwned map[netip.AddrPort]time.Duration
	// renewedAt is when the last successful renewal was sent, attemptedAt when the last one
	// was sent.
	renewedAt   time.Duration
	attemptedAt time.Duration
	// joinedAt is View.JoinedAt.
	joinedAt time.Time
	presence presence
}

// holding is an engine that this instance owns.
type holding struct {
	fence   uint64
	version uint64
	// ordersFrom is when orders may begin. since is when the previous owner's right ended at the latest.
	ordersFrom, since time.Duration
	// confirmed reports that a successful renewal included this engine.
	confirmed bool
}

// instanceRow is an instance row and when its version was first read.
type instanceRow struct {
	Instance
	// hash is the hash of the instance's address, from which its ranks are calculated.
	hash       uint64
	version    uint64
	observedAt time.Duration
}

// ownerRow is an owner row and when its version was first read.
type ownerRow struct {
	ownership
	version    uint64
	observedAt time.Duration
}

// Fence returns the fencing number for an order to an engine, and false when this instance does not
// own the engine or must not order it now.
func (h *Holder) Fence(engine netip.AddrPort) (uint64, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.holdings[engine]
	now := h.Clock()
	if !ok || !o.confirmed || now >= h.orderDeadline || now < o.ordersFrom {
		return 0, false
	}
	return o.fence, true
}

// Right is the right of this instance to act for what it owns, but for orders: see Fence for these.
type Right struct {
	Fence uint64
	// Since is when the right began. No other instance has had it since.
	Since time.Time
}

// Right returns the right of this instance to act for an address that it owns, and false when it does not own it or
// its lease may have ended. It begins as soon as that of the previous owner has ended, without OrderGap.
func (h *Holder) Right(address netip.AddrPort) (Right, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.holdings[address]
	now := h.Clock()
	if !ok || !o.confirmed || now >= h.orderDeadline || now < o.since {
		return Right{}, false
	}
	return Right{Fence: o.fence, Since: time.Now().Add(o.since - now)}, true
}

// Owns reports whether this instance owns any engine, even if it must not order it now.
func (h *Holder) Owns() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.holdings) > 0
}

// Leave requests that this instance release all engines and take over no more. It returns at once;
// the next steps of Run release the engines.
func (h *Holder) Leave() { h.leaving.Store(true) }

// Run maintains the row and the ownerships until ctx ends. It returns nil. The engines are not
// released when ctx ends; see Leave.
func (h *Holder) Run(ctx context.Context) error {
	h.initialize()
	for errors.Is(h.read(ctx), snipeplatform.ErrNotRead) {
		if !snipetime.Sleep(ctx, startPollInterval) {
			return nil
		}
	}
	// The rows are published before the first write, which may be delayed behind the writes of
	// other instances.
	h.publish()
	if len(h.instances) == 0 {
		// All instances may be starting now for the first time, and a partition of the store
		// handles a few hundred writes per second. The instances that come later find enough
		// owners and do not write yet.
		start := time.NewTimer(h.jitter(startSpread))
		defer start.Stop()
		h.refreshUntil(ctx, start.C)
	}
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		h.Step(ctx)
		if h.awaitEngines(ctx, t.C) || h.awaitRetry(ctx) {
			t.Reset(stepInterval)
			continue
		}
		h.refreshUntil(ctx, t.C)
	}
	return nil
}
