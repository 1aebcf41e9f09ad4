package snipelimit

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
)

// newCall returns a call whose deadline is after the given timeout.
func newCall(team string, class snipecall.Class, timeout time.Duration) *snipecall.Call {
	return &snipecall.Call{Team: team, Class: class, Upstream: "e", Deadline: time.Now().Add(timeout)}
}

// grantOrder runs calls through a queue and records the order in which they are
// admitted.
type grantOrder struct {
	lock  sync.Mutex
	names []string
	calls sync.WaitGroup
}

// start enters a call, which runs for a second once it is admitted, and returns
// when the call runs or waits.
func (o *grantOrder) start(t *testing.T, q *Queue, name string, c *snipecall.Call) {
	o.calls.Go(func() {
		done, err := q.Enter(t.Context(), c)
		if err != nil {
			return
		}
		o.lock.Lock()
		o.names = append(o.names, name)
		o.lock.Unlock()
		time.Sleep(time.Second)
		done(nil)
	})
	synctest.Wait()
}

// granted returns the names of the calls admitted so far, in order.
func (o *grantOrder) granted() []string {
	synctest.Wait()
	o.lock.Lock()
	defer o.lock.Unlock()
	return slices.Clone(o.names)
}

// TestOrder guards against a wrong order of the waiting calls: urgent classes
// first, teams in rotation, and no class starved. All calls wait behind one
// running call at a queue whose limit is 1.
func TestOrder(t *testing.T) {
	type item struct {
		team  string
		class snipecall.Class
	}
	tests := map[string]struct {
		items []item
		want  []string
	}{
		"urgent classes pass": {
			items: []item{{"a", snipecall.Bulk}, {"a", snipecall.Standard}, {"a", snipecall.Status}},
			want:  []string{"2", "1", "0"},
		},
		"teams take turns": {
			items: []item{{"a", 1}, {"a", 1}, {"a", 1}, {"b", 1}, {"c", 1}},
			want:  []string{"3", "4", "0", "1", "2"},
		},
		"the least urgent one is not left for good": {
			items: []item{{"a", 2}, {"a", 0}, {"a", 0}, {"a", 0}, {"a", 0}, {"a", 0}, {"a", 0}, {"a", 0}, {"a", 0}},
			want:  []string{"1", "2", "3", "4", "5", "6", "0", "7", "8"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := NewQueue(1)
				q.limit.maxValue = 1
				var o grantOrder
				o.start(t, q, "first", newCall("a", 1, time.Hour))
				for n, i := range test.items {
					o.start(t, q, strconv.Itoa(n), newCall(i.team, i.class, time.Hour))
				}
				o.calls.Wait()
				must.Eq(t, append([]string{"first"}, test.want...), o.names)
				must.MapEmpty(t, q.teams)
			})
		})
	}
}

// TestRefusals guards against calls that wait in a full queue or past their
// deadline instead of being refused at once with a retry delay, and against one
// team that fills the queue and so shuts out the others.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.limit.maxValue = 1
		q.mean = time.Second
		var o grantOrder
		for n := range queueFactor + queueExtra + 1 {
			o.start(t, q, strconv.Itoa(n), newCall("noisy", 1, time.Hour))
		}
		start := time.Now()
		_, err := q.Enter(t.Context(), newCall("noisy", 1, time.Hour))
		must.ErrorIs(t, err, snipeerror.ErrLimited)
		must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
		must.Between(t, 15*time.Second, snipeerror.From(err).RetryAfter, 30*time.Second)
		_, err = q.Enter(t.Context(), newCall("noisy", 1, 3*time.Second))
		must.ErrorIs(t, err, snipeerror.ErrLimited, must.Sprint("the deadline cannot be met"))
		must.Eq(t, start, time.Now(), must.Sprint("the refusal was delayed"))
		// A call of another team evicts one of the full queue, and is admitted next.
		o.start(t, q, "other", newCall("other", 1, 3*time.Second))
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, []string{"0", "other"}, o.granted())
		o.calls.Wait()
		must.Len(t, queueFactor+queueExtra+1, o.names, must.Sprint("one call of the noisy team was evicted"))
	})
}

// TestRefusesDeadline guards against a call that joins a queue with free capacity
// although its deadline is before the end of its expected wait.
func TestRefusesDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.limit.maxValue = 1
		q.mean = time.Second
		var o grantOrder
		for n := range 6 {
			o.start(t, q, strconv.Itoa(n), newCall("a", 1, time.Hour))
		}
		_, err := q.Enter(t.Context(), newCall("a", 1, 3*time.Second))
		must.ErrorIs(t, err, snipeerror.ErrLimited)
		must.Between(t, time.Second, snipeerror.From(err).RetryAfter, 10*time.Second)
		o.start(t, q, "long deadline", newCall("a", 1, time.Minute))
		o.calls.Wait()
		must.Len(t, 7, o.names)
	})
}

// TestEnterCanceled guards against a call that stays in the queue, or in its
// counts, after its context has ended.
func TestEnterCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.limit.maxValue = 1
		done, err := q.Enter(t.Context(), newCall("a", 1, time.Hour))
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Enter(ctx, newCall("a", 1, time.Hour))
		must.ErrorIs(t, err, snipeerror.ErrDeadline)
		done(nil)
		running, waiting, _ := q.Load()
		must.Eq(t, 0, running+waiting)
		must.MapEmpty(t, q.teams)
	})
}

// TestAdaptive guards against an adaptive limit that does not fall after refusals
// and slow calls, falls once for each of several simultaneous refusals, or grows
// while it is not fully used.
func TestAdaptive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "test")
		a := newAdaptive(0)
		must.Eq(t, unknownBatchLimit, a.maxCalls())
		for range 100 {
			a.observe(classify(refusal), time.Second, 1)
		}
		must.Eq(t, 11, a.maxCalls(), must.Sprint("simultaneous refusals count once"))
		for range 20 {
			time.Sleep(time.Second)
			a.observe(classify(refusal), time.Second, 1)
		}
		must.Eq(t, 1, a.maxCalls())
		for range 100 {
			a.observe(classify(nil), time.Second, a.maxCalls())
		}
		high := a.maxCalls()
		must.Between(t, 10, high, 20)
		for range 100 {
			a.observe(classify(nil), time.Second, 0)
		}
		must.Eq(t, high, a.maxCalls(), must.Sprint("a limit that is not fully used does not grow"))
		for range 50 {
			a.observe(classify(nil), 10*time.Second, a.maxCalls())
		}
		must.Less(t, high, a.maxCalls())
	})
}

// TestResize guards against an edit of the batch size that does not apply to the
// next call of an upstream in use, and against a Resize to the same size that admits
// further calls.
func TestResize(t *testing.T) {
	q := NewQueue(1)
	enter := func(id string) error {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := q.Enter(ctx, &snipecall.Call{ID: id, Team: "t", Deadline: time.Now().Add(time.Hour)})
		return err
	}
	must.NoError(t, enter("1"))
	must.Error(t, enter("2"))
	q.Resize(2)
	must.NoError(t, enter("3"))
	must.Error(t, enter("4"))
	q.Resize(2)
	must.Error(t, enter("5"))
}
