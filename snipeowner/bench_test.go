package snipeowner_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures one step of an instance that owns its part of the engines, where
// nothing has changed but the rows of those that renew.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ instances, engines int }{{9, 12}, {195, 84}, {300, 3000}} {
		b.Run(fmt.Sprint(size.instances, "x", size.engines), func(b *testing.B) {
			w := newCrowd(b, size.instances, size.engines)
			for range 20 {
				w.step(b)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%size.instances == 0 {
					w.clock += time.Second
				}
				w.holders[n%size.instances].Step(b.Context())
			}
		})
	}
}
