package snipedirectory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipedirectory"
)

func entry(id string, leaving bool) *snipedirectory.Upstream {
	return &snipedirectory.Upstream{
		ID: id, Name: id, Service: "s", Address: netip.MustParseAddrPort("10.9.0.1:80"), Leaving: leaving,
	}
}

func whole(entries ...*snipedirectory.Upstream) snipedirectory.Change {
	return snipedirectory.Change{Whole: true, Changed: entries}
}

// TestApply verifies that each appearance, leaving and removal of an upstream is reported once.
func TestApply(t *testing.T) {
	got := map[string][]snipedirectory.Event{}
	k := &snipedirectory.Cache{OnEvent: func(u *snipedirectory.Upstream, e snipedirectory.Event) {
		got[u.ID] = append(got[u.ID], e)
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
	}, got)
}

// TestLapsedDuringOutage verifies that the upstreams of entries that lapsed during an outage of
// the registry are kept until LapseGrace has passed, and removed if the entries have not come back.
func TestLapsedDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &snipedirectory.Cache{LapseGrace: 2 * time.Second}
		k.Apply(whole(entry("back", false), entry("gone", false)))
		k.RegistryLost()
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

// TestExpiryBetweenReads guards against requests to an upstream that has left because its lapsed
// entry is found expired by the next read of the registry only, a second later. While the registry is
// lost again, the upstream is kept.
func TestExpiryBetweenReads(t *testing.T) {
	const grace = 2 * time.Second
	for name, lostAgain := range map[string]bool{"Read": false, "LostAgain": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &snipedirectory.Cache{LapseGrace: grace}
				k.RemoveExpired()
				k.Apply(whole(entry("stays", false), entry("gone", false)))
				k.RegistryLost()
				time.Sleep(time.Second)
				k.Apply(whole(entry("stays", false)))
				if time.Sleep(500 * time.Millisecond); lostAgain {
					k.RegistryLost()
				}
				k.RemoveExpired()
				must.Eq(t, 2, k.Snapshot().Len())
				time.Sleep(500 * time.Millisecond)
				k.RemoveExpired()
				must.NotNil(t, k.Snapshot().ByID("stays"))
				must.Eq(t, lostAgain, k.Snapshot().ByID("gone") != nil)
				k.Apply(whole(entry("stays", false)))
				must.Eq(t, 1, k.Snapshot().Len())
			})
		})
	}
}

// started returns the entry of one start of an upstream.
func started(name string, start int64) *snipedirectory.Upstream {
	u := entry(name, false)
	u.ID = snipedirectory.StartID(name, start)
	return u
}

func changed(entries ...*snipedirectory.Upstream) snipedirectory.Change {
	return snipedirectory.Change{Changed: entries}
}

// TestStarts guards against an upstream that restarts under its name and is taken for its previous
// start, and against the use of an upstream whose entry cannot be decoded.
func TestStarts(t *testing.T) {
	const appeared, gone = snipedirectory.Appeared, snipedirectory.Gone
	undecodable := func(names ...string) snipedirectory.Change { return snipedirectory.Change{Undecodable: names} }
	whole := func(c snipedirectory.Change) snipedirectory.Change {
		c.Whole = true
		return c
	}
	type events = map[string][]snipedirectory.Event
	tests := map[string]struct {
		changes []snipedirectory.Change
		// ended is a start that is passed to MarkEnded before the last change.
		ended  string
		events events
		// remaining lists the upstreams that are in the last snapshot, restarted those of them
		// that are marked as restarted.
		remaining []string
		restarted []string
	}{
		"Same":      {[]snipedirectory.Change{changed(started("a", 5)), changed(started("a", 5))}, "", events{"a@5": {appeared}}, []string{"a@5"}, nil},
		"Later":     {[]snipedirectory.Change{changed(started("a", 5)), changed(started("a", 9))}, "", events{"a@5": {appeared, gone}, "a@9": {appeared}}, []string{"a@9"}, []string{"a@9"}},
		"ClockBack": {[]snipedirectory.Change{changed(started("a", 9)), changed(started("a", 5))}, "", events{"a@9": {appeared, gone}, "a@5": {appeared}}, []string{"a@5"}, []string{"a@5"}},
		"Untold":    {[]snipedirectory.Change{changed(started("a", 5)), changed(started("a", 0))}, "", events{"a@5": {appeared, gone}, "a": {appeared}}, []string{"a"}, []string{"a"}},
		"InOnePage": {[]snipedirectory.Change{whole(changed(started("a", 5), started("b", 1))), whole(changed(started("a", 6), started("b", 1)))}, "", events{"a@5": {appeared, gone}, "a@6": {appeared}, "b@1": {appeared}}, []string{"a@6", "b@1"}, []string{"a@6"}},
		"Wrong":     {[]snipedirectory.Change{changed(started("a", 5), started("b", 1)), undecodable("a")}, "", events{"a@5": {appeared, gone}, "b@1": {appeared}}, []string{"b@1"}, nil},
		"WrongInWhole": {
			[]snipedirectory.Change{changed(started("a", 5)), whole(undecodable("a"))},
			"",
			events{"a@5": {appeared, gone}},
			nil, nil,
		},
		"WrongAndBack": {[]snipedirectory.Change{changed(started("a", 5)), undecodable("a"), changed(started("a", 5))}, "", events{"a@5": {appeared, gone, appeared}}, []string{"a@5"}, nil},
		"WrongUnknown": {[]snipedirectory.Change{undecodable("a")}, "", events{}, nil, nil},
		"Ended":        {[]snipedirectory.Change{changed(started("a", 5)), changed(started("a", 5))}, "a@5", events{"a@5": {appeared, gone}}, nil, nil},
		"EndedInWhole": {[]snipedirectory.Change{changed(started("a", 5)), whole(changed(started("a", 5)))}, "a@5", events{"a@5": {appeared, gone}}, nil, nil},
		"EndedAndNew":  {[]snipedirectory.Change{changed(started("a", 5)), changed(started("a", 6))}, "a@5", events{"a@5": {appeared, gone}, "a@6": {appeared}}, []string{"a@6"}, []string{"a@6"}},
		"EndedUnknown": {[]snipedirectory.Change{changed(started("a", 5)), changed(started("a", 5))}, "a@4", events{"a@5": {appeared}}, []string{"a@5"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := events{}
			k := &snipedirectory.Cache{OnEvent: func(u *snipedirectory.Upstream, e snipedirectory.Event) {
				got[u.ID] = append(got[u.ID], e)
			}}
			for n, c := range tt.changes {
				if n == len(tt.changes)-1 && tt.ended != "" {
					k.MarkEnded(tt.ended)
				}
				k.Apply(c)
			}
			must.Eq(t, tt.events, got)
			must.Eq(t, len(tt.remaining), k.Snapshot().Len())
			for _, id := range tt.remaining {
				u := k.Snapshot().ByID(id)
				must.NotNil(t, u)
				must.Eq(t, slices.Contains(tt.restarted, id), u.Restarted)
			}
		})
	}
}

// TestEarlierStarts guards against taking a start for the first one of its name because the earlier
// one was registered before the registry was read, or was removed before this one appeared.
func TestEarlierStarts(t *testing.T) {
	type step struct {
		pause  time.Duration
		change func(start int64) snipedirectory.Change
	}
	show := func(age time.Duration) step {
		return step{change: func(now int64) snipedirectory.Change {
			u := started("a", now-age.Milliseconds())
			u.Start = now - age.Milliseconds()
			return changed(u)
		}}
	}
	remove := step{change: func(int64) snipedirectory.Change { return snipedirectory.Change{Removed: []string{"a"}} }}
	empty := step{change: func(int64) snipedirectory.Change { return snipedirectory.Change{} }}
	after := func(pause time.Duration, s step) step {
		s.pause = pause
		return s
	}
	tests := map[string]struct {
		steps     []step
		restarted bool
	}{
		"RecentAtFirst":    {[]step{show(10 * time.Second)}, true},
		"AheadAtFirst":     {[]step{show(-10 * time.Second)}, true},
		"OldAtFirst":       {[]step{show(time.Minute)}, false},
		"SoonAfterFirst":   {[]step{empty, after(10*time.Second, show(time.Second))}, true},
		"LongAfterFirst":   {[]step{empty, after(time.Minute, show(time.Second))}, false},
		"RemovedAndNext":   {[]step{show(time.Minute), after(time.Minute, remove), after(10*time.Second, show(0))}, true},
		"RemovedLongAgo":   {[]step{show(time.Minute), remove, after(time.Minute, show(0))}, false},
		"RemovedAndBack":   {[]step{show(time.Minute), remove, after(10*time.Second, show(70*time.Second))}, false},
		"RestartedAndBack": {[]step{show(time.Minute), after(time.Minute, show(0)), remove, after(10*time.Second, show(10*time.Second))}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &snipedirectory.Cache{}
				for _, s := range tt.steps {
					time.Sleep(s.pause)
					k.Apply(s.change(time.Now().UnixMilli()))
				}
				for u := range k.Snapshot().All() {
					must.Eq(t, tt.restarted, u.Restarted)
				}
				must.Eq(t, 1, k.Snapshot().Len())
			})
		})
	}
}

// TestUndecodableDuringOutage guards against the use of an upstream whose entry cannot be decoded while
// entries that lapsed during an outage of the registry are kept.
func TestUndecodableDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &snipedirectory.Cache{LapseGrace: time.Minute}
		k.Apply(whole(entry("a", false), entry("b", false)))
		k.RegistryLost()
		k.Apply(snipedirectory.Change{Whole: true, Undecodable: []string{"a"}})
		must.Nil(t, k.Snapshot().ByID("a"))
		must.NotNil(t, k.Snapshot().ByID("b"))
	})
}

// TestSnapshotsImmutable guards against a change to data that a snapshot shares with later snapshots. It
// applies random changes and then compares every snapshot with a simple model of its time.
func TestSnapshotsImmutable(t *testing.T) {
	const rounds, names = 300, 12
	r := rand.New(rand.NewPCG(3, 3))
	k := &snipedirectory.Cache{}
	model := map[string]*snipedirectory.Upstream{}
	type observation struct {
		snapshot *snipedirectory.Snapshot
		want     map[string][]string
	}
	var observations []observation
	for round := range rounds {
		var c snipedirectory.Change
		for range r.IntN(4) {
			name := string(rune('a' + r.IntN(names)))
			switch {
			case r.IntN(3) == 0:
				c.Removed = append(c.Removed, name)
			case !slices.ContainsFunc(c.Changed, func(u *snipedirectory.Upstream) bool { return u.Name == name }):
				u := entry(name, r.IntN(4) == 0)
				u.Service = string(rune('s' + r.IntN(2)))
				c.Changed = append(c.Changed, u)
			}
		}
		c.Position = uint64(round)
		k.Apply(c)
		for _, u := range c.Changed {
			model[u.Name] = u
		}
		for _, name := range c.Removed {
			delete(model, name)
		}
		want := map[string][]string{"s": nil, "t": nil}
		for name, u := range model {
			want[u.Service] = append(want[u.Service], name)
			slices.Sort(want[u.Service])
		}
		observations = append(observations, observation{k.Snapshot(), want})
	}
	for _, o := range observations {
		for service, names := range o.want {
			var got []string
			for _, u := range o.snapshot.Service(service) {
				got = append(got, u.ID)
				must.Eq(t, u, o.snapshot.ByID(u.ID))
			}
			must.Eq(t, names, got)
		}
		must.Eq(t, len(o.want["s"])+len(o.want["t"]), o.snapshot.Len())
	}
}

// BenchmarkApply measures the application of a change of one entry.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{12, 600, 3000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			k := &snipedirectory.Cache{}
			var all []*snipedirectory.Upstream
			for n := range count {
				all = append(all, entry(fmt.Sprint("e", n), false))
			}
			k.Apply(whole(all...))
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				u := *all[n%count]
				k.Apply(snipedirectory.Change{Changed: []*snipedirectory.Upstream{&u}})
			}
		})
	}
}

// TestLapsedInLongOutage guards against upstreams that are given up as soon as a long outage of the registry ends, although
// they can write their entries only then.
func TestLapsedInLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &snipedirectory.Cache{LapseGrace: 2 * time.Second}
		k.Apply(whole(entry("back", false), entry("gone", false)))
		k.RegistryLost()
		time.Sleep(10 * time.Second)
		k.RegistryRestored()
		k.Apply(whole())
		must.Eq(t, 2, k.Snapshot().Len())
		time.Sleep(time.Second)
		k.Apply(whole(entry("back", false)))
		time.Sleep(time.Second)
		k.RemoveExpired()
		must.NotNil(t, k.Snapshot().ByID("back"))
		must.Nil(t, k.Snapshot().ByID("gone"))
	})
}
