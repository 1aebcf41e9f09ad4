package snipehealth

import (
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// Mark makes candidates unusable that are to get no work now. The key is the
// call's: it decides which calls an upstream that comes back gets.
func (t *Tracker) Mark(key uint64, candidates []sniperoute.Candidate) {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	if !t.anyTroubled(now) {
		return
	}
	usable := 0
	for i := range candidates {
		if candidates[i].Usable && t.open(key, &candidates[i], now) {
			usable++
		}
	}
	spare := usable*keepDenominator < len(candidates)*keepNumerator
	for i := range candidates {
		c := &candidates[i]
		u := t.troubled[c.Name]
		if u == nil || !c.Usable || t.open(key, c, now) {
			continue
		}
		// A slow one is better than an overload of all others.
		c.Usable = spare && u.state != Up && !u.reason.hard() && !now.Before(u.refused)
	}
}

// anyTroubled reports whether an upstream does not take all calls. The lock is
// held.
func (t *Tracker) anyTroubled(now time.Time) bool {
	for name, u := range t.troubled {
		u.settle(now)
		t.note(name, u, now)
	}
	return len(t.troubled) > 0
}

// open reports whether an upstream takes the call. The lock is held.
func (t *Tracker) open(key uint64, c *sniperoute.Candidate, now time.Time) bool {
	u := t.troubled[c.Name]
	if u == nil {
		return true
	}
	share := u.share(now)
	return share >= 1 || share > 0 && fraction(sniperoute.Score(key, c.Hash^rampSalt)) < share
}

// rampSalt keeps the choice of the calls for a ramp apart from the ranking.
const rampSalt = 0x5bd1e9955bd1e995

// fraction maps a hash to 0 up to 1.
func fraction(h uint64) float64 {
	const bits = 53
	return float64(h>>(64-bits)) / (1 << bits)
}

// Least returns the index of the candidate with fewer calls in flight from this
// instance, of the two that rank first for the key, or -1 when none is usable.
func (t *Tracker) Least(key uint64, candidates []sniperoute.Candidate) int {
	first := sniperoute.Pick(key, candidates)
	if first < 0 {
		return first
	}
	c := &candidates[first]
	c.Usable = false
	second := sniperoute.Pick(key, candidates)
	c.Usable = true
	if second < 0 {
		return first
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	a, b := t.upstreams[candidates[first].Name], t.upstreams[candidates[second].Name]
	if a != nil && (b == nil && a.inFlight > 0 || b != nil && b.load() < a.load()) {
		return second
	}
	return first
}

// load is the work in flight: calls by how long they take.
func (u *upstream) load() float64 {
	return float64(u.inFlight+1) * max(u.gap, time.Millisecond.Seconds())
}
