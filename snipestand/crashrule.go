package snipestand

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crashLimit is how many runners a request may crash before the bound of CrashBreaches begins.
	crashLimit = 3
	// maxLateSends is how often such a request may reach runners after the bound.
	maxLateSends = 3
)

// CrashBreaches returns a description of the breach if a request that crashes the runners that run it
// reached runners more than maxLateSends times later than bound after the third crash. Arrivals that
// excused reports are not counted; a nil excused reports none.
func CrashBreaches(arrivals, crashes []time.Time, bound time.Duration, excused func(at time.Time) bool) []string {
	if len(crashes) < crashLimit {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(crashes), time.Time.Compare)
	third, late := sorted[crashLimit-1], 0
	for _, at := range arrivals {
		if at.Sub(third) > bound && (excused == nil || !excused(at)) {
			late++
		}
	}
	if late <= maxLateSends {
		return nil
	}
	return []string{fmt.Sprintf("a request that had crashed %d upstreams reached upstreams %d times more, later than %s after; %d crashed in all",
		crashLimit, late, bound, len(crashes))}
}
