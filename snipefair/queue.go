// Package snipefair orders what waits for a scarce resource: by priority, then by whether the
// latency target can still be met, then by the workspace that has received the fewest tokens.
//
// The package does no I/O, starts no goroutines and reads no clock. A Queue isn't safe for
// concurrent use; its owner holds a lock.
//
// Each priority is a level with its own counters of tokens served (virtual token counters). With
// one counter for all priorities, a workspace that has long waited behind more urgent work would
// hold the lowest counter, and each workspace that comes back from idle would start there and push
// aside the others of its own priority.
//
// Invariants:
//
//   - Priorities are strict: no item is popped while an item with a lower Priority waits.
//   - An item that has waited for MaxDisplacement goes before all others of its priority.
//   - A workspace without waiting items gains nothing by having been idle: it starts again at the
//     lowest counter among the workspaces that wait.
//   - The memory for counters is bounded by the waiting items plus maxIdle workspaces for each of at
//     most maxIdleLevels priorities.
//
// No sorted order is kept, because whether an item is late depends on the time at which it would be
// served, and the caller's estimate of that may move backwards. Pop looks at each waiting item once;
// InOrder and Ahead sort them.
package snipefair

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxIdleLevels is the number of priorities without waiting items whose counters are kept.
const maxIdleLevels = 16

// maxWork bounds the tokens that an item is charged. A counter that grows by absurd numbers would no
// longer change when usual ones are added.
const maxWork = 1 << 30

// Item describes something that waits. Tokens is what the workspace is charged for it when it is
// popped. Items without a workspace belong to one common workspace without a name.
type Item struct {
	// Priority is the urgency; 0 is the most urgent.
	Priority  int
	Workspace string
	// Tokens is the amount of work. Values that are not positive and finite count as 1, and those
	// above maxWork as maxWork.
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

// Work returns the tokens that the item is charged.
func (i *Item) Work() float64 {
	if i.Tokens > 0 && !math.IsInf(i.Tokens, 1) {
		return min(i.Tokens, maxWork)
	}
	return 1
}

// Entry is an item in a queue with its value. The item must not be changed while it waits.
type Entry[T any] struct {
	Item  Item
	Value T

	account *account
	// queued and target are the times of the item in nanoseconds since 1970, which compare faster
	// than a time.Time; rescue is when Rescue applies. target and rescue are math.MaxInt64 if there
	// is none.
	queued, target, rescue int64
	// index is the position in the entries of the level; negative if the entry does not wait.
	index    int
	sequence uint64
	turn     float64 // used by InOrder
}

// Queue holds waiting items with their values. Exported fields are set before the first call. The
// zero value is ready to use.
type Queue[T any] struct {
	// MaxDisplacement is the wait after which an item goes first within its priority; 0 means that
	// there is no such bound.
	MaxDisplacement time.Duration
	// Rescue makes an item also go first within its priority when it has waited for five eighths of
	// the time from Queued to Deadline. It serves late items that would otherwise miss their deadlines
	// during short congestion. When there is more work than capacity for long, it must be off, because
	// all items would then be served that late. It may be changed between calls.
	Rescue bool

	levels   []*level[T] // in the order of their priorities
	waiting  int
	sequence uint64 // number of pushes
}

// level holds the waiting entries of one priority and the counters of its workspaces.
type level[T any] struct {
	priority int
	entries  []*Entry[T] // in no order
	accounts accounts
}

// Push adds an item and returns its entry, which stays valid until it is popped or removed.
func (q *Queue[T]) Push(i Item, v T) *Entry[T] {
	l := q.level(i.Priority)
	a := l.accounts.get(i.Workspace)
	if a.waiting == 0 {
		a.counter = max(a.counter, l.lowest())
	}
	a.waiting++
	q.sequence++
	q.waiting++
	e := &Entry[T]{Item: i, Value: v, account: a, index: len(l.entries), sequence: q.sequence}
	e.queued, e.target, e.rescue = i.Queued.UnixNano(), math.MaxInt64, math.MaxInt64
	if !i.Deadline.IsZero() {
		e.rescue = i.Queued.Add(i.Deadline.Sub(i.Queued) * 5 / 8).UnixNano()
	}
	if !i.Target.IsZero() {
		e.target = i.Target.UnixNano()
	}
	l.entries = append(l.entries, e)
	return e
}

// Pop removes and returns the entry to serve next, and charges its workspace. ready is the time at
// which the popped item would be served: the present time plus the time that serving it takes. Pop
// returns nil if the queue is empty.
func (q *Queue[T]) Pop(now, ready time.Time) *Entry[T] {
	e := q.Peek(now, ready)
	if e != nil {
		q.Take(e)
	}
	return e
}

// Take removes an entry that the caller has chosen, and charges its workspace. It reports whether
// the entry was in the queue.
func (q *Queue[T]) Take(e *Entry[T]) bool {
	if e.index < 0 {
		return false
	}
	l := q.level(e.Item.Priority)
	l.accounts.floor = l.lowest()
	e.account.counter += e.Item.Work()
	q.remove(l, e)
	return true
}

// Peek returns the entry that Pop would return, and leaves it in the queue.
func (q *Queue[T]) Peek(now, ready time.Time) *Entry[T] {
	for _, l := range q.levels {
		if len(l.entries) == 0 {
			continue
		}
		o := q.order(now, ready)
		first, firstGroup := l.entries[0], group(&o, l.entries[0])
		for _, e := range l.entries[1:] {
			if g := group(&o, e); g < firstGroup || g == firstGroup && goesFirst(g, e, first, e.account.counter, first.account.counter) {
				first, firstGroup = e, g
			}
		}
		return first
	}
	return nil
}

// Remove removes an entry without a charge. It reports whether the entry was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if e.index < 0 {
		return false
	}
	q.remove(q.level(e.Item.Priority), e)
	return true
}

// Expired removes and returns the entries whose deadline is before ready, in the order of their
// pushes.
func (q *Queue[T]) Expired(ready time.Time) []*Entry[T] {
	var expired []*Entry[T]
	for _, l := range q.levels {
		for _, e := range l.entries {
			if d := e.Item.Deadline; !d.IsZero() && d.Before(ready) {
				expired = append(expired, e)
			}
		}
	}
	for _, e := range expired {
		q.Remove(e)
	}
	slices.SortFunc(expired, func(a, b *Entry[T]) int { return cmp.Compare(a.sequence, b.sequence) })
	return expired
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.waiting }

// Charge adds tokens to the counter of a workspace in a priority that were not known when its item
// was popped; a negative number takes back what was charged too much.
func (q *Queue[T]) Charge(priority int, workspace string, tokens float64) {
	if math.IsNaN(tokens) || math.IsInf(tokens, 0) {
		return
	}
	l := q.level(priority)
	a := l.accounts.get(workspace)
	a.counter += tokens
	l.accounts.trim(a)
}

// level returns the level of a priority, and adds it if necessary.
func (q *Queue[T]) level(priority int) *level[T] {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int { return cmp.Compare(l.priority, p) })
	if ok {
		return q.levels[i]
	}
	if len(q.levels) >= maxIdleLevels {
		q.levels = slices.DeleteFunc(q.levels, func(l *level[T]) bool { return len(l.entries) == 0 })
		i, _ = slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int { return cmp.Compare(l.priority, p) })
	}
	l := &level[T]{priority: priority}
	q.levels = slices.Insert(q.levels, i, l)
	return l
}

// remove removes a waiting entry from its level.
func (q *Queue[T]) remove(l *level[T], e *Entry[T]) {
	last := len(l.entries) - 1
	l.entries[e.index] = l.entries[last]
	l.entries[e.index].index = e.index
	l.entries[last] = nil
	l.entries = l.entries[:last]
	e.index = -1
	q.waiting--
	e.account.waiting--
	l.accounts.trim(e.account)
}

// lowest returns the lowest counter among the workspaces that wait, or the one at the last pop if
// none waits.
func (l *level[T]) lowest() float64 {
	if len(l.entries) == 0 {
		return l.accounts.floor
	}
	lowest := math.Inf(1)
	for _, e := range l.entries {
		lowest = min(lowest, e.account.counter)
	}
	return lowest
}
