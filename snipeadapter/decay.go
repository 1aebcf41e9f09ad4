package snipeadapter

import (
	"math"
	"time"
)

// halfLife is the time in which a use loses half of its weight. Demand moves to other adapters
// every five to ten seconds: a longer half-life keeps adapters that are no longer requested, a
// shorter one drops adapters that are requested every few seconds.
const halfLife = 6 * time.Second

// DecayingCount is a count that decays exponentially. The zero value is ready to use.
type DecayingCount struct {
	value float64
	at    time.Time
	// half is the half-life; zero means halfLife.
	half time.Duration
}

// At returns the count after its decay up to now, which is not before the last Add.
func (d *DecayingCount) At(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	half := d.half
	if half == 0 {
		half = halfLife
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(half))
}

// Add lets the count decay up to now and then adds n.
func (d *DecayingCount) Add(now time.Time, n float64) {
	d.value, d.at = d.At(now)+n, now
}

const (
	// rateHalfLife is the half-life of rates: four reports of use, so that new demand shows within
	// a few tenths of a second.
	rateHalfLife = 300 * time.Millisecond
	// minRateSpan is the shortest time over which a rate is computed: the time between two reports.
	// Without it the first uses of an adapter, reported a moment ago, would appear as a high rate.
	minRateSpan = 100 * time.Millisecond
)

// Rate is the recent frequency of an event. The zero value is ready to use.
type Rate struct {
	count DecayingCount
	since time.Time
}

// Add records n occurrences.
func (r *Rate) Add(now time.Time, n float64) {
	if r.since.IsZero() {
		r.since, r.count.half = now, rateHalfLife
	}
	r.count.Add(now, n)
}

// PerSecond returns the rate; zero before the first Add. The count of a steady rate grows until
// decay balances new occurrences. Until then the count is divided by the fraction of the steady
// value that it has reached.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	age := now.Sub(r.since) + minRateSpan
	fraction := 1 - math.Exp2(-float64(age)/float64(rateHalfLife))
	return r.count.At(now) * math.Ln2 / rateHalfLife.Seconds() / fraction
}
