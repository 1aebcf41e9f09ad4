package snipestand

import (
	"fmt"
	"slices"
	"time"
)

// RetryBound is the bound on the retries that all instances together send to a service. In each window
// of length Span they may send Share retries for each request, and Slack retries in addition. The
// requests are those that callers sent in the window itself, in the one before it or in the one that
// begins half a Span earlier, whichever has most.
type RetryBound struct {
	Share, Slack float64
	Span         time.Duration
}

// RetryWindow is the number of retries that reached a service from Begin until Span later, and the
// number that the bound allowed.
type RetryWindow struct {
	Begin   time.Time
	Retries int
	Allowed float64
}

// Use returns the retries as a fraction of the allowed ones; zero if there were none.
func (w RetryWindow) Use() float64 {
	if w.Retries == 0 {
		return 0
	}
	return float64(w.Retries) / w.Allowed
}

func (w RetryWindow) String() string {
	return fmt.Sprintf("%d retries in the window from %s, allowed %.1f", w.Retries, w.Begin.Format("15:04:05.000"), w.Allowed)
}

// Retries returns the times of the arrivals of requests that had reached an upstream of the service
// before, in order. all holds the arrivals at each upstream of the service.
func Retries(all ...[]Arrival) []time.Time {
	merged := slices.Concat(all...)
	slices.SortStableFunc(merged, func(a, b Arrival) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool)
	var retries []time.Time
	for _, a := range merged {
		if seen[a.ID] {
			retries = append(retries, a.At)
		}
		seen[a.ID] = true
	}
	return retries
}

// Worst returns the window in which the retries were the largest fraction of the allowed ones. Both
// lists must be in order. It examines the windows that begin with a retry and those that end with one.
func (b RetryBound) Worst(requests, retries []time.Time) RetryWindow {
	var worst RetryWindow
	for _, at := range retries {
		for _, begin := range []time.Time{at, at.Add(-b.Span)} {
			if w := b.window(requests, retries, begin); w.Use() > worst.Use() {
				worst = w
			}
		}
	}
	return worst
}

// window returns the counts of the window that begins at the given time. Both ends belong to it.
func (b RetryBound) window(requests, retries []time.Time, begin time.Time) RetryWindow {
	count := func(all []time.Time, offset time.Duration) int {
		from := begin.Add(offset)
		return countBetween(all, from, from.Add(b.Span))
	}
	most := max(count(requests, 0), count(requests, -b.Span/2), count(requests, -b.Span))
	return RetryWindow{Begin: begin, Retries: count(retries, 0), Allowed: b.Share*float64(most) + b.Slack}
}

// countBetween returns how many of the ordered times lie from the first to the last time, both included.
func countBetween(all []time.Time, first, last time.Time) int {
	from, _ := slices.BinarySearchFunc(all, first, time.Time.Compare)
	to, _ := slices.BinarySearchFunc(all, last.Add(1), time.Time.Compare)
	return to - from
}
