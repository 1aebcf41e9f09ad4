package snipestand

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLimitBreaches holds that the stand-in counts as its rule is worded: windows slide, those that
// were not told do not count, and nothing is judged in the first seconds of a limit.
func TestLimitBreaches(t *testing.T) {
	// each returns requests of some instances, one after the other, at a steady pace.
	each := func(count int, every time.Duration, limit float64, from ...string) []Arrival {
		var all []Arrival
		for n := range count {
			all = append(all, Arrival{
				ID: from[n%len(from)] + "/", At: time.Unix(100, 0).Add(time.Duration(n) * every), Limit: limit, Limited: true,
			})
		}
		return all
	}
	free := each(1, 0, 0, "a")
	free[0].Limited = false
	tests := map[string]struct {
		arrivals []Arrival
		excused  bool
		want     bool
	}{
		"None":          {nil, false, false},
		"Within":        {each(60, 180*time.Millisecond, 3, "a", "b"), false, false},
		"Beyond":        {each(60, 160*time.Millisecond, 3, "a", "b"), false, true},
		"FirstSeconds":  {each(60, 49*time.Millisecond, 3, "a", "b"), false, false},
		"NotTold":       {each(26, 130*time.Millisecond, 3, strings.Split("abcdefghijklmnopqrstuvwxyz", "")...), false, false},
		"Excused":       {each(60, 100*time.Millisecond, 3, "a", "b"), true, false},
		"Zero":          {each(8, 700*time.Millisecond, 0, "a"), false, true},
		"NamedNoMore":   {append(each(25, 110*time.Millisecond, 3, "a"), free...), false, false},
		"FractionsFall": {each(30, 480*time.Millisecond, 0.5, "a", "b"), false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sender := func(id string) string { return strings.TrimSuffix(id, "/") }
			breaches := LimitBreaches(tt.arrivals, sender, func(string, time.Time) bool { return tt.excused })
			must.Eq(t, tt.want, len(breaches) > 0, must.Sprint(breaches))
		})
	}
}
