package snipeslot

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// busySlots returns the Slots of a busy engine: 16 resident adapters and the
// maximum number of use scores.
func busySlots(b *testing.B) *Slots {
	b.Helper()
	s := newFakeOwners(newFakeEngine(16, true)).takeOver()
	s.AcquirePermission = nil
	must.NoError(b, s.Open(b.Context()))
	for n := range maxScores * s.Capacity {
		k := key{adapter(strconv.Itoa(n)), HashPath("p")}
		s.recordUse(k)
		if n < s.Capacity {
			e := &entry{key: k, name: strconv.Itoa(n), state: resident}
			s.slots[e.name], s.serving[k] = e, e
		}
	}
	return s
}

// BenchmarkAcquire measures one use of a resident adapter.
func BenchmarkAcquire(b *testing.B) {
	s := busySlots(b)
	r := request("3", "p")
	b.ReportAllocs()
	for b.Loop() {
		u, err := s.Acquire(b.Context(), r)
		must.NoError(b, err)
		u.Release()
	}
}

// BenchmarkState measures the memory of the Slots of one engine, in bytes.
func BenchmarkState(b *testing.B) {
	var all []*Slots
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		all = append(all, busySlots(b))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(all)), "bytes/engine")
	runtime.KeepAlive(all)
}
