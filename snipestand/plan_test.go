package snipestand_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// TestPlan checks that a plan is repeatable from its seed, that its steps are in order and within
// its length, and that it reverts each kill, drain, freeze and cut.
func TestPlan(t *testing.T) {
	s := snipestand.PlanShape{
		Faults: 40, Length: 30 * time.Second, Instances: 3, Engines: 3, Services: 2, Lease: 5 * time.Second,
	}
	undo := map[string]string{"kill": "start", "drain": "start", "freeze": "thaw"}
	for s.Seed = range 50 {
		steps, err := snipestand.Plan(s)
		must.NoError(t, err)
		again, err := snipestand.Plan(s)
		must.NoError(t, err)
		must.Eq(t, steps, again)
		open := map[string]int{}
		at := time.Duration(0)
		for _, p := range steps {
			must.True(t, p.At >= at && p.At <= s.Length)
			at = p.At
			switch {
			case undo[p.Action] != "":
				open[undo[p.Action]+p.Target]++
			case p.Action == "start" || p.Action == "thaw":
				open[p.Action+p.Target]--
			case p.Action == "cut" && p.Argument != string(snipestand.CutNone):
				open[p.Action+p.Target]++
			case p.Action == "cut":
				open[p.Action+p.Target]--
			}
		}
		for what, n := range open {
			must.Zero(t, n, must.Sprint(what))
		}
	}
}

// TestPlanRefuses guards against a plan for a shape that has no room for its faults.
func TestPlanRefuses(t *testing.T) {
	tests := map[string]snipestand.PlanShape{
		"no instance": {Length: time.Minute, Engines: 1, Services: 1},
		"too short":   {Length: time.Second, Instances: 1, Engines: 1, Services: 1},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := snipestand.Plan(s)
			must.ErrorIs(t, err, snipestand.ErrBadPlan)
		})
	}
}

// TestWritePlan guards against a change of the format in which plans are kept.
func TestWritePlan(t *testing.T) {
	var out strings.Builder
	must.NoError(t, snipestand.WritePlan(&out, []snipestand.Step{{At: time.Second, Action: "cut", Target: "peer1", Argument: "both"}}))
	must.Eq(t, "1000 cut peer1 both\n", out.String())
}
