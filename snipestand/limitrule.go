package snipestand

import (
	"fmt"
	"time"
)

// These constants define how many requests may reach a runner that announces a limit.
const (
	// LimitSpan is the length of the sliding window in which requests are counted.
	LimitSpan = 4 * time.Second
	// A runner may receive limitOverrun times the requests that its limit allows, and limitSlack
	// requests more.
	limitOverrun = 1.5
	limitSlack   = 5
	// limitSettleTime is the time after the first announcement of a limit from which the bound
	// holds. limitNoticeTime is the time after the first answer to an instance that announces the
	// limit from which requests of that instance count.
	limitSettleTime = 3 * time.Second
	limitNoticeTime = 500 * time.Millisecond
)

// LimitBound returns the number of requests that may reach a runner within LimitSpan while it
// announces a limit.
func LimitBound(perSecond float64) int {
	return int(limitOverrun*perSecond*LimitSpan.Seconds()) + limitSlack
}

// limitAudit counts the requests that reach one runner while it announces a limit.
type limitAudit struct {
	// announced is the time of the first announcement, notified that of the first announcement to
	// each instance.
	announced time.Time
	notified  map[string]time.Time
	// counted holds the requests of the last LimitSpan from instances that were notified at least
	// limitNoticeTime before.
	counted []Arrival
}

// LimitBreaches returns a description of each request at which more requests had reached a runner
// than its limit allows. The count starts anew after a request that arrives while the runner
// announces no limit. The function sender returns the instance that sent a request. The function
// excused reports whether the requests of an instance do not count at a given time; nil excuses
// none.
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
			breaches = append(breaches, fmt.Sprintf("%d requests in %s, allowed %d, %s after the limit of %g a second was announced",
				n, LimitSpan, bound, a.At.Sub(audit.announced), a.Limit))
		}
	}
	return breaches
}

// count adds a request and returns how many requests count now, and how many are allowed. Both are
// zero until limitSettleTime has passed.
func (l *limitAudit) count(a Arrival, from string) (counted, bound int) {
	if l.announced.IsZero() {
		l.announced, l.notified = a.At, make(map[string]time.Time)
	}
	if _, ok := l.notified[from]; !ok {
		l.notified[from] = a.At
	}
	if a.At.Sub(l.notified[from]) >= limitNoticeTime {
		l.counted = append(l.counted, a)
	}
	for len(l.counted) > 0 && a.At.Sub(l.counted[0].At) > LimitSpan {
		l.counted = l.counted[1:]
	}
	highest := a.Limit
	for _, other := range l.counted {
		highest = max(highest, other.Limit)
	}
	if a.At.Sub(l.announced) < limitSettleTime {
		return 0, 0
	}
	return len(l.counted), LimitBound(highest)
}
