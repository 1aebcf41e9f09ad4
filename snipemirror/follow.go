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
	// failurePause is the time between two reads while the store does not answer.
	failurePause = 300 * time.Millisecond
	// lostTurns is how many reads there are to one of the store while it does not answer,
	// rareTurns those of an instance of many, most of which learn that it is back from those
	// that ask more often.
	lostTurns, rareTurns = 2, 16
	// firstWait is how long another instance is waited for that may have started just now as
	// well, and has read nothing yet.
	firstWait = 500 * time.Millisecond
	// HasteAfter is the time between two reads of the store while Hasten asks for it.
	HasteAfter = 300 * time.Millisecond
	// distrust is how long the next instance in rank is followed after one whose copy
	// could not be had: longer than it takes until all know that an instance is gone.
	distrust = 6 * time.Second
)

// Source reads a table: all of it, or what has changed after a position, waiting for
// it for up to wait. An error that wraps snipeplatform.ErrHistory means that all of
// it has to be read.
type Source struct {
	Read  func(ctx context.Context) (Page, error)
	Watch watchFunc
}

// Follower keeps a mirror. Exported fields are set before Run.
type Follower struct {
	Mirror *Mirror
	// Store reads the store.
	Store Source
	// Near returns how to read the copy of another instance; false when this
	// instance is to read the store itself. It is told how many others have failed in
	// a row, and whether the store does not answer this instance.
	Near func(failures int, lost bool) (watchFunc, bool)
	// Begin waits until it is known whose copy can be followed, before the first read; nil for
	// at once.
	Begin func(ctx context.Context)
	// Hasten reports that the store is to be read again after HasteAfter, sooner than after
	// Pace; nil for never.
	Hasten func() bool
	// Rare reports that this instance is one of many that read no store for others: while
	// the store does not answer it asks them, and the store itself seldom. Nil for never.
	Rare func() bool
	// Changed takes the rows of each reading that are new here; none when it only
	// showed that nothing has changed.
	Changed func(rows []Row, position uint64)
	// Lost and Back are told once of the loss and the return of the store.
	Lost func(err error)
	Back func()
	// Pace is the least time between two reads of the store, Wait how long one waits
	// for a change.
	Pace time.Duration
	Wait time.Duration
	// MaxAge returns how old another instance's copy may become before the store is read
	// itself: somewhat more than Pace and Wait together, since a read that waits in
	// vain follows the pause after one that did not wait.
	MaxAge func() time.Duration

	lock   sync.Mutex         // guards cancel
	cancel context.CancelFunc // ends a read of the store

	// The fields below belong to Run's goroutine.
	lost     bool
	whole    bool // all rows have to be read
	distrust time.Time
	failures int  // reads of other instances that failed lately
	ask      bool // the next read is the store's, whoever may be followed
	turn     int  // reads since the store was last asked while it is lost
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.Begin != nil {
		f.Begin(ctx)
	}
	for ctx.Err() == nil {
		begun := time.Now()
		near, err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		pause := f.pace()
		switch {
		case err != nil && near:
			// The store is asked at once, and then the next instance in rank, which does
			// the same: else all that followed one would read the store.
			f.failures++
			f.ask = true
			f.distrust = time.Now().Add(distrust)
			pause = 0
			if f.lost && f.rare() {
				pause = failurePause
			}
		case err != nil:
			pause = failurePause
			f.fail(err)
		case near:
			pause = 0
		}
		if !snipetime.Sleep(ctx, pause-time.Since(begun)) {
			return nil
		}
	}
	return nil
}

// pace is the least time between two reads of the store.
func (f *Follower) pace() time.Duration {
	if f.Hasten != nil && f.Hasten() {
		return min(f.Pace, HasteAfter)
	}
	return f.Pace
}

// step reads once, and tells whether it read another instance's copy.
func (f *Follower) step(ctx context.Context) (near bool, err error) {
	page, near, err := f.next(ctx)
	if errors.Is(err, snipeplatform.ErrHistory) {
		f.whole = true
		return near, nil
	}
	if err != nil {
		return near, err
	}
	if f.Mirror.Lacks(page) {
		f.whole = true
		return near, nil
	}
	if page.Whole {
		f.whole = false
	}
	if f.lost {
		f.lost, f.failures = false, 0
		f.Back()
	}
	f.Changed(f.Mirror.Apply(page), page.Position)
	return near, nil
}

// next reads another instance's copy, or the store.
func (f *Follower) next(ctx context.Context) (Page, bool, error) {
	position, known := f.Mirror.Position()
	if f.whole {
		position = 0
	}
	if watch, ok := f.near(); ok {
		page, err := f.copy(ctx, watch, position)
		return page, true, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.interruptible(cancel)
	defer f.interruptible(nil)
	switch {
	case !known || f.whole:
		page, err := f.Store.Read(ctx)
		return page, false, err
	case f.lost:
		// Does not wait for a change, to find out soon that the store is back.
		page, err := f.Store.Watch(ctx, position, 0)
		return page, false, err
	default:
		page, err := f.Store.Watch(ctx, position, f.Wait)
		return page, false, err
	}
}

// copy reads another instance's copy, no longer than until the rows here are too old:
// what it has not told by then has to come from the store.
func (f *Follower) copy(ctx context.Context, watch watchFunc, position uint64) (Page, error) {
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

// watchFunc reads what has changed after a position, waiting for it for up to wait.
type watchFunc = func(ctx context.Context, after uint64, wait time.Duration) (Page, error)

func (f *Follower) near() (watchFunc, bool) {
	if f.Near == nil {
		return nil, false
	}
	if f.lost {
		// By turns with the store: it may serve others.
		turns := lostTurns
		if f.rare() {
			turns = rareTurns
		}
		if f.turn++; f.turn >= turns {
			f.turn = 0
			return nil, false
		}
		return f.Near(f.failures, true)
	}
	if f.ask {
		f.ask = false
		return nil, false
	}
	if time.Now().After(f.distrust) {
		f.failures = 0
	}
	return f.Near(f.failures, false)
}

func (f *Follower) rare() bool { return f.Rare != nil && f.Rare() }

func (f *Follower) interruptible(cancel context.CancelFunc) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.cancel = cancel
}

// Interrupt ends a read of the store in progress: another duty has found that the store does
// not answer, and a read that began before would wait for its whole time.
func (f *Follower) Interrupt() {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// fail notes a failure of the store.
func (f *Follower) fail(err error) {
	if !f.lost {
		f.Lost(err)
	}
	f.lost = true
}
