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

// TestResidency: what an owner or the engine itself said a moment ago stands against
// an entry of the directory that was written before; later the entry does.
func TestResidency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &snipeadapter.Residency{}
		listed, told, denied := adapter(1), adapter(2), adapter(3)
		u := &snipedirectory.Upstream{ID: "e1", Models: []string{model}, Resident: []snipedirectory.Resident{
			{Adapter: listed, Version: 1}, {Adapter: denied, Version: 1},
		}}
		r.Tell("e1", told, 2)
		r.Deny("e1", denied)
		r.Observe(u)
		holds := func(a snipecatalog.Adapter, version int64, ok bool) {
			t.Helper()
			v, present := r.Holds(u, a)
			must.Eq(t, ok, present)
			must.Eq(t, version, v)
		}
		holds(listed, 1, true)
		holds(told, 2, true)
		holds(denied, 0, false)
		holds(snipecatalog.Adapter{Model: model}, 0, true)
		holds(snipecatalog.Adapter{Model: "other"}, 0, false)
		time.Sleep(5 * time.Second)
		r.Observe(u)
		holds(told, 0, false)
		holds(denied, 1, true)
		r.Forget("e1")
		holds(listed, 0, false)
	})
}
