package snipesoak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// mostLimit bounds the limits that upstreams name, in halves of requests a second; they stand
	// for limitLength longer than other faults, so that the bound on them can be judged.
	mostLimit   = 20
	limitLength = 6 * time.Second
	// mostRest bounds the rest that upstreams ask for, in tenths of a second.
	mostRest = 40
	// drainBound is how long after an instance was told that an upstream leaves its requests may
	// reach that.
	drainBound = 2 * time.Second
)

// nameLimit has an upstream name how many requests a second it takes.
func nameLimit(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	limit := float64(1+r.IntN(mostLimit)) / 2
	u.NameLimit(limit)
	time.Sleep(d + limitLength)
	u.NameNoLimit()
	return fmt.Sprint(u.ID, " ", limit, " a second")
}

// sayLeaving has an upstream say in its answers that it leaves, and then start again.
func sayLeaving(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	u.SayLeaving()
	time.Sleep(d)
	u.StartAgain()
	return u.ID
}

// askRest has an upstream turn all requests away and ask for rest.
func askRest(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	rest := time.Duration(1+r.IntN(mostRest)) * time.Second / 10
	u.AskRest(rest)
	time.Sleep(d)
	u.AskRest(0)
	return fmt.Sprint(u.ID, " ", rest)
}

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

// auditSignals checks that an upstream got what it said that it takes, and no more.
func (s *Soak) auditSignals(r *runner) {
	sender := func(id string) string { return s.senders[id] }
	excused := func(instance string, at time.Time) bool {
		return s.disturbed(instance, at) || s.disturbed(r.ID, at)
	}
	all := r.Arrivals()
	for promise, breaches := range map[string][]string{
		"no more than an upstream takes": snipestand.LimitBreaches(all, sender, excused),
		"nothing for one that leaves":    snipestand.LeavingBreaches(all, drainBound, sender, excused),
		"nothing for one that rests":     snipestand.RestBreaches(all, sender, excused),
	} {
		for _, breach := range breaches {
			s.breach(promise, "%s: %s", r.ID, breach)
		}
	}
}
