// Package snipefair orders what waits for a scarce resource: by priority, then by whether the
// latency target can still be met, then by the workspace that has received the fewest tokens.
//
// The package does no I/O, starts no goroutines and reads no clock. A Queue isn't safe for
// concurrent use; its owner holds a lock.
//
// Invariants:
//
//   - Priorities are strict: no item is popped while an item with a lower Priority waits.
//   - An item that has waited for MaxDisplacement goes before all others of its priority.
//   - The memory for counters is bounded by the waiting items plus maxIdle workspaces.
package snipefair

import "time"

// Item describes something that waits. Tokens is what the workspace is charged for it when it is
// popped. Items without a workspace belong to one common workspace without a name.
type Item struct {
	// Priority is the urgency; 0 is the most urgent.
	Priority  int
	Workspace string
	// Tokens is the amount of work. Values that are not positive and finite count as 1.
	Tokens float64
	// Queued is when the item began to wait.
	Queued time.Time
	// Target is when the item should be served, and Deadline when it must be. A zero time means
	// that there is none.
	Target   time.Time
	Deadline time.Time
}

// Late reports whether an item that would be served at ready misses its target.
func (i *Item) Late(ready time.Time) bool {
	return !i.Target.IsZero() && ready.After(i.Target)
}

// Entry is an item in a queue with its value.
type Entry[T any] struct {
	Item  Item
	Value T
}

// Queue holds waiting items with their values. Exported fields are set before the first call. The
// zero value is ready to use.
type Queue[T any] struct {
	// MaxDisplacement is the wait after which an item goes first within its priority; 0 means that
	// there is no such bound.
	MaxDisplacement time.Duration
}

// Push adds an item and returns its entry, which stays valid until it is popped or removed.
func (q *Queue[T]) Push(i Item, v T) *Entry[T] { return &Entry[T]{Item: i, Value: v} }

// Pop removes and returns the entry to serve next, and charges its workspace. ready is the time at
// which the popped item would be served: the present time plus the time that serving it takes. Pop
// returns nil if the queue is empty.
func (q *Queue[T]) Pop(now, ready time.Time) *Entry[T] { return nil }

// Peek returns the entry that Pop would return, and leaves it in the queue.
func (q *Queue[T]) Peek(now, ready time.Time) *Entry[T] { return nil }

// Remove removes an entry without a charge. It reports whether the entry was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool { return false }

// Expired removes and returns the entries whose deadline is before ready, in the order of their
// pushes.
func (q *Queue[T]) Expired(ready time.Time) []*Entry[T] { return nil }

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return 0 }

// Ahead returns the number of waiting entries that would be served before e if no others were
// pushed. It is an estimate: the entries of a workspace count with their mean tokens.
func (q *Queue[T]) Ahead(e *Entry[T], now, ready time.Time) int { return 0 }

// Charge adds tokens to the counter of a workspace that were not known when its item was popped; a
// negative number takes back what was charged too much.
func (q *Queue[T]) Charge(workspace string, tokens float64) {}
