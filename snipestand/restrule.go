package snipestand

import (
	"fmt"
	"time"
)

const (
	// restTold is how long after a runner has asked an instance for rest its requests count, mostInRest
	// how many may come until the end of that time.
	restTold   = 500 * time.Millisecond
	mostInRest = 2
)

// RestBreaches returns after which answers more requests reached a runner than it may get from the
// instance that it had asked for rest; see LimitBreaches.
func RestBreaches(all []Arrival, sender func(id string) string, excused func(instance string, at time.Time) bool) []string {
	var breaches []string
	for n, asked := range all {
		from := sender(asked.ID)
		if asked.Rest == 0 || excused != nil && excused(from, asked.At) {
			continue
		}
		came := 0
		for _, a := range all[n+1:] {
			since := a.At.Sub(asked.At)
			if since > asked.Rest {
				break
			}
			if since >= restTold && sender(a.ID) == from && (excused == nil || !excused(from, a.At)) {
				came++
			}
		}
		if came > mostInRest {
			breaches = append(breaches, fmt.Sprintf("%d requests of %s in the %s of rest that %s was asked for", came, from, asked.Rest, asked.ID))
		}
	}
	return breaches
}
