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

// TableFault are the faults of the table service.
type TableFault struct {
	// Down refuses every request.
	Down bool
	// DownPartition refuses requests to partitions whose names start so.
	DownPartition string
	// Flap refuses requests in every second span of this length.
	Flap time.Duration
	// RefuseEvery refuses every so many requests, as a throttled table does.
	RefuseEvery int
	// Delay slows every request.
	Delay time.Duration
	// Stale makes reads show what was there so long ago.
	Stale time.Duration
	// LoseReplies is how many of the next writes take effect without a reply.
	LoseReplies int
	// LoseWrites is how many of the next writes have no effect and no reply.
	LoseWrites int
	// LateWrites is how many of the next writes take effect after Late,
	// without a reply.
	LateWrites int
	Late       time.Duration
}

// Counts are numbers of requests and the units they take: a read unit is 4 KiB,
// a write unit 1 KiB, and a write in a transaction takes two.
type Counts struct {
	Reads, Writes         int
	ReadUnits, WriteUnits int
}

// past is a row as it was until a time.
type past struct {
	until time.Time
	row   snipeplatform.Row
}

// Table is the table service in memory, safe for concurrent use.
type Table struct {
	lock    sync.Mutex // guards the fields below
	rows    map[snipeplatform.Key]snipeplatform.Row
	pasts   map[snipeplatform.Key][]past
	done    map[string]bool
	fault   TableFault
	counts  Counts
	refused int
	began   time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		rows: map[snipeplatform.Key]snipeplatform.Row{}, pasts: map[snipeplatform.Key][]past{},
		done: map[string]bool{}, began: time.Now(),
	}
}

// Client returns the table as the project's code sees it.
func (t *Table) Client() snipeplatform.Table {
	return snipeplatform.Table{Get: t.Get, List: t.List, Write: t.Write}
}

// SetFault switches faults.
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

// Units returns the counts so far.
func (t *Table) Units() Counts {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.counts
}

const (
	readUnit  = 4 << 10
	writeUnit = 1 << 10
	// rowOverhead stands for a row's key, version and operation.
	rowOverhead = 100
)

func units(bytes, unit int) int { return max(1, (bytes+unit-1)/unit) }

// enter applies the faults that hold for every request.
func (t *Table) enter(ctx context.Context, partition string) error {
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
	t.refused++
	return t.refused%f.RefuseEvery == 0
}

// seen returns the row as a read sees it now. The lock is held.
func (t *Table) seen(key snipeplatform.Key) (snipeplatform.Row, bool) {
	at := time.Now().Add(-t.fault.Stale)
	for _, p := range t.pasts[key] {
		if t.fault.Stale > 0 && at.Before(p.until) {
			return p.row, p.row.Version > 0
		}
	}
	r, ok := t.rows[key]
	return r, ok
}

// Get implements snipeplatform.Table.
func (t *Table) Get(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
	if err := t.enter(ctx, key.Partition); err != nil {
		return snipeplatform.Row{}, err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	r, ok := t.seen(key)
	t.counts.Reads++
	t.counts.ReadUnits += units(len(r.Data)+rowOverhead, readUnit)
	if !ok {
		return r, errors.Wrapf(snipeplatform.ErrNotFound, "%s/%s", key.Partition, key.Sort)
	}
	return r, nil
}

// List implements snipeplatform.Table.
func (t *Table) List(ctx context.Context, partition string) ([]snipeplatform.Row, error) {
	if err := t.enter(ctx, partition); err != nil {
		return nil, err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	var rows []snipeplatform.Row
	bytes := 0
	for k := range t.rows {
		if r, ok := t.seen(k); ok && k.Partition == partition {
			rows = append(rows, r)
			bytes += len(r.Data) + rowOverhead
		}
	}
	t.counts.Reads++
	t.counts.ReadUnits += units(bytes, readUnit)
	sort.Slice(rows, func(i, j int) bool { return rows[i].Sort < rows[j].Sort })
	return rows, nil
}

// Write implements snipeplatform.Table.
func (t *Table) Write(ctx context.Context, operation string, changes []snipeplatform.Change) error {
	if err := t.enter(ctx, changes[0].Partition); err != nil {
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
		t.later(operation, changes)
		return errors.Wrap(snipeplatform.ErrUnknown, "write is late")
	}
	if !t.done[operation] {
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

// later makes the changes after a while, if their conditions hold then.
func (t *Table) later(operation string, changes []snipeplatform.Change) {
	time.AfterFunc(t.fault.Late, func() {
		t.lock.Lock()
		defer t.lock.Unlock()
		if !t.done[operation] {
			// Whether it took effect is what the test looks at.
			_ = t.commit(operation, changes)
		}
	})
}

// commit checks all conditions, then makes all changes. The lock is held.
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
			t.remember(c.Key, now)
		}
		switch {
		case c.Delete:
			delete(t.rows, c.Key)
		case c.Data != nil:
			data := append([]byte(nil), c.Data...)
			t.rows[c.Key] = snipeplatform.Row{Key: c.Key, Version: c.Expect + 1, Operation: operation, Data: data}
		}
	}
	t.done[operation] = true
	return nil
}

// maxPasts bounds how many earlier versions of a row are kept.
const maxPasts = 8

func (t *Table) remember(key snipeplatform.Key, now time.Time) {
	t.pasts[key] = append(t.pasts[key], past{now, t.rows[key]})
	t.pasts[key] = t.pasts[key][max(0, len(t.pasts[key])-maxPasts):]
}
