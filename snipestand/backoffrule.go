package snipestand

import (
	"fmt"
	"time"
)

const (
	// backoffNoticeTime is the time from the refusal that requests a backoff from an instance until
	// requests of that instance count. maxInBackoff is how many counted requests may reach the
	// runner before the backoff ends.
	backoffNoticeTime = 500 * time.Millisecond
	maxInBackoff      = 2
)

// BackoffBreaches returns a description of each breached backoff, the pause that a refusal asks of
// the instance that sent the refused request. A backoff is breached if more than maxInBackoff
// requests of that instance reach the runner from backoffNoticeTime on until the backoff ends. It ends
// with the start of the runner that requested it: the next start is another upstream, which requests a
// backoff of its own. The parameters sender and excused are those of LimitBreaches.
func BackoffBreaches(all []Arrival, sender func(id string) string, excused func(instance string, at time.Time) bool) []string {
	var breaches []string
	for n, refused := range all {
		from := sender(refused.ID)
		if refused.Backoff == 0 || excused != nil && excused(from, refused.At) {
			continue
		}
		counts := func(a Arrival) bool {
			return sender(a.ID) == from && (excused == nil || !excused(from, a.At))
		}
		arrived := countInBackoff(refused, all[n+1:], counts)
		if arrived > maxInBackoff {
			breaches = append(breaches, fmt.Sprintf("%d requests of %s in the backoff of %s that the answer to %s requested", arrived, from, refused.Backoff, refused.ID))
		}
	}
	return breaches
}

// countInBackoff returns how many of the later arrivals that counts reports came in the backoff that a
// refusal requested, from backoffNoticeTime on.
func countInBackoff(refused Arrival, later []Arrival, counts func(a Arrival) bool) int {
	n := 0
	for _, a := range later {
		since := a.At.Sub(refused.At)
		if since > refused.Backoff || a.Start != refused.Start {
			break
		}
		if since >= backoffNoticeTime && counts(a) {
			n++
		}
	}
	return n
}
