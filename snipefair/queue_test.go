package snipefair_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipefair"
)

// start is the time at which the tests begin; snipefair reads no clock.
var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }

// item describes an entry of a test; target is in ms after start, 0 for none.
type item struct {
	name      string
	priority  int
	workspace string
	tokens    float64
	queued    time.Duration
	target    time.Duration
}

func (i item) push(q *snipefair.Queue[string]) {
	f := snipefair.Item{Priority: i.priority, Workspace: i.workspace, Tokens: i.tokens, Queued: at(i.queued)}
	if i.target != 0 {
		f.Target = at(i.target)
	}
	q.Push(f, i.name)
}

// TestOrder guards against an order other than the stated one; the load is a queue that has built up
// before the resource becomes free.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		items        []item
		now, ready   time.Duration
		displacement time.Duration
		want         string
	}{
		"PriorityBeforeAll":      {items: []item{{"late", 0, "a", 1, 0, 50}, {"other", 1, "b", 1, 0, 900}}, ready: 100, want: "late other"},
		"TargetBeforeLate":       {items: []item{{"late", 0, "a", 1, 0, 50}, {"met", 0, "a", 1, 9, 900}}, ready: 100, want: "met late"},
		"TargetAtReadyIsMet":     {items: []item{{"late", 0, "a", 1, 0, 99}, {"met", 0, "a", 1, 9, 100}}, ready: 100, want: "met late"},
		"NoTargetIsNeverLate":    {items: []item{{"late", 0, "a", 1, 0, 50}, {"none", 0, "a", 1, 9, 0}}, ready: 100, want: "none late"},
		"WorkspacesAlternate":    {items: []item{{"a1", 0, "a", 1, 0, 900}, {"a2", 0, "a", 1, 1, 901}, {"a3", 0, "a", 1, 2, 902}, {"b1", 0, "b", 1, 3, 903}}, want: "a1 b1 a2 a3"},
		"ByTokens":               {items: []item{{"a1", 0, "a", 3, 0, 900}, {"a2", 0, "a", 3, 1, 901}, {"b1", 0, "b", 1, 3, 903}, {"b2", 0, "b", 1, 3, 904}, {"b3", 0, "b", 1, 3, 905}, {"b4", 0, "b", 1, 3, 906}}, want: "a1 b1 b2 b3 a2 b4"},
		"EqualEarlierTarget":     {items: []item{{"a", 0, "a", 1, 0, 901}, {"b", 0, "b", 1, 1, 900}, {"c", 0, "c", 1, 0, 0}}, want: "b a c"},
		"EqualEarlierQueued":     {items: []item{{"a", 0, "a", 1, 1, 900}, {"b", 0, "b", 1, 0, 900}}, want: "b a"},
		"LateOldestFirst":        {items: []item{{"a", 0, "a", 1, 1, 40}, {"b", 0, "a", 1, 0, 50}}, ready: 100, want: "b a"},
		"LateByCounter":          {items: []item{{"a1", 0, "a", 1, 0, 40}, {"a2", 0, "a", 1, 1, 41}, {"b1", 0, "b", 1, 2, 42}}, ready: 100, want: "a1 b1 a2"},
		"DisplacedFirst":         {items: []item{{"met", 0, "a", 1, 500, 9000}, {"old", 0, "a", 1, 0, 40}, {"urgent", -1, "a", 1, 999, 9000}}, now: 1000, ready: 1000, displacement: 1000, want: "urgent old met"},
		"NamelessIsOneWorkspace": {items: []item{{"n1", 0, "", 1, 0, 900}, {"n2", 0, "", 1, 1, 901}, {"b1", 0, "b", 1, 2, 902}}, want: "n1 b1 n2"},
		"NonsenseTokensCountOne": {items: []item{{"a1", 0, "a", -5, 0, 900}, {"a2", 0, "a", 1, 1, 901}, {"b1", 0, "b", 1, 2, 902}}, want: "a1 b1 a2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := &snipefair.Queue[string]{MaxDisplacement: test.displacement * time.Millisecond}
			for _, i := range test.items {
				i.push(q)
			}
			var predicted, popped []string
			for e := range q.InOrder(at(test.now), at(test.ready)) {
				must.Eq(t, len(predicted), q.Ahead(e, at(test.now), at(test.ready)))
				predicted = append(predicted, e.Value)
			}
			for e := q.Pop(at(test.now), at(test.ready)); e != nil; e = q.Pop(at(test.now), at(test.ready)) {
				popped = append(popped, e.Value)
			}
			must.Eq(t, test.want, strings.Join(popped, " "))
			must.Eq(t, popped, predicted)
			must.Zero(t, q.Len())
		})
	}
}

// TestIdle guards against a workspace that saves up service while it is idle and then shuts out the
// others, against one that loses its debt by being idle for a moment, against counters of one
// priority that disturb the order of another, and against an absurd number of tokens, after which all
// workspaces count as equal.
func TestIdle(t *testing.T) {
	tests := map[string]struct {
		before, after []item
		want          string
	}{
		"NothingSavedUp": {
			before: []item{{"a", 0, "a", 10, 0, 0}, {"a", 0, "a", 10, 0, 0}},
			after:  []item{{"a1", 0, "a", 10, 1, 0}, {"a2", 0, "a", 10, 2, 0}, {"b1", 0, "b", 10, 3, 0}, {"b2", 0, "b", 10, 4, 0}, {"b3", 0, "b", 10, 5, 0}},
			want:   "a1 b1 a2 b2 b3",
		},
		"DebtKept": {
			before: []item{{"a", 0, "a", 30, 0, 0}},
			after:  []item{{"b1", 0, "b", 10, 1, 0}, {"a1", 0, "a", 10, 0, 0}, {"b2", 0, "b", 10, 2, 0}},
			want:   "b1 b2 a1",
		},
		"HugeTokens": {
			before: []item{{"h", 0, "h", math.MaxFloat64, 0, 0}, {"h", 0, "h", math.MaxFloat64, 0, 0}, {"h", 0, "h", 1, 0, 0}},
			after:  []item{{"a1", 0, "a", 10, 1, 0}, {"a2", 0, "a", 10, 2, 0}, {"b1", 0, "b", 10, 3, 0}},
			want:   "a1 b1 a2",
		},
		"OtherPriority": {
			before: []item{{"a", 0, "a", 90, 0, 0}, {"b", 0, "b", 90, 0, 0}},
			after:  []item{{"l", 1, "l", 1, 0, 0}, {"b1", 1, "b", 1, 0, 0}, {"a1", 1, "a", 1, 1, 0}},
			want:   "l b1 a1",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := &snipefair.Queue[string]{}
			for _, i := range test.before {
				i.push(q)
				q.Pop(start, start)
			}
			for _, i := range test.after {
				i.push(q)
			}
			var popped []string
			for e := q.Pop(start, start); e != nil; e = q.Pop(start, start) {
				popped = append(popped, e.Value)
			}
			must.Eq(t, test.want, strings.Join(popped, " "))
		})
	}
}

// TestCharge guards against tokens that become known after the pop and don't count.
func TestCharge(t *testing.T) {
	q := &snipefair.Queue[string]{}
	item{"a", 0, "a", 1, 0, 0}.push(q)
	item{"b", 0, "b", 1, 1, 0}.push(q)
	q.Charge(0, "a", 5)
	must.Eq(t, "b", q.Pop(start, start).Value)
	q.Charge(0, "b", 9)
	item{"b", 0, "b", 1, 1, 0}.push(q)
	must.Eq(t, "a", q.Pop(start, start).Value)
}

// TestRandomOrder guards against lost or doubled entries, against an order of InOrder that differs from
// that of Pop, and against a less urgent entry before a more urgent one, under a random mix of all
// calls.
func TestRandomOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	q := &snipefair.Queue[int]{MaxDisplacement: 700 * time.Millisecond}
	waiting := map[int]*snipefair.Entry[int]{}
	for n := range 5000 {
		now, ready := at(time.Duration(n)), at(time.Duration(n+r.IntN(100)))
		switch r.IntN(5) {
		case 0, 1, 2:
			i := snipefair.Item{Priority: r.IntN(3), Workspace: fmt.Sprint(r.IntN(5)), Tokens: float64(r.IntN(9)), Queued: now, Target: at(time.Duration(n + r.IntN(300))), Deadline: at(time.Duration(n + 800))}
			waiting[n] = q.Push(i, n)
		case 3:
			var predicted *snipefair.Entry[int]
			for predicted = range q.InOrder(now, ready) {
				break
			}
			e := q.Pop(now, ready)
			must.Eq(t, predicted, e)
			if e == nil {
				break
			}
			for _, x := range waiting {
				must.LessEq(t, x.Item.Priority, e.Item.Priority)
			}
			must.MapContainsKey(t, waiting, e.Value)
			must.False(t, q.Remove(e))
			delete(waiting, e.Value)
		case 4:
			expired := q.Expired(now)
			must.True(t, slices.IsSortedFunc(expired, func(a, b *snipefair.Entry[int]) int { return a.Value - b.Value }))
			for _, e := range expired {
				must.True(t, e.Item.Deadline.Before(now))
				delete(waiting, e.Value)
			}
			for v, e := range waiting {
				must.True(t, q.Remove(e))
				delete(waiting, v)
				break
			}
		}
		must.Eq(t, len(waiting), q.Len())
	}
}

// TestStarvation guards against an entry that waits without bound while its workspace or its
// lateness puts it last; the load is one new entry with a target for each one served.
func TestStarvation(t *testing.T) {
	q := &snipefair.Queue[string]{MaxDisplacement: time.Second}
	item{"late", 0, "a", 1, 0, 10}.push(q)
	for n := time.Duration(20); ; n += 10 {
		item{"new", 0, "b", 1, n, n + 150}.push(q)
		if q.Pop(at(n), at(n+30)).Value == "late" {
			must.Eq(t, 1000, n)
			return
		}
		must.Less(t, 2000, n)
	}
}

// TestBoundedMemory guards against counters that are kept for each name that callers ever stated.
func TestBoundedMemory(t *testing.T) {
	q := &snipefair.Queue[int]{}
	for n := range 100_000 {
		q.Push(snipefair.Item{Priority: n, Workspace: fmt.Sprint(n)}, n)
		q.Pop(start, start)
		q.Push(snipefair.Item{Workspace: fmt.Sprint(n), Tokens: float64(n)}, n)
		q.Push(snipefair.Item{Workspace: "first"}, n)
		q.Pop(start, start)
		q.Pop(start, start)
	}
	must.LessEq(t, 17*1025, q.Counters())
}

// BenchmarkQueue measures a push and a pop with 1,000 waiting entries of 20 workspaces.
func BenchmarkQueue(b *testing.B) {
	fill := func() *snipefair.Queue[int] {
		r, q := rand.New(rand.NewPCG(1, 2)), &snipefair.Queue[int]{MaxDisplacement: time.Second}
		for n := range 1000 {
			q.Push(snipefair.Item{Workspace: fmt.Sprint(n % 20), Tokens: 100, Queued: start, Target: at(time.Duration(r.IntN(1000)))}, n)
		}
		return q
	}
	b.Run("PushPop", func(b *testing.B) {
		q := fill()
		for b.Loop() {
			e := q.Pop(start, at(30))
			q.Push(e.Item, e.Value)
		}
	})
	b.Run("Ahead", func(b *testing.B) {
		q := fill()
		e := q.Push(snipefair.Item{Workspace: "1", Queued: start}, 0)
		for b.Loop() {
			q.Ahead(e, start, at(30))
		}
	})
}
