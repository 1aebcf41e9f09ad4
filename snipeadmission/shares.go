package snipeadmission

import (
	"math"
	"time"
)

// shareLifetime is how long the stated demand of an instance counts.
const shareLifetime = 2 * time.Second

// shares divides the slots that are lent strictly by the demand at the instances. A share bounds only the permits that an
// instance may use for several requests: without a bound, the instances that were served first would keep all of them.
type shares struct{ demands map[string]statedDemand }

// statedDemand is the demand that an instance stated.
type statedDemand struct {
	perSecond float64
	at        time.Time
}

// note records the demand at an instance. Values that make no sense count as none.
func (s *shares) note(instance string, perSecond float64, now time.Time) {
	if !(perSecond > 0 && perSecond <= math.MaxInt32) {
		return
	}
	if s.demands == nil {
		s.demands = make(map[string]statedDemand)
	}
	s.demands[instance] = statedDemand{perSecond, now}
}

// of returns the share of an instance in a number of slots, at least one.
func (s *shares) of(instance string, slots int, now time.Time) int {
	sum := 0.0
	for name, d := range s.demands {
		if now.Sub(d.at) >= shareLifetime {
			delete(s.demands, name)
			continue
		}
		sum += d.perSecond
	}
	own, ok := s.demands[instance]
	if !ok {
		return 1
	}
	return max(1, int(math.Round(float64(slots)*own.perSecond/sum)))
}

// out returns the number of permits that an instance holds.
func (c *Coordinator) out(instance string) int {
	n := 0
	for _, l := range c.permits {
		if l.instance == instance && !l.abandoned {
			n++
		}
	}
	return n
}
