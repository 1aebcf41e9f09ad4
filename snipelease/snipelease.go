// Package snipelease keeps an instance's lease and the ownership of engines in
// the platform's table.
//
// Design. Each instance has one lease row, renewed at an interval far shorter
// than the lease's duration. Each engine has an owner row; the row's version
// is the fencing number of the owner's orders. Invariants:
//
//   - An instance believes in its lease until the duration has passed on its
//     monotonic clock, counted from before the renewal was sent.
//   - An owner row changes hands only when its owner gave it up, or when the
//     owner's lease row has stayed at one version for the duration and a
//     margin as seen by the new owner; the takeover's transaction checks that
//     version, so that a renewal in between defeats it.
//   - An instance whose lease has lapsed owns nothing until it has renewed the
//     lease and read the owner rows again.
package snipelease

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	instancesPartition = "Instances"
	ownersPartition    = "Owners"
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
	// Revision is the revision of the settings in force on it.
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
}

// View is an immutable snapshot of instances and owners.
type View struct {
	// Instances are those whose lease holds, by name.
	Instances map[string]Instance
	// Owners are the engines' owners by the engine's name.
	Owners map[string]Ownership
}

// observation is a lease row's version and when this instance first saw it.
type observation struct {
	instance Instance
	version  uint64
	since    time.Time
}

// ownerRow is an owner row as last read.
type ownerRow struct {
	owner
	version uint64
}

// Holder keeps the lease. Its exported fields are set before Run.
type Holder struct {
	// Table is the platform's table.
	Table snipeplatform.Table
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
	// Log takes the holder's events.
	Log *snipelog.Logger

	view    atomic.Pointer[View]
	leaving atomic.Bool

	lock     sync.Mutex // guards the fields below; never held during a request
	deadline time.Time
	owned    map[string]uint64
	giving   map[string]bool

	// The fields below belong to Run's goroutine.
	version  uint64
	seen     map[string]observation
	ownerRow map[string]ownerRow
}

// View returns the last snapshot; never nil.
func (h *Holder) View() *View {
	if v := h.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Fence returns the fencing number of an engine that this instance owns and
// is not giving up. It reports false when the lease has lapsed.
func (h *Holder) Fence(engine string) (uint64, bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if !time.Now().Before(h.deadline) || h.giving[engine] {
		return 0, false
	}
	f, ok := h.owned[engine]
	return f, ok
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

// Run keeps the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	t := time.NewTicker(h.Renew)
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

// Step renews the lease once, reads the rows and takes or gives up engines.
func (h *Holder) Step(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, h.Duration/2)
	defer cancel()
	if err := h.renew(bounded); err != nil {
		h.Log.Error(snipelog.LeaseRenewFailed, err, nil)
		h.lapse()
		return
	}
	if err := h.read(bounded); err != nil {
		h.Log.Error(snipelog.OwnersReadFailed, err, nil)
		return
	}
	h.claim(bounded)
	h.giveUp(bounded)
	h.publish()
}

// lapse forgets the owned engines once the lease has run out.
func (h *Holder) lapse() {
	h.lock.Lock()
	defer h.lock.Unlock()
	if len(h.owned) == 0 || time.Now().Before(h.deadline) {
		return
	}
	h.owned = nil
	h.Log.Log(snipelog.LeaseLapsed, nil)
}

func (h *Holder) renew(ctx context.Context) error {
	self := h.Self
	self.Leaving = h.leaving.Load()
	self.Revision = h.Revision()
	data, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	key := snipeplatform.Key{Partition: instancesPartition, Sort: h.Self.Name}
	operation := h.Operation()
	sent := time.Now()
	err = h.Table.Write(ctx, operation, []snipeplatform.Change{{Key: key, Expect: h.version, Data: data}})
	if err != nil {
		err = h.confirm(ctx, key, operation, err)
	} else {
		h.version++
	}
	if err != nil {
		return err
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	if !sent.Before(h.deadline) {
		// The lease had lapsed: whatever was owned is read anew.
		h.owned = nil
	}
	h.deadline = sent.Add(h.Duration)
	return nil
}

// confirm reads the lease row after a write that was refused or whose outcome
// is unknown, and adopts the row's version.
func (h *Holder) confirm(ctx context.Context, key snipeplatform.Key, operation string, cause error) error {
	if errors.Is(cause, snipeplatform.ErrUnavailable) {
		return cause
	}
	row, err := h.Table.Get(ctx, key)
	if errors.Is(err, snipeplatform.ErrNotFound) {
		h.version = 0
		return cause
	}
	if err != nil {
		return errors.Wrap(err, "read lease back")
	}
	h.version = row.Version
	if row.Operation == operation {
		return nil
	}
	return cause
}

func (h *Holder) read(ctx context.Context) error {
	rows, err := h.Table.List(ctx, instancesPartition)
	if err != nil {
		return errors.Wrap(err, "list instances")
	}
	h.observe(rows, time.Now())
	rows, err = h.Table.List(ctx, ownersPartition)
	if err != nil {
		return errors.Wrap(err, "list owners")
	}
	h.ownerRow = map[string]ownerRow{}
	owned := map[string]uint64{}
	for _, r := range rows {
		o := ownerRow{version: r.Version}
		if err := json.Unmarshal(r.Data, &o.owner); err != nil {
			return errors.Wrapf(err, "owner row %s", r.Sort)
		}
		h.ownerRow[r.Sort] = o
		if o.Instance == h.Self.Name && o.Incarnation == h.Self.Incarnation {
			owned[r.Sort] = r.Version
		}
	}
	h.lock.Lock()
	h.owned = owned
	h.lock.Unlock()
	return nil
}

func (h *Holder) observe(rows []snipeplatform.Row, now time.Time) {
	seen := map[string]observation{}
	for _, r := range rows {
		var i Instance
		if err := json.Unmarshal(r.Data, &i); err != nil {
			continue
		}
		old, ok := h.seen[r.Sort]
		if ok && old.version == r.Version {
			seen[r.Sort] = old
			continue
		}
		seen[r.Sort] = observation{instance: i, version: r.Version, since: now}
	}
	h.seen = seen
}

// alive reports whether an instance's lease may still hold.
func (h *Holder) alive(name string) bool {
	o, ok := h.seen[name]
	return ok && time.Since(o.since) < h.Duration+h.Margin
}

// desired returns the live instance that should own an engine.
func (h *Holder) desired(engine string) string {
	key := sniperoute.Hash(engine)
	best, bestScore := "", uint64(0)
	for name, o := range h.seen {
		if !h.alive(name) || o.instance.Leaving {
			continue
		}
		s := sniperoute.Score(key, sniperoute.Hash(name))
		if best == "" || s > bestScore || s == bestScore && name < best {
			best, bestScore = name, s
		}
	}
	return best
}

// claim takes the engines that should be this instance's and have no owner
// whose lease may still hold.
func (h *Holder) claim(ctx context.Context) {
	if h.leaving.Load() {
		return
	}
	for _, engine := range h.Engines() {
		row := h.ownerRow[engine]
		mine := row.Instance == h.Self.Name && row.Incarnation == h.Self.Incarnation
		if mine || h.desired(engine) != h.Self.Name || h.held(row) {
			continue
		}
		h.take(ctx, engine, row)
	}
}

// held reports whether the row's owner may still believe in its lease.
func (h *Holder) held(row ownerRow) bool {
	o, ok := h.seen[row.Instance]
	if row.Instance == "" || !ok {
		return false
	}
	return h.alive(row.Instance) && o.instance.Incarnation == row.Incarnation
}

func (h *Holder) take(ctx context.Context, engine string, row ownerRow) {
	data, err := json.Marshal(owner{Instance: h.Self.Name, Incarnation: h.Self.Incarnation})
	if err != nil {
		return
	}
	changes := []snipeplatform.Change{{
		Key:    snipeplatform.Key{Partition: ownersPartition, Sort: engine},
		Expect: row.version, Data: data,
	}}
	if o, ok := h.seen[row.Instance]; ok && row.Instance != "" && row.Instance != h.Self.Name {
		changes = append(changes, snipeplatform.Change{
			Key:    snipeplatform.Key{Partition: instancesPartition, Sort: row.Instance},
			Expect: o.version,
		})
	}
	if err := h.Table.Write(ctx, h.Operation(), changes); err != nil {
		// A conflict or an unknown outcome: the next read tells.
		return
	}
	h.ownerRow[engine] = ownerRow{owner: owner{h.Self.Name, h.Self.Incarnation}, version: row.version + 1}
	h.lock.Lock()
	defer h.lock.Unlock()
	h.owned[engine] = row.version + 1
	h.Log.Log(snipelog.EngineTaken, snipelog.Fields{"Engine": engine, "Fence": row.version + 1})
}

// giveUp hands over engines that another live instance should own, as soon as
// nothing is in flight there.
func (h *Holder) giveUp(ctx context.Context) {
	for _, engine := range h.Owned() {
		to := h.desired(engine)
		away := to != "" && to != h.Self.Name || h.leaving.Load()
		h.lock.Lock()
		if h.giving == nil {
			h.giving = map[string]bool{}
		}
		h.giving[engine] = away
		h.lock.Unlock()
		if away && !h.Busy(engine) {
			h.release(ctx, engine)
		}
	}
}

func (h *Holder) release(ctx context.Context, engine string) {
	row := h.ownerRow[engine]
	data, err := json.Marshal(owner{})
	if err != nil {
		return
	}
	err = h.Table.Write(ctx, h.Operation(), []snipeplatform.Change{{
		Key:    snipeplatform.Key{Partition: ownersPartition, Sort: engine},
		Expect: row.version, Data: data,
	}})
	if err != nil {
		return
	}
	h.ownerRow[engine] = ownerRow{version: row.version + 1}
	h.lock.Lock()
	defer h.lock.Unlock()
	delete(h.owned, engine)
	delete(h.giving, engine)
	h.Log.Log(snipelog.EngineGivenUp, snipelog.Fields{"Engine": engine})
}

func (h *Holder) publish() {
	v := &View{Instances: map[string]Instance{}, Owners: map[string]Ownership{}}
	for name, o := range h.seen {
		if h.alive(name) {
			v.Instances[name] = o.instance
		}
	}
	for engine, r := range h.ownerRow {
		if i, ok := v.Instances[r.Instance]; ok {
			v.Owners[engine] = Ownership{Instance: i, Fence: r.version}
		}
	}
	h.view.Store(v)
}
