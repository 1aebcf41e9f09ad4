package snipesignal_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipesignal"
)

// TestBrittleState guards against a service whose brittleness ends with an answer to a request from before, or
// with one of an upstream that does not state it yet, and against one that never ends.
func TestBrittleState(t *testing.T) {
	type answer struct {
		// at is when the answer arrives, sent when its request was sent.
		at, sent time.Duration
		brittle  bool
		want     bool
	}
	tests := map[string][]answer{
		"Never":     {{0, 0, false, false}},
		"Holds":     {{0, 0, true, true}, {2 * second, 500 * time.Millisecond, false, true}},
		"Ends":      {{0, 0, true, true}, {3 * second, 2 * second, false, false}},
		"Overtaken": {{2 * second, 0, true, true}, {2100 * time.Millisecond, 1900 * time.Millisecond, false, true}},
		"Mixed":     {{0, 0, true, true}, {second, second, true, true}, {1500 * time.Millisecond, 1400 * time.Millisecond, false, true}},
		"Again":     {{0, 0, true, true}, {3 * second, 2 * second, false, false}, {4 * second, 4 * second, true, true}},
	}
	for name, answers := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				changes, before := 0, false
				b := &snipesignal.BrittleTracker{Changed: func(snipesignal.BrittleChange) { changes++ }}
				begun, wanted := time.Now(), 0
				for _, a := range answers {
					time.Sleep(a.at - time.Since(begun))
					b.Record("s", upstream, begun.Add(a.sent), snipesignal.Signal{Brittle: a.brittle, MaxRefusals: 3})
					_, got := b.Get("s")
					must.Eq(t, a.want, got, must.Sprint(a.at))
					if a.want != before {
						before = a.want
						wanted++
					}
				}
				must.Eq(t, wanted, changes)
			})
		})
	}
}

// TestBrittleCounts guards against refusals and crashes that an operator is not told of when a service's
// brittleness ends.
func TestBrittleCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last snipesignal.BrittleChange
		b := &snipesignal.BrittleTracker{Changed: func(c snipesignal.BrittleChange) { last = c }}
		_, brittle := b.RecordRefusal("s")
		must.False(t, brittle)
		b.Record("s", upstream, time.Now(), snipesignal.Signal{Brittle: true, MaxRefusals: 3})
		for range 2 {
			_, brittle = b.RecordRefusal("s")
			must.True(t, brittle)
			b.RecordBroken("s", upstream)
		}
		time.Sleep(2 * second)
		b.Record("s", upstream, time.Now(), snipesignal.Signal{})
		must.False(t, last.Brittle)
		must.Eq(t, 2, last.Refusals)
		must.Eq(t, 1, last.Broken)
		must.Zero(t, b.Count())
	})
}

// TestBrittleUpdates guards against instances that do not learn of a brittle service from others, that hear of it
// again and again, or for which an old update makes a service brittle again.
func TestBrittleUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stated := snipesignal.Signal{Brittle: true, MaxRefusals: 3}
		told, other := &snipesignal.BrittleTracker{}, &snipesignal.BrittleTracker{}
		told.Record("s", upstream, time.Now(), stated)
		updates := told.PendingUpdates()
		must.Len(t, 1, updates)
		other.Merge(updates)
		got, brittle := other.Get("s")
		must.True(t, brittle)
		must.Eq(t, 3, got.MaxRefusals)
		must.SliceEmpty(t, other.PendingUpdates(), must.Sprint("known from another instance"))
		told.Record("s", upstream, time.Now(), stated)
		must.SliceEmpty(t, told.PendingUpdates(), must.Sprint("sent a moment ago"))
		time.Sleep(5 * second)
		must.Len(t, 1, told.PendingUpdates())
		old := told.CurrentUpdates()
		other.Record("s", upstream, time.Now(), snipesignal.Signal{})
		_, brittle = other.Get("s")
		must.False(t, brittle)
		other.Merge(old)
		_, brittle = other.Get("s")
		must.False(t, brittle, must.Sprint("stated before it ended"))
	})
}

// TestBrittleEndTold guards against instances that take a service for brittle for good, because only others have received
// an answer that ends the state, and against two instances that never agree.
func TestBrittleEndTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brittle := snipesignal.Signal{Brittle: true, MaxRefusals: 3}
		changes := map[snipesignal.Source]int{}
		learns := &snipesignal.BrittleTracker{}
		told := &snipesignal.BrittleTracker{Changed: func(c snipesignal.BrittleChange) { changes[c.Source]++ }}
		learns.Record("s", upstream, time.Now(), brittle)
		told.Record("s", upstream, time.Now(), brittle)
		told.Merge(learns.PendingUpdates())
		time.Sleep(3 * second)
		learns.Record("s", upstream, time.Now(), snipesignal.Signal{})

		ends := learns.PendingUpdates()
		must.Len(t, 1, ends)
		must.True(t, ends[0].Ended)
		must.SliceEmpty(t, learns.PendingUpdates(), must.Sprint("sent once"))
		told.Merge(ends)
		_, is := told.Get("s")
		must.False(t, is)
		must.Eq(t, map[snipesignal.Source]int{snipesignal.Answer: 1, snipesignal.Instance: 1}, changes)
		must.SliceEmpty(t, told.PendingUpdates(), must.Sprint("one that was told tells nobody"))

		// The end is announced again, for a time.
		time.Sleep(6 * second)
		must.Len(t, 1, learns.PendingUpdates())
		time.Sleep(20 * second)
		must.SliceEmpty(t, learns.PendingUpdates())
		must.SliceEmpty(t, learns.CurrentUpdates())

		// A later statement counts, and the end of before does not end it, whoever has learned of which.
		told.Record("s", upstream, time.Now(), brittle)
		u, known := learns.Update("s")
		must.True(t, known)
		told.Merge([]snipesignal.BrittleUpdate{u})
		_, is = told.Get("s")
		must.True(t, is)
		learns.Merge(told.CurrentUpdates())
		_, is = learns.Get("s")
		must.True(t, is)
	})
}
