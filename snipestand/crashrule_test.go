package snipestand

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestCrashBreaches checks from when CrashBreaches counts arrivals: later than the bound after the third
// crash at any runner. Three of them are allowed, and excused ones do not count.
func TestCrashBreaches(t *testing.T) {
	at := func(second int) time.Time { return time.Unix(100+int64(second), 0) }
	record := func(crashes, arrivals []int) CrashRecord {
		var r CrashRecord
		for _, n := range crashes {
			r.Crashes = append(r.Crashes, at(n))
		}
		for _, n := range arrivals {
			r.Arrivals = append(r.Arrivals, CrashArrival{At: at(n)})
		}
		return r
	}
	late := []int{7, 8, 9, 10}
	tests := map[string]struct {
		records []CrashRecord
		excused bool
		want    int
	}{
		"None":        {nil, false, 0},
		"TwoCrashes":  {[]CrashRecord{record([]int{1, 2}, late)}, false, 0},
		"ThreeLate":   {[]CrashRecord{record([]int{1, 2, 3}, late[1:])}, false, 0},
		"FourLate":    {[]CrashRecord{record([]int{1, 2, 3}, late)}, false, 1},
		"TwoRunners":  {[]CrashRecord{record([]int{3, 1}, late[:2]), record([]int{2}, late[2:])}, false, 1},
		"Early":       {[]CrashRecord{record([]int{1, 2, 3}, []int{3, 4, 5, 6, 6, 6})}, false, 0},
		"LaterCrash":  {[]CrashRecord{record([]int{1, 2, 3, 20}, late)}, false, 1},
		"Excused":     {[]CrashRecord{record([]int{1, 2, 3}, late)}, true, 0},
		"ThirdIsLate": {[]CrashRecord{record([]int{1, 2, 9}, late)}, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			excused := func(CrashArrival) bool { return tt.excused }
			must.Len(t, tt.want, CrashBreaches(tt.records, 3*time.Second, excused))
		})
	}
}
