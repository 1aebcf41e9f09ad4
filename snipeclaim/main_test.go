package snipeclaim_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. Under the race detector (Go 1.26), timers
// of one fake clock that run at the same time on two threads share a context of the
// detector, which occasionally crashes the runtime. The detector finds races by the
// order of events, so one processor does not hide them.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
