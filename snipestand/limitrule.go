package snipestand

import (
	"fmt"
	"time"
)

// The bound of requests that may reach a runner that names a limit.
const (
	// LimitSpan is the time in which they are counted.
	LimitSpan    = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// limitSpread is how long after a runner first names its limit the bound holds, limitTold how
	// long after an answer has told an instance its requests count.
	limitSpread = 3 * time.Second
	limitTold   = 500 * time.Millisecond
)

// LimitBound returns how many requests may reach a runner within LimitSpan while it names a limit.
func LimitBound(perSecond float64) int {
	return int(limitOverrun*perSecond*LimitSpan.Seconds()) + limitSlack
}

// limitAudit counts the requests that reach one runner while it names a limit.
type limitAudit struct {
	// named is when it first did, told when each instance was first told.
	named time.Time
	told  map[string]time.Time
	// counted are the requests within the last LimitSpan from those that were told.
	counted []Arrival
}

// LimitBreaches returns at which requests more had reached a runner than its limit allows. Sender
// names the instance that sent a request, excused those whose requests do not count at a moment;
// nil for none.
func LimitBreaches(all []Arrival, sender func(id string) string, excused func(instance string, at time.Time) bool) []string {
	var breaches []string
	audit := &limitAudit{}
	for _, a := range all {
		if !a.Limited {
			*audit = limitAudit{}
			continue
		}
		from := sender(a.ID)
		if excused != nil && excused(from, a.At) {
			continue
		}
		if n, bound := audit.count(a, from); n > bound {
			breaches = append(breaches, fmt.Sprintf("%d requests in %s, allowed %d, %s after the limit of %g a second was named",
				n, LimitSpan, bound, a.At.Sub(audit.named), a.Limit))
		}
	}
	return breaches
}

// count takes a request and returns how many count now, and how many may.
func (l *limitAudit) count(a Arrival, from string) (counted, bound int) {
	if l.named.IsZero() {
		l.named, l.told = a.At, make(map[string]time.Time)
	}
	if _, ok := l.told[from]; !ok {
		l.told[from] = a.At
	}
	if a.At.Sub(l.told[from]) >= limitTold {
		l.counted = append(l.counted, a)
	}
	for len(l.counted) > 0 && a.At.Sub(l.counted[0].At) > LimitSpan {
		l.counted = l.counted[1:]
	}
	highest := a.Limit
	for _, other := range l.counted {
		highest = max(highest, other.Limit)
	}
	if a.At.Sub(l.named) < limitSpread {
		return 0, 0
	}
	return len(l.counted), LimitBound(highest)
}
