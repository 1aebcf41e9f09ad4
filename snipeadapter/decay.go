package snipeadapter

import (
	"math"
	"time"
)

// halfLife is the time in which a use loses half of its weight. Demand moves to
// other adapters every five to ten seconds; a longer one keeps what is no longer
// asked for, a shorter one forgets what is asked for every few seconds.
const halfLife = 6 * time.Second

// Decay is a count that fades. The zero value is ready.
type Decay struct {
	value float64
	at    time.Time
	// half is the time in which it loses half of its weight; zero for halfLife.
	half time.Duration
}

// At returns the count at a time.
func (d *Decay) At(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	half := d.half
	if half == 0 {
		half = halfLife
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(half))
}

// Add adds to the count.
func (d *Decay) Add(now time.Time, n float64) {
	d.value, d.at = d.At(now)+n, now
}

const (
	// rateHalfLife is the half-life of rates: four reports of use, so that a demand
	// that begins is seen within a few tenths of a second.
	rateHalfLife = 300 * time.Millisecond
	// firstRate is the least time over which a rate is taken, that between two
	// reports: what began a moment ago has no rate yet.
	firstRate = 100 * time.Millisecond
)

// Rate is how often something happens lately. The zero value is ready.
type Rate struct {
	count Decay
	since time.Time
}

// Add notes that it has happened n times.
func (r *Rate) Add(now time.Time, n float64) {
	if r.since.IsZero() {
		r.since, r.count.half = now, rateHalfLife
	}
	r.count.Add(now, n)
}

// PerSecond returns the rate. The count of a steady rate grows until as much fades as
// comes; one that is younger is taken for the part that it has reached.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	age := now.Sub(r.since) + firstRate
	reached := 1 - math.Exp2(-float64(age)/float64(rateHalfLife))
	return r.count.At(now) * math.Ln2 / rateHalfLife.Seconds() / reached
}
