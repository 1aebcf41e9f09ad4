package snipeentry_test

import (
	"testing"
	"time"
)

// TestBrittleUpstreams guards against upstreams that say that they are brittle and crash again and again, because
// all instances together send them more than they have room for, and against callers that are refused although
// the upstreams have room.
func TestBrittleUpstreams(t *testing.T) {
	startAnother := func(s *testCluster, all []*instance) []*instance {
		i := s.start("another")
		eventually(s.t, i.isReady)
		return append(all, i)
	}
	killFirst := func(_ *testCluster, all []*instance) []*instance {
		all[0].kill()
		return all[1:]
	}
	loseUpstream := func(s *testCluster, all []*instance) []*instance {
		s.runners["u0"].Drain()
		return all
	}
	tests := map[string]brittleLoad{
		"One":              {instances: 1, offered: 1.25, queue: shortQueue},
		"SixBelow":         {instances: 6, offered: 0.6, queue: shortQueue},
		"Six":              {instances: 6, offered: 1.25, queue: shortQueue},
		"SixAbove":         {instances: 6, offered: 2.5, queue: shortQueue},
		"HiddenBelow":      {instances: 6, offered: 0.6, queue: shortQueue, hidesLoad: true},
		"Hidden":           {instances: 6, offered: 1.25, queue: shortQueue, hidesLoad: true},
		"HiddenAbove":      {instances: 6, offered: 2.5, queue: shortQueue, hidesLoad: true},
		"EnginesBelow":     {instances: 6, offered: 0.6, queue: shortQueue, engines: true},
		"Engines":          {instances: 6, offered: 1.25, queue: shortQueue, engines: true},
		"EnginesAbove":     {instances: 6, offered: 2.5, queue: shortQueue, engines: true},
		"EnginesHidden":    {instances: 6, offered: 2.5, queue: shortQueue, engines: true, hidesLoad: true},
		"Skewed":           {instances: 6, offered: 1.25, queue: shortQueue, skewed: true},
		"SkewedEngines":    {instances: 6, offered: 1.25, queue: shortQueue, skewed: true, engines: true, hidesLoad: true},
		"NoQueue":          {instances: 6, offered: 1.25, queue: 0, hidesLoad: true},
		"Uneven":           {instances: 6, offered: 1.25, queue: shortQueue, hidesLoad: true, slots: []int{2, 4, 4, 8}, took: []time.Duration{brittleTook / 2, brittleTook, brittleTook, 2 * brittleTook}},
		"Started":          {instances: 5, offered: 1.25, queue: shortQueue, hidesLoad: true, during: startAnother},
		"StartedEngines":   {instances: 5, offered: 1.25, queue: shortQueue, engines: true, during: startAnother},
		"Killed":           {instances: 6, offered: 1.25, queue: shortQueue, hidesLoad: true, during: killFirst},
		"KilledEngines":    {instances: 6, offered: 1.25, queue: shortQueue, engines: true, during: killFirst},
		"UpstreamLeaves":   {instances: 6, offered: 0.9, queue: shortQueue, hidesLoad: true, during: loseUpstream},
		"SkewedKilledSome": {instances: 6, offered: 2.5, queue: shortQueue, hidesLoad: true, skewed: true, during: killFirst},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playBrittle(t, &tt)
		})
	}
}
