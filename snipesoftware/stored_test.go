package snipesoftware

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipetime"
)

// originTable is a table of the store.
type originTable struct {
	lock     sync.Mutex // guards the fields below
	rows     map[string]StoredRow
	position uint64
	// down makes all calls fail, lost those that write after they were done.
	down, lost    bool
	reads, writes int
	// delay is how long a write takes.
	delay time.Duration
}

func (t *originTable) read(context.Context) ([]StoredRow, error) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.reads++
	if t.down {
		return nil, errDown
	}
	var all []StoredRow
	for _, r := range t.rows {
		all = append(all, r)
	}
	return all, nil
}

func (t *originTable) write(_ context.Context, member string, origins []Origin, position uint64) (uint64, error) {
	time.Sleep(t.delay)
	t.lock.Lock()
	defer t.lock.Unlock()
	t.writes++
	if t.down {
		return 0, errDown
	}
	if t.rows[member].Position != position {
		return 0, ErrConflict
	}
	t.position++
	t.rows[member] = StoredRow{member, t.position, slices.Clone(origins)}
	if len(origins) == 0 {
		delete(t.rows, member)
	}
	if t.lost {
		return 0, errDown
	}
	return t.position, nil
}

// change changes the table's state.
func (t *originTable) change(f func()) {
	t.lock.Lock()
	defer t.lock.Unlock()
	f()
}

func (t *originTable) count() (rows, writes int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.rows), t.writes
}

// newStored returns the stored origins of one start of an instance, alone, whose service has the given versions.
func newStored(t *originTable, member string, versions ...Version) *Stored {
	releases := newReleases()
	releases.Apply(service, rowOf(versions...), 1)
	e := &Exchange{Releases: releases, Members: func() []Member { return nil }}
	s := &Stored{
		Member: member, Exchange: e, Read: t.read, Write: t.write,
		Live: func() []string { return []string{member} }, Leads: func() bool { return true },
	}
	e.Stored = s.Find
	return s
}

// run steps for a while.
func (s *Stored) run(t *testing.T, d time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(50 * time.Millisecond) {
		s.Step(t.Context())
		synctest.Wait()
	}
}

// TestStoredOrigins guards against streams that cannot be taken up after all instances were killed, and against origins that
// are stored while one version serves.
func TestStoredOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &originTable{rows: map[string]StoredRow{}}
		one := newStored(table, "one", "v1")
		one.Exchange.Begin(service, Origin{keyOf("a"), "v1"})
		one.run(t, 3*time.Second)
		rows, writes := table.count()
		must.Eq(t, 0, rows+writes)

		one.Exchange.Releases.Apply(service, rowOf("v1", "v2"), 2)
		one.Exchange.Begin(service, Origin{keyOf("b"), "v2"})
		one.run(t, 2*minStoreInterval)
		again := newStored(table, "two", "v1", "v2")
		for attempt, want := range map[string]Version{"a": "v1", "b": "v2"} {
			v, err := again.Exchange.Find(t.Context(), service, keyOf(attempt))
			must.NoError(t, err)
			must.Eq(t, want, v)
		}
		_, err := again.Exchange.Find(t.Context(), service, keyOf("nonsense"))
		must.ErrorIs(t, err, ErrUnanswered) // it knows no other instance
	})
}

// TestStoredCalls guards against calls to the store that grow with the streams or the takers-up, and with the instances.
func TestStoredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &originTable{rows: map[string]StoredRow{}}
		s := newStored(table, "one", "v1", "v2")
		live := slices.Repeat([]string{"one"}, 340)
		for _, tt := range []struct {
			live []string
			most int
		}{{live[:1], 101}, {live, 4}} {
			s.Live = func() []string { return tt.live }
			_, before := table.count()
			for n := range 200 {
				s.Exchange.Begin(service, Origin{keyOf(fmt.Sprint(len(tt.live), "-", n)), "v1"})
				_, _, err := s.Find(t.Context(), keyOf(fmt.Sprint("nonsense", n)))
				must.NoError(t, err)
				s.run(t, 50*time.Millisecond)
			}
			_, after := table.count()
			must.LessEq(t, tt.most, after-before)
		}
		must.LessEq(t, 26, table.reads)
		must.LessEq(t, maxStoredOrigins, len(table.rows["one"].Origins))
	})
}

// TestStoredWriteUnknown guards against a row that is written no more because it is not known whether a write was done, or
// because another writer has changed it, and against a row that stays when the streams have ended.
func TestStoredWriteUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &originTable{rows: map[string]StoredRow{}}
		s := newStored(table, "one", "v1", "v2")
		begin := func(attempt string) { s.Exchange.Begin(service, Origin{keyOf(attempt), "v1"}) }
		stored := func(attempt string) bool {
			return slices.Contains(table.rows["one"].Origins, Origin{keyOf(attempt), "v1"})
		}
		table.change(func() { table.lost = true })
		begin("a")
		s.run(t, time.Second)
		table.change(func() { table.lost = false })
		begin("b")
		s.run(t, 3*time.Second)
		must.True(t, stored("a") && stored("b"))
		table.change(func() { table.down = true })
		begin("c")
		s.run(t, 3*time.Second)
		table.change(func() {
			table.down = false
			table.rows["one"] = StoredRow{"one", 99, nil}
		})
		s.run(t, 3*time.Second)
		must.True(t, stored("c"))
		for _, attempt := range []string{"a", "b", "c"} {
			s.Exchange.End(keyOf(attempt))
		}
		time.Sleep(endedTime)
		s.Exchange.Step()
		s.run(t, 2*time.Second)
		must.MapEmpty(t, table.rows)
	})
}

// TestStoredSweep guards against rows of instances that are gone and stay, and against the removal of rows that may still be
// needed or are another instance's.
func TestStoredSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &originTable{position: 9, rows: map[string]StoredRow{
			"gone": {"gone", 1, []Origin{{keyOf("g"), "v1"}}}, "live": {"live", 2, []Origin{{keyOf("l"), "v1"}}},
		}}
		s := newStored(table, "one", "v1", "v2")
		s.Live = func() []string { return []string{"one", "live"} }
		s.run(t, originRetention)
		must.MapContainsKey(t, table.rows, "gone")
		s.run(t, 3*sweepInterval)
		must.MapNotContainsKey(t, table.rows, "gone")
		must.MapContainsKey(t, table.rows, "live")
	})
}

// TestStoredSoon guards against short streams that cannot be taken up after a kill of all, because most of them begin and break
// off between two writes, and against writes of each instance that come as often at many instances.
func TestStoredSoon(t *testing.T) {
	const (
		instanceStep = 80 * time.Millisecond // as an instance calls Step
		played       = 20 * time.Second
		lasting      = 270 * time.Millisecond
	)
	tests := map[string]struct {
		// live is the number of live instances, and pause the time between two streams of this one.
		live  int
		pause time.Duration
		// least is the share of the running streams that the store must know, and most bounds the writes.
		least float64
		most  int
	}{
		"Few":     {3, 27 * time.Millisecond, 0.7, 201},
		"Nine":    {9, 27 * time.Millisecond, 0.7, 201},
		"Rare":    {9, 900 * time.Millisecond, 0.9, 30},
		"Rarer":   {9, 13 * time.Second, 0.9, 4},
		"Thirty":  {30, 27 * time.Millisecond, 0.4, 67},
		"Largest": {340, 27 * time.Millisecond, 0, 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				table := &originTable{rows: map[string]StoredRow{}, delay: 10 * time.Millisecond}
				s := newStored(table, "one", "v1", "v2")
				s.Live = func() []string { return slices.Repeat([]string{"one"}, tt.live) }
				s.Leads = func() bool { return false }
				s.Exchange.Begun = s.Wake
				var tasks sync.WaitGroup
				tasks.Go(func() { _ = s.Run(ctx) })
				tasks.Go(func() {
					_ = snipetime.Every(ctx, instanceStep, func(context.Context) { s.Exchange.Step(); s.Step(ctx) })
				})
				tasks.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						k := keyOf(fmt.Sprint(n))
						s.Exchange.Begin(service, Origin{k, "v1"})
						time.AfterFunc(lasting, func() { s.Exchange.End(k) })
						time.Sleep(tt.pause)
					}
				})
				running, known := 0, 0
				for begun := time.Now(); time.Since(begun) < played; time.Sleep(7 * time.Millisecond) {
					r, k := s.runningAndStored(table)
					running, known = running+r, known+k
				}
				_, writes := table.count()
				stop()
				tasks.Wait()
				time.Sleep(storeTimeout) // a write may be in progress
				t.Logf("%d of %d, %d writes", known, running, writes)
				must.LessEq(t, tt.most, writes)
				must.GreaterEq(t, tt.least*float64(running), float64(known))
			})
		})
	}
}

// runningAndStored returns the number of streams that run, and of those that the store knows.
func (s *Stored) runningAndStored(table *originTable) (running, known int) {
	rows, _ := table.read(context.Background())
	var stored []Origin
	for _, r := range rows {
		stored = append(stored, r.Origins...)
	}
	s.Exchange.lock.Lock()
	defer s.Exchange.lock.Unlock()
	for k, r := range s.Exchange.streams {
		if !r.endedAt.IsZero() {
			continue
		}
		running++
		if slices.Contains(stored, Origin{k, r.version}) {
			known++
		}
	}
	return running, known
}

// TestStoredOthersBegin guards against writes that add nothing, because streams of services with one version begin.
func TestStoredOthersBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &originTable{rows: map[string]StoredRow{}}
		s := newStored(table, "one", "v1", "v2")
		s.Exchange.Releases.Apply("calm", rowOf("v1"), 1)
		s.Exchange.Begin(service, Origin{keyOf("a"), "v1"})
		for n := range 40 {
			s.Exchange.Begin("calm", Origin{keyOf(fmt.Sprint("calm", n)), "v1"})
			s.run(t, 100*time.Millisecond)
		}
		_, writes := table.count()
		must.Eq(t, 1, writes)
	})
}

// TestStoredRefused guards against a store that is asked more often while it refuses what is asked.
func TestStoredRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &originTable{rows: map[string]StoredRow{}, down: true}
		s := newStored(table, "one", "v1", "v2")
		for n := range 100 {
			s.Exchange.Begin(service, Origin{keyOf(fmt.Sprint(n)), "v1"})
			s.run(t, 100*time.Millisecond)
		}
		must.LessEq(t, 21, table.reads+table.writes)
	})
}
