package snipeadmission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"snipepitch.example/snipepitch/snipeadmission"
)

func TestSeeds(t *testing.T) {
	for _, d := range []time.Duration{2000} {
		for _, share := range []float64{0.5, 0.9, 1.2, 1.4} {
			dl, tg, ts, wt := 0.0, 0.0, 0.0, time.Duration(0)
			for seed := range uint64(4) {
				synctest.Test(t, func(t *testing.T) {
					s := newSeeded(seed, nil)
					s.length = 30 * time.Second
					rate := share * s.capacity()
					s.rate = func(time.Duration) float64 { return rate }
					c := &snipeadmission.Coordinator{Upstreams: s.upstreams, Lifetime: lifetime, MaxDisplacement: d * time.Millisecond}
					s.admit = by(c)
					s.run()
					time.Sleep(2 * time.Second)
					x := s.summary(0, s.length)
					dl += x.inDeadline / 4
					tg += x.inTarget / 4
					ts += x.targetOfServed / 4
					for _, o := range s.outcomes {
						if o.refused && o.waited > time.Millisecond*5 {
							wt++
						}
					}
				})
			}
			t.Logf("%v %v deadline %.4f target %.4f ofserved %.4f refused after waiting %d", int(d), share, dl, tg, ts, wt)
		}
	}
}
