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
// Invariants:
//
//   - A row never goes back to an older version.
//   - A copy that another instance has not renewed from the store for MaxAge is not
//     taken, nor waited for any longer; the store is asked instead.
package snipemirror

import (
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

// Mirror is the copy of one table. The zero value is not usable: call New.
type Mirror struct {
	lock     sync.Mutex // guards the fields below
	rows     map[string]Row
	removed  map[string]time.Time
	position uint64
	oldest   uint64 // changes up to here are no longer known one by one
	known    bool
	read     time.Time
	changed  chan struct{}
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{rows: make(map[string]Row), removed: make(map[string]time.Time), changed: make(chan struct{})}
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
	return time.Since(m.read)
}

// Rows returns all rows, in the order of their keys.
func (m *Mirror) Rows() ([]Row, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.known {
		return nil, snipeplatform.ErrUnread
	}
	return m.since(0), nil
}

// since returns the rows above a version. The lock is held.
func (m *Mirror) since(after uint64) []Row {
	var rows []Row
	for _, r := range m.rows {
		if r.Version > after && (after > 0 || !r.Removed) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// Apply merges what was read and returns the rows that it changed here.
func (m *Mirror) Apply(p Page) []Row {
	m.lock.Lock()
	defer m.lock.Unlock()
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
	if !m.known {
		m.oldest = p.Position
	}
	m.position, m.known = max(m.position, p.Position), true
	if read := time.Now().Add(-p.Age); read.After(m.read) {
		m.read = read
	}
	m.prune()
	close(m.changed)
	m.changed = make(chan struct{})
	return changed
}

// put stores a row unless a newer one is known. The lock is held.
func (m *Mirror) put(r Row) bool {
	if old, ok := m.rows[r.Key]; ok && old.Version >= r.Version {
		return false
	}
	m.rows[r.Key] = r
	delete(m.removed, r.Key)
	if r.Removed {
		m.removed[r.Key] = time.Now()
	}
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
		mark := Row{Key: key, Version: position, Removed: true}
		m.rows[key] = mark
		m.removed[key] = time.Now()
		dropped = append(dropped, mark)
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

// Watch returns what has changed after a position, waiting for it for up to wait.
// Where the changes are no longer known one by one it returns all rows.
func (m *Mirror) Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		page, changed, err := m.page(after)
		if err != nil || len(page.Rows) > 0 || page.Position > after {
			return page, err
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
		return Page{}, nil, snipeplatform.ErrUnread
	}
	p := Page{Position: m.position, Age: time.Since(m.read)}
	if after < m.oldest {
		p.Whole = true
		after = 0
	}
	p.Rows = m.since(after)
	return p, m.changed, nil
}
