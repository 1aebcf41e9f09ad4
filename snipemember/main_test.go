package snipemember_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. Under the race detector, timers of one synctest clock
// that run at the same time on two threads share a detector context, and the runtime occasionally
// crashes (Go 1.26). The detector finds races by the order of events, which one processor does not
// hide.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
