package snipefair

import (
	"cmp"
	"slices"
)

// maxIdle is the number of workspaces without waiting items whose counters are kept for a priority.
const maxIdle = 1024

// account is the counter of tokens served of one workspace in one priority.
type account struct {
	workspace string
	counter   float64
	waiting   int
	// reached is the counter after the entries to which InOrder has given their turns so far.
	reached float64
}

// accounts holds the accounts of a priority: all with waiting items, and the idle ones whose
// counters are above floor.
type accounts struct {
	byName map[string]*account
	// floor is the lowest counter of a workspace that waited at the last pop.
	floor float64
}

// get returns the account of a workspace, and adds it if necessary.
func (s *accounts) get(workspace string) *account {
	a := s.byName[workspace]
	if a != nil {
		return a
	}
	if s.byName == nil {
		s.byName = make(map[string]*account)
	}
	a = &account{workspace: workspace, counter: s.floor}
	s.byName[workspace] = a
	return a
}

// trim deletes an idle account that would start again at floor anyway. If too many idle accounts
// are left, it deletes those with the lowest counters, which lose the least by it.
func (s *accounts) trim(a *account) {
	if a.waiting > 0 {
		return
	}
	if a.counter <= s.floor {
		delete(s.byName, a.workspace)
		return
	}
	if len(s.byName) <= maxIdle {
		return
	}
	var idle []*account
	for _, a := range s.byName {
		if a.waiting == 0 {
			idle = append(idle, a)
		}
	}
	if len(idle) <= maxIdle {
		return
	}
	slices.SortFunc(idle, func(a, b *account) int { return cmp.Compare(a.counter, b.counter) })
	for _, a := range idle[:len(idle)-maxIdle/2] {
		delete(s.byName, a.workspace)
	}
}

// Counters returns the number of counters that the queue keeps.
func (q *Queue[T]) Counters() int {
	n := 0
	for _, l := range q.levels {
		n += len(l.accounts.byName)
	}
	return n
}
