package snipestand

import (
	"fmt"
	"time"
)

// LeavingBreaches returns a description of each request that an instance sent too late to a runner
// that is leaving. The time of an instance starts with the first answer that tells it that the runner
// is leaving; a request is too late if it arrives after more than the bound. An excused request makes
// the time of its instance start anew. An answer that does not announce that the runner is leaving
// makes the times of all instances start anew, and so does another start of the runner: it is another
// upstream, which announces that it is leaving itself. The parameters sender and excused are those of
// LimitBreaches.
func LeavingBreaches(all []Arrival, bound time.Duration, sender func(id string) string, excused func(instance string, at time.Time) bool) []string {
	var breaches []string
	announced := make(map[string]time.Time)
	start := int64(0)
	for _, a := range all {
		from := sender(a.ID)
		if a.Start != start || !a.Leaving {
			start = a.Start
			clear(announced)
		}
		if !a.Leaving {
			continue
		}
		if excused != nil && excused(from, a.At) {
			delete(announced, from)
			continue
		}
		if _, ok := announced[from]; !ok {
			announced[from] = a.At
		}
		if late := a.At.Sub(announced[from]); late > bound {
			breaches = append(breaches, fmt.Sprintf("request %s arrived %s after an answer announced that the upstream is leaving", a.ID, late))
		}
	}
	return breaches
}
