package snipelease

import (
	"cmp"
	"slices"
	"time"

	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/sniperoute"
)

// boundFactor is how far above the even share an instance's number of engines may be before it
// hands engines over. Without it, each instance that joins would move engines that are served
// well.
const boundFactor = 1.25

// plan is the distribution of engines over instances as far as this instance knows.
type plan struct {
	// eligible are the instances that may own engines; counts is how many engines each of them owns.
	eligible []string
	counts   map[string]int
	// evenShare is the number of engines divided by the number of eligible instances, rounded up.
	// bound is the number above which an owner hands engines over.
	evenShare, bound int
	// joined reports that this instance has joined the membership, or has waited Duration for it.
	joined bool
}

// plan counts the engines of each eligible instance. Instances may compute different plans: the
// conditional writes to the table resolve conflicts, and a wrong plan costs one move.
func (h *Holder) plan() plan {
	// The instances that the platform lists may all be gone, so the wait for a first contact ends
	// after Duration.
	p := plan{counts: map[string]int{}, joined: h.observed.joined || time.Since(h.started) > h.Duration}
	_, _, outage := h.outage()
	for _, m := range h.observed.all {
		if h.mayOwn(m, outage) {
			p.eligible = append(p.eligible, m.Name)
			p.counts[m.Name] = 0
		}
	}
	engines := h.Engines()
	for _, engine := range engines {
		r := h.rows[engine]
		_, eligible := p.counts[r.Instance]
		if eligible && (r.Instance != h.Self.Name || r.owner == h.selfOwner()) {
			p.counts[r.Instance]++
		}
	}
	n := max(len(p.eligible), 1)
	p.evenShare = (len(engines) + n - 1) / n
	p.bound = max(p.evenShare, int(float64(len(engines))/float64(n)*boundFactor))
	return p
}

// mayOwn reports whether a member is eligible to own engines.
func (h *Holder) mayOwn(m snipemember.Member, outage bool) bool {
	if m.Name == h.Self.Name {
		return !h.leaving.Load()
	}
	// A suspect's engines may have to be taken over. If suspects counted, no instance would have
	// capacity for those engines where all instances own an even share.
	if m.Status != snipemember.Alive || m.Leaving {
		return false
	}
	return outage || !h.observed.tableLost[m.Name] && !h.observed.hung[m.Name]
}

// candidates returns the eligible instances with capacity for one more engine, the one with the
// highest score for the engine first.
func (p plan) candidates(engine string) []string {
	key := sniperoute.Hash(engine)
	var available []string
	for _, name := range p.eligible {
		if p.counts[name] < p.evenShare {
			available = append(available, name)
		}
	}
	slices.SortFunc(available, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(sniperoute.Score(key, sniperoute.Hash(b)), sniperoute.Score(key, sniperoute.Hash(a))),
			cmp.Compare(a, b),
		)
	})
	return available
}

// maxWatchers is how many candidates watch the lease row of an owner that is gone, so that the
// next candidate has already waited when the first does not act.
const maxWatchers = 4

// rank returns this instance's position among the candidates for an engine that has no live owner.
// It reports false when the position is not below maxWatchers.
func (h *Holder) rank(p plan, engine string, row ownerRow) (int, bool) {
	if row.Instance == h.Self.Name {
		// The owner is an earlier incarnation of this instance, and the membership reports this
		// name as alive: no other instance claims the engine.
		return 0, true
	}
	n := slices.Index(p.candidates(engine), h.Self.Name)
	return n, n >= 0 && n < maxWatchers
}

// mayClaimNow reports whether this instance may claim an engine that has been free since the given
// time: the first candidate (rank 0) at once, each further one 2*Renew after the one before it.
func (h *Holder) mayClaimNow(rank int, free time.Time) bool {
	return time.Since(free) >= time.Duration(rank)*2*h.Renew
}

// hasHighestScore reports whether this instance has the highest score for an engine among the live
// instances other than its owner.
func (h *Holder) hasHighestScore(engine, owner string) bool {
	key := sniperoute.Hash(engine)
	own := sniperoute.Score(key, sniperoute.Hash(h.Self.Name))
	for _, m := range h.observed.all {
		if m.Live() && m.Name != owner && sniperoute.Score(key, sniperoute.Hash(m.Name)) > own {
			return false
		}
	}
	return true
}

// presumedGone reports whether the lease row of an owner is to be checked for a takeover: the
// membership does not report the owner as alive, or the owner has lost the table or is hung while
// there is no outage.
func (h *Holder) presumedGone(name string) bool {
	m, ok := h.observed.byName[name]
	if !ok || m.Status != snipemember.Alive {
		return true
	}
	_, _, outage := h.outage()
	return (h.observed.tableLost[name] || h.observed.hung[name]) && !outage
}
