package snipesoak

import (
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

// disturbedFor is for how long after a start, a freeze or a cut the requests of an instance do not
// count for what upstreams say of themselves.
const disturbedFor = 4 * time.Second

// disturbed notes that instances have just been started, frozen or cut off.
func (s *Soak) disturbed(all ...*instance) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, i := range all {
		s.disturbances[i.name] = append(s.disturbances[i.name], time.Now())
	}
}

// excused reports whether an instance was disturbed shortly before a moment, or is so now.
func (s *Soak) excused(name string, at time.Time) bool {
	for _, t := range s.disturbances[name] {
		if d := at.Sub(t); d > -longest && d < disturbedFor {
			return true
		}
	}
	return false
}

// auditLimit checks that no more requests reached an upstream than it said that it takes.
func (s *Soak) auditLimit(r *runner) {
	sender := func(id string) string { return s.senders[id] }
	for _, breach := range snipestand.LimitBreaches(r.Arrivals(), sender, s.excused) {
		s.breach("no more than an upstream takes", "%s: %s", r.ID, breach)
	}
}
