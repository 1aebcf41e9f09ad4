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
	// catalogWait is how long one read waits for a change of what operators
	// declared. A connection that has gone silent hides changes no longer than
	// this and the store's timeout, and a copy that others follow is as old as this
	// when nothing changes.
	catalogWait = time.Second
	// catalogInterval is the least time between two reads, so that a storm of changes
	// costs ten reads a second at most.
	catalogInterval = 100 * time.Millisecond
	// directoryWait and directoryInterval are the same for the registry, whose entries
	// change all the time: a read seldom waits. Upstreams that leave take new work for
	// two seconds.
	directoryWait     = 200 * time.Millisecond
	directoryInterval = 1100 * time.Millisecond
	// ownershipInterval is the same for the rows of ownership, which change with each
	// renewal. A dead owner is noticed after its lease, more than two seconds.
	ownershipInterval = 1500 * time.Millisecond
	// maxOwnershipAge is how old the rows of ownership may be for it to be judged by
	// them who lives: two reads.
	maxOwnershipAge = 4 * time.Second
)

const (
	// acquaintance is how long an instance that starts waits at most to know the others,
	// whose copies it follows, before it reads the store's tables itself: where the store is
	// silent all that start are without routes meanwhile.
	maxDiscoveryWait = 400 * time.Millisecond
	// discoveryInterval is the time between two looks.
	discoveryInterval = 10 * time.Millisecond
	// startupWindow is how long after its start an instance that knows nobody looks for others
	// more often: all may have started at once, and have written no row yet.
	startupWindow = 3 * time.Second
)

// positionField names the store's position in log lines, upstreamField an upstream.
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

// mirrors returns the copies by the tables' names, for other instances.
func (i *Instance) mirrors() map[string]*snipemirror.Mirror {
	return map[string]*snipemirror.Mirror{
		i.Platform.DeclaredTable: i.tables.catalog.Mirror,
		i.Platform.UpstreamTable: i.tables.directory.Mirror,
		snipeowner.Partition:     i.tables.ownership.Mirror,
	}
}

// follower returns the follower of a table.
func (i *Instance) follower(table string, pace, wait time.Duration, ages maxCopyAges) *snipemirror.Follower {
	return &snipemirror.Follower{
		Rare:   i.onStandby,
		Mirror: snipemirror.New(), Store: i.source(table), Pace: pace, Wait: wait,
		MaxAge: func() time.Duration { return i.maxCopyAge(ages) },
		Near: func(failures int, lost bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
			return i.peerCopy(table, failures, lost)
		},
	}
}

// alone reports whether no other instance is known.
func (i *Instance) noPeersKnown() bool { return i.instances() <= 1 }

// acquaint waits until other instances are known, so that a start of hundreds reads of the
// store what each needs to find the others, and the rest from these. While the store does not
// answer nobody can be found by it.
func (i *Instance) waitForPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxDiscoveryWait)
	defer cancel()
	for i.noPeersKnown() && !i.ownershipUnreadable.Load() && snipetime.Sleep(ctx, discoveryInterval) {
	}
}

// onStandby reports whether this instance leaves duties for all to others.
func (i *Instance) onStandby() bool { return i.holder.View().Live[i.Settings.Peers].Standby }

func (i *Instance) buildTables() {
	t := &i.tables
	t.catalog = i.follower(i.Platform.DeclaredTable, catalogInterval, catalogWait, tableCopyAges)
	t.catalog.Changed = func(rows []snipemirror.Row, position uint64) {
		if len(rows) > 0 {
			i.applyCatalog(i.Platform.DecodeDeclared(rows, position))
		}
	}
	t.catalog.Lost = func(err error) { i.Log.Error(snipelog.CatalogStale, err, i.catalogFields()) }
	t.catalog.Back = func() { i.Log.Log(snipelog.CatalogFresh, i.catalogFields()) }

	t.directory = i.follower(i.Platform.UpstreamTable, directoryInterval, directoryWait, tableCopyAges)
	t.directory.Mirror.Same = i.Platform.SameUpstream
	t.directory.Changed = i.applyDirectory
	t.directory.Lost = func(err error) {
		i.Log.Error(snipelog.DirectoryStale, err, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len()})
		i.directory.Lost()
	}
	t.directory.Back = func() {
		i.Log.Log(snipelog.DirectoryFresh, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len()})
	}

	t.ownership = i.follower(snipeowner.Partition, ownershipInterval, directoryWait, ownershipCopyAges)
	t.ownership.Changed = func([]snipemirror.Row, uint64) {
		if i.noPeersKnown() {
			i.holder.Nudge()
		}
	}
	started := time.Now()
	t.ownership.Hasten = func() bool { return i.noPeersKnown() && time.Since(started) < startupWindow }
	t.catalog.Begin, t.directory.Begin = i.waitForPeers, i.waitForPeers
	// The holder tells of the loss of the store itself, by its renewals.
	t.ownership.Lost = func(error) { i.ownershipUnreadable.Store(true) }
	t.ownership.Back = func() { i.ownershipUnreadable.Store(false) }
}

func (i *Instance) catalogFields() snipelog.Fields {
	var version int64
	if c := i.catalog.Catalog(); c != nil {
		version = c.Version
	}
	return snipelog.Fields{"Catalog": version}
}

// applyCatalog puts what operators declared in force.
func (i *Instance) applyCatalog(c snipecatalog.Change) {
	for _, err := range c.Wrong {
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

// openStartupGate lets callers go on that wait for routes and upstreams, if both are known.
func (i *Instance) openStartupGate() {
	if i.catalog.Catalog() != nil && i.directory.Snapshot().Len() > 0 {
		i.startupGate.release()
	}
}

// applyDirectory takes what was read of the registry.
func (i *Instance) applyDirectory(rows []snipemirror.Row, position uint64) {
	change, wrong := i.Platform.DecodeUpstreams(rows, position)
	i.logEntries(change, wrong)
	first := i.directory.Snapshot() == nil
	i.directory.Apply(change)
	if first {
		i.Log.Log(snipelog.DirectoryRead, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len(), positionField: position})
	}
	i.residency.Read()
	now := i.directory.Snapshot()
	for _, u := range change.Changed {
		if now.ByID(u.ID) != nil {
			i.residency.Observe(u)
		}
	}
	i.openStartupGate()
}

// forget drops what is known of starts of upstreams that are not in the directory: what
// others say of one may come after it was forgotten.
func (i *Instance) forgetUnregistered() {
	now := i.directory.Snapshot()
	registered := func(id string) bool { return now.ByID(id) != nil }
	i.residency.Keep(registered)
	i.balancer.Keep(registered)
	i.signals.Keep(registered)
}

// logEntries logs which entries of the registry cannot be understood, and which can be
// again. Each is told once: whoever writes nonsense may do so every second.
func (i *Instance) logEntries(c snipedirectory.Change, wrong []error) {
	for n, key := range c.Wrong {
		if i.invalidEntries.Add(key) {
			i.Log.Error(snipelog.EntryWrong, wrong[n], snipelog.Fields{"Key": key, positionField: c.Position})
		}
	}
	mended := slices.Clone(c.Removed)
	for _, u := range c.Changed {
		mended = append(mended, u.Name)
	}
	for _, key := range mended {
		if i.invalidEntries.Remove(key) {
			i.Log.Log(snipelog.EntryMended, snipelog.Fields{"Key": key, positionField: c.Position})
		}
	}
}

// ownershipRows returns the rows of ownership that have changed since a mark, as last read.
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

// noteRenewal is told of each renewal whether the store answered.
func (i *Instance) noteRenewal(ok bool) {
	if !ok {
		i.interruptReads()
	}
}

// interruptReads ends the reads of the store that are under way: it does not answer.
func (i *Instance) interruptReads() {
	for _, f := range i.tables.all() {
		f.Interrupt()
	}
}

// seen is told of upstreams that are new, leaving or gone.
func (i *Instance) upstreamChanged(u *snipedirectory.Upstream, e snipedirectory.Event) {
	fields := snipelog.Fields{upstreamField: u.ID, "Service": u.Service, "Address": u.Address, positionField: u.Position}
	switch e {
	case snipedirectory.Appeared:
		// Those of the first reading are told by their number.
		if i.directory.Snapshot() != nil {
			i.Log.Log(snipelog.UpstreamAppeared, fields)
		}
	case snipedirectory.Leaving:
		if i.signals.Leaving(u.ID) {
			return // told already
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
