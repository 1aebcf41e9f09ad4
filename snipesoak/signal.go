package snipesoak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// maxLimitHalves bounds the limits that upstreams announce, in halves of a request a second. A
	// limit lasts extraLimitLength longer than other faults, so that the audit can check it.
	maxLimitHalves   = 20
	extraLimitLength = 6 * time.Second
	// maxBackoffTenths bounds the backoff that upstreams request, in tenths of a second.
	maxBackoffTenths = 40
	// maxDrainDelay is how long an instance's requests may still reach an upstream after the
	// upstream has signaled to the instance that it leaves.
	maxDrainDelay = 2 * time.Second
)

// announceLimit makes an upstream signal in its answers how many requests a second it takes.
func announceLimit(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	limit := float64(1+r.IntN(maxLimitHalves)) / 2
	u.AnnounceLimit(limit)
	time.Sleep(d + extraLimitLength)
	u.AnnounceNoLimit()
	return fmt.Sprint(u.ID, " ", limit, " a second")
}

// announceLeaving makes an upstream signal in its answers that it leaves, and restarts it after d.
func announceLeaving(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	u.AnnounceLeaving()
	time.Sleep(d)
	u.Restart()
	return u.ID
}

// requestBackoff makes an upstream refuse all requests for d and request a backoff in its answers.
func requestBackoff(s *Soak, r *rand.Rand, d time.Duration) string {
	u := s.runners[r.IntN(len(s.runners))]
	backoff := time.Duration(1+r.IntN(maxBackoffTenths)) * time.Second / 10
	u.SetBackoff(backoff)
	time.Sleep(d)
	u.SetBackoff(0)
	return fmt.Sprint(u.ID, " ", backoff)
}

// disturbance is a time in which an instance did not run or was cut off from the store, or in
// which an upstream was cut off.
type disturbance struct {
	begin, end time.Time
	// planned is set for a planned stop.
	planned bool
}

// disturbanceGrace is how long after a disturbance the audit of signals still ignores requests:
// delayed requests may arrive then, and an instance may have lost what an upstream had signaled.
const disturbanceGrace = 3 * time.Second

// disturb begins a disturbance of an instance or an upstream. The returned function ends and
// records the disturbance; until then disturbed does not report it.
func (s *Soak) disturb(name string) (end func()) { return s.beginDisturbance(name, false) }

// disturbAsPlanned is disturb for a planned stop.
func (s *Soak) disturbAsPlanned(name string) (end func()) { return s.beginDisturbance(name, true) }

func (s *Soak) beginDisturbance(name string, planned bool) (end func()) {
	begin := time.Now()
	return func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.disturbances[name] = append(s.disturbances[name], disturbance{begin, time.Now(), planned})
	}
}

// disturbed reports whether an instance or an upstream was disturbed at a time, or less than
// disturbanceGrace before.
func (s *Soak) disturbed(name string, at time.Time) bool {
	for _, d := range s.disturbances[name] {
		if at.After(d.begin) && at.Before(d.end.Add(disturbanceGrace)) {
			return true
		}
	}
	return false
}

// auditSignals checks that an upstream received no more requests than its announced limit allows,
// none that came too late after it announced that it leaves, and not too many in a backoff. Requests
// in and shortly after disturbances are excused.
func (s *Soak) auditSignals(r *runner) {
	senderOf := func(id string) string { return s.senders[id] }
	excused := func(instance string, at time.Time) bool {
		return s.disturbed(instance, at) || s.disturbed(r.ID, at)
	}
	arrivals := r.Arrivals()
	for promise, breaches := range map[string][]string{
		"no more than an upstream takes": snipestand.LimitBreaches(arrivals, senderOf, excused),
		"nothing for one that leaves":    snipestand.LeavingBreaches(arrivals, maxDrainDelay, senderOf, excused),
		"nothing for one that rests":     snipestand.BackoffBreaches(arrivals, senderOf, excused),
	} {
		for _, breach := range breaches {
			s.breach(promise, "%s: %s", r.ID, breach)
		}
	}
}
