package snipegateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestOverloadThreshold guards against an overload threshold that ignores the observed times: where
// loads take long, because the weight store is at its limit, or where engines are fast, a request
// must stay at a busy engine for longer. The simulated times to the first chunk are exponentially
// distributed: half of them are below 0.4 of the time that one in five exceeds.
func TestOverloadThreshold(t *testing.T) {
	tests := map[string]struct {
		// slow is the delay at a full engine that one request in five exceeds, load the time of one
		// load.
		slow, load  time.Duration
		least, most float64
	}{
		"Usual":     {300 * time.Millisecond, 300 * time.Millisecond, 0.8, 1.25},
		"StoreFull": {300 * time.Millisecond, 600 * time.Millisecond, 1.6, 2.5},
		"StoreFast": {300 * time.Millisecond, 120 * time.Millisecond, 0.32, 0.5},
		"Slow":      {900 * time.Millisecond, 300 * time.Millisecond, 0.27, 0.42},
		"Fast":      {100 * time.Millisecond, 300 * time.Millisecond, 2.4, 3.75},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			e := &estimator{}
			sum := 0.0
			const observations, averaged = 600, 300
			for n := range observations {
				busy := 0.3 + 1.5*r.Float64()
				spread := 0.4 * r.ExpFloat64() / 0.644 // one in five exceeds 1
				e.recordFirstChunk(time.Duration(busy*spread*float64(tt.slow)), busy)
				e.recordLoad(time.Duration(float64(tt.load) * (0.8 + 0.4*r.Float64())))
				e.recordLoad(30 * time.Millisecond) // a reload from the engine's own memory
				if n >= observations-averaged {
					sum += e.overloadThreshold()
				}
			}
			must.Between(t, tt.least, sum/averaged, tt.most)
		})
	}
}

// TestOverloadThresholdInitial guards against a wrong threshold before anything is observed, and
// against estimates from idle engines: an engine then counts as overloaded when all its slots are
// occupied.
func TestOverloadThresholdInitial(t *testing.T) {
	e := &estimator{}
	must.Eq(t, 1.0, e.overloadThreshold())
	e.recordFirstChunk(time.Minute, minBusy/2)
	must.Eq(t, 1.0, e.overloadThreshold())
}

// TestEstimatorPerService guards against loads on the engines of one service that change the
// overload threshold of another.
func TestEstimatorPerService(t *testing.T) {
	var e estimators
	e.forService("a").recordLoad(time.Second)
	must.Greater(t, 1.0, e.forService("a").overloadThreshold())
	must.Eq(t, 1.0, e.forService("b").overloadThreshold())
}

func BenchmarkCrowding(b *testing.B) {
	var e estimators
	e.forService("a").recordLoad(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		_ = e.forService("a").overloadThreshold()
	}
}
