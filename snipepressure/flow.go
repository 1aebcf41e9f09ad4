package snipepressure

import "time"

const (
	// flowInterval is the least time between two samples of the bytes freed.
	flowInterval = 200 * time.Millisecond
	// flowSpan is the time over which the rate fades: one that is older says little about the
	// next second.
	flowSpan = 2 * time.Second
	// minRetry and maxRetry bound the time that a refusal names. Below minRetry a caller would
	// return before a blocked answer that was ended is gone; callers with longer deadlines than a few
	// times maxRetry are rare.
	minRetry = 200 * time.Millisecond
	maxRetry = 5 * time.Second
)

// flow estimates the bytes freed a second, and spaces refused callers by it. Its methods need the Budget's lock.
type flow struct {
	last      time.Time
	freed     int64
	perSecond float64
	booked    time.Time // until when the bytes that are freed are reserved for refused callers
}

// rate samples the total of bytes freed and returns the estimate.
func (f *flow) rate(now time.Time, freed int64) float64 {
	if f.last.IsZero() {
		f.last, f.freed = now, freed
		return f.perSecond
	}
	passed := now.Sub(f.last)
	if passed < flowInterval {
		return f.perSecond
	}
	weight := min(1, float64(passed)/float64(flowSpan))
	f.perSecond += weight * (float64(freed-f.freed)/passed.Seconds() - f.perSecond)
	f.last, f.freed = now, freed
	return f.perSecond
}

// book returns the time after which a refused caller returns, and reserves what is freed by then: each
// caller gets a later time than the one before, spaced by the rate. Callers that all returned at once
// would be refused again but for the first ones.
func (f *flow) book(now time.Time, bytes int64) time.Duration {
	if f.perSecond <= 0 {
		return maxRetry / 2
	}
	first, last := now.Add(minRetry), now.Add(maxRetry)
	at := f.booked
	if at.Before(first) {
		at = first
	}
	if at.After(last) {
		return maxRetry
	}
	f.booked = at.Add(time.Duration(min(float64(bytes)/f.perSecond, maxRetry.Seconds()) * float64(time.Second)))
	return at.Sub(now)
}
