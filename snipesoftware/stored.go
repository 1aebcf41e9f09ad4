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
	minStoreInterval = 500 * time.Millisecond
	// storeIntervalPerInstance keeps the writes of all instances together at a hundred a second.
	storeIntervalPerInstance = 10 * time.Millisecond
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

	lock sync.Mutex // guards the fields below
	busy bool
	// position is the version of this instance's row; 0 if there is none. unsure is set if it is not known.
	position uint64
	unsure   bool
	// written is the count of streams, as Exchange counts them, up to which the row has all.
	written uint64
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

// interval returns the time between two calls to the store.
func (s *Stored) interval() time.Duration {
	return max(minStoreInterval, time.Duration(len(s.Live()))*storeIntervalPerInstance)
}

// Step begins the next call to the store if one is due, and does not wait for it. It is to be called several times a second.
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
	origins, begun := s.Exchange.severalOrigins(maxStoredOrigins)
	var call func(ctx context.Context) error
	switch {
	case s.unsure:
		call = s.findPosition
	case len(origins) > 0 && (begun != s.written || s.position == 0), len(origins) == 0 && s.position != 0:
		call = func(ctx context.Context) error { return s.write(ctx, origins, begun) }
	case s.Leads() && !now.Before(s.sweepAt):
		s.sweepAt = now.Add(sweepInterval)
		call = s.sweep
	default:
		return
	}
	s.busy, s.nextAt = true, now.Add(s.interval())
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		// An error needs no handling: what was not done stays due.
		_ = call(ctx)
		s.lock.Lock()
		defer s.lock.Unlock()
		s.busy = false
	}()
}

// write writes this instance's row, or removes it without origins. begun is the count of streams up to which these are all.
func (s *Stored) write(ctx context.Context, origins []Origin, begun uint64) error {
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
	s.position, s.written = position, begun
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
	s.position, s.unsure, s.written = 0, false, 0
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

// Find returns what the rows tell of a stream. They are read at most once in an interval. An error means that they could not
// be read.
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
	if now.Sub(s.readAt) < s.interval() {
		return false
	}
	s.readAt = now
	return true
}
