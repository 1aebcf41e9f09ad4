package snipetime_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipetime"
)

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

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		calls := 0
		must.NoError(t, snipetime.Every(ctx, time.Second, func(context.Context) { calls++ }))
		must.Eq(t, 10, calls)
	})
}
