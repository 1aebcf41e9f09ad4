package snipequarantine

import (
	"sync"
	"time"
)

// announcements holds the decisions that this instance sends to all others until each of them has
// confirmed it. It is safe for concurrent use.
type announcements struct {
	lock sync.Mutex // guards all
	all  map[Fingerprint]*announcement
}

// announcement is a decision, when it was made, and the members that have confirmed it, by ID.
type announcement struct {
	Suspect
	madeAt    time.Time
	confirmed map[string]bool
}

// current returns the decision with the time that is left until the release.
func (s *announcement) current() Suspect {
	c := s.Suspect
	if c.Left > 0 {
		c.Left -= time.Since(s.madeAt)
	}
	return c
}

// put replaces the decision about a fingerprint, which all members then have to confirm anew.
func (a *announcements) put(s Suspect) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.all == nil {
		a.all = make(map[Fingerprint]*announcement)
	}
	a.all[s.Fingerprint] = &announcement{s, time.Now(), make(map[string]bool)}
}

// remove drops the decision about a fingerprint.
func (a *announcements) remove(f Fingerprint) {
	a.lock.Lock()
	defer a.lock.Unlock()
	delete(a.all, f)
}

// has reports whether a refusal of a fingerprint is announced.
func (a *announcements) has(f Fingerprint) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	s := a.all[f]
	return s != nil && s.Refused
}

// due returns the decisions that a member has not confirmed.
func (a *announcements) due(member string) []Suspect {
	a.lock.Lock()
	defer a.lock.Unlock()
	var unconfirmed []Suspect
	for _, s := range a.all {
		if !s.confirmed[member] {
			unconfirmed = append(unconfirmed, s.current())
		}
	}
	return unconfirmed
}

// confirm records that a member has received decisions. A decision that was replaced meanwhile stays
// due.
func (a *announcements) confirm(member string, received []Suspect) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, r := range received {
		s := a.all[r.Fingerprint]
		if s != nil && s.Refused == r.Refused && (s.Left > 0) == (r.Left > 0) {
			s.confirmed[member] = true
		}
	}
}

// empty reports whether there is nothing to announce.
func (a *announcements) empty() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	return len(a.all) == 0
}

// forgetConfirmed drops the watches and releases that all members have confirmed. A refusal is kept
// for members that start later.
func (a *announcements) forgetConfirmed(members []Member) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for f, s := range a.all {
		lasting := s.Refused && s.Left > 0
		if !lasting && confirmedByAll(s, members) {
			delete(a.all, f)
		}
	}
}

func confirmedByAll(s *announcement, members []Member) bool {
	for _, m := range members {
		if !s.confirmed[m.ID] {
			return false
		}
	}
	return true
}
