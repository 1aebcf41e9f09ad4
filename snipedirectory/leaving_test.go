package snipedirectory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipedirectory"
)

// entryOfStart returns the registry's entry for one start of upstream a.
func entryOfStart(start int64) *snipedirectory.Upstream {
	u := entry("a", false)
	u.ID, u.Start = snipedirectory.StartID(u.Name, start), start
	return u
}

// TestLeaveOverridesRegistry guards against a read of the registry that overrides an upstream's own
// announcement that it is leaving, and against an announcement that affects another start of it.
func TestLeaveOverridesRegistry(t *testing.T) {
	const left, next = "a@1", "a@2"
	tests := map[string]struct {
		then func(k *snipedirectory.Cache)
		id   string
		want bool
	}{
		"Said":       {func(*snipedirectory.Cache) {}, left, true},
		"OlderEntry": {func(k *snipedirectory.Cache) { k.Apply(whole(entryOfStart(1), entry("b", false))) }, left, true},
		"EntryLapses": {func(k *snipedirectory.Cache) {
			k.Apply(whole(entry("b", false)))
			k.Apply(whole(entryOfStart(1), entry("b", false)))
		}, left, true},
		"Outage": {func(k *snipedirectory.Cache) {
			k.RegistryLost()
			k.Apply(whole(entry("b", false)))
			time.Sleep(time.Second)
			k.Apply(whole(entryOfStart(1), entry("b", false)))
		}, left, true},
		"SaidAgain":    {func(k *snipedirectory.Cache) { k.MarkLeaving(left) }, left, true},
		"AnotherStart": {func(k *snipedirectory.Cache) { k.Apply(whole(entryOfStart(2), entry("b", false))) }, next, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				notifications := 0
				k := &snipedirectory.Cache{LapseGrace: 2 * time.Second, OnEvent: func(_ *snipedirectory.Upstream, e snipedirectory.Event) {
					if e == snipedirectory.Leaving {
						notifications++
					}
				}}
				k.Apply(whole(entryOfStart(1), entry("b", false)))
				before := k.Snapshot()
				k.MarkLeaving(left)
				tt.then(k)
				must.Eq(t, tt.want, k.Snapshot().ByID(tt.id).Leaving)
				must.False(t, k.Snapshot().ByID("b").Leaving)
				must.False(t, before.ByID(left).Leaving)
				must.Eq(t, 1, notifications)
			})
		})
	}
}

// TestLeaveBeforeEntry guards against an announcement that is lost because another instance
// forwarded it before this instance has read the upstream's entry in the registry.
func TestLeaveBeforeEntry(t *testing.T) {
	k := &snipedirectory.Cache{}
	k.MarkLeaving("a@1")
	k.Apply(whole(entryOfStart(1)))
	must.True(t, k.Snapshot().ByID("a@1").Leaving)
}
