// Package snipering provides a bounded queue between a producer and a consumer goroutine.
//
// A full ring rejects new items. The producer decides what a rejection means (an error to the
// caller, a dropped sample). No producer waits for space in a ring, so that a slow consumer
// never blocks it.
package snipering

import "context"

// Ring is a bounded first-in, first-out queue, safe for concurrent use.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds at most size items; a size below 1 counts as 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(size, 1))}
}

// TryPush adds v if the ring has space for it, and reports whether it did. It never blocks.
func (r *Ring[T]) TryPush(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		return false
	}
}

// Pop removes and returns the oldest item, and waits for one if the ring is empty. It returns the
// context's error when ctx has ended and the ring is empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.items:
		return v, nil
	case <-ctx.Done():
		// Where both are ready, select chooses at random.
		if v, ok := r.TryPop(); ok {
			return v, nil
		}
		var zero T
		return zero, ctx.Err()
	}
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// TryPop removes and returns the oldest item, and reports false when the ring is empty. It never
// blocks.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	default:
		var zero T
		return zero, false
	}
}
