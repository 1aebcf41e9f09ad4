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

// manyUnknown is from how many unknown instances on their rows are listed
// rather than read one by one.
const manyUnknown = 5

// Step renews the lease if that is due, learns what has changed and takes or
// hands over engines.
func (h *Holder) Step(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, h.Duration/3)
	defer cancel()
	h.prepare()
	h.look()
	h.hints()
	if h.due() {
		if err := h.renew(bounded); err != nil {
			h.Log.Error(snipelog.LeaseRenewFailed, err, nil)
			h.look()
			h.askOwners(bounded)
		}
		h.retry = time.Now().Add(h.spread(h.untilRetry()))
	}
	if h.failed {
		// No request is worthwhile until the next renewal is tried.
		h.lost()
		h.publish()
		return
	}
	h.readAgain(bounded)
	if err := h.list(bounded); err != nil {
		h.Log.Error(snipelog.OwnersReadFailed, err, nil)
		h.publish()
		return
	}
	h.learn(bounded)
	p := h.plan()
	h.claim(bounded, p)
	h.giveUp(bounded, p)
	h.remove(bounded)
	h.publish()
}

// What an instance announces of its way to the table.
var (
	tableLost = []byte{1}
	tableBack = []byte{0}
)

// untilRetry is the time to the next renewal: shorter after a failure, so that
// a table that comes and goes costs no lease, but not once it is too late.
func (h *Holder) untilRetry() time.Duration {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.failed && time.Now().Before(h.deadline) {
		return h.Renew / 4
	}
	return h.Renew
}

// look takes what the membership tells.
func (h *Holder) look() {
	s := seen{byName: map[string]snipemember.Member{}, lost: map[string]bool{}, hung: map[string]bool{}}
	s.all, s.joined = h.Members.All()
	for _, m := range s.all {
		s.byName[m.Name] = m
	}
	for _, d := range h.Members.Digests(lostTopic) {
		s.lost[d.Origin] = bytes.Equal(d.Data, tableLost)
	}
	for _, d := range h.Members.Digests(hungTopic) {
		s.hung[d.Key] = s.hung[d.Key] || bytes.Equal(d.Data, tableLost)
	}
	h.seen = s
}

func (h *Holder) prepare() {
	if h.rows != nil {
		return
	}
	h.began = time.Now()
	h.rows, h.known = map[string]ownerRow{}, map[string]knownInstance{}
	h.watched, h.ownerless = map[string]watch{}, map[string]time.Time{}
	h.lock.Lock()
	defer h.lock.Unlock()
	h.owned = map[string]holding{}
}

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
		return r, errors.Wrapf(err, "owner row %s", row.Sort)
	}
	return r, nil
}

// setRow notes an owner row that was read, and what it means for this
// instance. A row that is older than the known one changes nothing.
func (h *Holder) setRow(engine string, row ownerRow) {
	if old, ok := h.rows[engine]; ok && old.version > row.version {
		return
	}
	row.giving = row.giving || h.rows[engine].giving && h.rows[engine].version == row.version
	h.rows[engine] = row
	h.lock.Lock()
	defer h.lock.Unlock()
	if row.owner != h.me() {
		delete(h.owned, engine)
		return
	}
	if h.ended {
		return
	}
	o := h.owned[engine]
	h.owned[engine] = holding{fence: row.version, read: true, giving: o.giving && o.fence == row.version}
}

func (h *Holder) me() owner { return owner{h.Self.Name, h.Self.Incarnation} }

// hint is what is announced of an owner row.
type hint struct {
	Owner  owner
	Fence  uint64
	Giving bool `json:",omitempty"`
}

// announce tells the others of an owner row.
func (h *Holder) announce(engine string, row ownerRow) {
	data, err := json.Marshal(hint{Owner: row.owner, Fence: row.version, Giving: row.giving})
	if err != nil || len(data) > snipemember.MaxData {
		return
	}
	h.Members.Announce(ownerTopic, engine, data, hintTTL)
}

// hints takes what others announced of owner rows. An announcement only ever
// takes an ownership away from this instance, never gives one.
func (h *Holder) hints() {
	for _, d := range h.Members.Digests(ownerTopic) {
		var t hint
		if err := json.Unmarshal(d.Data, &t); err != nil || d.Origin == h.Self.Name {
			continue
		}
		old := h.rows[d.Key]
		if t.Fence < old.version || t.Fence == old.version && (old.giving || !t.Giving) {
			continue
		}
		h.rows[d.Key] = ownerRow{owner: t.Owner, version: t.Fence, giving: t.Giving}
		h.lock.Lock()
		o, mine := h.owned[d.Key]
		if mine && t.Fence > o.fence {
			delete(h.owned, d.Key)
		}
		h.lock.Unlock()
	}
}

// list reads all owner rows now and then, to make up for announcements that
// were missed.
func (h *Holder) list(ctx context.Context) error {
	if !h.listed.IsZero() && time.Since(h.listed) < h.listInterval() {
		if err := h.readHinted(ctx); err != nil {
			return err
		}
		return h.checkDue(ctx)
	}
	rows, err := h.Table.List(ctx, ownersPartition)
	if err != nil {
		return errors.Wrap(err, "list owners")
	}
	for _, r := range rows {
		row, err := decodeOwner(r)
		if err != nil {
			// One bad row must not hide the others.
			h.Log.Error(snipelog.OwnersReadFailed, err, nil)
			continue
		}
		h.setRow(r.Sort, row)
	}
	h.listed = time.Now().Add(h.spread(listEvery) - listEvery)
	return h.checkDue(ctx)
}

// checkDue checks if that is due. Two looks must be far enough apart for a
// renewal to lie between them.
func (h *Holder) checkDue(ctx context.Context) error {
	if time.Since(h.looked) < checkEvery {
		return nil
	}
	h.looked = time.Now().Add(h.spread(checkEvery) - checkEvery)
	return h.check(ctx)
}

// listInterval is the time between two reads of all owner rows: longer where
// there are many, so that what an instance reads in a second stays the same.
func (h *Holder) listInterval() time.Duration {
	return min(listEvery*time.Duration(max(len(h.rows)/listRows, 1)), listMost)
}

// check reads the lease rows of some live owners: those whose engines this
// instance would be the first to take. An owner whose row has not changed
// since the last look is thought to be gone, though the membership hears it.
func (h *Holder) check(ctx context.Context) error {
	checked := map[string]uint64{}
	for engine, row := range h.rows {
		if row.Instance == "" || row.Instance == h.Self.Name || !h.best(engine, row.Instance) {
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
		old, ok := h.checked[name]
		switch {
		case ok && old == version:
			h.Members.Announce(hungTopic, name, tableLost, hintTTL)
		case h.seen.hung[name]:
			h.Members.Announce(hungTopic, name, tableBack, h.Renew)
		}
	}
	h.checked = checked
	return nil
}

// readHinted reads rows that an announcement gives to this instance.
func (h *Holder) readHinted(ctx context.Context) error {
	for engine, r := range h.rows {
		h.lock.Lock()
		_, held := h.owned[engine]
		h.lock.Unlock()
		if r.owner != h.me() || held {
			continue
		}
		row, err := h.readOwner(ctx, engine)
		if err != nil {
			return err
		}
		h.setRow(engine, row)
	}
	return nil
}

// learn reads the lease rows of instances that are new here or have changed,
// for what the membership does not tell.
func (h *Holder) learn(ctx context.Context) {
	var unknown []string
	for _, m := range h.seen.all {
		if k, ok := h.known[m.Name]; m.Live() && (!ok || k.member != m.Incarnation) {
			unknown = append(unknown, m.Name)
		}
	}
	if len(unknown) > manyUnknown {
		instances, err := ReadInstances(ctx, h.Table)
		if err != nil {
			return
		}
		for _, i := range instances {
			h.know(i)
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
			h.know(i)
		}
	}
}

func (h *Holder) know(i Instance) {
	h.known[i.Name] = knownInstance{Instance: i, member: h.seen.byName[i.Name].Incarnation}
}

// publish makes a new view.
func (h *Holder) publish() {
	v := &View{Instances: map[string]Instance{}, Owners: map[string]Ownership{}}
	for _, m := range h.seen.all {
		if !m.Live() {
			continue
		}
		i := h.known[m.Name].Instance
		i.Name, i.PeerAddress, i.Domain, i.Leaving = m.Name, m.Address, m.Domain, m.Leaving
		v.Instances[m.Name] = i
	}
	self := h.Self
	self.Leaving, self.Revision = h.leaving.Load(), h.Revision()
	v.Instances[self.Name] = self
	for engine, r := range h.rows {
		if i, ok := v.Instances[r.Instance]; ok {
			v.Owners[engine] = Ownership{Instance: i, Fence: r.version, Giving: r.giving}
		}
	}
	h.view.Store(v)
	rows := maps.Clone(h.rows)
	h.told.Store(&rows)
}
