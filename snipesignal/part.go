package snipesignal

import "time"

const (
	// sharedFraction is the fraction of a limit that is divided among the instances with a share.
	// probeFraction is the fraction that all instances without a share may use together for probes,
	// which find out whether the upstream still names the limit. An upstream tolerates half as much
	// again as its limit; that margin is left for instances that have not discovered each other yet
	// and so take larger shares.
	sharedFraction = 0.9
	probeFraction  = 0.1
	// spareShares is how many shares there are in addition to one for each request per second of
	// the limit. A share that was not used may be used at any moment, so each share can add one
	// request to those of any span of time.
	spareShares = 4
	// probeWindow is how long an instance without a share may use each of its send slots.
	probeWindow = 2 * time.Second
	// minLimit is the limit, in requests per second, that is divided in place of a smaller one.
	// Some requests must still be sent, because only an answer shows that a limit is over.
	minLimit = 0.1
)

// Share is the share of one instance in a limit.
type Share struct {
	// Interval is the minimum time between two requests. First is the time from the start of the
	// limit to the first request.
	Interval time.Duration
	First    time.Duration
	// SlotTime is how long a send slot may be used after it begins; one begins every Interval. If SlotTime
	// is zero, an unused send slot may be used at any later time.
	SlotTime time.Duration
	// Rank is the rank of the instance among those that share the limit.
	Rank int
}

// Divide returns the share of the instance with the given rank, which counts from 0, in a limit in
// requests per second that the given number of instances share.
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

// setIntervals sets the interval and the first send time of one of several sharers, which together
// send perSecond requests per second, in the order of their index.
func (p *Share) setIntervals(perSecond float64, sharers, index int) {
	p.Interval = time.Duration(float64(sharers) / perSecond * float64(time.Second))
	p.First = time.Duration(float64(p.Interval) * float64(index+1) / float64(sharers))
}
