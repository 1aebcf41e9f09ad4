package sniperoute

import (
	"strconv"
	"testing"

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

// TestFewMoves: an engine that goes moves its own adapters only, and they
// spread over the others.
func TestFewMoves(t *testing.T) {
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

// TestPickAllocatesNothing holds the hot path at the size to build for.
func TestPickAllocatesNothing(t *testing.T) {
	all := engines(600)
	a := snipecall.Adapter{Team: "team", Name: "adapter", Version: "1"}
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { Pick(AdapterHash(a), all) }))
}

// BenchmarkPick is one decision among 600 engines for 66,000 adapters, with
// the copy of the prepared candidates.
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
