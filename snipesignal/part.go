package snipesignal

import "time"

const (
	// dividedShare is the part of a limit that is divided among instances, lookShare what those
	// without a part use to learn whether it is still named. An upstream allows half as much
	// more, which is for instances that do not know each other yet.
	dividedShare = 0.9
	lookShare    = 0.1
	// spareParts is how many parts there are beside one for each request a second: each may
	// be used at any moment, so that in a span of time there comes one request more for each.
	spareParts = 4
	// lookSlot is how long one that has no part may use its turn.
	lookSlot = 2 * time.Second
	// leastLimit is the limit, in requests a second, by which one of nearly nothing is divided:
	// that it is over shows only in an answer.
	leastLimit = 0.1
)

// Part is one instance's part of a limit.
type Part struct {
	// Interval is the least time between two requests, First the time from the beginning of the
	// limit to the first one.
	Interval time.Duration
	First    time.Duration
	// Slot is how long each turn may be used that an Interval begins; zero where one that was not
	// used may be used at any time after it.
	Slot time.Duration
	// Rank is the instance's rank among those that share the limit.
	Rank int
}

// Divide returns the part of an instance, by its rank from 0 on, in a limit in requests a second
// that so many instances share.
func Divide(limit float64, instances, rank int) Part {
	limit = max(limit, leastLimit)
	instances = max(instances, rank+1)
	parts := spareParts + int(min(limit, float64(instances)))
	parts = min(parts, instances)
	p := Part{Rank: rank}
	if rank < parts {
		p.share(dividedShare*limit, parts, rank)
		return p
	}
	p.share(lookShare*limit, instances-parts, rank-parts)
	p.Slot = lookSlot
	return p
}

// share makes it the part of one that shares requests a second equally with others, each in its
// turn.
func (p *Part) share(perSecond float64, sharers, place int) {
	p.Interval = time.Duration(float64(sharers) / perSecond * float64(time.Second))
	p.First = time.Duration(float64(p.Interval) * float64(place+1) / float64(sharers))
}
