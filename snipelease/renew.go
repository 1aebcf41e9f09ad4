package snipelease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipeplatform"
)

// renewalDue reports whether the lease is to be renewed in this step.
func (h *Holder) renewalDue() bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return !h.ended && !time.Now().Before(h.nextRenewal)
}

// renew writes the lease row. After a success the lease ends Duration after the write was sent, and
// if it had lapsed, all ownerships are invalid until verified. renewalFailed stays set after an
// error.
func (h *Holder) renew(ctx context.Context) error {
	self := h.Self
	self.Leaving = h.leaving.Load()
	self.Revision = h.Revision()
	data, err := json.Marshal(self)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	key := snipeplatform.Key{Partition: instancesPartition, Sort: h.Self.Name}
	h.renewalFailed = true
	var sent time.Time
	err = h.retryUnavailable(ctx, func() error {
		sent = time.Now()
		return h.Table.Settle(ctx, h.Operation(), []snipeplatform.Change{{Key: key, Expect: h.leaseVersion, Data: data}})
	})
	if errors.Is(err, snipeplatform.ErrConflict) {
		return h.resolveConflict(ctx, key, err)
	}
	if err != nil {
		return err
	}
	h.leaseVersion++
	h.announceRecovery()
	h.renewed, h.renewalFailed = true, false
	h.lock.Lock()
	defer h.lock.Unlock()
	h.extensionLogged, h.lapseLogged = false, false
	if !sent.Before(h.deadline) {
		// The lease had lapsed: each ownership is invalid until its owner row is verified again.
		for engine, o := range h.owned {
			o.verified = false
			h.owned[engine] = o
		}
	}
	h.deadline = sent.Add(h.Duration)
	return nil
}

// retryUnavailable sends a request up to three times, about 200 ms apart, while the table refuses it
// as unavailable, as a throttled table does at times.
func (h *Holder) retryUnavailable(ctx context.Context, request func() error) error {
	const tries, wait = 3, 200 * time.Millisecond
	for n := 1; ; n++ {
		err := request()
		if !errors.Is(err, snipeplatform.ErrUnavailable) || n == tries {
			return err
		}
		t := time.NewTimer(h.jitter(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return err
		case <-t.C:
		}
	}
}

// resolveConflict reads the lease row after a conflict and renews the lease again. A row of an
// earlier incarnation, or a write of this incarnation that took effect late, is overwritten. A row
// of another incarnation that replaced this one ends all ownerships. A missing row is created by
// the next renewal.
func (h *Holder) resolveConflict(ctx context.Context, key snipeplatform.Key, cause error) error {
	row, err := h.Table.Get(ctx, key)
	if errors.Is(err, snipeplatform.ErrNotFound) {
		h.leaseVersion = 0
		return cause
	}
	if err != nil {
		return errors.Wrap(err, "read lease after conflict")
	}
	var i Instance
	if err := json.Unmarshal(row.Data, &i); err != nil {
		return errors.Wrap(err, "decode lease after conflict")
	}
	if i.Incarnation != h.Self.Incarnation && h.renewed {
		h.endLease()
		return errors.Wrapf(cause, "incarnation %s uses this instance's name", i.Incarnation)
	}
	h.leaseVersion = row.Version
	return h.renew(ctx)
}

// endLease ends the lease and all ownerships for good.
func (h *Holder) endLease() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.ended, h.owned = true, map[string]ownedEngine{}
	h.deadline, h.extendedUntil = time.Time{}, time.Time{}
	h.Log.Log(snipelog.NameTaken, nil)
}

// recoveryAnnouncers is about how many of the instances that reach the table announce this while
// other instances report that they do not.
const recoveryAnnouncers = 10

// announceRecovery announces that this instance reaches the table if it had reported otherwise.
// If other instances report that they do not reach the table, a few random instances announce that
// they do, so that an instance does not treat its own connection failure as an outage.
func (h *Holder) announceRecovery() {
	othersLost := false
	for name, lost := range h.observed.tableLost {
		othersLost = othersLost || lost && name != h.Self.Name
	}
	chosen := h.Random()*float64(len(h.observed.all)) < recoveryAnnouncers
	if h.observed.tableLost[h.Self.Name] || othersLost && chosen {
		h.Members.Announce(tableLostTopic, "", flagCleared, 3*h.Renew)
	}
}

// outage reports whether more than half of all known instances have lost the table and no other
// live instance has reported that it reaches the table. It also returns both counts. Instances that
// have left do not count.
func (h *Holder) outage() (without, known int, outage bool) {
	reached := false
	for _, m := range h.observed.all {
		if m.Status == snipemember.Left {
			continue
		}
		known++
		lost, reported := h.observed.tableLost[m.Name]
		if lost {
			without++
		}
		reached = reached || reported && !lost && m.Live() && m.Name != h.Self.Name
	}
	return without, known, 2*without > known && !reached
}

// handleFailedRenewal is called in each step after a renewal that failed. It announces that the
// table is lost, and decides whether to extend the ownerships past the lease: only in an outage,
// and while this instance is in contact with others or knows none. The extension is shorter than the
// wait before a takeover, which cannot begin before some instance reaches the table again. When the
// outage ends, a short time remains to renew.
func (h *Holder) handleFailedRenewal() {
	// The announcement must outlast a step that fails by its timeout.
	h.Members.Announce(tableLostTopic, "", flagSet, 2*(h.Duration/3+h.Renew))
	h.observed.tableLost[h.Self.Name] = true
	without, known, outage := h.outage()
	inContact := known < 2 || time.Since(h.Members.LastContact()) < h.Renew
	h.updateExtension(outage && inContact, inContact, snipelog.Fields{"Without": without, "Known": known})
}

// updateExtension extends the ownerships by Duration from now in an outage. When an outage has ended
// it leaves Renew/4 for one early renewal. Otherwise it lets the lease lapse: it ends the extension.
func (h *Holder) updateExtension(outage, inContact bool, fields snipelog.Fields) {
	h.lock.Lock()
	defer h.lock.Unlock()
	now := time.Now()
	expired := !now.Before(h.deadline) && len(h.owned) > 0
	// After an interruption the ownerships are not extended again before the owner rows are
	// verified: another instance may have taken engines over.
	uninterrupted := now.Before(h.deadline) || now.Before(h.extendedUntil)
	switch {
	case outage && uninterrupted && !h.ended:
		h.logOnce(expired, &h.extensionLogged, snipelog.LeaseOutlived, fields)
		h.extendedUntil, h.retriedEarly = now.Add(h.Duration), false
	case h.retriedEarly && now.Before(h.extendedUntil):
	case inContact && now.Before(h.extendedUntil):
		h.retriedEarly = true
		h.nextRenewal = now.Add(h.jitter(h.Renew / 8))
		h.extendedUntil = now.Add(h.Renew / 4)
	default:
		h.logOnce(expired, &h.lapseLogged, snipelog.LeaseLapsed, nil)
		h.extendedUntil = time.Time{}
	}
}

// logOnce logs an event that is due, unless it was logged since the last successful renewal. The
// lock is held.
func (h *Holder) logOnce(due bool, logged *bool, e snipelog.Event, f snipelog.Fields) {
	if due && !*logged {
		*logged = true
		h.Log.Log(e, f)
	}
}

// verifyOwned verifies the owner rows of the engines whose ownership is invalid since the lease
// lapsed. It uses a write that changes nothing, because a read may be stale. An engine whose row has
// changed is no longer owned. verifyOwned also ends the extension past the lease, since it is called
// only after a successful renewal.
func (h *Holder) verifyOwned(ctx context.Context) {
	for _, engine := range h.Owned() {
		h.lock.Lock()
		o := h.owned[engine]
		h.lock.Unlock()
		if o.verified {
			continue
		}
		key := snipeplatform.Key{Partition: ownersPartition, Sort: engine}
		err := h.Table.Write(ctx, h.Operation(), []snipeplatform.Change{{Key: key, Expect: o.fence}})
		h.lock.Lock()
		switch {
		case err == nil:
			o.verified = true
			h.owned[engine] = o
		case errors.Is(err, snipeplatform.ErrConflict):
			delete(h.owned, engine)
		}
		h.lock.Unlock()
		if errors.Is(err, snipeplatform.ErrConflict) {
			h.Log.Log(snipelog.EngineLost, snipelog.Fields{"Engine": engine, "Fence": o.fence})
			h.rereadOwner(ctx, engine)
		}
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	h.extendedUntil = time.Time{}
}
