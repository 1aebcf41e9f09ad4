package snipeowner_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures one step of an instance that owns its share of the engines, when only
// the rows of renewing instances have changed.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ instances, engines int }{{9, 12}, {195, 84}, {300, 3000}} {
		b.Run(fmt.Sprint(size.instances, "x", size.engines), func(b *testing.B) {
			l := newLockstep(b, size.instances, size.engines)
			for range 20 {
				l.step(b)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%size.instances == 0 {
					l.clock += time.Second
				}
				l.holders[n%size.instances].Step(b.Context())
			}
		})
	}
}
