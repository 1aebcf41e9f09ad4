package snipegateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipeadapter"
)

// TestBusyWaitPassed guards against requests that are refused without a time to return, because a wait that an owner named
// counts as known after the owner would accept the load again.
func TestBusyWaitPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b busyWaits
		b.record("e1", 0, &snipeadapter.BusyError{Wait: 400 * time.Millisecond, RetryAfter: 50 * time.Millisecond})
		time.Sleep(40 * time.Millisecond)
		busy := b.known("e1", 0, 100*time.Millisecond)
		must.NotNil(t, busy)
		must.Eq(t, 10*time.Millisecond, busy.RetryAfter)
		time.Sleep(20 * time.Millisecond)
		must.Nil(t, b.known("e1", 0, 100*time.Millisecond))
	})
}
