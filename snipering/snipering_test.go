package snipering_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipering"
)

// TestRing guards against a ring that loses, reorders or takes more values than it has room for.
func TestRing(t *testing.T) {
	r := snipering.New[int](2)
	_, ok := r.TryPop()
	must.False(t, ok)
	must.True(t, r.TryPush(1))
	must.True(t, r.TryPush(2))
	must.False(t, r.TryPush(3))
	must.Eq(t, 2, r.Len())
	v, err := r.Pop(t.Context())
	must.NoError(t, err)
	must.Eq(t, 1, v)
	v, ok = r.TryPop()
	must.True(t, ok)
	must.Eq(t, 2, v)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = r.Pop(ctx)
	must.ErrorIs(t, err, context.Canceled)
}

// TestPopAfterEnd guards against items that are lost when the context ends while the ring holds
// some.
func TestPopAfterEnd(t *testing.T) {
	const items = 100
	r := snipering.New[int](items)
	for i := range items {
		must.True(t, r.TryPush(i))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range items {
		v, err := r.Pop(ctx)
		must.NoError(t, err)
		must.Eq(t, i, v)
	}
	_, err := r.Pop(ctx)
	must.ErrorIs(t, err, context.Canceled)
}
