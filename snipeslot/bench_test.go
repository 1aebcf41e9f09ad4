package snipeslot

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// filled returns slots in the state of a busy engine: 16 resident adapters and
// the uses of as many others as are remembered.
func filled(b *testing.B) *Slots {
	b.Helper()
	s := newFakeOwners(newFakeEngine(16, true)).take()
	s.Budget = nil
	must.NoError(b, s.Open(b.Context()))
	for n := range maxHeats * s.Capacity {
		k := key{adapter(strconv.Itoa(n)), HashPath("p")}
		s.warm(k)
		if n < s.Capacity {
			e := &entry{key: k, name: strconv.Itoa(n), state: resident}
			s.slots[e.name], s.serving[k] = e, e
		}
	}
	return s
}

// BenchmarkAcquire is the use of a resident adapter.
func BenchmarkAcquire(b *testing.B) {
	s := filled(b)
	r := request("3", "p")
	b.ReportAllocs()
	for b.Loop() {
		u, err := s.Acquire(b.Context(), r)
		must.NoError(b, err)
		u.Release()
	}
}

// BenchmarkState is what one engine's owner keeps, in bytes.
func BenchmarkState(b *testing.B) {
	var all []*Slots
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		all = append(all, filled(b))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(all)), "bytes/engine")
	runtime.KeepAlive(all)
}
