//go:build bench

package snipelease_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestMeasure prints the load that leases and ownership put on the table, and how long a takeover
// takes. The fake membership reports a death after deathDetection.
func TestMeasure(t *testing.T) {
	fmt.Fprintln(os.Stdout, "Lease: | instances | engines | reads/s | read units/s | writes/s | write units/s | takeover after a kill, s | moves for one that comes |")
	for _, size := range []int{3, 9} {
		synctest.Test(t, func(t *testing.T) {
			engines := min(2*size, 600)
			c := newCluster(t, size, engines)
			defer c.stop()
			for c.ownedEngines() < engines {
				time.Sleep(time.Second)
			}
			time.Sleep(time.Minute)
			const span = 2 * time.Minute
			before := c.table.Units()
			time.Sleep(span)
			after := c.table.Units()
			per := func(a, b int) float64 { return float64(a-b) / span.Seconds() }
			c.kill(size / 2)
			began := time.Now()
			for c.ownedEngines() < engines {
				time.Sleep(100 * time.Millisecond)
			}
			took := time.Since(began).Seconds()
			moves := c.ownerChanges()
			c.start("new")
			time.Sleep(time.Minute)
			fmt.Fprintf(os.Stdout, "Lease: | %d | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %d |\n", size, engines,
				per(after.Reads, before.Reads), per(after.ReadUnits, before.ReadUnits),
				per(after.Writes, before.Writes), per(after.WriteUnits, before.WriteUnits), took, c.ownerChanges()-moves)
		})
	}
}
