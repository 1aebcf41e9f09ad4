package snipesoftware

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minStoreInterval is the least time between two writes of an instance's row. Streams that began less than that before
	// all instances are killed are lost.
	minStoreInterval = 100 * time.Millisecond
	// storeIntervalPerInstance keeps the writes of all instances together at a hundred a second.
	storeIntervalPerInstance = 10 * time.Millisecond
	// storeIntervalPerOrigin keeps what an instance writes at 4,000 origins a second (64 KB).
	storeIntervalPerOrigin = 250 * time.Microsecond
	// readInterval is the least time between two reads on behalf of callers, and between a call that failed and the next one.
	readInterval = 500 * time.Millisecond
	// maxStoredOrigins bounds the origins of a row, which has 64 KiB in all.
	maxStoredOrigins = 2000
	// sweepInterval is the time between two removals of rows that nobody needs.
	sweepInterval = time.Minute
	// storeTimeout bounds a call to the store.
	storeTimeout = time.Second
)

// ErrConflict is returned by Stored.Write if the row does not have the expected version.
var ErrConflict = errors.New("the row has another version")

// StoredRow is a row with the origins of one start of an instance.
type StoredRow struct {
	// Member identifies the start of the instance.
	Member string
	// Position is the version of the row in the store.
	Position uint64
	Origins  []Origin
}

// Stored keeps the origins of the streams that run while their service has several versions in the store as well, one row for
// each start of an instance, so that streams can be taken up after all instances were killed. Exported fields are set before
// the first call. It is safe for concurrent use.
type Stored struct {
	// Member identifies this start of this instance.
	Member string
	// Exchange has the origins of this instance, and gets those that are read.
	Exchange *Exchange
	// Read returns all rows. Those that cannot be decoded have no origins.
	Read func(ctx context.Context) ([]StoredRow, error)
	// Write writes the row of a member if it has the given version, 0 for none, and returns its new version. Without
	// origins it removes the row. Its errors wrap ErrConflict if that is known to be the reason.
	Write func(ctx context.Context, member string, origins []Origin, position uint64) (uint64, error)
	// Live returns the identifiers of all live instances, this one included, and Leads reports whether this one removes the
	// rows of others.
	Live  func() []string
	Leads func() bool

	reading sync.Mutex // held during a read on behalf of a caller

	waking sync.Once
	wakes  chan struct{} // set by waking

	lock sync.Mutex // guards the fields below
	busy bool
	// position is the version of this instance's row; 0 if there is none. unsure is set if it is not known.
	position uint64
	unsure   bool
	// written holds the origins of the row.
	written map[Origin]bool
	nextAt  time.Time
	sweepAt time.Time
	// readAt is when the rows were last read for a caller.
	readAt time.Time
	// seen holds the rows of instances that are not live, and since when they are unchanged.
	seen map[string]seenRow
}

// seenRow is a version of a row, and when it was seen first.
type seenRow struct {
	position uint64
	at       time.Time
}

// interval returns the time between the write of a number of origins, or a read without any, and the next call to the store.
func (s *Stored) interval(origins int) time.Duration {
	return max(minStoreInterval, time.Duration(len(s.Live()))*storeIntervalPerInstance, time.Duration(origins)*storeIntervalPerOrigin)
}

// wake returns the channel that tells that a call to the store may be due.
func (s *Stored) wake() chan struct{} {
	s.waking.Do(func() { s.wakes = make(chan struct{}, 1) })
	return s.wakes
}

// Wake has Run look whether a call to the store is due. It does not wait for it.
func (s *Stored) Wake() {
	select {
	case s.wake() <- struct{}{}:
	default:
	}
}

// Run calls Step as soon as a call to the store may be due after each Wake. It returns when ctx ends.
func (s *Stored) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake():
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(s.earliest())):
		}
		s.Step(ctx)
	}
}

// earliest returns when the next call to the store may begin.
func (s *Stored) earliest() time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.nextAt
}

// Step begins the next call to the store if one is due, and does not wait for it. It is to be called several times a second,
// also while Run has no reason to.
func (s *Stored) Step(ctx context.Context) {
	now := time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.sweepAt.IsZero() {
		s.sweepAt = now.Add(sweepInterval)
	}
	if s.busy || now.Before(s.nextAt) {
		return
	}
	origins := s.Exchange.severalOrigins(maxStoredOrigins)
	var call func(ctx context.Context) error
	switch {
	case s.unsure:
		call = s.findPosition
	case s.lacks(origins), len(origins) == 0 && s.position != 0:
		call = func(ctx context.Context) error { return s.write(ctx, origins) }
	case s.Leads() && !now.Before(s.sweepAt):
		s.sweepAt = now.Add(sweepInterval)
		call = s.sweep
	default:
		return
	}
	s.busy, s.nextAt = true, now.Add(s.interval(len(origins)))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		s.ended(call(ctx))
	}()
}

// lacks reports whether the row lacks one of the origins. The lock is held.
func (s *Stored) lacks(origins []Origin) bool {
	return slices.ContainsFunc(origins, func(o Origin) bool { return !s.written[o] })
}

// ended records that a call to the store has ended. What was not done stays due.
func (s *Stored) ended(err error) {
	s.lock.Lock()
	s.busy = false
	if err != nil {
		s.nextAt = later(s.nextAt, time.Now().Add(readInterval))
	}
	s.lock.Unlock()
	s.Wake() // streams may have begun meanwhile
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// write writes this instance's row, or removes it without origins.
func (s *Stored) write(ctx context.Context, origins []Origin) error {
	s.lock.Lock()
	position := s.position
	s.lock.Unlock()
	position, err := s.Write(ctx, s.Member, origins, position)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err != nil {
		s.unsure = true // the write may have been done
		return err
	}
	s.position, s.written = position, make(map[Origin]bool, len(origins))
	for _, o := range origins {
		s.written[o] = true
	}
	if len(origins) == 0 {
		s.position = 0
	}
	return nil
}

// findPosition reads the version of this instance's row.
func (s *Stored) findPosition(ctx context.Context) error {
	rows, err := s.Read(ctx)
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.position, s.unsure, s.written = 0, false, nil
	for _, r := range rows {
		if r.Member == s.Member {
			s.position = r.Position
		}
	}
	return nil
}

// sweep removes the rows of instances that are gone, originRetention after they were last written.
func (s *Stored) sweep(ctx context.Context) error {
	rows, err := s.Read(ctx)
	if err != nil {
		return err
	}
	for _, r := range s.expired(rows) {
		if _, err := s.Write(ctx, r.Member, nil, r.Position); err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return nil
}

// expired returns the rows of instances that are not live and were not written for originRetention.
func (s *Stored) expired(rows []StoredRow) []StoredRow {
	live, now := s.Live(), time.Now()
	s.lock.Lock()
	defer s.lock.Unlock()
	seen := make(map[string]seenRow)
	var expired []StoredRow
	for _, r := range rows {
		if r.Member == s.Member || slices.Contains(live, r.Member) {
			continue
		}
		old, known := s.seen[r.Member]
		if !known || old.position != r.Position {
			old = seenRow{r.Position, now}
		}
		if seen[r.Member] = old; now.Sub(old.at) >= originRetention {
			expired = append(expired, r)
		}
	}
	s.seen = seen
	return expired
}

// Find returns what the rows tell of a stream. They are read at most once in readInterval, or in the interval of writes if that is
// longer. An error means that they could not be read.
func (s *Stored) Find(ctx context.Context, k Key) (Version, Answer, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	if v, answer := s.Exchange.Get(k); answer != Unknown || !s.readDue() {
		return v, answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rows, err := s.Read(ctx)
	if err != nil {
		return "", Unknown, err
	}
	for _, r := range rows {
		s.Exchange.Held.Put(r.Origins...)
	}
	v, answer := s.Exchange.Get(k)
	return v, answer, nil
}

// readDue reports whether the rows are to be read for a caller, and records that they are read then.
func (s *Stored) readDue() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	if now.Sub(s.readAt) < max(readInterval, s.interval(0)) {
		return false
	}
	s.readAt = now
	return true
}
