package snipegateway

import (
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// leastShared is from how many tokens that a prompt shares with others it counts
	// where they were read: fewer take an engine less time than the engines' loads differ
	// by.
	leastShared = 1000
	// requestTokens is how many tokens an engine reads in the time that one short
	// request takes of it.
	requestTokens = 1350
)

// memoryCost returns what speaks against the engines that have not read the parts which
// a prompt shares with others; nil when that is little. All instances choose the same
// engine for the same parts, without telling each other, so that each part is read by
// one of the engines that hold the adapter and not by all of them.
func (c *Chooser) memoryCost(all []*snipedirectory.Upstream, may snipebalance.Filter, q *Request) snipebalance.Cost {
	tokens, last := q.shared()
	if tokens < leastShared {
		return nil
	}
	key := sniperoute.Hash(q.Adapter.Model, q.Adapter.Name, last)
	var reader *snipedirectory.Upstream
	var highest uint64
	for _, u := range all {
		if !may(u) || !c.Balancer.Usable(u) {
			continue
		}
		if score := sniperoute.Score(key, u.RankKey); reader == nil || score > highest {
			reader, highest = u, score
		}
	}
	return func(u *snipedirectory.Upstream) float64 {
		if u == reader {
			return 0
		}
		return float64(tokens) / requestTokens
	}
}
