package sniperoute

import (
	"math"
	"time"
)

const (
	// MaxReplicas bounds the number of engines that hold one adapter to share its load.
	MaxReplicas = 16
	// replicaFill is the share of an engine's batch, the calls that it runs at once, that the calls
	// of one adapter may occupy before another engine is added.
	replicaFill = 0.75
	// replicaSmoothing is the time in which the weight of a past load decreases to 1/e.
	replicaSmoothing = 5 * time.Second
	// replicaHold is how long fewer engines must suffice before their number is reduced. Shorter:
	// engines would be removed and added again when the load varies; longer: the adapter would
	// occupy slots that it no longer needs.
	replicaHold = time.Minute
)

// PickReplica is Pick for an adapter that count engines hold. It distributes the calls, by the hash
// of each call, over the first count candidates of the ranking that are usable and not excluded, at
// most MaxReplicas of them. It returns the index of a candidate, or -1 when there is none.
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

// Replicas computes how many engines should hold one adapter, from the calls in flight at its home
// engine. The calls are distributed evenly over these engines, so that the home receives 1/Count of
// them. The count of the zero value is 1. Replicas is not safe for concurrent use.
type Replicas struct {
	count     int
	mean      float64   // smoothed number of calls in flight at the home
	steppedAt time.Time // time of the last step
	lowSince  time.Time // since when fewer engines would suffice; zero if they would not
}

// Count returns the number of engines that should hold the adapter, at least 1.
func (r *Replicas) Count() int { return max(r.count, 1) }

// Step records the number of calls in flight at the home, whose batch has the given size, and
// returns the new count, at most MaxReplicas. The count increases as soon as the smoothed number of
// calls requires it, and decreases only after fewer engines have sufficed for replicaHold.
func (r *Replicas) Step(now time.Time, inFlight, batch int) int {
	if r.steppedAt.IsZero() {
		r.steppedAt = now
	}
	decay := math.Exp(-float64(now.Sub(r.steppedAt)) / float64(replicaSmoothing))
	r.mean = decay*r.mean + (1-decay)*float64(inFlight)
	r.steppedAt = now
	total := r.mean * float64(r.Count())
	want := min(max(int(math.Ceil(total/(replicaFill*float64(max(batch, 1))))), 1), MaxReplicas)
	switch {
	case want > r.Count():
		r.count = want
		// The added engines take over some of the home's calls.
		r.mean = total / float64(want)
		r.lowSince = time.Time{}
	case want == r.Count():
		r.lowSince = time.Time{}
	case r.lowSince.IsZero():
		r.lowSince = now
	case now.Sub(r.lowSince) >= replicaHold:
		r.count, r.lowSince = want, time.Time{}
		r.mean = total / float64(want)
	}
	return r.Count()
}
