// Package snipemirror keeps copies of a few tables of the platform's store and
// passes their changes on to other instances, so that the store is read by a few
// and known to all.
//
// Design. A Mirror holds the rows of one table with their versions, which one
// counter of the store numbers. What is read, from the store itself or from another
// instance's mirror, is merged row by row: the higher version wins, whatever the
// order of arrival. A Follower reads on and on, from another instance that is known
// to be near and fresh, or else from the store.
//
// A row that was written again without news, as a heartbeat is, costs those that follow
// little: nothing where Same tells so, else its version without its value.
//
// Invariants:
//
//   - A row never goes back to an older version.
//   - A row without its value is taken only where the value is known.
//   - A copy that another instance has not renewed from the store for MaxAge is not
//     taken, nor waited for any longer; the store is asked instead.
package snipemirror

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// ErrStale says that a copy is too old to be taken.
var ErrStale = errors.New("copy is too old")

// Row is one row of a table, or the mark that it was removed.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
	// Renewed tells that the row was written again with the value that it had, which is
	// left out.
	Renewed bool
}

// kept is a row of a mirror.
type kept struct {
	Row
	// news is the version since which the row says what it says, value the one that
	// brought its value.
	news  uint64
	value uint64
	// mark is the mirror's mark of the last news.
	mark uint64
}

// Page is what was read of a table.
type Page struct {
	Rows []Row
	// Position is the store's version of the reading.
	Position uint64
	// Whole tells that all rows of the table are among Rows.
	Whole bool
	// Age is how long ago the store itself was read; zero for the store's answers.
	Age time.Duration
}

// keptMarks is how long the marks of removed rows are kept: longer than another
// instance may be behind before it reads all rows.
const keptMarks = time.Minute

// Mirror is the copy of one table. Exported fields are set before the first call. The zero
// value is not usable: call New.
type Mirror struct {
	// Same reports whether a value says nothing that the one before it did not; nil for a
	// table where each version is news.
	Same func(old, now []byte) bool

	lock     sync.Mutex // guards the fields below
	rows     map[string]kept
	removed  map[string]time.Time
	mark     uint64
	read     uint64 // rows read
	news     uint64 // rows that brought news
	position uint64
	oldest   uint64 // changes up to here are no longer known one by one
	known    bool
	readAt   time.Time
	changed  chan struct{}
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{rows: make(map[string]kept), removed: make(map[string]time.Time), changed: make(chan struct{})}
}

// Position returns the position up to which the table is known; false before it was
// read.
func (m *Mirror) Position() (uint64, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.position, m.known
}

// Age returns how long ago the store was read, here or by those that passed it on.
func (m *Mirror) Age() time.Duration {
	m.lock.Lock()
	defer m.lock.Unlock()
	return time.Since(m.readAt)
}

// Counts returns how many rows were read so far, and how many of them brought news.
func (m *Mirror) Counts() (read, news uint64) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.read, m.news
}

// Rows returns the rows that have come or changed since a mark, all of them for 0, in the
// order of their keys, and the mark to go on from.
func (m *Mirror) Rows(since uint64) (rows []Row, mark uint64, err error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.known {
		return nil, 0, snipeplatform.ErrUnread
	}
	for _, r := range m.rows {
		if r.mark > since && !r.Removed {
			rows = append(rows, r.Row)
		}
	}
	sortRows(rows)
	return rows, m.mark, nil
}

// since returns the rows with news above a version. Those that follow know of the rows up
// to it, so that values from before are left out. The lock is held.
func (m *Mirror) since(after uint64) []Row {
	var rows []Row
	for _, r := range m.rows {
		if r.news <= after || after == 0 && r.Removed {
			continue
		}
		row := r.Row
		if after > 0 && !r.Removed && r.value <= after {
			row.Value, row.Renewed = nil, true
		}
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// Lacks reports whether a page leaves out values that are not known here. It cannot be
// applied then: all rows have to be read.
func (m *Mirror) Lacks(p Page) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, r := range p.Rows {
		if old, ok := m.rows[r.Key]; r.Renewed && (!ok || old.Removed && old.Version < r.Version) {
			return true
		}
	}
	return false
}

// Apply merges what was read and returns the rows with news here.
func (m *Mirror) Apply(p Page) []Row {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.mark++
	m.read += uint64(len(p.Rows))
	var changed []Row
	present := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		present[r.Key] = true
		if m.put(r) {
			changed = append(changed, r)
		}
	}
	if p.Whole {
		changed = append(changed, m.drop(present, p.Position)...)
	}
	m.news += uint64(len(changed))
	if !m.known {
		m.oldest = p.Position
	}
	m.position, m.known = max(m.position, p.Position), true
	if read := time.Now().Add(-p.Age); read.After(m.readAt) {
		m.readAt = read
	}
	m.prune()
	close(m.changed)
	m.changed = make(chan struct{})
	return changed
}

// put stores a row unless a newer one is known, and reports whether it brings news. The
// lock is held.
func (m *Mirror) put(r Row) bool {
	old, ok := m.rows[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if r.Removed {
		m.rows[r.Key] = kept{Row: r, news: r.Version, value: r.Version, mark: m.mark}
		m.removed[r.Key] = time.Now()
		return true
	}
	delete(m.removed, r.Key)
	now := kept{Row: r, news: r.Version, value: r.Version, mark: m.mark}
	now.Renewed = false
	known := ok && !old.Removed
	if known && (r.Renewed || bytes.Equal(old.Value, r.Value)) {
		now.Value, now.value = old.Value, old.value
	}
	if known && m.Same != nil && m.Same(old.Value, now.Value) {
		now.news, now.mark = old.news, old.mark
		m.rows[r.Key] = now
		return false
	}
	m.rows[r.Key] = now
	return true
}

// drop marks the rows as removed that a whole reading does not show. The lock is
// held.
func (m *Mirror) drop(present map[string]bool, position uint64) []Row {
	var dropped []Row
	for key, r := range m.rows {
		if present[key] || r.Removed || r.Version > position {
			continue
		}
		gone := Row{Key: key, Version: position, Removed: true}
		m.rows[key] = kept{Row: gone, news: position, value: position, mark: m.mark}
		m.removed[key] = time.Now()
		dropped = append(dropped, gone)
	}
	return dropped
}

// prune forgets old marks. The lock is held.
func (m *Mirror) prune() {
	for key, at := range m.removed {
		if time.Since(at) < keptMarks {
			continue
		}
		m.oldest = max(m.oldest, m.rows[key].Version)
		delete(m.rows, key)
		delete(m.removed, key)
	}
}

// Watch returns what has changed after a position, waiting for it for up to wait, also for
// the first reading. Where the changes are no longer known one by one it returns all rows.
func (m *Mirror) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, changed, err := m.page(after)
		if err == nil && (len(page.Rows) > 0 || page.Position > after) {
			return page, nil
		}
		select {
		case <-changed:
		case <-limit.C:
			page, _, err = m.page(after)
			return page, err
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (m *Mirror) page(after uint64) (Page, <-chan struct{}, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.known {
		return Page{}, m.changed, snipeplatform.ErrUnread
	}
	p := Page{Position: m.position, Age: time.Since(m.readAt)}
	if after < m.oldest {
		p.Whole = true
		after = 0
	}
	p.Rows = m.since(after)
	return p, m.changed, nil
}
