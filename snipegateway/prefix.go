package snipegateway

import (
	"snipepitch.example/snipepitch/snipebalance"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// minSharedTokens is the number of shared prompt tokens from which on the choice prefers the
	// engine that has processed them. Fewer tokens take an engine less time than the difference
	// between the engines' loads.
	minSharedTokens = 1000
	// tokensPerRequest is the number of prompt tokens that an engine processes in the time that one
	// short request takes.
	tokensPerRequest = 1350
)

// prefixCost returns the extra cost of choosing an engine that has not processed the prompt parts
// that a request shares with others, or nil if these parts are short. All instances prefer the same
// engine for the same parts without coordination, so that each part is processed by one of the
// engines that hold the adapter and not by all of them.
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
