package snipesoak

import (
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

// disturbance is the time in which an instance did not run or was cut off, or an upstream was.
type disturbance struct {
	begin, end time.Time
}

// disturbedFor is for how long after a disturbance requests do not count for what upstreams say of
// themselves: what was held up comes late, and what was known may be lost.
const disturbedFor = 3 * time.Second

// disturb notes that an instance or an upstream is disturbed, until the returned function is
// called.
func (s *Soak) disturb(name string) (end func()) {
	begin := time.Now()
	return func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.disturbances[name] = append(s.disturbances[name], disturbance{begin, time.Now()})
	}
}

// disturbed reports whether an instance or an upstream was disturbed at a moment, or shortly before.
func (s *Soak) disturbed(name string, at time.Time) bool {
	for _, d := range s.disturbances[name] {
		if at.After(d.begin) && at.Before(d.end.Add(disturbedFor)) {
			return true
		}
	}
	return false
}

// auditLimit checks that no more requests reached an upstream than it said that it takes.
func (s *Soak) auditLimit(r *runner) {
	sender := func(id string) string { return s.senders[id] }
	excused := func(instance string, at time.Time) bool {
		return s.disturbed(instance, at) || s.disturbed(r.ID, at)
	}
	for _, breach := range snipestand.LimitBreaches(r.Arrivals(), sender, excused) {
		s.breach("no more than an upstream takes", "%s: %s", r.ID, breach)
	}
}
