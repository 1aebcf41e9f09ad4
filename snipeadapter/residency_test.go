package snipeadapter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// TestResidency checks that a recent report of an owner or of the engine itself overrides a
// directory entry that was written before it, and that later the entry is in force again.
func TestResidency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &snipeadapter.Residency{}
		listed, reported, denied := adapter(1), adapter(2), adapter(3)
		u := &snipedirectory.Upstream{ID: "e1", Models: []string{model}, Resident: []snipedirectory.Resident{
			{Adapter: listed, Version: 1}, {Adapter: denied, Version: 1},
		}}
		r.RecordHeld("e1", reported, 2)
		r.RecordAbsent("e1", denied)
		r.Observe(u)
		holds := func(a snipecatalog.Adapter, version int64, ok bool) {
			t.Helper()
			v, present := r.Holds(u, a)
			must.Eq(t, ok, present)
			must.Eq(t, version, v)
		}
		holds(listed, 1, true)
		holds(reported, 2, true)
		holds(denied, 0, false)
		holds(snipecatalog.Adapter{Model: model}, 0, true)
		holds(snipecatalog.Adapter{Model: "other"}, 0, false)
		time.Sleep(5 * time.Second)
		r.Observe(u)
		holds(reported, 0, false)
		holds(denied, 1, true)
		r.Forget("e1")
		holds(listed, 0, false)
	})
}

// TestPreviouslyHeld checks that an engine counts as a previous holder of an adapter whether the
// directory or a report shows that the adapter is gone, until the engine holds the adapter again,
// restarts, or has held many others since.
func TestPreviouslyHeld(t *testing.T) {
	const most = 100
	synctest.Test(t, func(t *testing.T) {
		r := &snipeadapter.Residency{}
		observe := func(held ...int) {
			u := &snipedirectory.Upstream{ID: "e1"}
			for _, n := range held {
				u.Resident = append(u.Resident, snipedirectory.Resident{Adapter: adapter(n), Version: 1})
			}
			r.Observe(u)
		}
		observe(1, 2)
		must.False(t, r.PreviouslyHeld("e1", adapter(1)))
		must.False(t, r.PreviouslyHeld("unknown", adapter(1)))
		observe(2)
		must.True(t, r.PreviouslyHeld("e1", adapter(1)))
		r.RecordHeld("e1", adapter(1), 1)
		must.False(t, r.PreviouslyHeld("e1", adapter(1)))
		r.RecordAbsent("e1", adapter(2))
		must.True(t, r.PreviouslyHeld("e1", adapter(2)))
		r.RecordAbsent("e1", adapter(3)) // never held
		must.False(t, r.PreviouslyHeld("e1", adapter(3)))
		for n := range most {
			time.Sleep(time.Millisecond)
			r.RecordHeld("e1", adapter(10+n), 1)
			r.RecordAbsent("e1", adapter(10+n))
		}
		must.False(t, r.PreviouslyHeld("e1", adapter(2)))
		must.True(t, r.PreviouslyHeld("e1", adapter(10)))
		r.Forget("e1")
		must.False(t, r.PreviouslyHeld("e1", adapter(10)))
	})
}
