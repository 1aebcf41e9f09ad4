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

func newCall(team string, class snipecall.Class, left time.Duration) *snipecall.Call {
	return &snipecall.Call{Team: team, Class: class, Upstream: "e", Deadline: time.Now().Add(left)}
}

// order runs calls of the given teams and classes, all waiting behind one call
// at a queue of one, and returns the order in which they had their turns.
type order struct {
	lock  sync.Mutex
	names []string
	all   sync.WaitGroup
}

func (o *order) start(t *testing.T, q *Queue, name string, c *snipecall.Call) {
	o.all.Go(func() {
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

func (o *order) seen() []string {
	synctest.Wait()
	o.lock.Lock()
	defer o.lock.Unlock()
	return slices.Clone(o.names)
}

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
				q.limit.top = 1
				var o order
				o.start(t, q, "first", newCall("a", 1, time.Hour))
				for n, i := range test.items {
					o.start(t, q, strconv.Itoa(n), newCall(i.team, i.class, time.Hour))
				}
				o.all.Wait()
				must.Eq(t, append([]string{"first"}, test.want...), o.names)
				must.MapEmpty(t, q.teams)
			})
		})
	}
}

// TestRefusals: what cannot wait is told so at once, with when to come back.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.limit.top = 1
		q.hold = time.Second
		var o order
		for n := range queueFactor + queueSpare + 1 {
			o.start(t, q, strconv.Itoa(n), newCall("storm", 1, time.Hour))
		}
		start := time.Now()
		_, err := q.Enter(t.Context(), newCall("storm", 1, time.Hour))
		must.ErrorIs(t, err, snipeerror.ErrLimited)
		must.Eq(t, snipeerror.NotRun, snipeerror.From(err).Outcome)
		must.Between(t, 15*time.Second, snipeerror.From(err).RetryAfter, 30*time.Second)
		_, err = q.Enter(t.Context(), newCall("storm", 1, 3*time.Second))
		must.ErrorIs(t, err, snipeerror.ErrLimited, must.Sprint("the deadline cannot be met"))
		must.Eq(t, start, time.Now(), must.Sprint("a refusal was held back"))
		// Another team finds room in the full queue, and comes next.
		o.start(t, q, "other", newCall("other", 1, 3*time.Second))
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, []string{"0", "other"}, o.seen())
		o.all.Wait()
		must.Len(t, queueFactor+queueSpare+1, o.names, must.Sprint("one of the storm was pushed out"))
	})
}

// TestRefusesDeadline: a call whose deadline the queue cannot meet is refused
// although there is room in the queue.
func TestRefusesDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.limit.top = 1
		q.hold = time.Second
		var o order
		for n := range 6 {
			o.start(t, q, strconv.Itoa(n), newCall("a", 1, time.Hour))
		}
		_, err := q.Enter(t.Context(), newCall("a", 1, 3*time.Second))
		must.ErrorIs(t, err, snipeerror.ErrLimited)
		must.Between(t, time.Second, snipeerror.From(err).RetryAfter, 10*time.Second)
		o.start(t, q, "patient", newCall("a", 1, time.Minute))
		o.all.Wait()
		must.Len(t, 7, o.names)
	})
}

func TestEnterCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(1)
		q.limit.top = 1
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

// TestAdaptive: refusals and long calls lower the limit, use raises it.
func TestAdaptive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overloaded := snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "test")
		a := newAdaptive(0)
		must.Eq(t, unknownStart, a.calls())
		for range 100 {
			a.observe(verdictOf(overloaded), time.Second, 1)
		}
		must.Eq(t, 11, a.calls(), must.Sprint("refusals of one moment are one sign"))
		for range 20 {
			time.Sleep(time.Second)
			a.observe(verdictOf(overloaded), time.Second, 1)
		}
		must.Eq(t, 1, a.calls())
		for range 100 {
			a.observe(verdictOf(nil), time.Second, a.calls())
		}
		high := a.calls()
		must.Between(t, 10, high, 20)
		for range 100 {
			a.observe(verdictOf(nil), time.Second, 0)
		}
		must.Eq(t, high, a.calls(), must.Sprint("a limit that is not used does not grow"))
		for range 50 {
			a.observe(verdictOf(nil), 10*time.Second, a.calls())
		}
		must.Less(t, high, a.calls())
	})
}

// TestResize: an edit of the batch of an upstream in use applies to the next
// call.
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
