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
}

// At returns the count at a time.
func (d *Decay) At(now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}

// Add adds to the count.
func (d *Decay) Add(now time.Time, n float64) {
	d.value, d.at = d.At(now)+n, now
}
