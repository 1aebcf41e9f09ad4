package snipeslot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeweight"
)

// waiting makes slots whose permissions come from the test.
func waiting(f *fakeEngine) (*Slots, chan error, *int) {
	s := newFakeOwners(f).take()
	permission := make(chan error)
	asked := 0
	s.Budget = func(ctx context.Context, d *snipeweight.Demand) (func(bool), error) {
		asked++
		d.Expect(time.Now().Add(10 * time.Second))
		select {
		case err := <-permission:
			return func(bool) {}, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return s, permission, &asked
}

// TestResidentServesWhileAnotherWaits: the slot is freed only once the store
// permits the load that needs it.
func TestResidentServesWhileAnotherWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(1, true)
		s, permission, _ := waiting(f)
		defer s.Close()
		go func() { permission <- nil }()
		use(t, f, s, "a", "p")
		go use(t, f, s, "b", "p")
		time.Sleep(5 * time.Second)
		use(t, f, s, "a", "p") // would wait for a permission if it were gone
		permission <- nil
		time.Sleep(time.Second)
		must.Eq(t, []snipecall.Adapter{adapter("b")}, s.Resident())
	})
}

// TestLateIsToldAtOnce: a deadline before the expected end of the load ends
// the wait, with the time to come back, and the load that nobody waits for.
func TestLateIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, asked := waiting(newFakeEngine(1, true))
		defer s.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		start := time.Now()
		_, err := s.Acquire(ctx, request("a", "p"))
		var late *LateError
		must.True(t, errors.As(err, &late))
		must.Eq(t, 10*time.Second, late.After)
		must.Eq(t, 0, time.Since(start))
		synctest.Wait()
		must.Eq(t, 1, *asked)
		must.Eq(t, 0, len(s.serving))
	})
}

// TestBackoffReachesCallers: the cause of a load that was not tried is kept.
func TestBackoffReachesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, permission, _ := waiting(newFakeEngine(1, true))
		defer s.Close()
		go func() { permission <- &snipeweight.BackoffError{After: time.Second} }()
		_, err := s.Acquire(t.Context(), request("a", "p"))
		var backoff *snipeweight.BackoffError
		must.ErrorIs(t, err, ErrLoad)
		must.True(t, errors.As(err, &backoff))
	})
}

// TestOneOffDoesNotPushOutHot: the adapter of least worth goes, not the one
// that was used longest ago.
func TestOneOffDoesNotPushOutHot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(2, true)
		s := newFakeOwners(f).take()
		defer s.Close()
		for range 10 {
			use(t, f, s, "hot", "p")
		}
		for _, name := range []string{"b", "c", "d"} {
			time.Sleep(time.Second)
			use(t, f, s, name, "p")
		}
		must.SliceContains(t, s.Resident(), adapter("hot"))
		must.Eq(t, 4, f.loads)
	})
}
