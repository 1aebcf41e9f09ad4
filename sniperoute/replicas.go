package sniperoute

import (
	"math"
	"time"
)

const (
	// MaxReplicas bounds the engines that hold one adapter for its load.
	MaxReplicas = 16
	// replicaFill is the part of an engine's batch that one adapter may fill
	// before another engine takes a share.
	replicaFill = 0.75
	// replicaSmoothing is the time in which a past load falls to 1/e.
	replicaSmoothing = 5 * time.Second
	// replicaHold is how long a number stays before it falls.
	replicaHold = time.Minute
)

// PickReplica is Pick for an adapter that count engines hold: it spreads the
// calls, given by their own hash, over the first count in the ranking.
func PickReplica(key, call uint64, count int, candidates []Candidate) int {
	if count <= 1 {
		return Pick(key, candidates)
	}
	var best [MaxReplicas]int
	found := 0
	limit := min(count, MaxReplicas)
	for i := range candidates {
		if c := &candidates[i]; !c.Usable || c.Excluded {
			continue
		}
		score := Score(key, candidates[i].Hash)
		n := found
		for n > 0 && Score(key, candidates[best[n-1]].Hash) < score {
			n--
		}
		if n == limit {
			continue
		}
		found = min(found+1, limit)
		copy(best[n+1:found], best[n:found-1])
		best[n] = i
	}
	if found == 0 {
		return -1
	}
	return best[call%uint64(found)]
}

// Replicas decides how many engines should hold one adapter, from what its
// home engine sees: the calls are spread evenly, so that the home has one part
// in Count of them. The zero value counts 1.
type Replicas struct {
	count   int
	mean    float64 // calls in flight at the home
	at      time.Time
	lowered time.Time // when fewer would have been enough, first
}

// Count returns the number of engines.
func (r *Replicas) Count() int { return max(r.count, 1) }

// Step takes the calls in flight at the home, whose batch has the given size,
// and returns the number of engines. It rises at once and falls after a while.
func (r *Replicas) Step(now time.Time, inFlight, batch int) int {
	if r.at.IsZero() {
		r.at = now
	}
	keep := math.Exp(-float64(now.Sub(r.at)) / float64(replicaSmoothing))
	r.mean = keep*r.mean + (1-keep)*float64(inFlight)
	r.at = now
	all := r.mean * float64(r.Count())
	want := min(max(int(math.Ceil(all/(replicaFill*float64(max(batch, 1))))), 1), MaxReplicas)
	switch {
	case want > r.Count():
		r.count = want
		// The home gives a part of its calls away.
		r.mean = all / float64(want)
		r.lowered = time.Time{}
	case want == r.Count():
		r.lowered = time.Time{}
	case r.lowered.IsZero():
		r.lowered = now
	case now.Sub(r.lowered) >= replicaHold:
		r.count, r.lowered = want, time.Time{}
		r.mean = all / float64(want)
	}
	return r.Count()
}
