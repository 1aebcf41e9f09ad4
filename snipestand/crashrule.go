package snipestand

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crashLimit is how many runners a request may crash before the bound of CrashBreaches begins, partCrashLimit
	// how many requests with a part of a prompt may before that of PartCrashBreaches does.
	crashLimit, partCrashLimit = 3, 5
	// maxLateSends is how often such a request may reach runners after the bound.
	maxLateSends = 3
)

// CrashBreaches returns a description of the breach if a request that crashes the runners that run it
// reached runners more than maxLateSends times later than bound after the third crash. all holds the
// records of the runners. Arrivals that excused reports are not counted; a nil excused reports none.
func CrashBreaches(all []CrashRecord, bound time.Duration, excused func(a CrashArrival) bool) []string {
	return crashBreaches(all, crashLimit, bound, excused)
}

// PartCrashBreaches is CrashBreaches for the requests with a part of a prompt: the bound begins with the fifth
// crash.
func PartCrashBreaches(all []CrashRecord, bound time.Duration, excused func(a CrashArrival) bool) []string {
	return crashBreaches(all, partCrashLimit, bound, excused)
}

func crashBreaches(all []CrashRecord, limit int, bound time.Duration, excused func(a CrashArrival) bool) []string {
	crashes := crashTimes(all)
	if len(crashes) < limit {
		return nil
	}
	last, late := crashes[limit-1], 0
	for _, r := range all {
		for _, a := range r.Arrivals {
			if a.At.Sub(last) > bound && (excused == nil || !excused(a)) {
				late++
			}
		}
	}
	if late <= maxLateSends {
		return nil
	}
	return []string{fmt.Sprintf("a request that had crashed %d upstreams reached upstreams %d times more, later than %s after; %d crashed in all",
		limit, late, bound, len(crashes))}
}

// crashTimes returns the times of all crashes in order.
func crashTimes(all []CrashRecord) []time.Time {
	var times []time.Time
	for _, r := range all {
		times = append(times, r.Crashes...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
