package snipeowner

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"snipepitch.example/snipepitch/sniperoute"
)

// Of many instances a few own all engines. The others stand by: they renew their rows seldom and
// own nothing, until there are too few owners.

const (
	// leastOwners is how many instances share the engines where there are few, and
	// enginesPerOwner how many engines each has where there are many: one renews its
	// row each second, whatever it owns, and its loss stops the orders of them all.
	leastOwners     = 9
	enginesPerOwner = 7
	// mostOwners bounds the owners, whose renewals every instance takes in, and fullOwner is
	// how many engines each has where that is not enough: a renewal has room for half as
	// many again, those of owners that are lost.
	mostOwners = 40
	fullOwner  = 60
	// strongOwners is how many instances of at least twice the power are enough to leave
	// the engines to them, each up to twice as many: an owner takes the reports of all others,
	// which fill the links of weak ones.
	strongOwners = 5
	// standbyEvery is the time between two renewals of an instance that owns nothing
	// and is not needed: what others do with its row can wait.
	standbyEvery = time.Minute
	// standbyPause is the time between the writes of two instances on standby on average,
	// where all start or have lost the store at the same moment: a part of the store makes a
	// few hundred writes a second, and the owners' go first.
	standbyPause = 20 * time.Millisecond
	// standbyBegin is how long the owners' first writes go before those on standby.
	standbyBegin = time.Second
	// standbyRetry is the time between two tries of one that the store does not answer.
	standbyRetry = 5 * time.Second
)

// standby reports whether there are enough other instances to own the engines.
func (h *Holder) standby() bool {
	if len(h.holdings) > 0 || h.leaving.Load() || h.formerOwner() {
		return false
	}
	self := sighting{Instance: h.Self, hash: addressHash(h.Self.Peer)}
	ahead, strong := 0, 0
	for peer, s := range h.instance {
		if peer == h.Self.Peer || s.Leaving || !h.live(s) {
			continue
		}
		if comparePower(s, self) < 0 {
			ahead++
		}
		if h.Self.Power > 0 && s.Power >= 2*h.Self.Power {
			strong++
		}
	}
	enough := owners(len(h.Engines()))
	return strong >= max(strongOwners, enough/2) || ahead >= max(leastOwners, enough)
}

// formerOwner reports whether an earlier start of this instance owned engines that nobody has
// taken since. It takes them back, whoever ranks before it: others would wait for a lease.
func (h *Holder) formerOwner() bool {
	return slices.ContainsFunc(h.Engines(), func(engine netip.AddrPort) bool {
		return h.owners[engine].Machine == h.Self.Peer
	})
}

// owners returns how many instances should share so many engines where there are many.
func owners(engines int) int {
	return max(min(engines/enginesPerOwner, mostOwners), engines/fullOwner)
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
	row, now := h.instance[h.Self.Peer], h.Clock()
	spread := h.portion(time.Duration(len(h.instance)) * standbyPause)
	switch {
	case h.lost:
		return now-h.triedAt >= standbyRetry+spread
	case row.Incarnation != h.Self.Incarnation || !row.Standby:
		return now-h.started >= standbyBegin+spread
	default:
		return now-h.renewedAt >= standbyEvery
	}
}

// portion returns this instance's moment in a time over which all spread, another one at each
// start.
func (h *Holder) portion(d time.Duration) time.Duration {
	return time.Duration(float64(sniperoute.Hash(h.Self.Peer.String(), h.Self.Incarnation)) / math.MaxUint64 * float64(d))
}
