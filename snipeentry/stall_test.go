package snipeentry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStallDetector guards against requests that waited at a frozen process and count, after the thaw, as
// if they had been sent then, and against requests of a running process that do not count.
func TestStallDetector(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		beats   []int // in milliseconds
		arrived int
		want    bool
	}{
		"NoBeatYet":      {nil, 5000, false},
		"Running":        {[]int{0, 50, 100}, 140, false},
		"LateBeat":       {[]int{0, 50, 240}, 250, false},
		"BeforeNextBeat": {[]int{0, 50}, 4050, true},
		"AfterThaw":      {[]int{0, 50, 4050}, 4060, true},
		"Backlog":        {[]int{0, 50, 4050, 4200, 4400}, 4500, true},
		"BacklogRead":    {[]int{0, 50, 4050, 4200, 4400, 4590}, 4620, false},
		"BeforeFreeze":   {[]int{0, 50}, 60, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := &stallDetector{}
			for _, ms := range tt.beats {
				d.beat(at(ms))
			}
			must.Eq(t, tt.want, d.sentBefore(at(tt.arrived)))
		})
	}
}
