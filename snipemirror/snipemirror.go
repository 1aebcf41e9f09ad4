// Package snipemirror keeps copies of a few tables of the platform's store and
// passes their changes on to other instances, so that a few instances read the
// store and all instances have its rows.
//
// A position is the store's version up to which a copy contains all changes. A follower is an
// instance that reads another instance's copy.
//
// Design. A Mirror holds the rows of one table with their versions, which one
// counter of the store numbers. Rows that are read, from the store itself or from
// another instance's mirror, are merged one by one: the higher version wins, whatever
// the order of arrival. A Follower reads continuously, from a fresh copy of another
// instance, usually one in the same failure domain, or else from the store.
//
// A row that is rewritten without a change, such as a heartbeat, costs followers little:
// nothing is sent if Equivalent reports true, and otherwise its version without its value.
//
// Invariants:
//
//   - A row never goes back to an older version.
//   - A row without its value is applied only if its value is known.
//   - A follower neither applies nor waits for a copy that another instance has not
//     refreshed from the store for MaxAge. It reads the store instead.
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

// ErrStale is returned when a copy exceeds its maximum age.
var ErrStale = errors.New("copy is too old")

// Row is one row of a table, or a tombstone for a removed row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
	// Unchanged reports that the row was rewritten with an unchanged value, which is left out.
	Unchanged bool
}

// entry is a row of a mirror with the versions that decide what followers receive.
type entry struct {
	Row
	// changeVersion is the version of the last write that was a change: one whose value
	// Equivalent does not report as equivalent, or any write if Equivalent is nil. valueVersion is the version of the
	// last write that changed the bytes of the value.
	changeVersion uint64
	valueVersion  uint64
	// cursor is the mirror's cursor (the number of pages applied) at the last change.
	cursor uint64
}

// Page is the result of one read of a table.
type Page struct {
	Rows []Row
	// Position is the store's version at the time of the read.
	Position uint64
	// Complete reports that Rows holds all rows of the table.
	Complete bool
	// Age is the time since the store itself was read; zero for a page from the store.
	Age time.Duration
	// Confirmed is a time at which the store held the rows, or newer ones: a lower bound, unlike Age,
	// also if the page was delayed on its way. Zero if it is not known.
	Confirmed time.Time
}

// tombstoneAge is the least time for which tombstones are kept. A follower whose position is
// lower than a dropped tombstone's version receives all rows. Shorter: that happens to
// followers that are only a little behind; longer: more tombstones are kept in memory.
const tombstoneAge = time.Minute

// Mirror is the copy of one table. Exported fields are set before the first call. The zero
// value is not usable: call New.
type Mirror struct {
	// Equivalent reports whether a new value has the same meaning as the old one, so that it need
	// not be passed on. Nil means that each version is a change.
	Equivalent func(old, now []byte) bool

	lock         sync.Mutex // guards the fields below
	rows         map[string]entry
	removed      map[string]time.Time // when each tombstone was made
	cursor       uint64               // number of pages applied
	readCount    uint64               // rows read
	changeCount  uint64               // rows changed
	position     uint64
	historyStart uint64 // changes up to this version are no longer known one by one
	known        bool   // a page was applied
	readAt       time.Time
	confirmed    time.Time
	changed      chan struct{} // closed and replaced when a page is applied
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{rows: make(map[string]entry), removed: make(map[string]time.Time), changed: make(chan struct{})}
}

// Position returns the position up to which the table is known, or false if it has not been
// read yet.
func (m *Mirror) Position() (uint64, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.position, m.known
}

// Age returns the time since the store was read, by this instance or by the one whose copy
// was read; a huge duration if no page has been applied.
func (m *Mirror) Age() time.Duration {
	m.lock.Lock()
	defer m.lock.Unlock()
	return time.Since(m.readAt)
}

// Confirmed returns the latest time at which the store is known to have held no newer rows than this
// copy; see Page.Confirmed.
func (m *Mirror) Confirmed() time.Time {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.confirmed
}

// Counts returns the numbers of rows in all pages applied so far, and of those that changed
// this mirror, including the rows that a complete page no longer contained.
func (m *Mirror) Counts() (read, changed uint64) {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.readCount, m.changeCount
}

// Rows returns the rows that were added or changed after a cursor, in the order of their keys,
// and the cursor for the next call. A cursor is the number of pages that the mirror had applied
// at a call of Rows; 0 selects all rows. Removed rows are left out. It
// returns snipeplatform.ErrNotRead before the first page has been applied.
func (m *Mirror) Rows(since uint64) (rows []Row, cursor uint64, err error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.known {
		return nil, 0, snipeplatform.ErrNotRead
	}
	for _, r := range m.rows {
		if r.cursor > since && !r.Removed {
			rows = append(rows, r.Row)
		}
	}
	sortRows(rows)
	return rows, m.cursor, nil
}

// rowsAfter returns the rows that changed after a version, with tombstones unless the version
// is 0. Followers have the values up to that version, so older values are left out. The caller
// holds the lock.
func (m *Mirror) rowsAfter(after uint64) []Row {
	var rows []Row
	for _, r := range m.rows {
		if r.changeVersion <= after || after == 0 && r.Removed {
			continue
		}
		row := r.Row
		if after > 0 && !r.Removed && r.valueVersion <= after {
			row.Value, row.Unchanged = nil, true
		}
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// LacksValues reports whether a page leaves out values that this mirror does not have. Such a page
// cannot be applied: all rows must be read.
func (m *Mirror) LacksValues(p Page) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	for _, r := range p.Rows {
		if old, ok := m.rows[r.Key]; r.Unchanged && (!ok || old.Removed && old.Version < r.Version) {
			return true
		}
	}
	return false
}

// Apply merges a page, returns the rows that changed in this mirror, and ends the waits of
// Watch. The page must not lack values; see LacksValues.
func (m *Mirror) Apply(p Page) []Row {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.cursor++
	m.readCount += uint64(len(p.Rows))
	var changed []Row
	present := make(map[string]bool, len(p.Rows))
	for _, r := range p.Rows {
		present[r.Key] = true
		if m.put(r) {
			changed = append(changed, r)
		}
	}
	if p.Complete {
		changed = append(changed, m.removeMissing(present, p.Position)...)
	}
	m.changeCount += uint64(len(changed))
	if !m.known {
		m.historyStart = p.Position
	}
	m.position, m.known = max(m.position, p.Position), true
	if read := time.Now().Add(-p.Age); read.After(m.readAt) {
		m.readAt = read
	}
	if p.Confirmed.After(m.confirmed) {
		m.confirmed = p.Confirmed
	}
	m.prune()
	close(m.changed)
	m.changed = make(chan struct{})
	return changed
}

// put stores a row unless the known version is as new or newer. It reports whether the row
// changed, which a value that Equivalent reports as equivalent does not count as. The caller
// holds the lock.
func (m *Mirror) put(r Row) bool {
	old, ok := m.rows[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if r.Removed {
		m.rows[r.Key] = entry{Row: r, changeVersion: r.Version, valueVersion: r.Version, cursor: m.cursor}
		m.removed[r.Key] = time.Now()
		return true
	}
	delete(m.removed, r.Key)
	now := entry{Row: r, changeVersion: r.Version, valueVersion: r.Version, cursor: m.cursor}
	now.Unchanged = false
	known := ok && !old.Removed
	if known && (r.Unchanged || bytes.Equal(old.Value, r.Value)) {
		now.Value, now.valueVersion = old.Value, old.valueVersion
	}
	if known && m.Equivalent != nil && m.Equivalent(old.Value, now.Value) {
		now.changeVersion, now.cursor = old.changeVersion, old.cursor
		m.rows[r.Key] = now
		return false
	}
	m.rows[r.Key] = now
	return true
}

// removeMissing replaces the rows that are missing from a page of all rows by tombstones, and
// returns these. Rows newer than the page stay. The caller holds the lock.
func (m *Mirror) removeMissing(present map[string]bool, position uint64) []Row {
	var missing []Row
	for key, r := range m.rows {
		if present[key] || r.Removed || r.Version > position {
			continue
		}
		tombstone := Row{Key: key, Version: position, Removed: true}
		m.rows[key] = entry{Row: tombstone, changeVersion: position, valueVersion: position, cursor: m.cursor}
		m.removed[key] = time.Now()
		missing = append(missing, tombstone)
	}
	return missing
}

// prune deletes tombstones older than tombstoneAge, and records that the changes up to their
// versions are no longer known one by one. The caller holds the lock.
func (m *Mirror) prune() {
	for key, at := range m.removed {
		if time.Since(at) < tombstoneAge {
			continue
		}
		m.historyStart = max(m.historyStart, m.rows[key].Version)
		delete(m.rows, key)
		delete(m.removed, key)
	}
}

// Watch returns the changes after a position, and waits up to wait for a newer position or for
// the first page. It returns all rows if the changes are no longer known one by one. After the
// wait it returns a page without rows, or snipeplatform.ErrNotRead if no page has been applied;
// it returns ctx's error if ctx ends first.
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

// page returns the changes after a position without waiting, and a channel that is closed when
// the next page is applied.
func (m *Mirror) page(after uint64) (Page, <-chan struct{}, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.known {
		return Page{}, m.changed, snipeplatform.ErrNotRead
	}
	p := Page{Position: m.position, Age: time.Since(m.readAt), Confirmed: m.confirmed}
	if after < m.historyStart {
		p.Complete = true
		after = 0
	}
	p.Rows = m.rowsAfter(after)
	return p, m.changed, nil
}
