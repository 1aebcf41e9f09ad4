package snipedirectory_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipedirectory"
)

// start is the entry of one start of upstream a, as the registry shows it.
func start(at int64) *snipedirectory.Upstream {
	u := entry("a", false)
	u.ID, u.Start = snipedirectory.StartID(u.Name, at), at
	return u
}

// TestLeavesByItsWord guards against a reading of the registry that undoes what an upstream has said
// itself, and against a word that binds another start of it.
func TestLeavesByItsWord(t *testing.T) {
	const left, next = "a@1", "a@2"
	tests := map[string]struct {
		play func(k *snipedirectory.Keeper)
		id   string
		want bool
	}{
		"Said":       {func(*snipedirectory.Keeper) {}, left, true},
		"OlderEntry": {func(k *snipedirectory.Keeper) { k.Apply(whole(start(1), entry("b", false))) }, left, true},
		"EntryLapses": {func(k *snipedirectory.Keeper) {
			k.Apply(whole(entry("b", false)))
			k.Apply(whole(start(1), entry("b", false)))
		}, left, true},
		"Outage": {func(k *snipedirectory.Keeper) {
			k.Lost()
			k.Apply(whole(entry("b", false)))
			time.Sleep(time.Second)
			k.Apply(whole(start(1), entry("b", false)))
		}, left, true},
		"SaidAgain":    {func(k *snipedirectory.Keeper) { k.Leave(left) }, left, true},
		"AnotherStart": {func(k *snipedirectory.Keeper) { k.Apply(whole(start(2), entry("b", false))) }, next, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				told := 0
				k := &snipedirectory.Keeper{Return: 2 * time.Second, Seen: func(_ *snipedirectory.Upstream, e snipedirectory.Event) {
					if e == snipedirectory.Leaving {
						told++
					}
				}}
				k.Apply(whole(start(1), entry("b", false)))
				before := k.Snapshot()
				k.Leave(left)
				tt.play(k)
				must.Eq(t, tt.want, k.Snapshot().ByID(tt.id).Leaving)
				must.False(t, k.Snapshot().ByID("b").Leaving)
				must.False(t, before.ByID(left).Leaving)
				must.Eq(t, 1, told)
			})
		})
	}
}

// TestLeavesBeforeItIsKnown guards against a word that is lost because another instance passed it on
// before the registry showed the upstream here.
func TestLeavesBeforeItIsKnown(t *testing.T) {
	k := &snipedirectory.Keeper{}
	k.Leave("a@1")
	k.Apply(whole(start(1)))
	must.True(t, k.Snapshot().ByID("a@1").Leaving)
}
