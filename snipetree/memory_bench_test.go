package snipetree_test

import (
	"fmt"
	"runtime"
	"testing"

	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipetree"
)

// BenchmarkTreeMemory reports the heap bytes that one declared adapter takes in a snapshot of
// the settings, for the capacity page.
func BenchmarkTreeMemory(b *testing.B) {
	for _, adapters := range []int{6600, 66000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			document := []byte(`{"Adapters": {`)
			for n := range adapters {
				if n > 0 {
					document = append(document, ',')
				}
				document = fmt.Appendf(document, `"adapter-%d": {"Base": "base-1", "Versions": {"1": {"Path": "team/adapter-%d/1"}}}`, n, n)
			}
			document = append(document, "}}"...)
			var total uint64
			for b.Loop() {
				before := heapBytes()
				branch := &snipetree.Branch{}
				if err := snipejson.Decode(document, branch); err != nil {
					b.Fatal(err)
				}
				t := snipetree.NewTree(1, &snipetree.Platform{}, map[string]*snipetree.Branch{"team": branch})
				total += heapBytes() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(total)/float64(b.N)/float64(adapters), "heap-bytes/adapter")
			b.ReportMetric(float64(total)/float64(b.N), "heap-bytes")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
