// Package snipering is the bounded queue that joins two duties.
//
// A full ring refuses: the producer decides what a refusal means (an error to
// the caller, a dropped sample). Nothing in this project waits for space in a
// ring, so that a slow duty never blocks another one.
package snipering

import "context"

// Ring is a bounded first-in, first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items; size is at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(size, 1))}
}

// TryPush adds v and reports false when the ring is full.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Pop waits for the oldest item. It returns the context's error when ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// TryPop returns the oldest item and reports false when there is none.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}
