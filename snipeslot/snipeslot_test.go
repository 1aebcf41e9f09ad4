package snipeslot

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestAcquireNeverEvictsInFlight guards against the eviction of an adapter with a
// use in flight for a load that waits for its slot.
func TestAcquireNeverEvictsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(1, true)
		s := newFakeOwners(f).takeOver()
		defer s.Close()
		first, err := s.Acquire(t.Context(), request("a", "p"))
		must.NoError(t, err)
		second := make(chan *Use)
		go func() {
			u, err := s.Acquire(t.Context(), request("b", "p"))
			must.NoError(t, err)
			second <- u
		}()
		time.Sleep(time.Hour)
		must.True(t, f.has(first.Alias))
		first.Release()
		u := <-second
		must.False(t, f.has(first.Alias))
		u.Release()
	})
}

// TestAcquireOneLoadServesAll guards against several loads of one adapter that is
// acquired several times at once.
func TestAcquireOneLoadServesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(2, true)
		s := newFakeOwners(f).takeOver()
		defer s.Close()
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() {
				u, err := s.Acquire(t.Context(), request("a", "p"))
				must.NoError(t, err)
				u.Release()
			})
		}
		all.Wait()
		must.Eq(t, 1, f.loads)
	})
}

// TestParseAlias guards against an alias that is read back as another one, and
// against names that are not aliases but are accepted as such.
func TestParseAlias(t *testing.T) {
	whole := Alias{Adapter: adapter("a"), Fence: 7, Number: 9, Path: HashPath("p")}
	got, err := ParseAlias(whole.String())
	must.NoError(t, err)
	must.Eq(t, whole, got)
	for name, text := range map[string]string{
		"base model":    "base-1",
		"no team":       "a@1#1.2.3",
		"no path":       "t/a@1#1.2",
		"bad number":    "t/a@1#1.x.3",
		"empty adapter": "#1.2.3",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseAlias(text)
			must.ErrorIs(t, err, ErrBadAlias)
		})
	}
}
