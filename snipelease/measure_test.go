//go:build bench

package snipelease_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestMeasure prints what leases and ownership cost the table, and how long a
// takeover takes. The fake membership tells of a death after deathKnown.
func TestMeasure(t *testing.T) {
	fmt.Fprintln(os.Stdout, "Lease: | instances | engines | reads/s | read units/s | writes/s | write units/s | takeover after a kill, s | moves for one that comes |")
	for _, size := range []int{3, 9} {
		synctest.Test(t, func(t *testing.T) {
			engines := min(2*size, 600)
			f := newFleet(t, size, engines)
			defer f.end()
			for f.owned() < engines {
				time.Sleep(time.Second)
			}
			time.Sleep(time.Minute)
			const span = 2 * time.Minute
			before := f.table.Units()
			time.Sleep(span)
			after := f.table.Units()
			per := func(a, b int) float64 { return float64(a-b) / span.Seconds() }
			f.kill(size / 2)
			began := time.Now()
			for f.owned() < engines {
				time.Sleep(100 * time.Millisecond)
			}
			took := time.Since(began).Seconds()
			moves := f.moves()
			f.start("new")
			time.Sleep(time.Minute)
			fmt.Fprintf(os.Stdout, "Lease: | %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %d |\n", size, engines,
				per(after.Reads, before.Reads), per(after.ReadUnits, before.ReadUnits),
				per(after.Writes, before.Writes), per(after.WriteUnits, before.WriteUnits), took, f.moves()-moves)
		})
	}
}
