// Package snipelease keeps an instance's lease and the ownership of engines in the platform's
// table.
//
// Design. Each instance has one lease row, which it renews at an interval far shorter than the
// lease's duration. Each engine has an owner row; the row's version is the fencing number of the
// owner's orders. The membership reports which instances are live, and announcements report which
// instance owns which engine. An instance therefore reads rows only when something changes, and
// rarely all owner rows, to make up for announcements that it missed (step.go). plan.go decides
// which instance should own an engine, move.go transfers an engine between owners.
//
// Invariants:
//
//   - An instance treats its lease as valid until the duration has passed on its monotonic clock,
//     counted from before the renewal was sent.
//   - An owner row changes owner only when its owner hands it over or releases it, or when the
//     owner's lease row has stayed at one version for the duration and a margin, counted by the
//     new owner from its first direct read of that version. The takeover's transaction checks the
//     version, so that a renewal in between makes it fail. Membership decides only when to read
//     the lease row.
//   - After a lapse an instance owns an engine only once it has renewed the lease and verified the
//     engine's owner row again. A renewal without that check restores nothing.
//   - While the table is down for more than half of all known instances, and no other live instance
//     reports that it reaches the table, an owner keeps its engines past its lease: no instance can
//     take over then. An order that destroys something at an engine that ignores fencing numbers
//     requires a write with OwnerCheck before it, which fails then.
//     An owner that alone cannot reach the table, or that has lost contact with all other known
//     instances, loses its engines with its lease. So does an owner that was paused until after
//     the end of its extension: the table may have been back in between.
//   - A lease row that shows another incarnation under this instance's name ends this instance's
//     ownerships for good.
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
	ownerTopic     = "Owner"
	tableLostTopic = "TableLost"
	hungTopic      = "Hung"
)

const (
	// announcementTTL is how long a change of owner is announced. It is longer than the time
	// between two reads of all owner rows.
	announcementTTL = 12 * time.Minute
	// minListInterval is the time between two reads of all owner rows while there are fewer than
	// twice rowsPerListInterval of them. With more rows, the time is minListInterval for each
	// whole rowsPerListInterval rows, at most maxListInterval.
	minListInterval     = time.Minute
	rowsPerListInterval = 60
	maxListInterval     = 10 * time.Minute
	// checkInterval is the time between two reads of the lease rows of owners whose engines this
	// instance would be the first to take over.
	checkInterval = time.Minute
	// isolatedTakeoverDelay is how long after its last contact with another instance an instance
	// takes no engine from an owner: the other instances may be in an outage of which it receives
	// no report. The rule does not apply in the first Renew after the contact, to an instance that
	// knows no other, or to engines that were released.
	isolatedTakeoverDelay = 2 * time.Minute
	// jitterFraction is the largest difference between a duration and the random one that jitter
	// returns for it, as a fraction of the duration.
	jitterFraction = 0.2
)

// Instance is the document of a lease row.
type Instance struct {
	// Name is the instance's name. Incarnation identifies one run of its process.
	Name        string
	Incarnation string
	// PeerAddress is the address for requests from other instances.
	PeerAddress netip.AddrPort
	// OperatorAddress is the address for requests from operators.
	OperatorAddress netip.AddrPort
	// Domain is the instance's failure domain.
	Domain string
	// Leaving reports that the instance takes no more ownership.
	Leaving bool
	// Revision is the revision of the settings in force on the instance at its last renewal.
	Revision uint64
}

// owner is the document of an owner row.
type owner struct {
	// Instance and Incarnation identify the owner; both are empty when the engine was released.
	Instance    string
	Incarnation string
}

// Ownership describes the owner of an engine.
type Ownership struct {
	// Instance is the owner.
	Instance Instance
	// Fence is the fencing number of the owner's orders.
	Fence uint64
	// HandingOver reports that the owner accepts no new calls for the engine and hands it over.
	HandingOver bool
}

// View is an immutable snapshot of instances and owners.
type View struct {
	// Instances holds this instance and those that the membership reports alive or suspect, by name.
	// Incarnation, OperatorAddress and Revision are empty until an instance's lease row was read.
	Instances map[string]Instance
	// Owners holds the owners of the engines, by the engine's name. It leaves out engines whose
	// owner is not in Instances.
	Owners map[string]Ownership
}

// observation is the state of the membership and its announcements as read in one step.
type observation struct {
	all    []snipemember.Member
	byName map[string]snipemember.Member
	joined bool
	// tableLost holds, by name, whether an instance last reported that it cannot reach the table.
	tableLost map[string]bool
	// hung holds, by name, whether an instance was reported hung: its lease row does not change
	// although the membership reports it alive.
	hung map[string]bool
}

// instanceRecord is an instance's lease row as read when the instance was new here or its
// incarnation in the membership had changed. Later renewals of the row are reflected only if all
// lease rows are listed because of other instances.
type instanceRecord struct {
	Instance
	// memberIncarnation is the membership's incarnation of the instance when the row was read. It
	// also grows when the instance refutes a suspicion; Instance.Incarnation identifies the process.
	memberIncarnation uint64
}

// Members is the part of the membership that the holder uses.
type Members struct {
	// All returns all known instances, also those that are dead or have left, and whether this
	// instance has joined the membership.
	All func() (all []snipemember.Member, joined bool)
	// Announce and Digests send and return announcements; see snipemember.Membership.
	Announce func(topic, key string, data []byte, ttl time.Duration)
	Digests  func(topic string) []snipemember.Digest
	// LastContact returns the time of the last contact with another instance.
	LastContact func() time.Time
	// Peers returns the addresses of up to n random live peers, and HTTP sends requests to them.
	// Both are nil when owners are not requested from peers (other instances).
	Peers func(n int) []netip.AddrPort
	HTTP  snipeproto.HTTPClient
}

// ownerRow is an owner row as last read, written, announced or returned by a peer.
type ownerRow struct {
	owner
	version     uint64
	handingOver bool
}

// ownedEngine is an engine that this instance owns.
type ownedEngine struct {
	fence uint64
	// verified reports that the owner row was read or written since the lease last lapsed.
	verified bool
	// handingOver reports that the engine is being handed over.
	handingOver bool
}

// Holder keeps the instance's lease and its ownership of engines. Its exported fields are set
// before Run.
type Holder struct {
	// Table is the platform's table.
	Table snipeplatform.Table
	// Members is the membership.
	Members Members
	// Self describes this instance.
	Self Instance
	// Duration is how long a lease is valid, Renew the time between renewals, and Margin the time
	// that another instance waits beyond the duration before a takeover.
	Duration, Renew, Margin time.Duration
	// Engines returns the names of the engines in the settings.
	Engines func() []string
	// Revision returns the settings revision in force.
	Revision func() uint64
	// Busy reports whether a call or an order is in flight at an engine that this instance owns.
	// A busy engine does not change owner in a handover.
	Busy func(engine string) bool
	// Operation returns a new identifier for a write.
	Operation func() string
	// Random returns a number in the range [0, 1).
	Random func() float64
	// Log receives the holder's events.
	Log *snipelog.Logger

	view          atomic.Pointer[View]
	publishedRows atomic.Pointer[map[string]ownerRow] // the owner rows returned to peers
	leaving       atomic.Bool

	lock            sync.Mutex // guards the fields below; never held during a request
	deadline        time.Time  // the end of the lease
	extendedUntil   time.Time  // the end of the extension past the lease in an outage
	owned           map[string]ownedEngine
	retriedEarly    bool // an early renewal was scheduled, as the outage is over
	extensionLogged bool // the extension past the lease was logged
	lapseLogged     bool // the lapse was logged
	ended           bool // another incarnation uses the name, or the planned stop is done

	// The fields below belong to Run's goroutine.
	started         time.Time
	nextRenewal     time.Time // no renewal is attempted before
	leaseVersion    uint64
	renewed         bool // this incarnation has written the lease row
	renewalFailed   bool // the last renewal failed, or its outcome is not known
	lastList        time.Time
	lastCheck       time.Time
	rows            map[string]ownerRow
	instances       map[string]instanceRecord
	watches         map[string]watch     // by the name of the watched instance
	ownerlessSince  map[string]time.Time // when claim first found an engine released, by engine
	checkedVersions map[string]uint64    // versions of lease rows at the last check, by instance
	observed        observation
}

// View returns the snapshot of the last step, or an empty one before the first step; never nil.
func (h *Holder) View() *View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Fence returns the fencing number of an engine that this instance owns and is not handing over.
// It reports false when the lease has lapsed, unless an outage of the table extends the ownership
// past the lease, and after a lapse until the engine's owner row is verified again.
func (h *Holder) Fence(engine string) (uint64, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.owned[engine]
	if !ok || o.handingOver || !h.valid(o, time.Now()) {
		return 0, false
	}
	return o.fence, true
}

// valid reports whether the ownership of an engine is valid now. The lock is held.
func (h *Holder) valid(o ownedEngine, now time.Time) bool {
	return o.verified && now.Before(h.deadline) || now.Before(h.extendedUntil)
}

// Owned returns the engines that this instance is recorded to own, in no particular order. They
// include engines that are being handed over, and after a lapse of the lease those whose ownership
// is not valid; see Fence and Owns.
func (h *Holder) Owned() []string {
	h.lock.Lock()
	defer h.lock.Unlock()
	names := make([]string, 0, len(h.owned))
	for n := range h.owned {
		names = append(names, n)
	}
	return names
}

// Leave requests that the holder hand over or release all engines and then delete its lease row.
// Leave does not wait for this.
func (h *Holder) Leave() { h.leaving.Store(true) }

// Run keeps the lease until ctx ends. Its steps are frequent, so that the holder promptly takes
// engines that other instances hand over; most steps make no request.
func (h *Holder) Run(ctx context.Context) error {
	t := time.NewTicker(stepInterval)
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

// stepInterval is the time between two steps.
const stepInterval = 250 * time.Millisecond

// jitter returns a random duration within jitterFraction of d, so that instances that lost the
// table together do not send their next requests together.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return time.Duration((1 - jitterFraction + 2*jitterFraction*h.Random()) * float64(d))
}
