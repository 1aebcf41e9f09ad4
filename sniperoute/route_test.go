package sniperoute

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
)

func engines(n int) []Candidate {
	all := make([]Candidate, 0, n)
	for i := range n {
		name := "engine-" + strconv.Itoa(i)
		all = append(all, Candidate{Name: name, Hash: Hash(name), Usable: true})
	}
	return all
}

// TestEngineRemovalMovesFewAdapters checks that only the adapters whose home is an engine that
// becomes unusable get another home, and that they spread over the remaining engines. A ranking
// that depended on the number of usable engines would move most adapters.
func TestEngineRemovalMovesFewAdapters(t *testing.T) {
	all := engines(12)
	without := engines(12)
	without[3].Usable = false
	homes := make([]int, 12)
	const adapters = 3000
	for n := range adapters {
		key := AdapterHash(snipecall.Adapter{Team: "t", Name: strconv.Itoa(n), Version: "1"})
		before, after := Pick(key, all), Pick(key, without)
		if before != 3 {
			must.Eq(t, before, after)
			continue
		}
		homes[after]++
	}
	for n, moved := range homes {
		if n != 3 {
			must.Between(t, adapters/12/12/2, moved, adapters/12/12*3)
		}
	}
}

// TestPickAllocatesNothing checks that Pick allocates nothing with 600 engines, the size that the
// system is designed for.
func TestPickAllocatesNothing(t *testing.T) {
	all := engines(600)
	a := snipecall.Adapter{Team: "team", Name: "adapter", Version: "1"}
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { Pick(AdapterHash(a), all) }))
}

// BenchmarkPick measures one decision among 600 engines, for 66,000 adapters in turn, including the
// copy of the candidates that a caller marks as excluded for each call.
func BenchmarkPick(b *testing.B) {
	prepared := engines(600)
	buffer := make([]Candidate, 0, len(prepared))
	adapters := make([]snipecall.Adapter, 66_000)
	for n := range adapters {
		adapters[n] = snipecall.Adapter{Team: "team-" + strconv.Itoa(n%100), Name: "adapter-" + strconv.Itoa(n), Version: "1"}
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		buffer = append(buffer[:0], prepared...)
		if Pick(AdapterHash(adapters[n%len(adapters)]), buffer) < 0 {
			b.Fatal("no engine")
		}
		n++
	}
}

// TestPickReplica checks that calls reach exactly as many engines as hold the adapter, among them
// its home and never an unusable one.
func TestPickReplica(t *testing.T) {
	all := engines(12)
	all[4].Usable = false
	for name, c := range map[string]struct{ count, want int }{
		"one": {1, 1}, "three": {3, 3}, "more than there are": {100, 11},
	} {
		t.Run(name, func(t *testing.T) {
			picks := map[int]int{}
			for call := range uint64(1000) {
				picks[PickReplica(7, Hash(strconv.FormatUint(call, 10)), c.count, all)]++
			}
			must.MapLen(t, c.want, picks)
			must.MapContainsKey(t, picks, Pick(7, all))
			must.MapNotContainsKey(t, picks, 4)
		})
	}
	must.Eq(t, -1, PickReplica(7, 1, 3, nil))
}

// TestReplicas checks that the count is higher within half a minute after the load has risen, and
// that it follows a falling load only after replicaHold.
func TestReplicas(t *testing.T) {
	var r Replicas
	now := time.Unix(0, 0)
	step := func(seconds, inFlight int) int {
		for range seconds {
			now = now.Add(time.Second)
			r.Step(now, inFlight/r.Count(), 8)
		}
		return r.Count()
	}
	must.Eq(t, 1, step(30, 3))
	must.Eq(t, 3, step(30, 16))
	must.Eq(t, 3, step(30, 1)) // replicaHold has not passed
	must.Eq(t, 1, step(240, 1))
}
