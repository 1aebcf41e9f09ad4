//go:build bench

package snipetree_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeplatform"
)

// TestMeasure prints the time until an edit is in force everywhere and the reads of the
// settings.
func TestMeasure(t *testing.T) {
	fmt.Fprintln(os.Stdout, "Settings: | instances | in force everywhere, s | the same unannounced, s | table reads/s idle | read units/s idle |")
	for _, size := range []int{3, 9, 30, 100, 340} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			defer f.stop()
			f.runAll()
			before := f.table.Units()
			time.Sleep(time.Minute)
			after := f.table.Units()
			announced := f.propagationSeconds(0)
			f.dropAnnouncements()
			fmt.Fprintf(os.Stdout, "Settings: | %d | %.2f | %.2f | %.1f | %.1f |\n", size, announced, f.propagationSeconds(1),
				float64(after.Reads-before.Reads)/60, float64(after.ReadUnits-before.ReadUnits)/60)
		})
	}
	for _, teams := range []int{10, 100, 1000} {
		printReads(t, teams)
	}
}

// propagationSeconds applies an edit and returns the seconds until it is in force on all
// instances.
func (f *fleet) propagationSeconds(version uint64) float64 {
	revision, err := f.stores[0].Apply(f.t.Context(), "t", version, []byte(teamBranch))
	must.NoError(f.t, err)
	start := time.Now()
	for len(f.outdated(revision)) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start).Seconds()
}

// printReads prints the read units of one instance for one edit with the given number of
// teams, if it reads the report and if it reads the whole head, and those of a start.
func printReads(t *testing.T, teams int) {
	table := tableWithPlatform(t)
	editor := newStore(table)
	branch := func(n, k int) []byte {
		return []byte(fmt.Sprintf(`{"Adapters": {"a%d": {"Base": "b", "Versions": {"%d": {"Path": "p"}}}}}`, n, k))
	}
	for n := range teams {
		_, err := editor.Apply(t.Context(), fmt.Sprint("team-", n), 0, branch(n, 0))
		must.NoError(t, err)
	}
	units := func(f func()) int {
		before := table.Units()
		f()
		return table.Units().ReadUnits - before.ReadUnits
	}
	reader := newStore(table)
	startUnits := units(func() { must.NoError(t, reader.Refresh(t.Context())) })
	_, err := editor.Apply(t.Context(), "team-0", 1, branch(0, 1))
	must.NoError(t, err)
	reportUnits := units(func() { must.NoError(t, reader.Refresh(t.Context())) })
	head, err := table.Get(t.Context(), snipeplatform.Key{Partition: "Settings", Sort: "Head"})
	must.NoError(t, err)
	headUnits := reportUnits + (len(head.Data)+4095)/4096
	const instances, edits, day = 340, 280, 86400.0
	fmt.Fprintf(os.Stdout, "Feed: | %d | %d | %d | %d | %.1f | %.1f | %d |\n", teams, len(head.Data), reportUnits, headUnits,
		instances*edits*float64(reportUnits)/day, instances*edits*float64(headUnits)/day, 70*startUnits)
}
