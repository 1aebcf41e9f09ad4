package snipeentry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// failurePause is the time between two reads while the store does not answer.
	failurePause = 300 * time.Millisecond
	// catalogWait is how long one read waits for a change of what operators
	// declared. A connection that has gone silent hides changes no longer than
	// this and the store's timeout.
	catalogWait = 3 * time.Second
	// catalogPace is the least time between two reads, so that a storm of changes
	// costs ten reads a second at most.
	catalogPace = 100 * time.Millisecond
	// directoryWait and directoryPace are the same for the registry, whose entries
	// change all the time. Upstreams that leave take new work for two seconds.
	directoryWait = time.Second
	directoryPace = 1100 * time.Millisecond
)

// feed follows one table of the store. It reads all of it once and then what has
// changed.
type feed[T any] struct {
	// read and watch return what was read and its position.
	read  func(ctx context.Context) (T, uint64, error)
	watch func(ctx context.Context, after uint64, wait time.Duration) (T, uint64, error)
	// apply takes what was read.
	apply func(v T)
	// failed and back are told once of the loss and the return of the store.
	failed func(err error)
	back   func()
	pace   time.Duration
	// wait is how long one read waits for a change.
	wait time.Duration

	lock   sync.Mutex // guards cancel
	cancel context.CancelFunc

	position uint64
	known    bool
	lost     bool
}

// run follows the table until ctx ends.
func (f *feed[T]) run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		pause := f.pace
		if err != nil {
			pause = failurePause
			f.fail(err)
		}
		if !snipetime.Sleep(ctx, pause-time.Since(begun)) {
			return nil
		}
	}
	return nil
}

func (f *feed[T]) step(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.lock.Lock()
	f.cancel = cancel
	f.lock.Unlock()
	v, position, err := f.next(ctx)
	if errors.Is(err, snipeplatform.ErrHistory) {
		f.known = false
		return nil
	}
	if err != nil {
		return err
	}
	f.position, f.known = max(position, f.position), true
	if f.lost {
		f.lost = false
		f.back()
	}
	f.apply(v)
	return nil
}

// next reads the whole table, or what has changed since the last reading.
func (f *feed[T]) next(ctx context.Context) (T, uint64, error) {
	switch {
	case !f.known:
		return f.read(ctx)
	case f.lost:
		// Does not wait for a change, to find out soon that the store is back.
		return f.watch(ctx, f.position, 0)
	default:
		return f.watch(ctx, f.position, f.wait)
	}
}

// interrupt ends the read in progress: another duty has found that the store does
// not answer, and a read that began before would wait for its whole time.
func (f *feed[T]) interrupt() {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// fail notes a failure. After an outage the whole table is read again: what
// changed meanwhile may no longer be told.
func (f *feed[T]) fail(err error) {
	if !f.lost {
		f.failed(err)
	}
	f.lost = true
}

// catalogFeed follows what operators declared.
func (i *Instance) catalogFeed() *feed[snipecatalog.Change] {
	return &feed[snipecatalog.Change]{
		read: func(ctx context.Context) (snipecatalog.Change, uint64, error) {
			c, err := i.Platform.ReadDeclared(ctx)
			return c, c.Position, err
		},
		watch: func(ctx context.Context, after uint64, wait time.Duration) (snipecatalog.Change, uint64, error) {
			c, err := i.Platform.WatchDeclared(ctx, after, wait)
			return c, c.Position, err
		},
		apply:  i.applyCatalog,
		failed: func(err error) { i.Log.Error(snipelog.CatalogStale, err, i.catalogFields()) },
		back:   func() { i.Log.Log(snipelog.CatalogFresh, i.catalogFields()) },
		pace:   catalogPace, wait: catalogWait,
	}
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
			i.desk.Refresh(v.Adapter, v.Version)
		}
	}
	if c.Catalog != nil && i.catalog.Adopt(c.Catalog) {
		i.Log.Log(snipelog.CatalogInForce, snipelog.Fields{
			"Catalog": c.Catalog.Version, "Routes": len(c.Catalog.Routes), "Position": c.Position,
		})
	}
}

// upstreamsRead is what was read of the registry.
type upstreamsRead struct {
	change snipedirectory.Change
	wrong  []error
}

// directoryFeed follows the registry of upstreams.
func (i *Instance) directoryFeed() *feed[upstreamsRead] {
	return &feed[upstreamsRead]{
		read: func(ctx context.Context) (upstreamsRead, uint64, error) {
			c, wrong, err := i.Platform.ReadUpstreams(ctx)
			return upstreamsRead{c, wrong}, c.Position, err
		},
		watch: func(ctx context.Context, after uint64, wait time.Duration) (upstreamsRead, uint64, error) {
			c, wrong, err := i.Platform.WatchUpstreams(ctx, after, wait)
			return upstreamsRead{c, wrong}, c.Position, err
		},
		apply: i.applyDirectory,
		failed: func(err error) {
			i.Log.Error(snipelog.DirectoryStale, err, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len()})
			i.directory.Lost()
		},
		back: func() {
			i.Log.Log(snipelog.DirectoryFresh, snipelog.Fields{"Upstreams": i.directory.Snapshot().Len()})
		},
		pace: directoryPace, wait: directoryWait,
	}
}

// storeReached is told of each renewal whether the store answered.
func (i *Instance) storeReached(ok bool) {
	if ok {
		return
	}
	i.catalogs.interrupt()
	i.directories.interrupt()
}

// applyDirectory takes what was read of the registry.
func (i *Instance) applyDirectory(r upstreamsRead) {
	for _, err := range r.wrong {
		i.Log.Error(snipelog.CatalogWrong, err, nil)
	}
	for _, u := range r.change.Changed {
		i.residency.Observe(u)
	}
	i.directory.Apply(r.change)
}

// seen is told of upstreams that are new, leaving or gone.
func (i *Instance) seen(u *snipedirectory.Upstream, e snipedirectory.Event) {
	fields := snipelog.Fields{"Upstream": u.ID, "Service": u.Service, "Address": u.Address, "Position": u.Position}
	switch e {
	case snipedirectory.Appeared:
		i.Log.Log(snipelog.UpstreamAppeared, fields)
	case snipedirectory.Leaving:
		fields["RemainingMilliseconds"] = u.Remaining.Milliseconds()
		i.Log.Log(snipelog.UpstreamLeaving, fields)
	case snipedirectory.Gone:
		i.Log.Log(snipelog.UpstreamGone, fields)
		i.links.Forget(u.Address)
		i.residency.Forget(u.ID)
		i.balancer.Forget(u.ID)
		i.desk.Forget(u.ID)
	}
}
