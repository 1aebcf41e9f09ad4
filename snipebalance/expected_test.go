package snipebalance_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
)

func byExpected(b *snipebalance.Balancer, all []*snipedirectory.Upstream, d snipebalance.Demand) *snipedirectory.Upstream {
	u, _ := b.PickExpected(all, every, nil, d)
	return u
}

func byOccupancy(b *snipebalance.Balancer, all []*snipedirectory.Upstream, _ snipebalance.Demand) *snipedirectory.Upstream {
	return b.Pick(all, every, nil)
}

func byTwoRandom(b *snipebalance.Balancer, all []*snipedirectory.Upstream, _ snipebalance.Demand) *snipedirectory.Upstream {
	n := int(b.Random() * float64(len(all)))
	m := (n + 1 + int(b.Random()*float64(len(all)-1))) % len(all)
	return b.Pick([]*snipedirectory.Upstream{all[n], all[m]}, every, nil)
}

// TestUnevenEngines guards against a choice that sends the requests of all instances to the engine that
// was idle at the last report, and against long prompts that meet on one engine. The engines' speeds
// differ by a factor of two and change every 100 ms, and the reports are 80 to 240 ms old. The choice
// by expected time must take at most 0.7 of the times of the one by occupancy, and the stated shares
// of those of the better of two random engines. The bound for redrawn paces is wider, because the 99th
// percentile varies between seeds there.
func TestUnevenEngines(t *testing.T) {
	const slow, fast, seeds = 1.34, 0.67, 3
	tests := map[string]struct {
		farm         farm
		median, high float64 // at most, as shares of the times of the better of two random engines
	}{
		"LongPromptsStepwise": {farm{engines: 57, instances: 80, rate: 1000, longShare: 0.1, steps: true}, 0.95, 0.95},
		"LongPromptsRedrawn":  {farm{engines: 57, instances: 80, rate: 1000, longShare: 0.1}, 0.95, 0.97},
		"ShortPrompts":        {farm{engines: 57, instances: 80, rate: 1400, steps: true}, 1, 0.85},
		"FewInstances":        {farm{engines: 57, instances: 3, rate: 1000, longShare: 0.1, steps: true}, 0.97, 0.9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := tt.farm
			f.slots, f.slow, f.fast, f.stated = 16, slow, fast, true
			times := make(map[string][2]time.Duration)
			for kind, pick := range map[string]picker{"Expected": byExpected, "Occupancy": byOccupancy, "TwoRandom": byTwoRandom} {
				f.pick = pick
				median, high := f.percentiles(t, seeds)
				times[kind] = [2]time.Duration{median, high}
				t.Logf("%s: median %v, 99th percentile %v", kind, median.Round(time.Millisecond), high.Round(time.Millisecond))
			}
			for n, share := range []float64{tt.median, tt.high} {
				must.LessEq(t, share*float64(times["TwoRandom"][n]), float64(times["Expected"][n]))
				must.LessEq(t, 0.7*float64(times["Occupancy"][n]), float64(times["Expected"][n]))
			}
		})
	}
}

// engines returns two engines in the instance's domain and one in another.
func engines() []*snipedirectory.Upstream {
	return []*snipedirectory.Upstream{
		{ID: "a", Service: "s", Domain: "here", Slots: 16},
		{ID: "b", Service: "s", Domain: "here", Slots: 16},
		{ID: "far", Service: "s", Domain: "there", Slots: 16},
	}
}

// TestPickExpected checks what decides between two engines that are otherwise alike: each case makes
// one of them worse. It guards against a prompt that counts after it was processed, and against stale
// paces and reports that keep an engine idle.
func TestPickExpected(t *testing.T) {
	type (
		balancer = *snipebalance.Balancer
		demand   = snipebalance.Demand
		work     = snipebalance.Work
		upstream = *snipedirectory.Upstream
	)
	long, memory := demand{PromptTokens: longPrompt}, demand{ReservedTokens: 500, MemoryTokens: 1000}
	othersPrompt, othersMemory := work{Requests: 1, PendingTokens: longPrompt}, work{Requests: 1, ReservedTokens: 800}
	slow := func(b balancer, _ upstream) {
		b.SetStated("a", snipebalance.StatedLoad{Running: 1, Slots: 16, Pace: 2})
	}
	tests := map[string]struct {
		before func(b balancer, a upstream)
		after  time.Duration // from before to the choice
		demand demand
		want   string // of a and b; empty if each may be picked
	}{
		"Idle":            {func(balancer, upstream) {}, 0, long, ""},
		"PendingPrompt":   {func(b balancer, a upstream) { b.Start(a, long) }, 0, demand{}, "b"},
		"ProcessedPrompt": {func(b balancer, a upstream) { b.Start(a, long).First() }, 0, demand{}, ""},
		"EndedRequest":    {func(b balancer, a upstream) { b.Start(a, long).End(-1) }, 0, demand{}, ""},
		"OthersPrompt":    {func(b balancer, _ upstream) { b.SetWork("a", 10, othersPrompt) }, 0, demand{}, "b"},
		"StaleReport":     {func(b balancer, _ upstream) { b.SetWork("a", 10, othersPrompt) }, 2 * time.Second, demand{}, ""},
		"SlowPace":        {slow, 0, long, "b"},
		"StalePace":       {slow, 2 * time.Second, long, ""},
		"FullSlots": {func(b balancer, _ upstream) {
			b.SetStated("a", snipebalance.StatedLoad{Running: 16, Waiting: 4, Slots: 16})
		}, 0, demand{Plain: true}, "b"},
		"Failing":        {func(b balancer, _ upstream) { b.RecordAnswer("a", true) }, 0, long, "b"},
		"Recovers":       {func(b balancer, _ upstream) { b.RecordAnswer("a", true) }, 4 * time.Second, long, ""},
		"Suspect":        {func(b balancer, _ upstream) { b.RecordUnreached("a") }, 0, long, "b"},
		"MemoryTaken":    {func(b balancer, a upstream) { b.Start(a, demand{ReservedTokens: 600}).First() }, 0, memory, "b"},
		"MemoryOfOthers": {func(b balancer, _ upstream) { b.SetWork("a", 1, othersMemory) }, 0, memory, "b"},
		"AllMemoryTaken": {func(b balancer, _ upstream) {
			b.SetWork("a", 1, othersMemory)
			b.SetWork("b", 1, othersMemory)
		}, 0, memory, ""},
		"MemoryUnknown": {func(b balancer, _ upstream) { b.SetWork("a", 0, work{ReservedTokens: 800}) }, 0, demand{ReservedTokens: 500}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &snipebalance.Balancer{Domain: "here", Random: rand.New(rand.NewPCG(1, 2)).Float64}
				all := engines()
				tt.before(b, all[0])
				time.Sleep(tt.after)
				picked := make(map[string]int)
				for range 100 {
					u, _ := b.PickExpected(all[:2], every, nil, tt.demand)
					picked[u.ID]++
				}
				if tt.want == "" {
					must.MapLen(t, 2, picked)
					return
				}
				must.Eq(t, map[string]int{tt.want: 100}, picked)
			})
		})
	}
}

// TestObservedSpeed guards against an engine that is avoided because of one slow answer, for ever, or
// because of what an earlier start of the same name did.
func TestObservedSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipebalance.Balancer{}
		all := engines()
		serve := func(u *snipedirectory.Upstream, took time.Duration) float64 {
			f := b.Start(u, snipebalance.Demand{PromptTokens: shortPrompt})
			time.Sleep(took)
			f.First()
			f.End(100)
			f = b.Start(u, snipebalance.Demand{PromptTokens: shortPrompt})
			f.End(-1)
			return f.Expectation().Pace
		}
		const usual = stepTime + shortPrompt*tokenTime
		for range 200 {
			serve(all[1], usual)
		}
		must.InDelta(t, 1, serve(all[1], usual), 0.1)
		must.Between(t, 1.02, serve(all[0], time.Minute), 1.15, must.Sprint("one outlier"))
		pace := 0.0
		for range 100 {
			pace = serve(all[0], time.Second)
			serve(all[1], usual)
		}
		must.Between(t, 2, pace, 4)
		restarted := *all[0]
		restarted.ID = "a@2"
		must.InDelta(t, 1, serve(&restarted, usual), 0.1, must.Sprint("another start"))
		time.Sleep(11 * time.Second)
		must.InDelta(t, 1, serve(all[0], usual), 0.1, must.Sprint("no answer for long"))
	})
}

// TestFittedModel checks that the expected time follows the engines' own base and rate, which differ
// between deployments, also when the paces differ from the usual.
func TestFittedModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipebalance.Balancer{}
		u, random := engines()[0], rand.New(rand.NewPCG(3, 4))
		const base, perToken = 30 * time.Millisecond, 50 * time.Microsecond
		time.Sleep(time.Second)
		for range 400 {
			tokens, pace := random.IntN(9000), 0.7+random.Float64()*0.7
			b.SetStated(u.ID, snipebalance.StatedLoad{Slots: 16, Pace: pace})
			f := b.Start(u, snipebalance.Demand{PromptTokens: tokens})
			time.Sleep(time.Duration(pace * float64(base+time.Duration(tokens)*perToken)))
			f.First()
			f.End(10)
		}
		b.SetStated(u.ID, snipebalance.StatedLoad{Slots: 16, Pace: 1})
		for _, tokens := range []int{0, 1000, 9000} {
			expected := b.Start(u, snipebalance.Demand{PromptTokens: tokens}).Expectation().Time
			want := base + time.Duration(tokens)*perToken
			must.InDelta(t, want.Seconds(), expected.Seconds(), 0.1*want.Seconds())
			b.Forget(u.ID)
		}
		must.InDelta(t, 10, b.MeanOutput("s"), 1)
	})
}

// TestWorkOfOlderInstance guards against the loss of requests that an instance of an earlier version
// reports: it states only their weight, which counts as that many requests.
func TestWorkOfOlderInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &snipebalance.Board{}
		b.Report("a", "old", 3)
		w := snipebalance.Work{Requests: 2, PendingTokens: 700, ReservedTokens: 900, Pace: 1.5, PacedAt: time.Now()}
		b.ReportWork("a", "new", 2.7, w)
		w.Requests = 5
		must.Eq(t, map[string]snipebalance.Total{"a": {Load: 5.7, Work: w}}, b.Totals())
		must.False(t, snipebalance.Work{Requests: math.NaN()}.Valid())
		must.False(t, snipebalance.Work{PendingTokens: -1}.Valid())
		must.False(t, snipebalance.Work{ReservedTokens: math.Inf(1)}.Valid())
	})
}

// BenchmarkPickExpected measures the choice among 600 upstreams from a sample and, where no sampled one may be used, from all.
func BenchmarkPickExpected(b *testing.B) {
	balancer := &snipebalance.Balancer{}
	all := make([]*snipedirectory.Upstream, 600)
	for n := range all {
		all[n] = &snipedirectory.Upstream{ID: string(rune('a' + n)), Service: "s", Slots: 64}
		balancer.SetStated(all[n].ID, snipebalance.StatedLoad{Running: n % 64, Slots: 64, Pace: 1})
	}
	for name, d := range map[string]snipebalance.Demand{
		"Sample": {PromptTokens: shortPrompt}, "All": {ReservedTokens: 2, MemoryTokens: 1},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.PickExpected(all, every, nil, d)
			}
		})
	}
}

// TestIgnorePace checks that operators can switch the choice by expected time off: upstreams that
// state a pace are then treated as ones that state none, and their work is not reported.
func TestIgnorePace(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		b := &snipebalance.Balancer{IgnorePace: ignored}
		b.NotePaced("s")
		b.Start(engines()[0], snipebalance.Demand{PromptTokens: 5})
		must.Eq(t, !ignored, b.Paced("s"))
		must.Eq(t, ignored, b.OwnWork("a") == snipebalance.Work{})
	}
}
