package snipelease

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipeplatform"
)

// maxSingleReads is the largest number of unknown instances whose lease rows are read one by one.
// For more, all lease rows are listed.
const maxSingleReads = 5

// Step renews the lease if that is due, reads what has changed, claims or hands over engines, and
// publishes a new View. After a failed renewal it makes no other request to the table until the
// next renewal succeeds. Its requests together take at most a third of Duration.
func (h *Holder) Step(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, h.Duration/3)
	defer cancel()
	h.initialize()
	h.observe()
	h.applyAnnouncements()
	if h.renewalDue() {
		if err := h.renew(bounded); err != nil {
			h.Log.Error(snipelog.LeaseRenewFailed, err, nil)
			h.observe()
			h.askOwners(bounded)
		}
		h.nextRenewal = time.Now().Add(h.jitter(h.renewalDelay()))
	}
	if h.renewalFailed {
		// Further requests would likely fail until the next renewal is attempted.
		h.handleFailedRenewal()
		h.publish()
		return
	}
	h.verifyOwned(bounded)
	if err := h.refreshOwners(bounded); err != nil {
		h.Log.Error(snipelog.OwnersReadFailed, err, nil)
		h.publish()
		return
	}
	h.updateInstances(bounded)
	p := h.plan()
	h.claim(bounded, p)
	h.handOver(bounded, p)
	h.removeLease(bounded)
	h.publish()
}

// Data of the announcements under tableLostTopic and hungTopic.
var (
	flagSet     = []byte{1}
	flagCleared = []byte{0}
)

// renewalDelay returns the time to the next renewal. It is shorter after a failure while the lease
// is still valid, so that an intermittently available table does not make the lease lapse.
func (h *Holder) renewalDelay() time.Duration {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.renewalFailed && time.Now().Before(h.deadline) {
		return h.Renew / 4
	}
	return h.Renew
}

// observe reads the membership and its announcements of lost tables and hung instances.
func (h *Holder) observe() {
	s := observation{byName: map[string]snipemember.Member{}, tableLost: map[string]bool{}, hung: map[string]bool{}}
	s.all, s.joined = h.Members.All()
	for _, m := range s.all {
		s.byName[m.Name] = m
	}
	for _, d := range h.Members.Digests(tableLostTopic) {
		s.tableLost[d.Origin] = bytes.Equal(d.Data, flagSet)
	}
	for _, d := range h.Members.Digests(hungTopic) {
		s.hung[d.Key] = s.hung[d.Key] || bytes.Equal(d.Data, flagSet)
	}
	h.observed = s
}

// initialize creates the holder's maps at the first step.
func (h *Holder) initialize() {
	if h.rows != nil {
		return
	}
	h.started = time.Now()
	h.rows, h.instances = map[string]ownerRow{}, map[string]instanceRecord{}
	h.watches, h.ownerlessSince = map[string]watch{}, map[string]time.Time{}
	h.lock.Lock()
	defer h.lock.Unlock()
	h.owned = map[string]ownedEngine{}
}

// readOwner reads an engine's owner row. A row that does not exist is returned as an empty ownerRow
// with version 0.
func (h *Holder) readOwner(ctx context.Context, engine string) (ownerRow, error) {
	row, err := h.Table.Get(ctx, snipeplatform.Key{Partition: ownersPartition, Sort: engine})
	if errors.Is(err, snipeplatform.ErrNotFound) {
		return ownerRow{}, nil
	}
	if err != nil {
		return ownerRow{}, errors.Wrapf(err, "read owner of %s", engine)
	}
	return decodeOwner(row)
}

func decodeOwner(row snipeplatform.Row) (ownerRow, error) {
	r := ownerRow{version: row.Version}
	if err := json.Unmarshal(row.Data, &r.owner); err != nil {
		return r, errors.Wrapf(err, "decode owner row %s", row.Sort)
	}
	return r, nil
}

// applyRow records an owner row that was read, and adds or removes this instance's ownership
// accordingly. A row that is older than the known one changes nothing.
func (h *Holder) applyRow(engine string, row ownerRow) {
	if old, ok := h.rows[engine]; ok && old.version > row.version {
		return
	}
	row.handingOver = row.handingOver || h.rows[engine].handingOver && h.rows[engine].version == row.version
	h.rows[engine] = row
	h.lock.Lock()
	defer h.lock.Unlock()
	if row.owner != h.selfOwner() {
		delete(h.owned, engine)
		return
	}
	if h.ended {
		return
	}
	o := h.owned[engine]
	h.owned[engine] = ownedEngine{fence: row.version, verified: true, handingOver: o.handingOver && o.fence == row.version}
}

func (h *Holder) selfOwner() owner { return owner{h.Self.Name, h.Self.Incarnation} }

// announcement is the announced content of an owner row.
type announcement struct {
	Owner       owner
	Fence       uint64
	HandingOver bool `json:"Giving,omitempty"`
}

// announce sends an owner row to the other instances as an announcement. A row that exceeds the
// membership's size limit is not announced; other instances read it when they list all owner rows.
func (h *Holder) announce(engine string, row ownerRow) {
	data, err := json.Marshal(announcement{Owner: row.owner, Fence: row.version, HandingOver: row.handingOver})
	if err != nil || len(data) > snipemember.MaxData {
		return
	}
	h.Members.Announce(ownerTopic, engine, data, announcementTTL)
}

// applyAnnouncements records the owner rows that other instances announced. An announcement can
// remove an ownership from this instance but never adds one.
func (h *Holder) applyAnnouncements() {
	for _, d := range h.Members.Digests(ownerTopic) {
		var a announcement
		if err := json.Unmarshal(d.Data, &a); err != nil || d.Origin == h.Self.Name {
			continue
		}
		old := h.rows[d.Key]
		if a.Fence < old.version || a.Fence == old.version && (old.handingOver || !a.HandingOver) {
			continue
		}
		h.rows[d.Key] = ownerRow{owner: a.Owner, version: a.Fence, handingOver: a.HandingOver}
		h.lock.Lock()
		o, owned := h.owned[d.Key]
		if owned && a.Fence > o.fence {
			delete(h.owned, d.Key)
		}
		h.lock.Unlock()
	}
}

// refreshOwners reads all owner rows at long intervals, to make up for missed announcements.
// In between it reads only the rows that name this instance as owner and are not recorded as owned.
// It also checks lease rows if that is due.
func (h *Holder) refreshOwners(ctx context.Context) error {
	if !h.lastList.IsZero() && time.Since(h.lastList) < h.listInterval() {
		if err := h.readAnnounced(ctx); err != nil {
			return err
		}
		return h.checkLeasesIfDue(ctx)
	}
	rows, err := h.Table.List(ctx, ownersPartition)
	if err != nil {
		return errors.Wrap(err, "list owners")
	}
	for _, r := range rows {
		row, err := decodeOwner(r)
		if err != nil {
			// One invalid row must not hide the others.
			h.Log.Error(snipelog.OwnersReadFailed, err, nil)
			continue
		}
		h.applyRow(r.Sort, row)
	}
	h.lastList = time.Now().Add(h.jitter(minListInterval) - minListInterval)
	return h.checkLeasesIfDue(ctx)
}

// checkLeasesIfDue calls checkLeases if that is due. Two checks must be far enough apart for a
// renewal to lie between them.
func (h *Holder) checkLeasesIfDue(ctx context.Context) error {
	if time.Since(h.lastCheck) < checkInterval {
		return nil
	}
	h.lastCheck = time.Now().Add(h.jitter(checkInterval) - checkInterval)
	return h.checkLeases(ctx)
}

// listInterval returns the time between two reads of all owner rows. It grows with the number of
// rows, so that the rate at which an instance reads rows stays bounded.
func (h *Holder) listInterval() time.Duration {
	return min(minListInterval*time.Duration(max(len(h.rows)/rowsPerListInterval, 1)), maxListInterval)
}

// checkLeases reads the lease rows of some owners: those whose engines this instance would be the
// first to take over. An owner whose row has not changed since the last check is announced as hung,
// even if the membership reports it alive. If the row has changed, or was not read at the last
// check, an earlier announcement by this instance is withdrawn. After an error nothing is announced.
func (h *Holder) checkLeases(ctx context.Context) error {
	checked := map[string]uint64{}
	for engine, row := range h.rows {
		if row.Instance == "" || row.Instance == h.Self.Name || !h.hasHighestScore(engine, row.Instance) {
			continue
		}
		if _, ok := checked[row.Instance]; ok {
			continue
		}
		key := snipeplatform.Key{Partition: instancesPartition, Sort: row.Instance}
		version, _, err := h.readLease(ctx, key)
		if err != nil {
			return err
		}
		checked[row.Instance] = version
	}
	for name, version := range checked {
		old, ok := h.checkedVersions[name]
		switch {
		case ok && old == version:
			h.Members.Announce(hungTopic, name, flagSet, announcementTTL)
		case h.observed.hung[name]:
			h.Members.Announce(hungTopic, name, flagCleared, h.Renew)
		}
	}
	h.checkedVersions = checked
	return nil
}

// readAnnounced reads the owner rows that name this instance as owner, usually by an announcement,
// while the engine is not recorded as owned.
func (h *Holder) readAnnounced(ctx context.Context) error {
	for engine, r := range h.rows {
		h.lock.Lock()
		_, owned := h.owned[engine]
		h.lock.Unlock()
		if r.owner != h.selfOwner() || owned {
			continue
		}
		row, err := h.readOwner(ctx, engine)
		if err != nil {
			return err
		}
		h.applyRow(engine, row)
	}
	return nil
}

// updateInstances reads the lease rows of instances that are new here or have changed, for the
// fields that the membership does not carry. Rows that cannot be read are tried again at the next
// step.
func (h *Holder) updateInstances(ctx context.Context) {
	var unknown []string
	for _, m := range h.observed.all {
		if k, ok := h.instances[m.Name]; m.Live() && (!ok || k.memberIncarnation != m.Incarnation) {
			unknown = append(unknown, m.Name)
		}
	}
	if len(unknown) > maxSingleReads {
		instances, err := ReadInstances(ctx, h.Table)
		if err != nil {
			return
		}
		for _, i := range instances {
			h.recordInstance(i)
		}
		return
	}
	for _, name := range unknown {
		row, err := h.Table.Get(ctx, snipeplatform.Key{Partition: instancesPartition, Sort: name})
		if err != nil {
			continue
		}
		var i Instance
		if err := json.Unmarshal(row.Data, &i); err == nil {
			h.recordInstance(i)
		}
	}
}

func (h *Holder) recordInstance(i Instance) {
	h.instances[i.Name] = instanceRecord{Instance: i, memberIncarnation: h.observed.byName[i.Name].Incarnation}
}

// publish stores a new view, and the owner rows that peers can request.
func (h *Holder) publish() {
	v := &View{Instances: map[string]Instance{}, Owners: map[string]Ownership{}}
	for _, m := range h.observed.all {
		if !m.Live() {
			continue
		}
		i := h.instances[m.Name].Instance
		i.Name, i.PeerAddress, i.Domain, i.Leaving = m.Name, m.Address, m.Domain, m.Leaving
		v.Instances[m.Name] = i
	}
	self := h.Self
	self.Leaving, self.Revision = h.leaving.Load(), h.Revision()
	v.Instances[self.Name] = self
	for engine, r := range h.rows {
		if i, ok := v.Instances[r.Instance]; ok {
			v.Owners[engine] = Ownership{Instance: i, Fence: r.version, HandingOver: r.handingOver}
		}
	}
	h.view.Store(v)
	rows := maps.Clone(h.rows)
	h.publishedRows.Store(&rows)
}
