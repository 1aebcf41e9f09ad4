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

// TestMeasure prints how long an edit takes to be in force everywhere, and
// what the feed reads.
func TestMeasure(t *testing.T) {
	fmt.Fprintln(os.Stdout, "Settings: | instances | in force everywhere, s | the same unannounced, s | table reads/s idle | read units/s idle |")
	for _, size := range []int{3, 9, 30, 100, 340} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			defer f.end()
			f.runAll()
			before := f.table.Units()
			time.Sleep(time.Minute)
			after := f.table.Units()
			announced := f.measure(0)
			f.mute()
			fmt.Fprintf(os.Stdout, "Settings: | %d | %.2f | %.2f | %.1f | %.1f |\n", size, announced, f.measure(1),
				float64(after.Reads-before.Reads)/60, float64(after.ReadUnits-before.ReadUnits)/60)
		})
	}
	for _, teams := range []int{10, 100, 1000} {
		feed(t, teams)
	}
}

// measure edits and returns the seconds until all instances have the edit.
func (f *fleet) measure(version uint64) float64 {
	revision, err := f.stores[0].Apply(f.t.Context(), "t", version, []byte(teamBranch))
	must.NoError(f.t, err)
	began := time.Now()
	for len(f.behind(revision)) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began).Seconds()
}

// feed prints the read units of one instance for one edit among some teams, by
// the report and by the whole head, and those of a start.
func feed(t *testing.T, teams int) {
	table := prepared(t)
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
	start := units(func() { must.NoError(t, reader.Refresh(t.Context())) })
	_, err := editor.Apply(t.Context(), "team-0", 1, branch(0, 1))
	must.NoError(t, err)
	report := units(func() { must.NoError(t, reader.Refresh(t.Context())) })
	head, err := table.Get(t.Context(), snipeplatform.Key{Partition: "Settings", Sort: "Head"})
	must.NoError(t, err)
	whole := report + (len(head.Data)+4095)/4096
	const instances, edits, day = 340, 280, 86400.0
	fmt.Fprintf(os.Stdout, "Feed: | %d | %d | %d | %d | %.1f | %.1f | %d |\n", teams, len(head.Data), report, whole,
		instances*edits*float64(report)/day, instances*edits*float64(whole)/day, 70*start)
}
