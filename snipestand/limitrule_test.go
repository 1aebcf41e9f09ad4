package snipestand

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLimitBreaches checks which requests LimitBreaches counts: the window slides, requests of
// instances that were not yet notified of the limit do not count, and no breach is reported in the
// first seconds of a limit.
func TestLimitBreaches(t *testing.T) {
	// each returns requests of several instances in turn, at a constant interval.
	each := func(count int, every time.Duration, limit float64, from ...string) []Arrival {
		var all []Arrival
		for n := range count {
			all = append(all, Arrival{
				ID: from[n%len(from)] + "/", At: time.Unix(100, 0).Add(time.Duration(n) * every), Limit: limit, Limited: true,
			})
		}
		return all
	}
	unlimited := each(1, 0, 0, "a")
	unlimited[0].Limited = false
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
		"NamedNoMore":   {append(each(25, 110*time.Millisecond, 3, "a"), unlimited...), false, false},
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
