package snipeadmission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadmission"
)

// testKeeper is a Keeper whose calls take a while and are answered by a function.
type testKeeper struct {
	*snipeadmission.Keeper
	t     *testing.T
	calls int
	lock  sync.Mutex // guards returned
	// returned are the permits that were given back.
	returned []uint64
	// took is the duration of calls, answer their result; a permit for upstream u if nil.
	took   time.Duration
	answer func() (snipeadmission.Permit, error)
}

// inKeeper runs a test on the paused clock.
func inKeeper(t *testing.T, took time.Duration, test func(t *testing.T, k *testKeeper)) {
	synctest.Test(t, func(t *testing.T) {
		k := &testKeeper{t: t, took: took}
		k.Keeper = &snipeadmission.Keeper{
			Call: func(snipeadmission.Request) (snipeadmission.Permit, time.Duration, error) {
				k.calls++
				id := uint64(k.calls)
				time.Sleep(k.took)
				if k.answer != nil {
					p, err := k.answer()
					return p, k.took, err
				}
				return snipeadmission.Permit{
					ID: id, Upstream: "u", Lifetime: 8 * second, Fence: 1, Reusable: true, ServiceTime: 50 * ms, MaxServiceTime: 100 * ms,
				}, k.took, nil
			},
			Return: func(p snipeadmission.Permit, _ snipeadmission.Result) {
				k.lock.Lock()
				defer k.lock.Unlock()
				k.returned = append(k.returned, p.ID)
			},
		}
		test(t, k)
		time.Sleep(time.Minute)
	})
}

// serve acquires a permit for a request with a deadline of a second, uses it for 50 ms and releases it.
func (k *testKeeper) serve() error {
	p, err := k.Acquire(k.t.Context(), snipeadmission.Request{Deadline: time.Now().Add(second)})
	if err != nil {
		return err
	}
	time.Sleep(50 * ms)
	k.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed, Took: 50 * ms})
	return nil
}

// TestKeeperReuse guards against places that are idle for the time of two messages after each request where messages
// are slow, and against permits that are kept where they are fast or no request needs them.
func TestKeeperReuse(t *testing.T) {
	tests := map[string]struct {
		took  time.Duration
		calls int
	}{
		"Fast": {time.Millisecond, 10},
		"Slow": {200 * ms, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inKeeper(t, tt.took, func(t *testing.T, k *testKeeper) {
				for range 10 {
					must.NoError(t, k.serve())
				}
				must.Eq(t, tt.calls, k.calls)
				time.Sleep(3 * second)
				k.lock.Lock()
				defer k.lock.Unlock()
				must.Len(t, k.calls, k.returned)
			})
		})
	}
}

// TestKeeperLost guards against an instance that can serve nobody while no coordinator answers, although it holds
// permits, and against one that uses them after their lifetime or keeps its callers waiting.
func TestKeeperLost(t *testing.T) {
	inKeeper(t, 5*ms, func(t *testing.T, k *testKeeper) {
		p, err := k.Acquire(t.Context(), snipeadmission.Request{Deadline: time.Now().Add(second)})
		must.NoError(t, err)
		k.answer = func() (snipeadmission.Permit, error) {
			return snipeadmission.Permit{}, errors.New("connection refused")
		}
		begun := time.Now()
		_, err = k.Acquire(t.Context(), snipeadmission.Request{Deadline: begun.Add(second), Target: begun.Add(40 * ms)})
		must.ErrorIs(t, err, snipeadmission.ErrRefused)
		must.Less(t, 50*ms, time.Since(begun))
		k.Release(p.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeServed})
		for range 20 {
			must.NoError(t, k.serve())
		}
		time.Sleep(5 * second)
		must.ErrorIs(t, k.serve(), snipeadmission.ErrRefused, must.Sprint("it could still run when the place is lent again"))
	})
}

// TestKeeperLate guards against requests that wait for an answer of a coordinator until their deadlines, and against
// permits in late answers that are lost.
func TestKeeperLate(t *testing.T) {
	inKeeper(t, 3*second, func(t *testing.T, k *testKeeper) {
		begun := time.Now()
		must.ErrorIs(t, k.serve(), snipeadmission.ErrRefused)
		must.Less(t, 500*ms, time.Since(begun))
		time.Sleep(3 * second)
		must.Eq(t, 1, k.Held()["u"])
		must.NoError(t, k.serve())
	})
}

// TestKeeperVoid guards against permits that arrive after the coordinator was told that they are not held, and may have
// lent their places again.
func TestKeeperVoid(t *testing.T) {
	tests := map[string]struct {
		question snipeadmission.Question
		void     bool
	}{
		"Before":      {snipeadmission.Question{Fence: 1, LastID: 1}, true},
		"After":       {snipeadmission.Question{Fence: 1, LastID: 0}, false},
		"LaterTerm":   {snipeadmission.Question{Fence: 2, LastID: 0}, true},
		"EarlierTerm": {snipeadmission.Question{Fence: 0, LastID: 1}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inKeeper(t, 100*ms, func(t *testing.T, k *testKeeper) {
				ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
				defer cancel()
				go func() { _, _ = k.Acquire(ctx, snipeadmission.Request{}) }()
				time.Sleep(20 * ms)
				held, ok := k.Answer(tt.question)
				must.True(t, ok)
				must.Len(t, 0, held)
				time.Sleep(100 * ms)
				must.Eq(t, tt.void, len(k.Held()) == 0)
			})
		})
	}
}

// TestKeeperAnswer guards against accounts that leave out a place that is in use, or that follow a coordinator whose
// term is over.
func TestKeeperAnswer(t *testing.T) {
	inKeeper(t, 5*ms, func(t *testing.T, k *testKeeper) {
		r := snipeadmission.Request{Deadline: time.Now().Add(second)}
		inUse, err := k.Acquire(t.Context(), r)
		must.NoError(t, err)
		left, err := k.Acquire(t.Context(), r)
		must.NoError(t, err)
		k.Release(left.ID, snipeadmission.Result{Outcome: snipeadmission.OutcomeCanceled, Took: 20 * ms})
		held, ok := k.Answer(snipeadmission.Question{Fence: 3})
		must.True(t, ok)
		must.Eq(t, []snipeadmission.HeldPermit{{ID: inUse.ID, Upstream: "u", Left: 8*second - 10*ms}, {ID: left.ID, Upstream: "u", Left: 80 * ms}}, held)
		_, ok = k.Answer(snipeadmission.Question{Fence: 2})
		must.False(t, ok)
	})
}
