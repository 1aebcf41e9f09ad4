package snipemirror

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// retryInterval is the time between two reads while the store does not answer.
	retryInterval = 300 * time.Millisecond
	// While the store does not answer, one of lostCycle reads goes to the store and the others
	// go to other instances. seldomCycle replaces lostCycle on an instance for which
	// ReadsStoreSeldom reports true: there are many of these, and most receive rows again
	// from the instances that read the store more often.
	lostCycle, seldomCycle = 2, 16
	// firstWait is the maximum wait for the first page from another instance, which may have
	// started at the same time and may have read nothing yet.
	firstWait = 500 * time.Millisecond
	// HastenedInterval is the time between two reads of the store while ReadSooner
	// returns true.
	HastenedInterval = 300 * time.Millisecond
	// failureExpiry is how long after the last failed read of another instance's copy the next
	// instance in rank is read instead of the first. It exceeds the time until every instance
	// has detected that another instance is gone.
	failureExpiry = 6 * time.Second
)

// Source reads a table: Read returns all rows, and Watch returns the changes after a position
// and waits for one up to the given time. An error that wraps snipeplatform.ErrHistoryGone means
// that all rows must be read.
type Source struct {
	Read  func(ctx context.Context) (Page, error)
	Watch watchFunc
}

// Follower keeps a mirror up to date. Exported fields are set before Run.
type Follower struct {
	Mirror *Mirror
	// Store reads the store.
	Store Source
	// PeerWatch returns a function that reads the copy of another instance, or false if this
	// instance must read the store itself. Its arguments are the number of recent
	// failures to read other instances, by which it selects the next instance in rank, and
	// whether the store does not answer this instance. The number returns to 0 failureExpiry
	// after the last failure, and when a page is read while the store is lost.
	PeerWatch func(failures int, lost bool) (watchFunc, bool)
	// WaitForPeers waits, before the first read, until it is known whose copy can be followed. Nil
	// means no wait.
	WaitForPeers func(ctx context.Context)
	// ReadSooner reports whether the next read of the store follows after HastenedInterval if that
	// is shorter than MinInterval. Nil means never.
	ReadSooner func() bool
	// ReadsStoreSeldom reports whether this instance is one of many whose copies no other
	// instances depend on. While the store does not answer, such an instance reads the copies
	// of other instances, and the store only in one of seldomCycle reads. Nil means never.
	ReadsStoreSeldom func() bool
	// Changed receives the changed rows of each read. It is also called with no rows for a
	// read without changes.
	Changed func(rows []Row, position uint64)
	// StoreLost is called once when the store stops answering, and StoreRestored once when a page is read
	// again, from the store or from another instance.
	StoreLost     func(err error)
	StoreRestored func()
	// MinInterval is the minimum time between two reads of the store, and Wait is the maximum time
	// that a read waits for a change.
	MinInterval time.Duration
	Wait        time.Duration
	// MaxAge returns the maximum age of another instance's copy; above it this instance reads
	// the store itself. It exceeds MinInterval plus Wait, since a read that waits in vain can follow
	// the pause after a read that did not wait.
	MaxAge func() time.Duration

	lock   sync.Mutex         // guards cancel
	cancel context.CancelFunc // ends a read of the store

	// The fields below belong to Run's goroutine.
	lost            bool // the store does not answer
	needAll         bool // all rows must be read
	failuresExpire  time.Time
	failures        int  // recent failed reads of other instances
	storeNext       bool // the next read goes to the store, even if a copy can be followed
	readsSinceStore int  // reads since the last read of the store while lost is set
}

// Run reads the table continuously and applies its changes until ctx ends; it returns nil.
func (f *Follower) Run(ctx context.Context) error {
	if f.WaitForPeers != nil {
		f.WaitForPeers(ctx)
	}
	for ctx.Err() == nil {
		start := time.Now()
		fromPeer, err := f.readAndApply(ctx)
		if ctx.Err() != nil {
			return nil
		}
		pause := f.interval()
		switch {
		case err != nil && fromPeer:
			// Read the store at once, then follow the next instance in rank, which also
			// reads the store now. Otherwise all followers of the failed instance would go
			// on to read the store.
			f.failures++
			f.storeNext = true
			f.failuresExpire = time.Now().Add(failureExpiry)
			pause = 0
			if f.lost && f.readsSeldom() {
				pause = retryInterval
			}
		case err != nil:
			pause = retryInterval
			f.storeFailed(err)
		case fromPeer:
			pause = 0
		}
		if !snipetime.Sleep(ctx, pause-time.Since(start)) {
			return nil
		}
	}
	return nil
}

// interval returns the minimum time between the starts of two reads of the store.
func (f *Follower) interval() time.Duration {
	if f.ReadSooner != nil && f.ReadSooner() {
		return min(f.MinInterval, HastenedInterval)
	}
	return f.MinInterval
}

// readAndApply reads and applies one page, and reports whether the read went to another
// instance. If the page cannot be applied, the next read requests all rows, without an error.
func (f *Follower) readAndApply(ctx context.Context) (fromPeer bool, err error) {
	page, fromPeer, err := f.read(ctx)
	if errors.Is(err, snipeplatform.ErrHistoryGone) {
		f.needAll = true
		return fromPeer, nil
	}
	if err != nil {
		return fromPeer, err
	}
	if f.Mirror.LacksValues(page) {
		f.needAll = true
		return fromPeer, nil
	}
	if page.Complete {
		f.needAll = false
	}
	if f.lost {
		f.lost, f.failures = false, 0
		f.StoreRestored()
	}
	f.Changed(f.Mirror.Apply(page), page.Position)
	return fromPeer, nil
}

// read returns a page from another instance's copy or from the store, and reports whether the
// read went to another instance.
func (f *Follower) read(ctx context.Context) (Page, bool, error) {
	position, known := f.Mirror.Position()
	if f.needAll {
		position = 0
	}
	if watch, ok := f.peer(); ok {
		page, err := f.watchPeer(ctx, watch, position)
		return page, true, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setCancel(cancel)
	defer f.setCancel(nil)
	switch {
	case !known || f.needAll:
		page, err := f.Store.Read(ctx)
		return page, false, err
	case f.lost:
		// The read does not wait for a change, so that the return of the store is noticed soon.
		page, err := f.Store.Watch(ctx, position, 0)
		return page, false, err
	default:
		page, err := f.Store.Watch(ctx, position, f.Wait)
		return page, false, err
	}
}

// watchPeer reads another instance's copy. It waits only until the rows here reach their
// maximum age: changes that the copy has not returned by then must come from the store.
func (f *Follower) watchPeer(ctx context.Context, watch watchFunc, position uint64) (Page, error) {
	wait := f.MaxAge() - f.Mirror.Age()
	_, known := f.Mirror.Position()
	switch {
	case f.lost:
		wait = 0
	case !known:
		wait = firstWait
	case wait <= 0:
		return Page{}, errors.Wrap(ErrStale, "the copy followed is not renewed")
	}
	page, err := watch(ctx, position, wait)
	if err == nil && page.Age > f.MaxAge() {
		err = errors.Wrap(ErrStale, page.Age.String())
	}
	return page, err
}

// watchFunc returns the changes after a position, and waits for one up to wait.
type watchFunc = func(ctx context.Context, after uint64, wait time.Duration) (Page, error)

// peer returns how to read another instance's copy, or false if the next read goes to the
// store.
func (f *Follower) peer() (watchFunc, bool) {
	if f.PeerWatch == nil {
		return nil, false
	}
	if f.lost {
		// Other instances are read in alternation with the store, which may answer them.
		cycle := lostCycle
		if f.readsSeldom() {
			cycle = seldomCycle
		}
		if f.readsSinceStore++; f.readsSinceStore >= cycle {
			f.readsSinceStore = 0
			return nil, false
		}
		return f.PeerWatch(f.failures, true)
	}
	if f.storeNext {
		f.storeNext = false
		return nil, false
	}
	if time.Now().After(f.failuresExpire) {
		f.failures = 0
	}
	return f.PeerWatch(f.failures, false)
}

func (f *Follower) readsSeldom() bool { return f.ReadsStoreSeldom != nil && f.ReadsStoreSeldom() }

// setCancel sets the function that Interrupt calls; nil while no read of the store is in
// progress.
func (f *Follower) setCancel(cancel context.CancelFunc) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.cancel = cancel
}

// Interrupt cancels the read of the store in progress, if any, which then counts as failed.
// Reads of other instances' copies continue. Callers use it when another component finds that
// the store does not answer: a read that began earlier would wait for its full time.
func (f *Follower) Interrupt() {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// storeFailed records a failed read of the store, and calls StoreLost unless the store was
// lost before.
func (f *Follower) storeFailed(err error) {
	if !f.lost {
		f.StoreLost(err)
	}
	f.lost = true
}
