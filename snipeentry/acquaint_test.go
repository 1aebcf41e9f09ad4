package snipeentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestWaitForPeers covers a simultaneous start of all instances, also while the store is down. An
// instance that knows others starts at once, one that discovers none waits for a bounded time, and
// none waits if the store refuses reads.
func TestWaitForPeers(t *testing.T) {
	tests := map[string]struct {
		known   int
		refused bool
		want    time.Duration
	}{
		"KnowsOthers":  {3, false, 0},
		"FindsNobody":  {0, false, maxDiscoveryWait},
		"StoreRefuses": {0, true, 0},
	}
	all := memberRows(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				i := instanceWithRows(t, 0, 2*time.Second, all[:tt.known])
				i.ownershipUnreadable.Store(tt.refused)
				begun := time.Now()
				i.waitForPeers(t.Context())
				must.Eq(t, tt.want, time.Since(begun))
			})
		})
	}
}
