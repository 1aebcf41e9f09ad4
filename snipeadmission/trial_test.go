package snipeadmission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
)

func TestTrial(t *testing.T) {
	for _, share := range []float64{0.9, 1.2} {
		for _, ret := range []bool{false, true} {
			for way := range 3 {
				synctest.Test(t, func(t *testing.T) {
					s := newSeeded(1, nil)
					rate := share * s.capacity()
					s.returns = ret
					s.rate = func(time.Duration) float64 { return rate }
					c := &snipeadmission.Coordinator{Upstreams: s.upstreams, Lifetime: lifetime}
					s.admit = []admission{walk(s), pacers(s), by(c)}[way]
					s.run()
					time.Sleep(2 * time.Second)
					t.Logf("%v %v %v %+v", share, ret, way, s.summary(all))
				})
			}
		}
	}
}
