package snipesignal

import "time"

const (
	// sharedFraction is the fraction of a limit that is divided among the first instances by rank.
	// probeFraction is the fraction that all other instances may use together for probes: requests
	// that show whether the upstream still names the limit. An upstream tolerates half as much
	// again as its limit. This margin is left for instances that have not discovered each other
	// yet: each of them counts too few instances and takes too large a share.
	sharedFraction = 0.9
	probeFraction  = 0.1
	// spareShares is added to the limit in requests per second: so many instances, the first by
	// rank, divide sharedFraction. Each of them may use a saved send slot at any moment, so all of
	// them may send one request at once. With more instances, such a burst could exceed the limit.
	spareShares = 4
	// probeWindow is how long an instance that only probes may use each of its send slots.
	probeWindow = 2 * time.Second
	// minLimit is the limit, in requests per second, that is divided in place of a smaller one.
	// Some requests must still be sent, because only an answer shows that a limit is over.
	minLimit = 0.1
)

// Share is the share of one instance in a limit. It determines the instance's send slots, each of
// which permits one request.
type Share struct {
	// Interval is the time between the beginnings of two send slots. First is the time from the
	// start of the limit to the first send slot.
	Interval time.Duration
	First    time.Duration
	// SlotTime is how long a send slot may be used after it begins. It is set for an instance that
	// only probes; one of its send slots begins every Interval. If SlotTime is zero, an unused send
	// slot may be used at any later time, and the next one begins Interval after that use.
	SlotTime time.Duration
	// Burst is how many unused send slots may be used later at once, beside the one that is open.
	Burst int
	// Rank is the rank of the instance among those that share the limit.
	Rank int
}

// Divide returns the share of the instance with the given rank, which counts from 0, in a limit in
// requests per second that the given number of instances share. The first instances by rank, the
// limit rounded down plus spareShares of them, divide sharedFraction of the limit evenly. The other
// ones only probe, and divide probeFraction. If the rank is not below the number of instances, that
// number is taken to be rank+1.
func Divide(limit float64, instances, rank int) Share {
	limit = max(limit, minLimit)
	instances = max(instances, rank+1)
	shares := spareShares + int(min(limit, float64(instances)))
	shares = min(shares, instances)
	p := Share{Rank: rank}
	if rank < shares {
		p.setIntervals(sharedFraction*limit, shares, rank)
		return p
	}
	p.setIntervals(probeFraction*limit, instances-shares, rank-shares)
	p.SlotTime = probeWindow
	return p
}

// setIntervals sets the interval and the time of the first send slot of one of several instances.
// Together these instances, as many as sharers, send perSecond requests per second. Their
// first send slots follow each other in the order of their index, which counts from 0.
func (p *Share) setIntervals(perSecond float64, sharers, index int) {
	p.Interval = time.Duration(float64(sharers) / perSecond * float64(time.Second))
	p.First = time.Duration(float64(p.Interval) * float64(index+1) / float64(sharers))
}
