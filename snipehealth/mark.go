package snipehealth

import (
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// MarkUnusable sets Usable to false for the candidates that must not get the call: those
// that are out or in a backoff, and those in the state Ramp whose share does not include
// the call. key is the hash of the call, and decides which calls the share includes. If
// less than two thirds of the candidates would remain usable, those that are out or in the
// state Ramp as slow or failing stay usable.
func (t *Tracker) MarkUnusable(key uint64, candidates []sniperoute.Candidate) {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := time.Now()
	if !t.anyRestricted(now) {
		return
	}
	usable := 0
	for i := range candidates {
		if candidates[i].Usable && t.accepts(key, &candidates[i], now) {
			usable++
		}
	}
	tooFew := usable*keepDenominator < len(candidates)*keepNumerator
	for i := range candidates {
		c := &candidates[i]
		u := t.restricted[c.Name]
		if u == nil || !c.Usable || t.accepts(key, c, now) {
			continue
		}
		// If too few candidates are left, one that is slow or failing stays usable,
		// because excluding it would overload the others.
		c.Usable = tooFew && u.state != Up && !u.reason.unconditional() && !now.Before(u.backoffUntil)
	}
}

// anyRestricted updates restricted to the time now, and reports whether there are
// upstreams that do not get all calls. The lock is held.
func (t *Tracker) anyRestricted(now time.Time) bool {
	for name, u := range t.restricted {
		u.expire(now)
		t.updateRestricted(name, u, now)
	}
	return len(t.restricted) > 0
}

// accepts reports whether the call with the given key belongs to the candidate's share
// of the calls. The lock is held.
func (t *Tracker) accepts(key uint64, c *sniperoute.Candidate, now time.Time) bool {
	u := t.restricted[c.Name]
	if u == nil {
		return true
	}
	share := u.share(now)
	return share >= 1 || share > 0 && fraction(sniperoute.Score(key, c.Hash^rampSalt)) < share
}

// rampSalt makes the selection of the calls for an upstream in the state Ramp
// independent of the ranking, which is computed from the same hashes.
const rampSalt = 0x5bd1e9955bd1e995

// fraction maps a hash to a number from 0 up to, but not including, 1.
func fraction(h uint64) float64 {
	const bits = 53
	return float64(h>>(64-bits)) / (1 << bits)
}

// LeastLoaded returns the index of the less loaded of the two usable candidates that rank
// first for the key, or -1 if none is usable. The load counts only calls of this
// instance, and each call counts by the recent gap of its upstream.
func (t *Tracker) LeastLoaded(key uint64, candidates []sniperoute.Candidate) int {
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

// load returns the load of an upstream with one more call: the number of calls in
// flight times the recent gap of the upstream, which counts as at least a millisecond.
func (u *upstream) load() float64 {
	return float64(u.inFlight+1) * max(u.gap, time.Millisecond.Seconds())
}
