package snipeadmission

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the observed rate of arrivals. It is longer than the random
	// variation of arrivals and shorter than bursts that last for seconds.
	demandTimeConstant = 1500 * time.Millisecond
	// priorities is the number of priorities with a rate of their own; less urgent ones share the
	// last.
	priorities = 8
)

// demand is the observed rate of arrivals by priority.
type demand struct {
	weights [priorities]float64 // arrivals, each of which fades with demandTimeConstant
	at      time.Time
	since   time.Time
}

func clampPriority(p int) int { return min(max(p, 0), priorities-1) }

// add records an arrival.
func (d *demand) add(priority int, now time.Time) {
	d.fade(now)
	d.weights[clampPriority(priority)]++
}

func (d *demand) fade(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	} else {
		keep := math.Exp(-float64(now.Sub(d.at)) / float64(demandTimeConstant))
		for i := range d.weights {
			d.weights[i] *= keep
		}
	}
	d.at = now
}

// rate returns the arrivals a second whose priority is below limit.
func (d *demand) rate(limit int, now time.Time) float64 {
	d.fade(now)
	sum := 0.0
	for i := range d.weights[:min(max(limit, 0), priorities)] {
		sum += d.weights[i]
	}
	// The weights of arrivals at a steady rate since the start add up to less than those of arrivals
	// since ever.
	covered := 1 - math.Exp(-float64(now.Sub(d.since)+100*time.Millisecond)/float64(demandTimeConstant))
	return sum / demandTimeConstant.Seconds() / covered
}
