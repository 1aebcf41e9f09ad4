package snipeentry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestWaitForPeers checks how long a starting instance waits to discover others: not at all if it
// knows others or if the ownership rows cannot be read, and maxDiscoveryWait if it discovers none.
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
