package snipesignal

import "time"

const (
	// sharedFraction is the fraction of a limit that is divided among the first instances by rank.
	// probeFraction is the fraction that all other instances may use together for probes, which
	// find out whether the upstream still names the limit. An upstream tolerates half as much again
	// as its limit; this margin is left for instances that have not discovered each other yet and
	// so take larger shares.
	sharedFraction = 0.9
	probeFraction  = 0.1
	// spareShares is how many instances divide sharedFraction in addition to one for each request
	// per second of the limit. An unused send slot may be used at any moment, so each of these
	// instances can add one request to those of any span of time: more instances could exceed the
	// limit for a moment.
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
	// Rank is the rank of the instance among those that share the limit.
	Rank int
}

// Divide returns the share of the instance with the given rank, which counts from 0, in a limit in
// requests per second that the given number of instances share. The first instances by rank divide
// sharedFraction of the limit evenly, and the other ones only probe. A rank that is not below the
// number of instances raises that number.
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

// setIntervals sets the interval and the time of the first send slot of one of several instances,
// which together send perSecond requests per second, one after the other in the order of their
// index.
func (p *Share) setIntervals(perSecond float64, sharers, index int) {
	p.Interval = time.Duration(float64(sharers) / perSecond * float64(time.Second))
	p.First = time.Duration(float64(p.Interval) * float64(index+1) / float64(sharers))
}
