package snipelease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
)

// watch records what this instance last read of another instance's lease row, whose engines it
// takes over if the row does not change.
type watch struct {
	incarnation string
	version     uint64
	// since is when the version was first read, counted from before the read.
	since time.Time
}

// claim takes the engines that have no live owner and that this instance should own. It takes none
// while this instance is leaving, has not joined, or has ended its lease for good.
func (h *Holder) claim(ctx context.Context, p plan) {
	if h.leaving.Load() || !p.joined || h.hasEnded() {
		return
	}
	for _, engine := range h.Engines() {
		row := h.rows[engine]
		if row.owner == h.selfOwner() || row.Instance != "" && row.Instance != h.Self.Name && !h.presumedGone(row.Instance) {
			delete(h.ownerlessSince, engine)
			continue
		}
		if rank, ok := h.rank(p, engine, row); ok && h.claimEngine(ctx, engine, row, rank) {
			p.counts[h.Self.Name]++
		}
	}
}

// claimEngine takes an engine if its owner's lease has certainly ended and the delay for this
// instance's rank has passed.
func (h *Holder) claimEngine(ctx context.Context, engine string, row ownerRow, rank int) bool {
	if row.Instance == "" {
		if _, ok := h.ownerlessSince[engine]; !ok {
			h.ownerlessSince[engine] = time.Now()
		}
		return h.mayClaimNow(rank, h.ownerlessSince[engine]) && h.takeEngine(ctx, engine, row, nil)
	}
	if silence := time.Since(h.Members.LastContact()); len(h.observed.all) > 1 && silence > h.Renew && silence < isolatedTakeoverDelay {
		return false
	}
	// An owner row that was announced or returned by a peer is only a hint: a takeover requires a
	// direct read.
	fresh, err := h.readForTakeover(ctx, engine, row)
	if err != nil || fresh.owner != row.owner || fresh.version != row.version {
		return false
	}
	condition, ok := h.leaseOver(ctx, row)
	if !ok {
		return false
	}
	free := h.watches[row.Instance].since.Add(h.Duration + h.Margin)
	return h.mayClaimNow(rank, free) && h.takeEngine(ctx, engine, row, condition)
}

func (h *Holder) hasEnded() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.ended
}

// leaseOver reports whether the lease of a row's owner has certainly ended, and returns the
// condition that the takeover's transaction checks to ensure that this still holds. The condition
// is nil if no renewal can revive the lease. The first call for an owner starts the wait and
// reports false.
func (h *Holder) leaseOver(ctx context.Context, row ownerRow) (*snipeplatform.Change, bool) {
	if row.Instance == "" {
		return nil, true
	}
	key := snipeplatform.Key{Partition: instancesPartition, Sort: row.Instance}
	w, known := h.watches[row.Instance]
	if !known || time.Since(w.since) >= h.Duration+h.Margin {
		// Read the row, for the first time or again: a renewal since the first read restarts the
		// wait. Renewals by another incarnation than the owner's do not matter.
		sent := time.Now()
		version, incarnation, err := h.readLease(ctx, key)
		if err != nil {
			return nil, false
		}
		same := w.incarnation == incarnation && (w.version == version || incarnation != row.Incarnation)
		if !known || !same {
			w = watch{incarnation: incarnation, version: version, since: sent}
			h.watches[row.Instance] = w
		}
	}
	if time.Since(w.since) < h.Duration+h.Margin {
		return nil, false
	}
	if w.incarnation != row.Incarnation {
		// The row belongs to another incarnation, or does not exist: the owner's last renewal
		// precedes the first read, and its next one will fail.
		return nil, true
	}
	return &snipeplatform.Change{Key: key, Expect: w.version}, true
}

// readForTakeover reads the owner row if the owner's lease row has not been read yet, or was
// first read at its version at least Duration and Margin ago. In between it returns row as it is.
func (h *Holder) readForTakeover(ctx context.Context, engine string, row ownerRow) (ownerRow, error) {
	w, known := h.watches[row.Instance]
	if known && time.Since(w.since) < h.Duration+h.Margin {
		return row, nil
	}
	fresh, err := h.readOwner(ctx, engine)
	if err == nil {
		h.applyRow(engine, fresh)
	}
	return fresh, err
}

// readLease returns the version and the incarnation of a lease row, or 0 and an empty string when
// the row does not exist.
func (h *Holder) readLease(ctx context.Context, key snipeplatform.Key) (version uint64, incarnation string, err error) {
	row, err := h.Table.Get(ctx, key)
	if errors.Is(err, snipeplatform.ErrNotFound) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", errors.Wrap(err, "read lease")
	}
	var i Instance
	if err := json.Unmarshal(row.Data, &i); err != nil {
		return 0, "", errors.Wrapf(err, "decode lease row %s", key.Sort)
	}
	return row.Version, i.Incarnation, nil
}

// takeEngine makes this instance the owner of an engine by a transaction with the condition, and
// reports whether the write succeeded. If the lease has ended by then, the engine counts as owned
// only after its owner row is read again.
func (h *Holder) takeEngine(ctx context.Context, engine string, row ownerRow, condition *snipeplatform.Change) bool {
	changes := []snipeplatform.Change{h.ownerChange(engine, row, h.selfOwner())}
	if condition != nil {
		changes = append(changes, *condition)
	}
	sent := time.Now()
	if err := h.Table.Settle(ctx, h.Operation(), changes); err != nil {
		// Another instance took the engine first, the owner has renewed, or the outcome is unknown:
		// the row shows which.
		delete(h.watches, row.Instance)
		h.rereadOwner(ctx, engine)
		return false
	}
	taken := ownerRow{owner: h.selfOwner(), version: row.version + 1}
	h.rows[engine] = taken
	delete(h.ownerlessSince, engine)
	h.lock.Lock()
	if sent.Before(h.deadline) {
		h.owned[engine] = ownedEngine{fence: taken.version, verified: true}
	}
	h.lock.Unlock()
	h.announce(engine, taken)
	h.Log.Log(snipelog.EngineTaken, snipelog.Fields{"Engine": engine, "Fence": taken.version})
	return true
}

// ownerChange returns the change that replaces the owner in a row, if the row is still at its known
// version.
func (h *Holder) ownerChange(engine string, row ownerRow, to owner) snipeplatform.Change {
	// Marshaling a struct of strings cannot fail.
	data, _ := json.Marshal(to)
	return snipeplatform.Change{
		Key: snipeplatform.Key{Partition: ownersPartition, Sort: engine}, Expect: row.version, Data: data,
	}
}

func (h *Holder) rereadOwner(ctx context.Context, engine string) {
	if row, err := h.readOwner(ctx, engine); err == nil {
		h.applyRow(engine, row)
	}
}

// handOver hands over engines: all of them at a planned stop, otherwise those above the bound, to
// instances with capacity. Other instances send no new calls to an engine that is being handed
// over; the engine changes owner as soon as no call or order is in flight. If no instance has
// capacity by then, the engine is released.
func (h *Holder) handOver(ctx context.Context, p plan) {
	excess := p.counts[h.Self.Name] - p.bound
	if h.leaving.Load() {
		excess = len(h.Engines()) + len(h.Owned())
	}
	for _, engine := range h.Owned() {
		h.lock.Lock()
		o := h.owned[engine]
		h.lock.Unlock()
		targets := p.candidates(engine)
		surplus := excess > 0 && (len(targets) > 0 || h.leaving.Load())
		if !o.verified || !surplus && !o.handingOver {
			continue
		}
		excess--
		if !o.handingOver {
			h.startHandover(engine)
		}
		if h.Busy(engine) {
			continue
		}
		var next owner
		if len(targets) > 0 {
			next = h.ownerOf(targets[0])
			p.counts[targets[0]]++
		}
		h.transfer(ctx, engine, next)
	}
}

// ownerOf returns the named instance as an owner. The result is empty when the instance's
// incarnation is not known: the engine is then released, so that the instance can claim it itself.
func (h *Holder) ownerOf(name string) owner {
	i, ok := h.instances[name]
	if !ok || i.Incarnation == "" {
		return owner{}
	}
	return owner{Instance: name, Incarnation: i.Incarnation}
}

// startHandover marks an engine as being handed over and announces this.
func (h *Holder) startHandover(engine string) {
	h.lock.Lock()
	o := h.owned[engine]
	o.handingOver = true
	h.owned[engine] = o
	h.lock.Unlock()
	row := h.rows[engine]
	row.handingOver = true
	h.rows[engine] = row
	h.announce(engine, row)
}

// transfer writes the new owner of an engine; an empty owner releases the engine.
func (h *Holder) transfer(ctx context.Context, engine string, to owner) {
	row := h.rows[engine]
	err := h.Table.Settle(ctx, h.Operation(), []snipeplatform.Change{h.ownerChange(engine, row, to)})
	if err != nil {
		h.rereadOwner(ctx, engine)
		return
	}
	transferred := ownerRow{owner: to, version: row.version + 1}
	h.rows[engine] = transferred
	h.lock.Lock()
	delete(h.owned, engine)
	h.lock.Unlock()
	h.announce(engine, transferred)
	h.Log.Log(snipelog.EngineGivenUp, snipelog.Fields{"Engine": engine, "To": to.Instance})
}

// removeLease deletes the lease row and ends the lease, once this instance is leaving and owns no
// engine. If that fails, the next step tries again.
func (h *Holder) removeLease(ctx context.Context) {
	if !h.leaving.Load() || len(h.Owned()) > 0 || h.hasEnded() {
		return
	}
	key := snipeplatform.Key{Partition: instancesPartition, Sort: h.Self.Name}
	err := h.Table.Write(ctx, h.Operation(), []snipeplatform.Change{{Key: key, Expect: h.leaseVersion, Delete: true}})
	if err != nil {
		// A remaining row costs each instance that encounters it one read.
		return
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	h.ended = true
}
