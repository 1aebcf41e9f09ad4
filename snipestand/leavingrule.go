package snipestand

import (
	"fmt"
	"time"
)

// LeavingBreaches returns a description of each request that reached a runner later than the bound
// after an answer of the runner first announced to the sending instance that the runner is leaving.
// An excused request makes the time of its instance start anew, and a request whose answer does not
// announce that the runner is leaving makes the times of all instances start anew. The parameters
// sender and excused are those of LimitBreaches.
func LeavingBreaches(all []Arrival, bound time.Duration, sender func(id string) string, excused func(instance string, at time.Time) bool) []string {
	var breaches []string
	announced := make(map[string]time.Time)
	for _, a := range all {
		from := sender(a.ID)
		if !a.Leaving {
			// The runner has started again.
			clear(announced)
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
