package snipegateway

import (
	"container/heap"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

// rankKey returns the hash of an adapter by which engines are ranked for it.
func rankKey(a snipecatalog.Adapter) uint64 { return sniperoute.Hash(a.Model, a.Name) }

// ranking yields engines in the order in which they should hold an adapter, which is the same on
// every instance. It implements heap.Interface.
type ranking []rankedEngine

// rankedEngine is an engine with its score for an adapter; the highest score ranks first.
type rankedEngine struct {
	upstream *snipedirectory.Upstream
	score    uint64
}

func newRanking(all []*snipedirectory.Upstream, a snipecatalog.Adapter) *ranking {
	key := rankKey(a)
	r := make(ranking, 0, len(all))
	for _, u := range all {
		r = append(r, rankedEngine{u, sniperoute.Score(key, u.RankKey)})
	}
	heap.Init(&r)
	return &r
}

// next removes and returns the highest-ranked engine.
func (r *ranking) next() *snipedirectory.Upstream { return heap.Pop(r).(rankedEngine).upstream }

// Len implements heap.Interface.
func (r *ranking) Len() int { return len(*r) }

// Less implements heap.Interface.
func (r *ranking) Less(i, j int) bool { return (*r)[i].score > (*r)[j].score }

// Swap implements heap.Interface.
func (r *ranking) Swap(i, j int) { (*r)[i], (*r)[j] = (*r)[j], (*r)[i] }

// Push implements heap.Interface.
func (r *ranking) Push(x any) { *r = append(*r, x.(rankedEngine)) }

// Pop implements heap.Interface.
func (r *ranking) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
