package snipeowner

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// In a large deployment a few instances own all engines. The others are on standby: they own no
// engines and rarely renew their rows, until there are too few owners.

const (
	// minOwners is the number of instances that share the engines in a small deployment, and
	// enginesPerOwner the number of engines for each owner in a large one. An owner renews its
	// row each second, however many engines it owns, and its loss stops the orders of them all.
	minOwners       = 9
	enginesPerOwner = 7
	// maxOwners limits the owners, whose renewals every instance reads, and
	// enginesPerOwnerAtMax is the number of engines for each owner where maxOwners would be too
	// few: a renewal has capacity for half as many more, those of owners that are lost.
	maxOwners            = 40
	enginesPerOwnerAtMax = 60
	// minStrongOwners is the number of instances of at least twice the power that is enough to
	// leave the engines to them. Each of them owns up to twice as many engines. An owner receives
	// the reports of all other instances, which saturate the links of weak ones.
	minStrongOwners = 5
	// standbyInterval is the time between two renewals of an instance on standby. Other
	// instances do not depend on a recent row of it.
	standbyInterval = time.Minute
	// standbySpacing is the average time between the writes of two instances on standby when all
	// start or lose the store at the same moment: a partition of the store handles a few hundred
	// writes per second, and the writes of the owners go first.
	standbySpacing = 20 * time.Millisecond
	// standbyDelay is by how much the first writes of the owners precede those of the instances
	// on standby.
	standbyDelay = time.Second
	// standbyRetryInterval is the time between two attempts of an instance on standby whose
	// renewal failed.
	standbyRetryInterval = 5 * time.Second
)

// standby reports whether this instance should be on standby, because there are enough other
// instances to own the engines. It is false if this instance owns engines or is leaving, or if an
// earlier start of it owned engines.
func (h *Holder) standby() bool {
	if len(h.holdings) > 0 || h.leaving.Load() || h.ownedPreviously() {
		return false
	}
	self := instanceRow{Instance: h.Self, hash: addressHash(h.Self.Peer)}
	ahead, strong := 0, 0
	for peer, r := range h.instances {
		if peer == h.Self.Peer || r.Leaving || !h.live(r) {
			continue
		}
		if comparePower(r, self) < 0 {
			ahead++
		}
		if h.Self.Power > 0 && r.Power >= 2*h.Self.Power {
			strong++
		}
	}
	needed := ownerCount(len(h.Engines()))
	return strong >= max(minStrongOwners, needed/2) || ahead >= max(minOwners, needed)
}

// ownedPreviously reports whether an earlier start of this instance owned engines that no other
// instance has taken over since. This instance takes them back, even if others rank before it,
// since those would have to wait for the end of a lease.
func (h *Holder) ownedPreviously() bool {
	return slices.ContainsFunc(h.Engines(), func(engine netip.AddrPort) bool {
		return h.owners[engine].Peer == h.Self.Peer
	})
}

// ownerCount returns how many instances should own the given number of engines in a large
// deployment. In a small one it is below minOwners, which the caller then uses.
func ownerCount(engines int) int {
	return max(min(engines/enginesPerOwner, maxOwners), engines/enginesPerOwnerAtMax)
}

// leaveRecorded reports whether the row of this instance states that it is leaving and the instance
// owns no engines. Such an instance no longer renews: otherwise 70 instances that are replaced one
// after the other would write until their last requests end.
func (h *Holder) leaveRecorded() bool {
	row := h.instances[h.Self.Peer]
	return h.leaving.Load() && row.Leaving && row.Incarnation == h.Self.Incarnation && len(h.holdings) == 0
}

// standbyDue reports whether an instance on standby should renew its row now.
func (h *Holder) standbyDue() bool {
	row, now := h.instances[h.Self.Peer], h.Clock()
	spread := h.jitter(time.Duration(len(h.instances)) * standbySpacing)
	switch {
	case h.renewalFailed:
		return now-h.attemptedAt >= standbyRetryInterval+spread
	case row.Incarnation != h.Self.Incarnation || !row.Standby:
		return now-h.started >= standbyDelay+spread
	default:
		return now-h.renewedAt >= standbyInterval
	}
}

// jitter returns a delay between 0 and d that differs between instances and between the starts of
// an instance.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(sniperoute.Hash(h.Self.Peer.String(), h.Self.Incarnation)) / math.MaxUint64 * float64(d))
}
