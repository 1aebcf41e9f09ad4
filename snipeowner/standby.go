package snipeowner

import "time"

// Of many instances a few own all engines. The others stand by: they renew their rows seldom and
// own nothing, until there are too few owners.

const (
	// leastOwners is how many instances share the engines where there are few, and
	// enginesPerOwner how many engines each has where there are many: one renews its
	// row each second, whatever it owns, and its loss stops the orders of them all.
	leastOwners     = 9
	enginesPerOwner = 7
	// strongOwners is how many instances of at least twice the power are enough to leave
	// the engines to them, each up to twice as many: an owner takes the reports of all others,
	// a thousand a second at 81 instances, which filled the links of 10 Mbit/s that the small
	// ones have.
	strongOwners = 5
	// standbyEvery is the time between two renewals of an instance that owns nothing
	// and is not needed.
	standbyEvery = 20 * time.Second
	// standbyRetry is the time between two tries of one that the store does not answer.
	standbyRetry = 5 * time.Second
)

// standby reports whether there are enough other instances to own the engines.
func (h *Holder) standby() bool {
	if len(h.holdings) > 0 || h.leaving.Load() {
		return false
	}
	ahead, strong := 0, 0
	for peer, s := range h.instance {
		if peer == h.Self.Peer || s.Leaving || !h.live(s) {
			continue
		}
		if s.Before(h.Self) {
			ahead++
		}
		if h.Self.Power > 0 && s.Power >= 2*h.Self.Power {
			strong++
		}
	}
	enough := len(h.Engines()) / enginesPerOwner
	return strong >= max(strongOwners, enough/2) || ahead >= max(leastOwners, enough)
}

// left reports whether the others know that this instance is leaving and owns nothing. It
// has nothing more to tell: seventy that are replaced in turn would else write for as long as
// their last requests last.
func (h *Holder) left() bool {
	row := h.instance[h.Self.Peer]
	return h.leaving.Load() && row.Leaving && row.Incarnation == h.Self.Incarnation && len(h.holdings) == 0
}

// standbyDue reports whether an instance on standby is to renew its row.
func (h *Holder) standbyDue() bool {
	row := h.instance[h.Self.Peer]
	if h.lost {
		return h.Clock()-h.triedAt >= standbyRetry
	}
	return row.Incarnation != h.Self.Incarnation || !row.Standby || h.Clock()-h.renewedAt >= standbyEvery
}
