package snipeentry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeowner"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// catalogWait is how long one read waits for a change of the operators' declarations. A broken
	// connection hides changes for at most this time plus the store's timeout. While nothing
	// changes, a copy that other instances follow gets as old as this.
	catalogWait = time.Second
	// catalogInterval is the least time between two reads, so that a burst of changes costs at most
	// ten reads a second.
	catalogInterval = 100 * time.Millisecond
	// directoryWait and directoryInterval are the same for the registry. Its entries change all the
	// time, so a read seldom waits. A leaving upstream still accepts new work for two seconds,
	// which bounds the interval.
	directoryWait     = 200 * time.Millisecond
	directoryInterval = 1100 * time.Millisecond
	// ownershipInterval is the same for the ownership rows, which change with each renewal. The
	// loss of an owner is detected only after its lease of more than two seconds.
	ownershipInterval = 1500 * time.Millisecond
	// maxOwnershipAge is the greatest age at which the ownership rows may be used to decide which
	// instances are live. It allows for two reads.
	maxOwnershipAge = 4 * time.Second
)

const (
	// maxDiscoveryWait is how long a starting instance waits at most to discover the others, whose
	// copies it follows, before it reads the store's tables itself. If the store does not answer,
	// all starting instances are without routes for this time.
	maxDiscoveryWait = 400 * time.Millisecond
	// discoveryInterval is the time between two checks for other instances.
	discoveryInterval = 10 * time.Millisecond
	// startupWindow is how long after its start an instance that knows no others reads the
	// ownership rows more often. All instances may have started at once and not have written their
	// rows yet.
	startupWindow = 3 * time.Second
)

// positionField is the log field of the store's position, upstreamField that of an upstream.
const (
	positionField = "Position"
	upstreamField = "Upstream"
)

// tables are the tables of the store that an instance follows.
type tables struct {
	catalog   *snipemirror.Follower
	directory *snipemirror.Follower
	ownership *snipemirror.Follower
}

func (t *tables) all() []*snipemirror.Follower {
	return []*snipemirror.Follower{t.catalog, t.directory, t.ownership}
}

// mirrors returns the copies that are served to other instances, by table name.
func (i *Instance) mirrors() map[string]*snipemirror.Mirror {
	return map[string]*snipemirror.Mirror{
		i.Platform.DeclaredTable: i.tables.catalog.Mirror,
		i.Platform.UpstreamTable: i.tables.directory.Mirror,
		snipeowner.Partition:     i.tables.ownership.Mirror,
	}
}

// follower returns the follower of a table. interval is the least time between two reads of the
// store, wait how long one read waits for a change.
func (i *Instance) follower(table string, interval, wait time.Duration, ages maxCopyAges) *snipemirror.Follower {
	return &snipemirror.Follower{
		ReadsStoreSeldom: i.onStandby,
		Mirror:           snipemirror.New(), Store: i.source(table), MinInterval: interval, Wait: wait,
		MaxAge: func() time.Duration { return i.maxCopyAge(ages) },
		PeerWatch: func(failures int, lost bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
			return i.peerCopy(table, failures, lost)
		},
	}
}

// noPeersKnown reports whether no other instance is known.
func (i *Instance) noPeersKnown() bool { return i.instances() <= 1 }

// waitForPeers waits until other instances are known, at most for maxDiscoveryWait. When hundreds
// of instances start at once, each then reads from the store only the ownership rows, and all other
// tables from other instances. It returns at once if the ownership rows cannot be read, since no
// instance can be discovered without them.
func (i *Instance) waitForPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxDiscoveryWait)
	defer cancel()
	for i.noPeersKnown() && !i.ownershipUnreadable.Load() && snipetime.Sleep(ctx, discoveryInterval) {
	}
}

// onStandby reports whether this instance is on standby, and so leaves the tasks that are done for
// all instances to others.
func (i *Instance) onStandby() bool { return i.holder.View().Live[i.Settings.Peers].Standby }

func (i *Instance) buildTables() {
	t := &i.tables
	t.catalog = i.follower(i.Platform.DeclaredTable, catalogInterval, catalogWait, tableCopyAges)
	t.catalog.Changed = func(rows []snipemirror.Row, position uint64) {
		if len(rows) > 0 {
			i.applyCatalog(i.Platform.DecodeDeclared(rows, position))
		}
	}
	t.catalog.StoreLost = func(err error) { i.Log.Error(snipelog.CatalogStale, err, i.catalogFields()) }
	t.catalog.StoreRestored = func() { i.Log.Log(snipelog.CatalogFresh, i.catalogFields()) }

	t.directory = i.follower(i.Platform.UpstreamTable, directoryInterval, directoryWait, tableCopyAges)
	t.directory.Mirror.Equivalent = i.Platform.SameUpstream
	t.directory.Changed = i.applyDirectory
	t.directory.StoreLost = func(err error) {
		i.Log.Error(snipelog.DirectoryStale, err, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len()})
		i.directory.RegistryLost()
	}
	t.directory.StoreRestored = func() {
		i.Log.Log(snipelog.DirectoryFresh, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len()})
	}

	t.ownership = i.follower(snipeowner.Partition, ownershipInterval, directoryWait, ownershipCopyAges)
	t.ownership.Changed = func([]snipemirror.Row, uint64) {
		if i.noPeersKnown() {
			i.holder.RequestRead()
		}
	}
	started := time.Now()
	t.ownership.ReadSooner = func() bool { return i.noPeersKnown() && time.Since(started) < startupWindow }
	t.catalog.WaitForPeers, t.directory.WaitForPeers = i.waitForPeers, i.waitForPeers
	// The loss of the store itself is logged by the relay, when renewals fail.
	t.ownership.StoreLost = func(error) { i.ownershipUnreadable.Store(true) }
	t.ownership.StoreRestored = func() { i.ownershipUnreadable.Store(false) }
}

func (i *Instance) catalogFields() snipelog.Fields {
	var version int64
	if c := i.catalog.Catalog(); c != nil {
		version = c.Version
	}
	return snipelog.Fields{"Catalog": version}
}

// applyCatalog puts the operators' declarations in force.
func (i *Instance) applyCatalog(c snipecatalog.Change) {
	for _, err := range c.Errors {
		i.Log.Error(snipelog.CatalogWrong, err, i.catalogFields())
	}
	for _, v := range c.Versions {
		if i.catalog.Announce(v.Adapter, v.Version) {
			i.Log.Log(snipelog.VersionAnnounced, snipelog.Fields{"Adapter": v.Adapter.Name, "Version": v.Version})
			i.controller.Refresh(v.Adapter, v.Version)
		}
	}
	if c.Catalog != nil && i.catalog.Adopt(c.Catalog) {
		i.Log.Log(snipelog.CatalogInForce, snipelog.Fields{
			"Catalog": c.Catalog.Version, "Routes": len(c.Catalog.Routes), positionField: c.Position,
		})
		i.openStartupGate()
	}
}

// openStartupGate releases the callers that wait for routes and upstreams, once both are known.
func (i *Instance) openStartupGate() {
	if i.catalog.Catalog() != nil && i.directory.Snapshot().Len() > 0 {
		i.startupGate.release()
	}
}

// applyDirectory applies rows that were read from the registry.
func (i *Instance) applyDirectory(rows []snipemirror.Row, position uint64) {
	change, wrong := i.Platform.DecodeUpstreams(rows, position)
	i.logEntries(change, wrong)
	first := i.directory.Snapshot() == nil
	i.directory.Apply(change)
	if first {
		i.Log.Log(snipelog.DirectoryRead, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len(), positionField: position})
	}
	i.residency.MarkRead()
	now := i.directory.Snapshot()
	for _, u := range change.Changed {
		if now.ByID(u.ID) != nil {
			i.residency.Observe(u)
		}
	}
	i.openStartupGate()
}

// forgetUnregistered drops the state of upstream starts that are not in the directory. Other
// instances may report on an upstream after it was dropped here, which creates its state again.
func (i *Instance) forgetUnregistered() {
	now := i.directory.Snapshot()
	registered := func(id string) bool { return now.ByID(id) != nil }
	i.residency.Retain(registered)
	i.balancer.Keep(registered)
	i.signals.Retain(registered)
}

// logEntries logs which registry entries cannot be decoded, and which can be decoded again. Each
// change is logged once, since an invalid entry may be rewritten every second.
func (i *Instance) logEntries(c snipedirectory.Change, wrong []error) {
	for n, key := range c.Undecodable {
		if i.invalidEntries.Add(key) {
			i.Log.Error(snipelog.EntryWrong, wrong[n], snipelog.Fields{"Key": key, positionField: c.Position})
		}
	}
	noLongerInvalid := slices.Clone(c.Removed)
	for _, u := range c.Changed {
		noLongerInvalid = append(noLongerInvalid, u.Name)
	}
	for _, key := range noLongerInvalid {
		if i.invalidEntries.Remove(key) {
			i.Log.Log(snipelog.EntryMended, snipelog.Fields{"Key": key, positionField: c.Position})
		}
	}
}

// ownershipRows returns the ownership rows that have changed since a mark, as last read, and the
// next mark.
func (i *Instance) ownershipRows(_ context.Context, partition string, since uint64) ([]snipeplatform.Row, uint64, error) {
	rows, mark, err := i.tables.ownership.Mirror.Rows(since)
	if err != nil {
		return nil, 0, errors.Wrap(err, partition)
	}
	if age := i.tables.ownership.Mirror.Age(); age > maxOwnershipAge {
		return nil, 0, errors.Wrap(snipemirror.ErrStale, age.String())
	}
	all := make([]snipeplatform.Row, 0, len(rows))
	for _, r := range rows {
		key := snipeplatform.Key{Partition: partition, Sort: r.Key}
		all = append(all, snipeplatform.Row{Key: key, Version: r.Version, Data: r.Value})
	}
	return all, mark, nil
}

// noteRenewal is called after each renewal with whether the store answered.
func (i *Instance) noteRenewal(ok bool) {
	if !ok {
		i.interruptReads()
	}
}

// interruptReads cancels pending reads of the store, because the store does not answer.
func (i *Instance) interruptReads() {
	for _, f := range i.tables.all() {
		f.Interrupt()
	}
}

// upstreamChanged is called for each upstream that appears, is leaving or is gone.
func (i *Instance) upstreamChanged(u *snipedirectory.Upstream, e snipedirectory.Event) {
	fields := snipelog.Fields{upstreamField: u.ID, "Service": u.Service, "Address": u.Address, positionField: u.Position}
	switch e {
	case snipedirectory.Appeared:
		// The first read is logged as one line with the number of upstreams.
		if i.directory.Snapshot() != nil {
			i.Log.Log(snipelog.UpstreamAppeared, fields)
		}
	case snipedirectory.Leaving:
		if i.signals.Leaving(u.ID) {
			return // already logged when the upstream signaled it
		}
		fields["RemainingMilliseconds"], fields[sourceField] = u.Remaining.Milliseconds(), "Registry"
		i.Log.Log(snipelog.UpstreamLeaving, fields)
	case snipedirectory.Gone:
		i.Log.Log(snipelog.UpstreamGone, fields)
		i.links.Forget(u.Address)
		i.residency.Forget(u.ID)
		i.balancer.Forget(u.ID)
		i.controller.Forget(u.ID)
	}
}
