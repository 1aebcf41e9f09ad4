package snipetime_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipetime"
)

// TestSleep checks that Sleep waits for the whole duration, and returns false when its context ends
// first.
func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		must.True(t, snipetime.Sleep(t.Context(), time.Minute))
		must.Eq(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.False(t, snipetime.Sleep(ctx, time.Minute))
	})
}

// TestEvery checks the number of calls until the context ends, the first of them after one interval.
func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		calls := 0
		must.NoError(t, snipetime.Every(ctx, time.Second, func(context.Context) { calls++ }))
		must.Eq(t, 10, calls)
	})
}
