package snipegateway

import (
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// minSharedTokens is the number of shared prompt tokens from which on the choice prefers one
	// engine for them. Below it, processing the tokens again takes less time than a request loses
	// at an engine that has more requests in flight.
	minSharedTokens = 1000
	// tokensPerRequest is the number of prompt tokens that an engine processes in the time that one
	// short request takes.
	tokensPerRequest = 1350
)

// prefixCost returns the extra cost of choosing an engine other than the preferred one for the
// prompt parts that a request shares with others, or nil if the shared parts are short. The
// preferred engine is the first of the usable eligible engines in a ranking by these parts. All
// instances rank alike without exchanging messages, so that usually one of the engines that hold
// the adapter processes the parts, and not all of them. The cost is that of processing the parts
// once more.
func (c *Chooser) prefixCost(all []*snipedirectory.Upstream, eligible snipebalance.Filter, q *Request) snipebalance.Cost {
	tokens, lastPart := q.sharedPrefix()
	if tokens < minSharedTokens {
		return nil
	}
	key := sniperoute.Hash(q.Adapter.Model, q.Adapter.Name, lastPart)
	var preferred *snipedirectory.Upstream
	var highest uint64
	for _, u := range all {
		if !eligible(u) || !c.Balancer.Usable(u) {
			continue
		}
		if score := sniperoute.Score(key, u.RankKey); preferred == nil || score > highest {
			preferred, highest = u, score
		}
	}
	return func(u *snipedirectory.Upstream) float64 {
		if u == preferred {
			return 0
		}
		return float64(tokens) / tokensPerRequest
	}
}
