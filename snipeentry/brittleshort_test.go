package snipeentry_test

import (
	"testing"
	"time"
)

// shortLoad returns a load of short requests with a short deadline, whose callers come in clumps, on three plain
// upstreams before nine instances.
func shortLoad(offered float64) brittleLoad {
	const took = 45 * time.Millisecond
	return brittleLoad{
		instances: 9, offered: offered, slots: []int{6, 6, 6}, took: []time.Duration{took, took, took}, spread: 15 * time.Millisecond,
		deadline: time.Second, target: 150 * time.Millisecond, clump: 12, queue: shortQueue,
	}
}

// manyEngines returns a load on twelve engines before nine instances.
func manyEngines(offered float64) brittleLoad {
	l := brittleLoad{instances: 9, offered: offered, engines: true, queue: shortQueue, spread: 100 * time.Millisecond, clump: 12, deadline: 6 * time.Second}
	for range 12 {
		l.slots = append(l.slots, 4)
	}
	return l
}

// TestBrittleShortRequests guards against brittle upstreams that crash, and callers who are refused, where places come
// free sooner than messages between instances take on a busy machine.
func TestBrittleShortRequests(t *testing.T) {
	tests := map[string]brittleLoad{
		"Below":        shortLoad(0.6),
		"Above":        shortLoad(1.25),
		"Twice":        shortLoad(2),
		"EnginesBelow": manyEngines(0.6),
		"EnginesAbove": manyEngines(1.25),
		"EnginesTwice": manyEngines(2),
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playBrittle(t, &tt)
		})
	}
}
