package snipestand

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// TableFault holds the faults of the table service.
type TableFault struct {
	// Down refuses every request.
	Down bool
	// DownPartition refuses requests to partitions whose names have this prefix. The partition of a
	// write is that of its first change.
	DownPartition string
	// Flap refuses requests during every other interval of this length, counted from NewTable.
	Flap time.Duration
	// RefuseEvery refuses every n-th request, as a throttled table does; 0 refuses none.
	RefuseEvery int
	// Delay is added to every request.
	Delay time.Duration
	// Stale makes reads return the rows as they were this long ago, as far as the table keeps
	// earlier versions; see maxHistory. List omits rows that have been deleted since.
	Stale time.Duration
	// LoseReplies is the number of writes, from the next one on, that take effect without a reply.
	LoseReplies int
	// LoseWrites is the number of writes, from the next one on, that have no effect and no reply.
	LoseWrites int
	// LateWrites is the number of writes, from the next one on, that take effect after the delay
	// Late, without a reply.
	LateWrites int
	Late       time.Duration
}

// Counts holds the numbers of requests and the capacity units that they consume. A read unit is 4
// KiB and a write unit 1 KiB. Writes, which are all transactions, consume twice the units. Requests
// that a fault refuses are not counted.
type Counts struct {
	Reads, Writes         int
	ReadUnits, WriteUnits int
}

// pastRow is an earlier version of a row, which was current until a given time.
type pastRow struct {
	until time.Time
	row   snipeplatform.Row
}

// Table emulates the table service in memory. It is safe for concurrent use.
type Table struct {
	lock      sync.Mutex // guards the fields below
	rows      map[snipeplatform.Key]snipeplatform.Row
	history   map[snipeplatform.Key][]pastRow
	applied   map[string]bool // operations that took effect
	fault     TableFault
	counts    Counts
	refusable int // requests so far while RefuseEvery is set
	began     time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: map[snipeplatform.Key]snipeplatform.Row{}, history: map[snipeplatform.Key][]pastRow{},
		applied: map[string]bool{}, began: time.Now(),
	}
}

// Client returns the table in the form that the project's code uses.
func (t *Table) Client() snipeplatform.Table {
	return snipeplatform.Table{Get: t.Get, List: t.List, Write: t.Write}
}

// SetFault replaces the faults in force.
func (t *Table) SetFault(f TableFault) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.fault = f
}

// Counts returns the numbers of reads and writes so far.
func (t *Table) Counts() (reads, writes int) {
	c := t.Units()
	return c.Reads, c.Writes
}

// Units returns the counts of requests and capacity units so far.
func (t *Table) Units() Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.counts
}

const (
	readUnit  = 4 << 10
	writeUnit = 1 << 10
	// rowOverhead approximates the size of a row's key, version and operation in bytes.
	rowOverhead = 100
)

// units returns the capacity units that a number of bytes consumes, at least one.
func units(bytes, unit int) int { return max(1, (bytes+unit-1)/unit) }

// applyFaults applies the faults that affect every request: it waits for Delay, and returns
// ErrUnavailable for a request that is refused.
func (t *Table) applyFaults(ctx context.Context, partition string) error {
	t.lock.Lock()
	f := t.fault
	t.lock.Unlock()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return errors.Wrap(snipeplatform.ErrUnavailable, ctx.Err().Error())
		case <-timer.C:
		}
	}
	if t.refuses(f, partition) {
		return errors.Wrap(snipeplatform.ErrUnavailable, "table is down")
	}
	return nil
}

// refuses reports whether the faults make the table refuse a request to a partition.
func (t *Table) refuses(f TableFault, partition string) bool {
	if f.Down || f.DownPartition != "" && strings.HasPrefix(partition, f.DownPartition) {
		return true
	}
	if f.Flap > 0 && time.Since(t.began)/f.Flap%2 == 1 {
		return true
	}
	if f.RefuseEvery == 0 {
		return false
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.refusable++
	return t.refusable%f.RefuseEvery == 0
}

// visible returns the row that a read returns now, which is an earlier version while Stale is set.
// The lock is held.
func (t *Table) visible(key snipeplatform.Key) (snipeplatform.Row, bool) {
	at := time.Now().Add(-t.fault.Stale)
	for _, p := range t.history[key] {
		if t.fault.Stale > 0 && at.Before(p.until) {
			return p.row, p.row.Version > 0
		}
	}
	r, ok := t.rows[key]
	return r, ok
}

// Get implements snipeplatform.Table.
func (t *Table) Get(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
	if err := t.applyFaults(ctx, key.Partition); err != nil {
		return snipeplatform.Row{}, err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	r, ok := t.visible(key)
	t.counts.Reads++
	t.counts.ReadUnits += units(len(r.Data)+rowOverhead, readUnit)
	if !ok {
		return r, errors.Wrapf(snipeplatform.ErrNotFound, "%s/%s", key.Partition, key.Sort)
	}
	return r, nil
}

// List implements snipeplatform.Table.
func (t *Table) List(ctx context.Context, partition string) ([]snipeplatform.Row, error) {
	if err := t.applyFaults(ctx, partition); err != nil {
		return nil, err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	var rows []snipeplatform.Row
	bytes := 0
	for k := range t.rows {
		if r, ok := t.visible(k); ok && k.Partition == partition {
			rows = append(rows, r)
			bytes += len(r.Data) + rowOverhead
		}
	}
	t.counts.Reads++
	t.counts.ReadUnits += units(bytes, readUnit)
	sort.Slice(rows, func(i, j int) bool { return rows[i].Sort < rows[j].Sort })
	return rows, nil
}

// Write implements snipeplatform.Table. An operation that has already taken effect changes nothing.
func (t *Table) Write(ctx context.Context, operation string, changes []snipeplatform.Change) error {
	if err := t.applyFaults(ctx, changes[0].Partition); err != nil {
		return err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts.Writes++
	for _, c := range changes {
		t.counts.WriteUnits += 2 * units(len(c.Data)+rowOverhead, writeUnit)
	}
	switch {
	case t.fault.LoseWrites > 0:
		t.fault.LoseWrites--
		return errors.Wrap(snipeplatform.ErrUnknown, "write lost")
	case t.fault.LateWrites > 0:
		t.fault.LateWrites--
		t.commitLate(operation, changes)
		return errors.Wrap(snipeplatform.ErrUnknown, "write is late")
	}
	if !t.applied[operation] {
		if err := t.commit(operation, changes); err != nil {
			return err
		}
	}
	if t.fault.LoseReplies > 0 {
		t.fault.LoseReplies--
		return errors.Wrap(snipeplatform.ErrUnknown, "reply lost")
	}
	return nil
}

// commitLate makes the changes after the delay Late, if their conditions hold then. The lock is
// held.
func (t *Table) commitLate(operation string, changes []snipeplatform.Change) {
	time.AfterFunc(t.fault.Late, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		if !t.applied[operation] {
			// A conflict is not reported: tests check the rows to find out whether the write took
			// effect.
			_ = t.commit(operation, changes)
		}
	})
}

// commit checks all conditions, then makes all changes. It returns ErrConflict, and changes
// nothing, if a condition does not hold. The lock is held.
func (t *Table) commit(operation string, changes []snipeplatform.Change) error {
	for _, c := range changes {
		if t.rows[c.Key].Version != c.Expect {
			return errors.Wrapf(snipeplatform.ErrConflict, "%s/%s has version %d, not %d",
				c.Partition, c.Sort, t.rows[c.Key].Version, c.Expect)
		}
	}
	now := time.Now()
	for _, c := range changes {
		if c.Data != nil || c.Delete {
			t.keepVersion(c.Key, now)
		}
		switch {
		case c.Delete:
			delete(t.rows, c.Key)
		case c.Data != nil:
			data := append([]byte(nil), c.Data...)
			t.rows[c.Key] = snipeplatform.Row{Key: c.Key, Version: c.Expect + 1, Operation: operation, Data: data}
		}
	}
	t.applied[operation] = true
	return nil
}

// maxHistory is the number of earlier versions that the table keeps of each row.
const maxHistory = 8

// keepVersion keeps the current version of a row that is about to change. The lock is held.
func (t *Table) keepVersion(key snipeplatform.Key, now time.Time) {
	t.history[key] = append(t.history[key], pastRow{now, t.rows[key]})
	t.history[key] = t.history[key][max(0, len(t.history[key])-maxHistory):]
}
