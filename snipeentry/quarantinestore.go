package snipeentry

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipequarantine"
)

const (
	// quarantineTable is the table with a row for each refused fingerprint.
	quarantineTable = "quarantine"
	// quarantineRetry is the time between two calls to the store after one that failed, or after one
	// that other instances may have made impossible.
	quarantineRetry = time.Second
)

// quarantineRow is the document of a row. Its key is the fingerprint.
type quarantineRow struct {
	// RefusedAt is by the clock of the instance that wrote the row. The time until the release is an
	// hour, so that a clock that is off by seconds does no harm.
	RefusedAt time.Time
	Upstreams []string
	// Part is set for the fingerprint of a part of prompts.
	Part bool `json:",omitempty"`
}

// quarantineStore keeps the refused fingerprints in the store, so that they outlast a stop of all
// instances. They are read at the start, and by an instance that is cut off from the others; decisions
// are exchanged by the instances otherwise. Exported
// fields are set before the first call. It is safe for concurrent use.
type quarantineStore struct {
	Read      func(ctx context.Context) (snipemirror.Page, error)
	Write     func(ctx context.Context, operation string, changes []snipeplatform.Change) (uint64, error)
	Operation func() string
	// Restore is called for each refused fingerprint that was read.
	Restore func(s snipequarantine.Suspect)
	// Wrong is called for each row that cannot be decoded.
	Wrong func()

	lock sync.Mutex // guards the fields below
	// added and removed are the rows that are still to be written and to be removed.
	added   map[snipequarantine.Fingerprint]quarantineRow
	removed map[snipequarantine.Fingerprint]bool
	// restored is set once the rows were read at the start.
	restored bool
	busy     bool
	nextAt   time.Time
}

// Put has a refused fingerprint stored.
func (q *quarantineStore) Put(s snipequarantine.Suspect) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.added == nil {
		q.added = make(map[snipequarantine.Fingerprint]quarantineRow)
	}
	q.added[s.Fingerprint] = quarantineRow{RefusedAt: time.Now(), Upstreams: s.Upstreams, Part: s.Part}
	delete(q.removed, s.Fingerprint)
}

// Remove has the row of a fingerprint removed.
func (q *quarantineStore) Remove(f snipequarantine.Fingerprint) {
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.removed == nil {
		q.removed = make(map[snipequarantine.Fingerprint]bool)
	}
	q.removed[f] = true
	delete(q.added, f)
}

// ReadAgain has the rows read once more.
func (q *quarantineStore) ReadAgain() {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.restored = false
}

// step begins the next call to the store if one is due, and does not wait for it.
func (q *quarantineStore) step(ctx context.Context) {
	now := time.Now()
	q.lock.Lock()
	defer q.lock.Unlock()
	if q.busy || now.Before(q.nextAt) || q.restored && len(q.added) == 0 && len(q.removed) == 0 {
		return
	}
	q.busy, q.nextAt = true, now.Add(quarantineRetry)
	go func() {
		// An error needs no handling: what was not done stays due.
		_ = q.work(ctx)
		q.lock.Lock()
		defer q.lock.Unlock()
		q.busy = false
	}()
}

// work restores what the store holds, or else writes and removes the rows that are due.
func (q *quarantineStore) work(ctx context.Context) error {
	q.lock.Lock()
	restored, added, removed := q.restored, maps.Clone(q.added), maps.Clone(q.removed)
	q.lock.Unlock()
	if !restored {
		return q.restore(ctx)
	}
	for f, row := range added {
		if err := q.write(ctx, f, row); err != nil {
			return err
		}
	}
	if len(removed) == 0 {
		return nil
	}
	return q.remove(ctx, removed)
}

// restore reads all rows and restores the fingerprints that are to be refused for longer.
func (q *quarantineStore) restore(ctx context.Context) error {
	page, err := q.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read quarantine")
	}
	for _, r := range page.Rows {
		s, err := decodeQuarantineRow(r)
		if err != nil {
			q.Wrong()
			continue
		}
		if s.Left <= 0 {
			q.Remove(s.Fingerprint)
			continue
		}
		q.Restore(s)
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	q.restored = true
	return nil
}

// errRow reports a row that cannot be used.
var errRow = errors.New("invalid row of the quarantine")

// decodeQuarantineRow returns the refused fingerprint of a row.
func decodeQuarantineRow(r snipemirror.Row) (snipequarantine.Suspect, error) {
	f, err := snipequarantine.ParseFingerprint(r.Key)
	if err != nil {
		return snipequarantine.Suspect{}, err
	}
	var row quarantineRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return snipequarantine.Suspect{}, errors.Wrapf(errRow, "%v", err)
	}
	left := min(snipequarantine.SuspectTime-time.Since(row.RefusedAt), snipequarantine.SuspectTime)
	s := snipequarantine.Suspect{Fingerprint: f, Refused: true, Left: left, Upstreams: row.Upstreams, Part: row.Part}
	return s, s.Check()
}

// write writes the row of a fingerprint, unless there is one.
func (q *quarantineStore) write(ctx context.Context, f snipequarantine.Fingerprint, row quarantineRow) error {
	data, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode row")
	}
	_, err = q.Write(ctx, q.Operation(), []snipeplatform.Change{{Key: quarantineKey(f), Data: data}})
	if err != nil && !errors.Is(err, snipeplatform.ErrConflict) {
		return errors.Wrap(err, "write quarantine")
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	delete(q.added, f)
	return nil
}

// remove removes the rows of fingerprints, in the versions in which they are read now.
func (q *quarantineStore) remove(ctx context.Context, removed map[snipequarantine.Fingerprint]bool) error {
	page, err := q.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read quarantine")
	}
	for _, r := range page.Rows {
		f, err := snipequarantine.ParseFingerprint(r.Key)
		if err != nil || !removed[f] {
			continue
		}
		_, err = q.Write(ctx, q.Operation(), []snipeplatform.Change{{Key: quarantineKey(f), Expect: r.Version, Delete: true}})
		if err != nil && !errors.Is(err, snipeplatform.ErrConflict) {
			return errors.Wrap(err, "remove from quarantine")
		}
	}
	q.lock.Lock()
	defer q.lock.Unlock()
	for f := range removed {
		delete(q.removed, f)
	}
	return nil
}

func quarantineKey(f snipequarantine.Fingerprint) snipeplatform.Key {
	return snipeplatform.Key{Partition: quarantineTable, Sort: f.String()}
}
