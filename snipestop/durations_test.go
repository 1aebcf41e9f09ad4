package snipestop_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestop"
)

// TestDurations guards against an estimate that forgets a long answer too soon, or keeps it for good.
func TestDurations(t *testing.T) {
	const long, short = 4 * time.Second, time.Second
	tests := map[string]struct {
		after time.Duration // since the long answer
		want  time.Duration
	}{
		"AtOnce":   {0, long},
		"Soon":     {29 * time.Second, long},
		"NextSpan": {59 * time.Second, long},
		"Later":    {61 * time.Second, short},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var d snipestop.Durations
				must.Zero(t, d.Longest("route"))
				d.Record("route", long)
				time.Sleep(tt.after)
				d.Record("route", short)
				must.Eq(t, tt.want, d.Longest("route"))
				must.Zero(t, d.Longest("other"))
			})
		})
	}
}
