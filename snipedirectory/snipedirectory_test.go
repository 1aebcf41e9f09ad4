package snipedirectory_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipedirectory"
)

func entry(id string, leaving bool) *snipedirectory.Upstream {
	return &snipedirectory.Upstream{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("10.9.0.1:80"), Leaving: leaving,
	}
}

func whole(entries ...*snipedirectory.Upstream) snipedirectory.Change {
	return snipedirectory.Change{Whole: true, Changed: entries}
}

// TestApply: upstreams come, leave and go, each told once.
func TestApply(t *testing.T) {
	told := map[string][]snipedirectory.Event{}
	k := &snipedirectory.Keeper{Seen: func(u *snipedirectory.Upstream, e snipedirectory.Event) {
		told[u.ID] = append(told[u.ID], e)
	}}
	must.Nil(t, k.Snapshot().ByID("a"))
	k.Apply(whole(entry("a", false), entry("b", false)))
	k.Apply(snipedirectory.Change{Changed: []*snipedirectory.Upstream{entry("a", true)}})
	k.Apply(snipedirectory.Change{Changed: []*snipedirectory.Upstream{entry("a", true)}})
	must.Len(t, 2, k.Snapshot().Service("s"))
	must.True(t, k.Snapshot().ByID("a").Leaving)
	k.Apply(snipedirectory.Change{Removed: []string{"a", "unknown"}})
	k.Apply(whole())
	must.Eq(t, 0, k.Snapshot().Len())
	must.Eq(t, map[string][]snipedirectory.Event{
		"a": {snipedirectory.Appeared, snipedirectory.Leaving, snipedirectory.Gone},
		"b": {snipedirectory.Appeared, snipedirectory.Gone},
	}, told)
}

// TestLapsedDuringOutage: entries that lapsed while the registry could not be written
// come back within the time for it, or are gone.
func TestLapsedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &snipedirectory.Keeper{Return: 2 * time.Second}
		k.Apply(whole(entry("back", false), entry("gone", false)))
		k.Lost()
		time.Sleep(time.Second)
		k.Apply(whole())
		must.Eq(t, 2, k.Snapshot().Len())
		k.Apply(whole(entry("back", false)))
		time.Sleep(1500 * time.Millisecond)
		k.Apply(whole(entry("back", false)))
		must.Nil(t, k.Snapshot().ByID("gone"))
		must.NotNil(t, k.Snapshot().ByID("back"))
		k.Apply(whole())
		must.Eq(t, 0, k.Snapshot().Len())
	})
}
