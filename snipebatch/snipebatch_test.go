package snipebatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"snipepitch.example/snipepitch/snipebatch"
	"snipepitch.example/snipepitch/snipeplatform"
)

// store is one part of a store, which makes its transactions one after another.
type store struct {
	took    time.Duration
	lock    sync.Mutex // guards the fields below
	rows    map[snipeplatform.Key]uint64
	version uint64
	// silent conflicts tell no versions.
	silent bool
	// transactions are the rows that each of those made has written.
	transactions [][]snipeplatform.Key
}

func newStore(took time.Duration) *store {
	return &store{took: took, rows: make(map[snipeplatform.Key]uint64)}
}

func (s *store) write(_ context.Context, _ string, changes []snipeplatform.Change) (uint64, error) {
	time.Sleep(s.took)
	s.lock.Lock()
	defer s.lock.Unlock()
	if snipeplatform.Entries(changes) > most {
		return 0, snipeplatform.ErrUnavailable
	}
	seen, holds := make(map[snipeplatform.Key]bool), true
	versions := make(map[snipeplatform.Key]uint64)
	for _, c := range changes {
		if seen[c.Key] {
			return 0, snipeplatform.ErrUnavailable
		}
		seen[c.Key] = true
		if v, ok := s.rows[c.Key]; ok {
			versions[c.Key] = v
		}
		holds = holds && s.rows[c.Key] == c.Expect
	}
	if !holds {
		if s.silent {
			return 0, snipeplatform.ErrConflict
		}
		return 0, &snipeplatform.ConflictError{Versions: versions}
	}
	s.version++
	var written []snipeplatform.Key
	for _, c := range changes {
		if c.Data != nil {
			s.rows[c.Key] = s.version
			written = append(written, c.Key)
		}
	}
	s.transactions = append(s.transactions, written)
	return s.version, nil
}

// known returns a row's version.
func (s *store) known(k snipeplatform.Key) uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.rows[k]
}

// most is how many conditions and writes the store takes at once.
const most = 100

func key(name string) snipeplatform.Key { return snipeplatform.Key{Partition: "rows", Sort: name} }

// renewal is the write of an owner: its row, under conditions on those of its engines.
func renewal(owner string, expect uint64, engines int) []snipeplatform.Change {
	changes := []snipeplatform.Change{{Key: key(owner), Expect: expect, Data: []byte("{}")}}
	for n := range engines {
		changes = append(changes, snipeplatform.Change{Key: key(fmt.Sprint(owner, "/", n))})
	}
	return changes
}

// TestJoined guards against one transaction an owner: the renewals of eleven owners that come at
// once, of eight engines each, need three.
func TestJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const owners, engines = 11, 8
		s := newStore(355 * time.Millisecond)
		w := &snipebatch.Writer{Write: s.write, Most: most}
		begun := time.Now()
		var all sync.WaitGroup
		for n := range owners {
			all.Go(func() {
				version, err := w.Do(t.Context(), "", renewal(fmt.Sprint(n), 0, engines))
				must.NoError(t, err)
				must.Eq(t, version, s.known(key(fmt.Sprint(n))))
			})
		}
		all.Wait()
		must.Eq(t, 2*s.took, time.Since(begun), must.Sprint("the first alone, ten together"))
		must.Len(t, 2, s.transactions)
	})
}

// TestTakeoverBesideRenewal guards against two owners of one engine: an owner's renewal and a
// takeover under the condition that it has not renewed are never made both.
func TestTakeoverBesideRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(100 * time.Millisecond)
		w := &snipebatch.Writer{Write: s.write, Most: most}
		takeover := []snipeplatform.Change{
			{Key: key("other"), Data: []byte("{}")}, {Key: key("owner/0"), Data: []byte("{}")}, {Key: key("owner")},
		}
		made := 0
		var lock sync.Mutex
		var all sync.WaitGroup
		for _, changes := range [][]snipeplatform.Change{renewal("first", 0, 1), renewal("owner", 0, 1), takeover} {
			all.Go(func() {
				_, err := w.Do(t.Context(), "", changes)
				lock.Lock()
				defer lock.Unlock()
				if err == nil {
					made++
				} else {
					must.ErrorIs(t, err, snipeplatform.ErrConflict)
				}
			})
		}
		all.Wait()
		must.Eq(t, 2, made)
	})
}

// TestConflictAmongOthers guards against one owner's conflict failing the renewals beside it.
func TestConflictAmongOthers(t *testing.T) {
	tests := map[string]bool{"VersionsTold": false, "NothingTold": true}
	for name, silent := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore(100 * time.Millisecond)
				s.silent = silent
				w := &snipebatch.Writer{Write: s.write, Most: most}
				outcomes := make(map[int]error)
				var lock sync.Mutex
				var all sync.WaitGroup
				for n := range 6 {
					all.Go(func() {
						expect := uint64(0)
						if n == 4 {
							expect = 99 // its row is another one's by now
						}
						_, err := w.Do(t.Context(), "", renewal(fmt.Sprint(n), expect, 2))
						lock.Lock()
						defer lock.Unlock()
						outcomes[n] = err
					})
				}
				all.Wait()
				for n, err := range outcomes {
					if n == 4 {
						must.ErrorIs(t, err, snipeplatform.ErrConflict)
					} else {
						must.NoError(t, err)
					}
				}
			})
		})
	}
}

// TestGivenUp guards against a write that was taken back and made all the same.
func TestGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(time.Second)
		w := &snipebatch.Writer{Write: s.write, Most: most}
		first := make(chan error, 1)
		go func() {
			_, err := w.Do(t.Context(), "", renewal("first", 0, 0))
			first <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := w.Do(ctx, "", renewal("second", 0, 0))
		must.ErrorIs(t, err, snipeplatform.ErrUnavailable)
		must.NoError(t, <-first)
		synctest.Wait()
		must.Len(t, 1, s.transactions)
		ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err = w.Do(ctx, "", renewal("third", 0, 0))
		must.ErrorIs(t, err, snipeplatform.ErrUnavailable, must.Sprint("the last one took longer"))
		s.took *= 3
		ctx, cancel = context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err = w.Do(ctx, "", renewal("fourth", 0, 0))
		must.ErrorIs(t, err, snipeplatform.ErrUnknown, must.Sprint("it is under way"))
		time.Sleep(s.took)
		must.Len(t, 2, s.transactions)
	})
}

// TestAsAlone draws writes over few rows, some of them with conditions that do not hold: each is
// made only if its conditions held when its transaction was made, and none that concerns the rows
// of another one is made in the same transaction.
func TestAsAlone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newStore(10 * time.Millisecond)
			s.silent = rapid.Bool().Draw(r, "silent")
			for n := range 6 {
				s.rows[key(fmt.Sprint(n))] = 1
			}
			s.version = 1
			w := &snipebatch.Writer{Write: s.write, Most: rapid.IntRange(4, 20).Draw(r, "most")}
			var all sync.WaitGroup
			for range rapid.IntRange(1, 20).Draw(r, "writes") {
				time.Sleep(time.Duration(rapid.IntRange(0, 8).Draw(r, "pause")) * time.Millisecond)
				changes := drawWrite(r)
				all.Go(func() {
					version, err := w.Do(t.Context(), "", changes)
					if err != nil {
						must.ErrorIs(t, err, snipeplatform.ErrConflict)
						return
					}
					// A row that is written after this one has a later version.
					must.GreaterEq(t, version, s.known(changes[0].Key))
				})
			}
			all.Wait()
			for _, written := range s.transactions {
				seen := make(map[snipeplatform.Key]bool)
				for _, k := range written {
					must.False(t, seen[k])
					seen[k] = true
				}
			}
		})
	})
}

// drawWrite draws a write of one row under a condition on another one.
func drawWrite(r *rapid.T) []snipeplatform.Change {
	first := rapid.IntRange(0, 5).Draw(r, "row")
	second := (first + rapid.IntRange(1, 5).Draw(r, "distance")) % 6
	expect := func() uint64 { return uint64(rapid.IntRange(1, 3).Draw(r, "expect")) }
	return []snipeplatform.Change{
		{Key: key(fmt.Sprint(first)), Expect: expect(), Data: []byte("{}")},
		{Key: key(fmt.Sprint(second)), Expect: expect()},
	}
}
