package snipestand

import (
	"fmt"
	"time"
)

// LeavingBreaches returns which requests reached a runner later than a bound after one of its answers
// had told the instance that sent them that it leaves; see LimitBreaches.
func LeavingBreaches(all []Arrival, bound time.Duration, sender func(id string) string, excused func(instance string, at time.Time) bool) []string {
	var breaches []string
	told := make(map[string]time.Time)
	for _, a := range all {
		from := sender(a.ID)
		if !a.Leaving {
			// Another start of the runner.
			clear(told)
			continue
		}
		if excused != nil && excused(from, a.At) {
			delete(told, from)
			continue
		}
		if _, ok := told[from]; !ok {
			told[from] = a.At
		}
		if late := a.At.Sub(told[from]); late > bound {
			breaches = append(breaches, fmt.Sprintf("request %s came %s after an answer had told that the upstream leaves", a.ID, late))
		}
	}
	return breaches
}
