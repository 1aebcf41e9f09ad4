// Package snipeowner decides which instance may give orders to an engine.
//
// Design. Calls go straight from every instance to the engines; only orders
// (loads, evictions) need one author at a time. Each instance renews one row in
// the table; each engine's address has an owner row, which names the instance
// that may order it and a fencing number. Instances read all rows once a step.
// An engine without a live owner is taken by the live instance that ranks first
// for it by rendezvous hash, so that the loss of one instance leaves most engines
// with their owners.
//
// The engines do not check fencing numbers. So time must separate two owners:
//
//	renewal sent ....... orderTime ....... | margin ... | first order
//	          (old owner's orders end here)              (of the new owner)
//
// Invariants:
//
//   - An instance orders only within orderTime of sending its last successful
//     renewal, by a clock that also runs while the machine is suspended.
//   - A renewal succeeds only while all rows that make this instance an owner are
//     as it knows them.
//   - A takeover succeeds only while the former owner's row is as it was when the
//     new owner first read it, at least the lease's duration ago. An owner that
//     gives an engine up has ended its orders before.
//   - While the store answers nobody an owner goes on if all that could take its engines
//     over promise not to: a promise begins their observation of its row anew, so that
//     they may take an engine no sooner than that right ends.
//   - Two instances do not take turns: one that comes to own an engine again, which
//     another owned in between, waits for OrderGap.
//   - A fencing number grows whenever the owner changes, also to a new start of
//     the same instance.
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

// Partition holds the rows of both kinds, so that one read shows them all as of one
// moment.
const Partition = "ownership"

// Kinds of rows.
const (
	instancePrefix = "instance/"
	ownerPrefix    = "engine/"
)

const (
	// stepEvery is the time between two renewals. One may fail before orders stop.
	stepEvery = time.Second
	// staleRows is how old the rows that are read may be, beside their own age.
	staleRows = 2 * time.Second
	// lapsedMemory is how long an instance that does not renew is counted among those that
	// may come back; its row stays for good.
	lapsedMemory = 5 * time.Minute
	// firstEvery is the time between two looks for the rows until they were first read:
	// an instance that starts again takes its engines back at once.
	firstEvery = 20 * time.Millisecond
	// unknownEngines is for how long after a start engines that are not known yet are looked for so
	// often, and refused writes are tried again soon. A deployment may have no engines.
	unknownEngines = 5 * time.Second
	// firstRetry is the time between two tries of an instance that has started again to take its
	// engines back: nobody orders them meanwhile.
	firstRetry = 200 * time.Millisecond
	// orderTime is how long after a renewal was sent this instance may order.
	orderTime = 2400 * time.Millisecond
	// margin covers the difference between two machines' clock rates and the time
	// between the check of an order's right and its arrival.
	margin = 300 * time.Millisecond
	// firstSpread is the time over which instances that all start for the first time write
	// their rows.
	firstSpread = time.Second
	// settleTime is how long an instance that starts looks for others before it
	// takes engines that were not its own: all start within a third of a second of
	// each other.
	settleTime = 2 * time.Second
)

// Instance describes an instance to the others.
type Instance struct {
	Name string
	// Incarnation names this start of its process.
	Incarnation string
	// Peer is where other instances reach it.
	Peer   netip.AddrPort
	Domain string
	// Power is the share of a core that its machine gives it. Duties for others go to
	// those that have most.
	Power float64 `json:",omitempty"`
	// Leaving instances own nothing.
	Leaving bool `json:",omitempty"`
	// Standby instances own nothing either, and renew their rows rarely: there are
	// enough others.
	Standby bool `json:",omitempty"`
}

// ownership is the document of an owner row.
type ownership struct {
	// Machine is the owner's address, which stays the same when it starts again;
	// empty when the engine was given up.
	Machine     netip.AddrPort `json:",omitzero"`
	Incarnation string
	Fence       uint64
}

// Table is the part of the platform's table that ownership rests on.
type Table struct {
	// List reads the rows of a partition that have come or changed since a mark, all of
	// them for 0, and returns the mark to go on from.
	List func(ctx context.Context, partition string, since uint64) ([]snipeplatform.Row, uint64, error)
	// Write makes all changes or none and returns the version that the changed
	// rows have then. Its errors are those of package snipeplatform.
	Write func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)
}

// Holder keeps this instance's row and ownerships. Exported fields are set before
// Run.
type Holder struct {
	// Table is the platform's table.
	Table Table
	// Self describes this instance.
	Self Instance
	// Engines returns the addresses of the engines in the directory.
	Engines func() []netip.AddrPort
	// OrderGap is the least time between the orders of an instance and its next ones to
	// the same engine if another instance owned it in between: owners do not take
	// turns.
	OrderGap time.Duration
	// Clock is a steady clock that also counts the time for which the machine is
	// suspended.
	Clock func() time.Duration
	// Operation returns a new identifier for a write.
	Operation func() string
	// Promise asks other instances while the store does not answer; nil for never.
	Promise Promise
	// RowsAge returns how old the rows that List returns are; nil when that is not known.
	RowsAge func() time.Duration
	// Reached is told of each step whether the table answered; nil for nobody.
	Reached func(ok bool)
	Log     *snipelog.Logger

	prepared sync.Once // makes nudged
	nudged   chan struct{}
	view     atomic.Pointer[View]
	leaving  atomic.Bool
	outage   outage

	lock     sync.Mutex // guards the fields below
	until    time.Duration
	holdings map[netip.AddrPort]holding

	// The fields below belong to Run's goroutine.
	started time.Duration
	// mark is how far the rows were read.
	mark uint64
	// moved tells that an owner row has changed since the last view.
	moved    bool
	instance map[netip.AddrPort]sighting
	owners   map[netip.AddrPort]ownerRow
	lost     bool
	// engines tells that any were known when the last step began.
	engines bool
	// stale tells that the rows could not be read in this step.
	stale bool
	// heard is when the last step began in which the table answered.
	heard time.Duration
	// ended is when this instance last owned engines that others own now.
	ended map[netip.AddrPort]time.Duration
	// renewedAt is when the last successful renewal was sent, triedAt the last of all.
	renewedAt time.Duration
	triedAt   time.Duration
}

// holding is an engine that this instance owns.
type holding struct {
	fence   uint64
	version uint64
	// from is when orders may begin.
	from time.Duration
	// confirmed tells that a renewal covered it.
	confirmed bool
}

// sighting is an instance row and when its version was first read.
type sighting struct {
	Instance
	// hash is the instance's part of its ranks.
	hash    uint64
	version uint64
	since   time.Duration
}

type ownerRow struct {
	ownership
	version uint64
	// seen is when this version was first read.
	seen time.Duration
}

// Fence returns the fencing number for an order to an engine, and false when this
// instance must not order it now.
func (h *Holder) Fence(engine netip.AddrPort) (uint64, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.holdings[engine]
	now := h.Clock()
	if !ok || !o.confirmed || now >= h.until || now < o.from {
		return 0, false
	}
	return o.fence, true
}

// Owns reports whether this instance owns engines.
func (h *Holder) Owns() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return len(h.holdings) > 0
}

// Leave asks the holder to give all engines up.
func (h *Holder) Leave() { h.leaving.Store(true) }

// Run keeps the row until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	h.prepare()
	for errors.Is(h.read(ctx), snipeplatform.ErrUnread) {
		if !snipetime.Sleep(ctx, firstEvery) {
			return nil
		}
	}
	// What the rows tell is known at once: the first write may have to wait for others'.
	h.publish()
	if len(h.instance) == 0 {
		// All may start now for the first time, and a part of the store makes a few hundred
		// writes a second: those that come later find enough owners and write nothing yet.
		first := time.NewTimer(h.portion(firstSpread))
		defer first.Stop()
		h.lookUntil(ctx, first.C)
	}
	t := time.NewTicker(stepEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		h.Step(ctx)
		if h.awaitEngines(ctx, t.C) || h.awaitRetry(ctx) {
			t.Reset(stepEvery)
			continue
		}
		h.lookUntil(ctx, t.C)
	}
	return nil
}

// awaitEngines waits, for a while after the start, until engines are known, and reports whether
// the next step is due: an instance that starts again takes its engines back at once, whichever
// of the rows and the directory it reads first.
func (h *Holder) awaitEngines(ctx context.Context, end <-chan time.Time) bool {
	if h.engines || h.Clock()-h.started > unknownEngines {
		return false
	}
	look := time.NewTicker(firstEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-end:
			return true
		case <-h.nudges():
			h.look(ctx)
		case <-look.C:
			if len(h.Engines()) > 0 {
				return true
			}
		}
	}
}

// awaitRetry waits, for a while after the start, where the store has not made the write by which
// this instance takes back what it owned, and reports whether the next step is due.
func (h *Holder) awaitRetry(ctx context.Context) bool {
	if !h.lost || h.Owns() || h.leaving.Load() || h.Clock()-h.started > unknownEngines || !h.formerOwner() {
		return false
	}
	retry := time.NewTimer(firstRetry)
	defer retry.Stop()
	h.lookUntil(ctx, retry.C)
	return true
}

// lookUntil looks at the rows whenever it is nudged, until a time comes or ctx ends.
func (h *Holder) lookUntil(ctx context.Context, end <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-h.nudges():
			h.look(ctx)
		}
	}
}

// Nudge has the rows looked at before the next step, where somebody waits for what they tell.
func (h *Holder) Nudge() {
	select {
	case h.nudges() <- struct{}{}:
	default: // a look is due already
	}
}

func (h *Holder) nudges() chan struct{} {
	h.prepared.Do(func() { h.nudged = make(chan struct{}, 1) })
	return h.nudged
}

// look takes the rows into a new view. What a step decides waits for the next one.
func (h *Holder) look(ctx context.Context) {
	if err := h.read(ctx); err == nil {
		h.publish()
	}
}

func (h *Holder) prepare() {
	if h.instance != nil {
		return
	}
	h.started = h.Clock()
	h.instance = make(map[netip.AddrPort]sighting)
	h.owners = make(map[netip.AddrPort]ownerRow)
	h.ended = make(map[netip.AddrPort]time.Duration)
	h.lock.Lock()
	defer h.lock.Unlock()
	h.holdings = make(map[netip.AddrPort]holding)
}

// Step reads all rows, renews this instance's own with what it owns, and takes
// engines that have no live owner.
func (h *Holder) Step(ctx context.Context) {
	h.prepare()
	h.outage.begin(h.Clock())
	h.engines = len(h.Engines()) > 0
	err := h.read(ctx)
	if errors.Is(err, snipeplatform.ErrUnread) {
		return
	}
	h.stale = err != nil
	if !h.lost && !h.stale {
		h.heard = h.Clock()
	}
	standby := h.standby()
	if standby && !h.standbyDue() || h.left() {
		h.outage.skip()
		h.publish()
		return
	}
	err = h.renew(ctx, standby)
	h.outage.end(h.Clock(), snipeplatform.Answered(err))
	h.note(err)
	h.publish()
}

// note logs the loss and the return of the table once.
func (h *Holder) note(err error) {
	if h.Reached != nil {
		h.Reached(snipeplatform.Answered(err))
	}
	switch {
	case err != nil && !h.lost:
		h.Log.Error(snipelog.OwnershipStale, err, nil)
	case err == nil && h.lost:
		h.Log.Log(snipelog.OwnershipFresh, nil)
	}
	h.lost = err != nil
}
