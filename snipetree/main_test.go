package snipetree_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. Under the race detector, timers of one synctest
// bubble that run concurrently on two threads share a detector context, and the runtime
// sometimes crashes (Go 1.26). The detector finds races by the order of events, which a single
// processor does not hide.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
