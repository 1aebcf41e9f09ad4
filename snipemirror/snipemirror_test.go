package snipemirror_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipemirror"
	"snipepitch.example/snipepitch/snipeplatform"
)

func row(key string, version uint64) snipemirror.Row {
	return snipemirror.Row{Key: key, Version: version, Value: []byte(fmt.Sprint(key, version))}
}

// tombstone marks row a as removed.
func tombstone(version uint64) snipemirror.Row {
	return snipemirror.Row{Key: "a", Version: version, Removed: true}
}

func whole(position uint64, rows ...snipemirror.Row) snipemirror.Page {
	return snipemirror.Page{Complete: true, Position: position, Rows: rows}
}

func part(position uint64, rows ...snipemirror.Row) snipemirror.Page {
	return snipemirror.Page{Position: position, Rows: rows}
}

// TestApply checks that the higher version of a row wins, whatever the order of arrival.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		pages []snipemirror.Page
		want  []snipemirror.Row
	}{
		"Newer":         {[]snipemirror.Page{whole(1, row("a", 1)), part(2, row("a", 2))}, []snipemirror.Row{row("a", 2)}},
		"Older":         {[]snipemirror.Page{whole(2, row("a", 2)), part(1, row("a", 1))}, []snipemirror.Row{row("a", 2)}},
		"Removed":       {[]snipemirror.Page{whole(1, row("a", 1)), part(2, tombstone(2))}, nil},
		"RemovedLate":   {[]snipemirror.Page{whole(3, row("a", 3)), part(2, tombstone(2))}, []snipemirror.Row{row("a", 3)}},
		"Back":          {[]snipemirror.Page{part(2, tombstone(2)), part(3, row("a", 3))}, []snipemirror.Row{row("a", 3)}},
		"OlderAfterEnd": {[]snipemirror.Page{part(2, tombstone(2)), part(1, row("a", 1))}, nil},
		"Absent":        {[]snipemirror.Page{whole(1, row("a", 1)), whole(2, row("b", 2))}, []snipemirror.Row{row("b", 2)}},
		"AbsentBefore":  {[]snipemirror.Page{whole(5, row("a", 5)), whole(3, row("b", 2))}, []snipemirror.Row{row("a", 5), row("b", 2)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := snipemirror.New()
			_, _, err := m.Rows(0)
			must.ErrorIs(t, err, snipeplatform.ErrNotRead)
			for _, p := range tt.pages {
				m.Apply(p)
			}
			rows, _, err := m.Rows(0)
			must.NoError(t, err)
			must.Eq(t, tt.want, rows)
		})
	}
}

// TestWatch checks that Watch returns each change once, and all rows to an instance that is too
// far behind.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := snipemirror.New()
		m.Apply(whole(5, row("a", 3), row("b", 5)))
		p, err := m.Watch(t.Context(), 0, time.Second)
		must.NoError(t, err)
		must.True(t, p.Complete)
		must.Len(t, 2, p.Rows)
		time.AfterFunc(300*time.Millisecond, func() { m.Apply(part(8, tombstone(7), row("c", 8))) })
		start := time.Now()
		p, err = m.Watch(t.Context(), p.Position, time.Second)
		must.NoError(t, err)
		must.Eq(t, 300*time.Millisecond, time.Since(start))
		must.False(t, p.Complete)
		must.Eq(t, []snipemirror.Row{tombstone(7), row("c", 8)}, p.Rows)
		p, err = m.Watch(t.Context(), p.Position, time.Second)
		must.NoError(t, err)
		must.SliceEmpty(t, p.Rows)
		must.Eq(t, time.Second, p.Age)
		time.Sleep(2 * time.Minute)
		m.Apply(part(9, row("d", 9)))
		p, err = m.Watch(t.Context(), 5, time.Second)
		must.NoError(t, err)
		must.True(t, p.Complete)
	})
}

// heartbeat returns a row whose value consists of a state and the version of the heartbeat.
func heartbeat(key, state string, version uint64) snipemirror.Row {
	return snipemirror.Row{Key: key, Version: version, Value: []byte(state + "#" + fmt.Sprint(version))}
}

// sameState reports whether two heartbeats carry the same state.
func sameState(old, now []byte) bool {
	a, _, _ := strings.Cut(string(old), "#")
	b, _, _ := strings.Cut(string(now), "#")
	return a == b
}

// TestHeartbeats guards against heartbeats being passed on to followers. Thousands of upstreams
// each rewrite their row every second; a rewrite that Equivalent reports as equivalent must not be
// returned by Watch or Rows.
func TestHeartbeats(t *testing.T) {
	m := snipemirror.New()
	m.Equivalent = sameState
	m.Apply(whole(2, heartbeat("a", "ready", 1), heartbeat("b", "ready", 2)))
	_, cursor, err := m.Rows(0)
	must.NoError(t, err)
	must.SliceEmpty(t, m.Apply(part(4, heartbeat("a", "ready", 3), heartbeat("b", "ready", 4))))
	p, err := m.Watch(t.Context(), 2, time.Second)
	must.NoError(t, err)
	must.Eq(t, 4, p.Position)
	must.SliceEmpty(t, p.Rows)
	rows, cursor, err := m.Rows(cursor)
	must.NoError(t, err)
	must.SliceEmpty(t, rows)

	must.Len(t, 1, m.Apply(part(6, heartbeat("a", "leaving", 5), heartbeat("b", "ready", 6))))
	p, err = m.Watch(t.Context(), 4, time.Second)
	must.NoError(t, err)
	must.Eq(t, []snipemirror.Row{heartbeat("a", "leaving", 5)}, p.Rows)
	rows, _, err = m.Rows(cursor)
	must.NoError(t, err)
	must.Eq(t, []snipemirror.Row{heartbeat("a", "leaving", 5)}, rows)
	p, err = m.Watch(t.Context(), 0, time.Second)
	must.NoError(t, err)
	must.Len(t, 2, p.Rows)

	must.Len(t, 1, m.Apply(part(7, snipemirror.Row{Key: "b", Version: 7, Removed: true})))
	must.Len(t, 1, m.Apply(part(8, heartbeat("b", "ready", 8))), must.Sprint("a row that is written after its removal is a change"))
	read, changed := m.Counts()
	must.Eq(t, 8, read)
	must.Eq(t, 5, changed)
}

// TestRenewals guards against unchanged values being sent again. Dozens of instances each renew
// their row every second, and all other instances need the new version: a row with an unchanged
// value is passed on without it, but only to followers that have the value.
func TestRenewals(t *testing.T) {
	source := snipemirror.New()
	renewed := func(key string, version uint64) snipemirror.Row {
		return snipemirror.Row{Key: key, Version: version, Value: []byte("value of " + key)}
	}
	source.Apply(whole(2, renewed("a", 1), renewed("b", 2)))
	follower := snipemirror.New()
	follow := func(after uint64) snipemirror.Page {
		p, err := source.Watch(t.Context(), after, time.Second)
		must.NoError(t, err)
		return p
	}
	follower.Apply(follow(0))
	source.Apply(part(4, renewed("a", 3), renewed("b", 4)))
	p := follow(2)
	must.Eq(t, []snipemirror.Row{
		{Key: "a", Version: 3, Unchanged: true}, {Key: "b", Version: 4, Unchanged: true},
	}, p.Rows)
	incomplete := snipemirror.New()
	incomplete.Apply(whole(2, renewed("a", 1)))
	must.True(t, incomplete.LacksValues(p))
	must.False(t, follower.LacksValues(p))
	must.Len(t, 2, follower.Apply(p))
	rows, _, err := follower.Rows(0)
	must.NoError(t, err)
	must.Eq(t, []snipemirror.Row{renewed("a", 3), renewed("b", 4)}, rows)

	// A follower at a position before the value changed receives the value.
	source.Apply(part(6, row("a", 5), renewed("b", 6)))
	source.Apply(part(7, snipemirror.Row{Key: "a", Version: 7, Value: row("a", 5).Value}))
	p = follow(4)
	must.Eq(t, row("a", 5).Value, p.Rows[0].Value)
	must.True(t, p.Rows[1].Unchanged)
	must.True(t, follow(5).Rows[0].Unchanged)
}

// TestLackingValues checks that a follower reads all rows after it receives a row without its
// value and does not have that value.
func TestLackingValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var positions []uint64
		readPeer := func(ctx context.Context, after uint64, _ time.Duration) (snipemirror.Page, error) {
			positions = append(positions, after)
			time.Sleep(100 * time.Millisecond)
			if ctx.Err() != nil {
				return snipemirror.Page{}, ctx.Err()
			}
			switch {
			case len(positions) == 1:
				return whole(2, row("a", 1)), nil
			case after == 0:
				return whole(4, row("a", 3), row("b", 4)), nil
			}
			return part(4, snipemirror.Row{Key: "b", Version: 4, Unchanged: true}), nil
		}
		f := &snipemirror.Follower{
			Mirror: snipemirror.New(), Changed: func([]snipemirror.Row, uint64) {}, MaxAge: func() time.Duration { return time.Second },
			PeerWatch: func(int, bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
				return readPeer, true
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
		defer cancel()
		must.NoError(t, f.Run(ctx))
		must.Eq(t, []uint64{0, 2, 0}, positions[:3])
		rows, _, err := f.Mirror.Rows(0)
		must.NoError(t, err)
		must.Eq(t, []snipemirror.Row{row("a", 3), row("b", 4)}, rows)
	})
}

// fakeStore is a store with one row, whose version the tests raise. If lost is set, reads fail;
// if silent is set, Watch blocks until its context ends.
type fakeStore struct {
	lock    sync.Mutex
	version uint64
	lost    bool
	silent  bool
	reads   int
}

func (s *fakeStore) read(context.Context) (snipemirror.Page, error) {
	return s.page(true)
}

func (s *fakeStore) page(all bool) (snipemirror.Page, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reads++
	if s.lost {
		return snipemirror.Page{}, snipeplatform.ErrUnavailable
	}
	return snipemirror.Page{Complete: all, Position: s.version, Rows: []snipemirror.Row{row("a", s.version)}}, nil
}

func (s *fakeStore) watch(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
	end := time.Now().Add(wait)
	for {
		s.lock.Lock()
		version, silent := s.version, s.silent
		s.lock.Unlock()
		if silent {
			<-ctx.Done()
			return snipemirror.Page{}, ctx.Err()
		}
		if version > after || !time.Now().Before(end) {
			return s.page(false)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *fakeStore) set(f func()) {
	s.lock.Lock()
	defer s.lock.Unlock()
	f()
}

// follow runs a follower in a synctest bubble, and counts the calls of its StoreLost and StoreRestored.
func follow(t *testing.T, f *snipemirror.Follower) (lost, back *atomic.Int32) {
	lost, back = new(atomic.Int32), new(atomic.Int32)
	f.Mirror = snipemirror.New()
	f.Changed = func([]snipemirror.Row, uint64) {}
	f.StoreLost, f.StoreRestored = func(error) { lost.Add(1) }, func() { back.Add(1) }
	f.MinInterval, f.MaxAge = time.Second, func() time.Duration { return 1400 * time.Millisecond }
	if f.Wait == 0 {
		f.Wait = time.Second
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return lost, back
}

// TestInterrupt checks that Interrupt ends a read that waits for a change after the store has
// stopped answering, and that the follower notices soon when the store answers again.
func TestInterrupt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 1}
		f := &snipemirror.Follower{Store: snipemirror.Source{Read: s.read, Watch: s.watch}}
		lost, back := follow(t, f)
		time.Sleep(1500 * time.Millisecond)
		s.set(func() { s.silent = true })
		time.Sleep(100 * time.Millisecond)
		f.Interrupt()
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 1, lost.Load())
		s.set(func() { s.silent = false; s.version = 9 })
		f.Interrupt() // ends a read that began while the store was silent
		time.Sleep(600 * time.Millisecond)
		must.Eq(t, 1, back.Load())
		position, _ := f.Mirror.Position()
		must.Eq(t, 9, position)
	})
}

// TestReadPeerCopy checks that another instance's copy is read instead of the store while the copy is
// fresh, and that the store is read at once if the copy is too old or cannot be read.
func TestReadPeerCopy(t *testing.T) {
	tests := map[string]struct {
		page  snipemirror.Page
		err   error
		store bool
	}{
		"Fresh":  {part(7, row("n", 7)), nil, false},
		"Old":    {snipemirror.Page{Position: 7, Age: 5 * time.Second}, nil, true},
		"Failed": {snipemirror.Page{}, errors.New("gone"), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{version: 3}
				f := &snipemirror.Follower{Store: snipemirror.Source{Read: s.read, Watch: s.watch}}
				f.PeerWatch = func(int, bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
					return func(_ context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
						if tt.err == nil && after >= tt.page.Position {
							time.Sleep(wait)
						}
						return tt.page, tt.err
					}, true
				}
				lost, _ := follow(t, f)
				time.Sleep(100 * time.Millisecond)
				position, known := f.Mirror.Position()
				must.True(t, known)
				must.Eq(t, 0, lost.Load())
				if tt.store {
					must.Eq(t, 3, position)
					return
				}
				must.Eq(t, 7, position)
				s.set(func() { must.Eq(t, 0, s.reads) })
			})
		})
	}
}

// TestReaderLosesStore checks that when the followed instance loses the store or stops answering,
// a change reaches the follower within 1.5 s of that instance's last read of the store.
func TestReaderLosesStore(t *testing.T) {
	for name, frozen := range map[string]bool{"Silenced": false, "Frozen": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{version: 9}
				reader := snipemirror.New()
				reader.Apply(whole(5, row("a", 5)))
				f := &snipemirror.Follower{Store: snipemirror.Source{Read: s.read, Watch: s.watch}}
				f.PeerWatch = func(int, bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
					return func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
						if frozen && after > 0 {
							time.Sleep(wait + 100*time.Millisecond)
							return snipemirror.Page{}, context.DeadlineExceeded
						}
						return reader.Watch(ctx, after, wait)
					}, true
				}
				follow(t, f)
				time.Sleep(1550 * time.Millisecond)
				position, _ := f.Mirror.Position()
				must.Eq(t, 9, position)
			})
		})
	}
}

// TestReaderDies guards against a flood of reads of the store when an instance that many others
// follow dies: followers that fail to read it go on to the next instance in rank, and in five changes
// read the store no more than three times each on average.
func TestReaderDies(t *testing.T) {
	const followers, settle = 30, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 1}
		dead := &atomic.Bool{}
		all := make([]*snipemirror.Follower, followers)
		for n := range all {
			watch := func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
				if n == 0 && dead.Load() {
					<-ctx.Done()
					return snipemirror.Page{}, ctx.Err()
				}
				return s.watch(ctx, after, wait)
			}
			all[n] = &snipemirror.Follower{
				Store: snipemirror.Source{Read: s.read, Watch: watch}, Wait: 200 * time.Millisecond,
			}
			all[n].PeerWatch = func(failures int, _ bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
				rank := failures % followers
				return func(ctx context.Context, after uint64, wait time.Duration) (snipemirror.Page, error) {
					if rank == 0 && dead.Load() {
						return snipemirror.Page{}, errors.New("gone")
					}
					return all[rank].Mirror.Watch(ctx, after, wait)
				}, rank != n
			}
		}
		for _, f := range all {
			follow(t, f)
		}
		time.Sleep(settle)
		s.set(func() { must.LessEq(t, followers+8, s.reads); s.reads = 0 })
		dead.Store(true)
		for n := range 5 {
			time.Sleep(time.Second)
			s.set(func() { s.version++ })
			time.Sleep(1500 * time.Millisecond)
			for _, f := range all[1:] {
				position, _ := f.Mirror.Position()
				must.Eq(t, uint64(n+2), position)
			}
		}
		s.set(func() { must.LessEq(t, 3*followers, s.reads) })
	})
}

// TestRareStoreReads checks that an instance for which ReadsStoreSeldom reports true reads the store
// seldom while it does not answer, and receives new rows from other instances.
func TestRareStoreReads(t *testing.T) {
	tests := map[string]struct {
		rare        bool
		least, most int // reads of the store in 12 s
	}{"Reader": {false, 35, 45}, "OneOfMany": {true, 3, 6}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{version: 3, lost: true}
				f := &snipemirror.Follower{Store: snipemirror.Source{Read: s.read, Watch: s.watch}}
				f.ReadsStoreSeldom = func() bool { return tt.rare }
				peerAnswers := &atomic.Bool{}
				f.PeerWatch = func(_ int, lost bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
					return func(context.Context, uint64, time.Duration) (snipemirror.Page, error) {
						if peerAnswers.Load() {
							return part(7, row("n", 7)), nil
						}
						return snipemirror.Page{}, errors.New("no newer rows")
					}, lost
				}
				follow(t, f)
				time.Sleep(12 * time.Second)
				s.set(func() { must.Between(t, tt.least, s.reads, tt.most) })
				peerAnswers.Store(true)
				time.Sleep(700 * time.Millisecond)
				position, _ := f.Mirror.Position()
				must.Eq(t, 7, position)
			})
		})
	}
}

// TestStoreServesOthers checks that an instance which the store does not answer reads the copies
// of other instances, and after each failure that of the next instance in rank.
func TestStoreServesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 3, lost: true}
		f := &snipemirror.Follower{Store: snipemirror.Source{Read: s.read, Watch: s.watch}}
		f.PeerWatch = func(failures int, lost bool) (func(context.Context, uint64, time.Duration) (snipemirror.Page, error), bool) {
			return func(_ context.Context, _ uint64, wait time.Duration) (snipemirror.Page, error) {
				if failures < 2 {
					return snipemirror.Page{}, errors.New("gone")
				}
				time.Sleep(wait)
				return part(7, row("n", 7)), nil
			}, lost
		}
		lost, back := follow(t, f)
		time.Sleep(3 * time.Second)
		position, known := f.Mirror.Position()
		must.True(t, known)
		must.Eq(t, 7, position)
		must.GreaterEq(t, 1, lost.Load())
		must.GreaterEq(t, 1, back.Load())
	})
}
