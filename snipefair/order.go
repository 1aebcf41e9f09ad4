package snipefair

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

// order is what the order of entries depends on besides the entries, in nanoseconds since 1970.
type order struct {
	ready int64
	// displaced is the time before or at which an entry must have been queued to go first;
	// math.MinInt64 if there is no such bound.
	displaced int64
	// rescue is the present time if Rescue is set, and math.MinInt64 otherwise.
	rescue int64
}

func (q *Queue[T]) order(now, ready time.Time) order {
	o := order{ready: ready.UnixNano(), displaced: math.MinInt64, rescue: math.MinInt64}
	if q.MaxDisplacement > 0 {
		o.displaced = now.Add(-q.MaxDisplacement).UnixNano()
	}
	if q.Rescue {
		o.rescue = now.UnixNano()
	}
	return o
}

// Groups of entries within a priority, in the order in which they are served.
const (
	groupDisplaced = iota
	groupOnTime
	groupLate
)

func group[T any](o *order, e *Entry[T]) int {
	switch {
	case e.queued <= o.displaced, e.rescue <= o.rescue:
		return groupDisplaced
	case o.ready > e.target:
		return groupLate
	}
	return groupOnTime
}

// goesFirst reports whether a goes before b, which is in the same group, given the counters of their
// workspaces.
func goesFirst[T any](group int, a, b *Entry[T], counterA, counterB float64) bool {
	if group != groupDisplaced && counterA != counterB {
		return counterA < counterB
	}
	return compareAge(group, a, b) < 0
}

// compareAge compares entries in the same group whose workspaces have the same counter: the earlier
// target goes first if it can be met, and the earlier queued otherwise.
func compareAge[T any](group int, a, b *Entry[T]) int {
	if group == groupOnTime && a.target != b.target {
		return cmp.Compare(a.target, b.target)
	}
	if a.queued != b.queued {
		return cmp.Compare(a.queued, b.queued)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// Ahead returns the number of waiting entries that would be served before e if no others were
// pushed.
func (q *Queue[T]) Ahead(e *Entry[T], now, ready time.Time) int {
	ahead := 0
	for x := range q.InOrder(now, ready) {
		if x == e {
			break
		}
		ahead++
	}
	return ahead
}

// InOrder returns the waiting entries in the order in which Pop would return them if no others were
// pushed. The queue must not be changed during the iteration.
func (q *Queue[T]) InOrder(now, ready time.Time) iter.Seq[*Entry[T]] {
	return func(yield func(*Entry[T]) bool) {
		o := q.order(now, ready)
		for _, l := range q.levels {
			if len(l.entries) > 0 && !l.inOrder(o, yield) {
				return
			}
		}
	}
}

// inOrder yields the entries of a level, and reports whether all were asked for. The turn of an entry
// is the counter that its workspace has reached when the older ones of that workspace are served. As
// turns within a workspace grow, sorting by them gives the order of Pop.
func (l *level[T]) inOrder(o order, yield func(*Entry[T]) bool) bool {
	var groups [groupLate + 1][]*Entry[T]
	for _, e := range l.entries {
		g := group(&o, e)
		groups[g] = append(groups[g], e)
		e.account.reached = e.account.counter
	}
	for g, entries := range groups {
		slices.SortFunc(entries, func(a, b *Entry[T]) int { return compareAge(g, a, b) })
		for _, e := range entries {
			e.turn = e.account.reached
			e.account.reached += e.Item.Work()
		}
		if g != groupDisplaced {
			slices.SortStableFunc(entries, func(a, b *Entry[T]) int { return cmp.Compare(a.turn, b.turn) })
		}
		for _, e := range entries {
			if !yield(e) {
				return false
			}
		}
	}
	return true
}
