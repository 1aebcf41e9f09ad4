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

// slotsAwaitingPermission returns Slots whose loads wait for the result that
// the test sends on the channel, and the number of calls of AcquirePermission.
func slotsAwaitingPermission(f *fakeEngine) (*Slots, chan error, *int) {
	s := newFakeOwners(f).takeOver()
	permission := make(chan error)
	permissionCalls := 0
	s.AcquirePermission = func(ctx context.Context, d *snipeweight.Demand) (func(bool), error) {
		permissionCalls++
		d.Expect(time.Now().Add(10 * time.Second))
		select {
		case err := <-permission:
			return func(bool) {}, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return s, permission, &permissionCalls
}

// TestResidentServesWhileAnotherWaits checks that a resident adapter serves calls
// until the weight store has granted permission for the load that needs its slot.
func TestResidentServesWhileAnotherWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(1, true)
		s, permission, _ := slotsAwaitingPermission(f)
		defer s.Close()
		go func() { permission <- nil }()
		use(t, f, s, "a", "p")
		go use(t, f, s, "b", "p")
		time.Sleep(5 * time.Second)
		use(t, f, s, "a", "p") // would wait for permission if it had been evicted
		permission <- nil
		time.Sleep(time.Second)
		must.Eq(t, []snipecall.Adapter{adapter("b")}, s.Resident())
	})
}

// TestExpectedAfterDeadlineFailsAtOnce checks that a call whose deadline is
// before the expected end of the load fails at once with the expected time, and
// that the queued load is canceled when its last waiter has left.
func TestExpectedAfterDeadlineFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, permissionCalls := slotsAwaitingPermission(newFakeEngine(1, true))
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
		must.Eq(t, 1, *permissionCalls)
		must.Eq(t, 0, len(s.serving))
	})
}

// TestBackoffReachesCallers checks that the error of a load that was not
// attempted because of a backoff wraps the BackoffError.
func TestBackoffReachesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, permission, _ := slotsAwaitingPermission(newFakeEngine(1, true))
		defer s.Close()
		go func() { permission <- &snipeweight.BackoffError{After: time.Second} }()
		_, err := s.Acquire(t.Context(), request("a", "p"))
		var backoff *snipeweight.BackoffError
		must.ErrorIs(t, err, ErrLoad)
		must.True(t, errors.As(err, &backoff))
	})
}

// TestLowestValueIsEvicted checks that the adapter with the lowest score of uses is
// evicted, although another adapter has not been used for longer.
func TestLowestValueIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeEngine(2, true)
		s := newFakeOwners(f).takeOver()
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
