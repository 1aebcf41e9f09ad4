package snipestand

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRetryBound guards against a check that misses retries beyond the bound, or reports allowed ones.
func TestRetryBound(t *testing.T) {
	bound := RetryBound{Share: 0.2, Slack: 3, Span: 10 * time.Second}
	times := func(second float64, n int) []time.Time {
		var all []time.Time
		for k := range n {
			all = append(all, time.Unix(100, 0).Add(time.Duration(second*float64(time.Second))+time.Duration(k)))
		}
		return all
	}
	tests := map[string]struct {
		requests, retries []time.Time
		over              bool
	}{
		"None":             {times(0, 50), nil, false},
		"Slack":            {nil, times(1, 3), false},
		"MoreThanSlack":    {nil, times(1, 4), true},
		"Share":            {times(0, 50), times(1, 13), false},
		"MoreThanShare":    {times(0, 50), times(1, 14), true},
		"LaterRequests":    {times(9, 50), times(1, 13), true},
		"RequestsBefore":   {times(0, 50), times(9.9, 13), false},
		"RequestsLapsed":   {times(0, 50), times(21, 4), true},
		"TwoWindows":       {nil, append(times(1, 3), times(12, 3)...), false},
		"OneSlidingWindow": {nil, append(times(6, 2), times(14, 2)...), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := bound.Worst(tt.requests, tt.retries)
			must.Eq(t, tt.over, w.Use() > 1, must.Sprint(w))
		})
	}
}

// TestRetries guards against first arrivals that count as retries, and retries at another upstream or
// with another request's identifier that do not count, or count twice.
func TestRetries(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	one := []Arrival{{ID: "a", At: at(1)}, {ID: "b", At: at(2)}, {ID: "a", At: at(5)}}
	two := []Arrival{{ID: "a", At: at(3)}, {ID: "c", At: at(4)}}
	must.Eq(t, []time.Time{at(3), at(5)}, Retries(one, two))
}
