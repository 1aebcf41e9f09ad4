package snipeadapter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestLoadTimes guards against expected times that differ from the constants before a load was
// observed, that follow a single outlier, that do not follow the store when all instances together
// load more than it serves at full speed, or that never fall again because each load is refused.
func TestLoadTimes(t *testing.T) {
	repeat := func(n, loads int, took time.Duration) func(*loadTimes) {
		return func(t *loadTimes) {
			for range loads {
				t.recordStore(n, took)
			}
		}
	}
	tests := map[string]struct {
		observe     func(*loadTimes)
		after       time.Duration
		n           int
		least, most time.Duration
	}{
		"Initial":        {func(*loadTimes) {}, 0, 1, storeLoadTime, storeLoadTime},
		"InitialMany":    {func(*loadTimes) {}, 0, 40, storeLoadTime, storeLoadTime},
		"Outlier":        {repeat(1, 1, loadTimeout), 0, 1, storeLoadTime, 300 * time.Millisecond},
		"SlowStore":      {repeat(1, 30, 600*time.Millisecond), 0, 1, 580 * time.Millisecond, 600 * time.Millisecond},
		"FastStore":      {repeat(1, 30, 150*time.Millisecond), 0, 1, 150 * time.Millisecond, 152 * time.Millisecond},
		"MoreInProgress": {repeat(2, 30, 600*time.Millisecond), 0, 8, 580 * time.Millisecond, 600 * time.Millisecond},
		"LessInProgress": {repeat(2, 30, 600*time.Millisecond), 0, 1, storeLoadTime, storeLoadTime},
		"ReloadAsStore":  {repeat(1, 30, reloadTime), 0, 1, storeLoadTime, storeLoadTime},
		"Faded":          {repeat(1, 30, 2*time.Second), 13 * time.Second, 1, storeLoadTime, 280 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var times loadTimes
				tt.observe(&times)
				time.Sleep(tt.after)
				must.Between(t, tt.least, times.expectStore(tt.n), tt.most)
				must.Eq(t, reloadTime, times.expectReload())
			})
		})
	}
}

// TestReloadTimes guards against a load from the store that was expected to be a reload raising the
// expected time of reloads.
func TestReloadTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var times loadTimes
		times.recordReload(storeLoadTime)
		must.Eq(t, reloadTime, times.expectReload())
		for range 30 {
			times.recordReload(60 * time.Millisecond)
		}
		must.Between(t, 58*time.Millisecond, times.expectReload(), 60*time.Millisecond)
	})
}
