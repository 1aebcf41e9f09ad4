package snipeentry

import (
	"context"
	"slices"
	"strings"
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
	// catalogWait is how long one read waits for a change of the operators' declarations. Shorter:
	// more reads while nothing changes. Longer: a broken connection hides changes for longer, up to
	// this time plus the store's timeout, and while nothing changes, the rows that this instance
	// passes on to other instances get older, up to this time.
	catalogWait = time.Second
	// catalogInterval is the least time between two reads, so that a burst of changes costs at most
	// ten reads a second.
	catalogInterval = 100 * time.Millisecond
	// directoryWait and directoryInterval are the wait and the interval for the registry. Its
	// entries change all the time, so a read seldom waits. A leaving upstream still accepts new
	// work for two seconds, which bounds the interval.
	directoryWait     = 200 * time.Millisecond
	directoryInterval = 1100 * time.Millisecond
	// ownershipInterval is the interval for the ownership rows, which change with each renewal. It
	// may be long because the loss of an owner is detected only after the owner's lease of more
	// than two seconds.
	ownershipInterval = 1500 * time.Millisecond
	// maxOwnershipAge is the greatest age, counted from the read of the store, at which the
	// ownership rows may be used to decide which instances are live. It allows for two reads.
	maxOwnershipAge = 4 * time.Second
)

const (
	// maxDiscoveryWait is how long a starting instance waits at most to discover other instances,
	// from which it reads the tables, before it reads the catalog and the registry from the store.
	// If the store does not answer, all starting instances are without routes for this time.
	maxDiscoveryWait = 400 * time.Millisecond
	// discoveryInterval is the time between two checks for other instances.
	discoveryInterval = 10 * time.Millisecond
	// startupWindow is how long after its start an instance that knows no others reads the
	// ownership rows more often. All instances may have started at once, and the others may not
	// have written their rows yet.
	startupWindow = 3 * time.Second
)

// positionField is the log field for the position of a read: the number of the store's last change
// that the read covers. upstreamField is the log field for an upstream.
const (
	positionField = "Position"
	upstreamField = "Upstream"
)

// tables holds a follower for each table of the store that the instance uses. A follower keeps a
// copy of its table in memory (a snipemirror.Mirror) up to date, by reads of the store or of
// another instance's copy.
type tables struct {
	catalog   *snipemirror.Follower // the operators' declarations
	directory *snipemirror.Follower // the registry of upstreams
	ownership *snipemirror.Follower // the rows of live instances and of the engines that they own
}

func (t *tables) all() []*snipemirror.Follower {
	return []*snipemirror.Follower{t.catalog, t.directory, t.ownership}
}

// mirrors returns this instance's copies of the tables, which other instances may read, by table
// name.
func (i *Instance) mirrors() map[string]*snipemirror.Mirror {
	return map[string]*snipemirror.Mirror{
		i.Platform.DeclaredTable: i.tables.catalog.Mirror,
		i.Platform.UpstreamTable: i.tables.directory.Mirror,
		snipeowner.Partition:     i.tables.ownership.Mirror,
	}
}

// follower returns a new follower of a table. interval is the least time between two reads of the
// store, wait is how long one read waits for a change, and ages are the ages at which another
// instance's copy is too old, so that the store is read instead.
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

// noPeersKnown reports whether no other live instance is known.
func (i *Instance) noPeersKnown() bool { return i.instances() <= 1 }

// waitForPeers blocks until other instances are known, at most for maxDiscoveryWait. When hundreds
// of instances start at once, the wait lets most of them read only the ownership rows from the
// store, and the other tables from other instances. waitForPeers returns at once if the ownership
// rows cannot be read, since no instance can be discovered without them.
func (i *Instance) waitForPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxDiscoveryWait)
	defer cancel()
	for i.noPeersKnown() && !i.ownershipUnreadable.Load() && snipetime.Sleep(ctx, discoveryInterval) {
	}
}

// onStandby reports whether this instance is on standby: enough other instances own engines, so
// this one owns none, renews its row rarely, and does no tasks for other instances.
func (i *Instance) onStandby() bool { return i.holder.View().Live[i.Settings.Peers].Standby }

// buildTables creates the followers of the tables.
func (i *Instance) buildTables() {
	t := &i.tables
	t.catalog = i.follower(i.Platform.DeclaredTable, catalogInterval, catalogWait, tableCopyAges)
	t.catalog.Changed = func(rows []snipemirror.Row, position uint64) {
		if len(rows) > 0 {
			i.applyCatalog(i.Platform.DecodeDeclared(rows, position))
		}
		i.catalogUnreadable.Store(false)
	}
	t.catalog.StoreLost = func(err error) {
		i.catalogUnreadable.Store(true)
		i.Log.Error(snipelog.CatalogStale, err, i.catalogFields())
	}
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
		i.directory.RegistryRestored()
	}

	t.ownership = i.follower(snipeowner.Partition, ownershipInterval, directoryWait, ownershipCopyAges)
	t.ownership.Changed = func(rows []snipemirror.Row, _ uint64) {
		i.applySoftware(rows)
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

// catalogFields returns the log fields that name the version of the catalog in force, or 0.
func (i *Instance) catalogFields() snipelog.Fields {
	var version int64
	if c := i.catalog.Catalog(); c != nil {
		version = c.Version
	}
	return snipelog.Fields{"Catalog": version}
}

// applyCatalog applies a change of the operators' declarations. It logs the declarations that are
// invalid, records announced adapter versions and has the engines of this instance load them, and
// puts a catalog in force if the change contains a newer one.
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

// openStartupGate releases the requests that wait for routes and upstreams if both are known, and
// otherwise does nothing.
func (i *Instance) openStartupGate() {
	if i.catalog.Catalog() != nil && i.directory.Snapshot().Len() > 0 {
		i.startupGate.release()
	}
}

// applyDirectory applies rows that were read from the registry, also the adapters that they list,
// and logs the first read.
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

// forgetUnregistered drops the residency, balancer and signal state of each start of an upstream
// that is not in the directory. Other instances may report on an upstream after its state was
// dropped here, which creates the state again.
func (i *Instance) forgetUnregistered() {
	now := i.directory.Snapshot()
	registered := func(id string) bool { return now.ByID(id) != nil }
	i.residency.Retain(registered)
	i.balancer.Retain(registered)
	i.signals.Retain(registered)
	i.brittle.Retain(i.declared)
	i.limitIssuer.Retain(func(id string) bool { return i.directory.Snapshot().ByID(id) != nil })
}

// logEntries logs which registry entries cannot be decoded, and which of them can be decoded again
// or were removed. An invalid entry is logged once although it may be rewritten every second. If
// maxInvalidEntries entries are invalid, further ones are not logged.
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

// ownershipRows returns the ownership rows that were added or changed in this instance's copy after
// the cursor since (0: all rows), and the cursor for the next call. A cursor is the number of pages
// that were applied to the copy (see snipemirror.Mirror.Rows). Removed rows are left out. It fails
// if the copy is older than maxOwnershipAge or was never read.
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
		if strings.HasPrefix(r.Key, softwarePrefix) {
			continue
		}
		key := snipeplatform.Key{Partition: partition, Sort: r.Key}
		all = append(all, snipeplatform.Row{Key: key, Version: r.Version, Data: r.Value})
	}
	return all, mark, nil
}

// noteRenewal is called after each renewal of this instance's rows, with whether the store
// answered. If not, it cancels pending reads of the store.
func (i *Instance) noteRenewal(ok bool) {
	if !ok {
		i.interruptReads()
	}
}

// interruptReads cancels pending reads of the store. Callers use it when a write shows that the
// store does not answer, since the reads would otherwise wait for their full time.
func (i *Instance) interruptReads() {
	for _, f := range i.tables.all() {
		f.Interrupt()
	}
}

// upstreamChanged logs that an upstream appeared, is leaving or is gone. It also closes the idle
// connections to a gone upstream and drops the upstream's state in the residency, the balancer and
// the controller; forgetUnregistered drops the state of its signals. The end of an upstream that was
// not leaving is evidence of a crash.
func (i *Instance) upstreamChanged(u *snipedirectory.Upstream, e snipedirectory.Event) {
	fields := snipelog.Fields{
		upstreamField: u.ID, "Service": u.Service, "Address": u.Address, "Software": u.Software, positionField: u.Position,
	}
	switch e {
	case snipedirectory.Appeared:
		i.crashDetector.Appeared(u)
		i.countSoftware(u)
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
		i.crashDetector.Gone(u)
		i.links.Forget(u.Address)
		i.residency.Forget(u.ID)
		i.balancer.Forget(u.ID)
		i.controller.Forget(u.ID)
	}
}
