package snipesoak

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStallMonitor guards against a soak that attributes a stall of the machine to the instances: delays
// from minStall on are summed and printed, shorter ones are not.
func TestStallMonitor(t *testing.T) {
	var out strings.Builder
	p := &stallMonitor{Out: &out}
	now := time.Date(2000, time.January, 1, 12, 0, 0, 0, time.UTC)
	for _, late := range []time.Duration{0, 20 * time.Millisecond, 3 * time.Second, minStall - 1, 4 * time.Second} {
		p.record(now, late)
	}
	must.Eq(t, "the soak itself stood still for 7s in all, 4s at once", p.String())
	must.Eq(t, 2, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), "3s until 12:00:00")
}
