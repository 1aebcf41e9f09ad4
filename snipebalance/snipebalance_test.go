package snipebalance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
)

func upstreams() []*snipedirectory.Upstream {
	return []*snipedirectory.Upstream{
		{ID: "near", Domain: "here", Slots: 10},
		{ID: "far", Domain: "there", Slots: 10},
		{ID: "leaving", Domain: "here", Slots: 10, Leaving: true},
	}
}

func every(*snipedirectory.Upstream) bool { return true }

// TestPick checks which upstream is picked by domain, load, failures and suspicion, and that a
// leaving one is not. Without any record, the upstream in the instance's own domain is picked.
func TestPick(t *testing.T) {
	tests := map[string]struct {
		before func(b *snipebalance.Balancer)
		want   string
	}{
		"Near":      {func(*snipebalance.Balancer) {}, "near"},
		"OwnLoad":   {func(b *snipebalance.Balancer) { b.Begin("near", 2) }, "far"},
		"Ended":     {func(b *snipebalance.Balancer) { b.Begin("near", 2)() }, "near"},
		"Reported":  {func(b *snipebalance.Balancer) { b.SetLoad("near", 5) }, "far"},
		"OldReport": {func(b *snipebalance.Balancer) { b.SetLoad("near", 5); time.Sleep(3 * time.Second) }, "near"},
		"Unreached": {func(b *snipebalance.Balancer) { b.RecordUnreached("near") }, "far"},
		"Recovered": {func(b *snipebalance.Balancer) {
			b.RecordUnreached("near")
			time.Sleep(time.Second)
			for range 12 {
				b.RecordAnswer("near", false)
			}
		}, "near"},
		"Failing": {func(b *snipebalance.Balancer) {
			for range 3 {
				b.RecordAnswer("near", true)
			}
		}, "far"},
		"AllSuspect": {func(b *snipebalance.Balancer) { b.RecordUnreached("near"); b.RecordUnreached("far") }, "near"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &snipebalance.Balancer{Domain: "here"}
				tt.before(b)
				must.Eq(t, tt.want, b.Pick(upstreams(), every, nil).ID)
			})
		})
	}
}

// TestOwnIsNotCountedTwice checks that the requests of this instance, which the load reported by
// an upstream includes, are not added to that load again.
func TestOwnIsNotCountedTwice(t *testing.T) {
	b := &snipebalance.Balancer{}
	u := upstreams()[0]
	end := b.Begin(u.ID, 3)
	b.SetLoad(u.ID, 5)
	must.InDelta(t, 0.5, b.Busy(u), 0.01)
	end()
	must.Less(t, 0.25, b.Busy(u))
}

// TestSuspicionEnds checks that an upstream that cannot be reached is usable again after 3 s,
// however often it failed before, and that Suspect is called for each failure and once for the
// first answer.
func TestSuspicionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notified := []bool{}
		b := &snipebalance.Balancer{Suspect: func(_ string, s bool) { notified = append(notified, s) }}
		u := upstreams()[0]
		for range 6 {
			b.RecordUnreached(u.ID)
			must.False(t, b.Usable(u))
			time.Sleep(3 * time.Second)
			must.True(t, b.Usable(u))
		}
		b.RecordAnswer(u.ID, false)
		must.Eq(t, []bool{true, true, true, true, true, true, false}, notified)
	})
}

// TestUnansweredRequests checks that an upstream stays usable after one or two requests without an
// answer, which may happen by chance, and becomes suspect after three in a row.
func TestUnansweredRequests(t *testing.T) {
	b := &snipebalance.Balancer{}
	u := upstreams()[0]
	b.RecordUnanswered(u.ID)
	b.RecordUnanswered(u.ID)
	must.True(t, b.Usable(u))
	b.RecordUnanswered(u.ID)
	must.False(t, b.Usable(u))
	b.Forget(u.ID)
	must.True(t, b.Usable(u))
}

// BenchmarkPick measures the choice among 600 upstreams.
func BenchmarkPick(b *testing.B) {
	balancer := &snipebalance.Balancer{}
	all := make([]*snipedirectory.Upstream, 600)
	for n := range all {
		all[n] = &snipedirectory.Upstream{ID: string(rune('a' + n)), Slots: 64}
		balancer.SetLoad(all[n].ID, float64(n))
	}
	b.ReportAllocs()
	for b.Loop() {
		balancer.Pick(all, every, nil)
	}
}
