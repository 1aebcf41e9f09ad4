package snipestand

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeplatform"
)

// TableFault are the faults of the table service.
type TableFault struct {
	// Down refuses every request.
	Down bool
	// Delay slows every request.
	Delay time.Duration
	// LoseReplies is how many of the next writes take effect without a reply.
	LoseReplies int
}

// Table is the table service in memory, safe for concurrent use.
type Table struct {
	lock  sync.Mutex // guards the fields below
	rows  map[snipeplatform.Key]snipeplatform.Row
	done  map[string]bool
	fault TableFault
	// Reads and Writes count requests.
	reads, writes int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[snipeplatform.Key]snipeplatform.Row{}, done: map[string]bool{}}
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
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.reads, t.writes
}

// enter applies the faults that hold for every request.
func (t *Table) enter(ctx context.Context) error {
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
	if f.Down {
		return errors.Wrap(snipeplatform.ErrUnavailable, "table is down")
	}
	return nil
}

// Get implements snipeplatform.Table.
func (t *Table) Get(ctx context.Context, key snipeplatform.Key) (snipeplatform.Row, error) {
	if err := t.enter(ctx); err != nil {
		return snipeplatform.Row{}, err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.reads++
	r, ok := t.rows[key]
	if !ok {
		return r, errors.Wrapf(snipeplatform.ErrNotFound, "%s/%s", key.Partition, key.Sort)
	}
	return r, nil
}

// List implements snipeplatform.Table.
func (t *Table) List(ctx context.Context, partition string) ([]snipeplatform.Row, error) {
	if err := t.enter(ctx); err != nil {
		return nil, err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.reads++
	var rows []snipeplatform.Row
	for k, r := range t.rows {
		if k.Partition == partition {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Sort < rows[j].Sort })
	return rows, nil
}

// Write implements snipeplatform.Table.
func (t *Table) Write(ctx context.Context, operation string, changes []snipeplatform.Change) error {
	if err := t.enter(ctx); err != nil {
		return err
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.writes++
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

// commit checks all conditions, then makes all changes. The lock is held.
func (t *Table) commit(operation string, changes []snipeplatform.Change) error {
	for _, c := range changes {
		if t.rows[c.Key].Version != c.Expect {
			return errors.Wrapf(snipeplatform.ErrConflict, "%s/%s has version %d, not %d",
				c.Partition, c.Sort, t.rows[c.Key].Version, c.Expect)
		}
	}
	for _, c := range changes {
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
