package snipeentry_test

import (
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

// restartPause is the time between two restarts of instances one after the other.
const restartPause = 400 * time.Millisecond

// sixSlots returns a load on three upstreams of six slots before nine instances.
func sixSlots(offered float64) brittleLoad {
	const took = 200 * time.Millisecond
	return brittleLoad{
		instances: 9, offered: offered, slots: []int{6, 6, 6}, took: []time.Duration{took, took, took}, queue: shortQueue,
	}
}

// with returns the load after a change.
func (l brittleLoad) with(change func(l *brittleLoad)) brittleLoad {
	change(&l)
	return l
}

// slowMessages makes messages take 100 ms.
func slowMessages(l *brittleLoad) { l.peerDelay = 100 * time.Millisecond }

// restartEach restarts the instances one after the other.
func restartEach(s *testCluster, all []*instance) {
	for _, i := range all {
		s.restart(i)
		time.Sleep(restartPause)
	}
}

// restartAll kills all instances and starts them again.
func restartAll(s *testCluster, all []*instance) {
	for _, i := range all {
		i.kill()
	}
	for _, i := range all {
		s.t.Log("killed:", <-i.ended)
		s.run(i.Settings, nil)
	}
}

// firstOther reports whether an instance is the first that does not coordinate.
func firstOther(instance, coordinator string) bool {
	if coordinator == "i0" {
		return instance == "i1"
	}
	return instance == "i0"
}

// theCoordinator reports whether an instance coordinates.
func theCoordinator(instance, coordinator string) bool { return instance == coordinator }

// silenceStore makes the store silent for the rest of the test.
func silenceStore(s *testCluster, all []*instance) []*instance {
	s.store.SetMode(snipestand.StoreSilent)
	return all
}

// TestBrittleTroubles guards against brittle upstreams that crash, and callers who are refused beside free places, where
// messages between instances are late, instances restart, the store is silent, upstreams are uneven, or single requests
// take more of an upstream than one that is served.
func TestBrittleTroubles(t *testing.T) {
	tests := map[string]brittleLoad{
		"SlowMessagesBelow":   sixSlots(0.6).with(slowMessages),
		"SlowMessages":        sixSlots(1.25).with(slowMessages),
		"SlowMessagesShort":   shortLoad(1.25).with(slowMessages),
		"SlowMessagesEngines": sixSlots(1.25).with(slowMessages).with(func(l *brittleLoad) { l.engines = true }),
		"LateMessages":        sixSlots(1.25).with(func(l *brittleLoad) { l.peerDelay = 30 * time.Millisecond }),
		"OneSlow":             sixSlots(1.25).with(func(l *brittleLoad) { l.peerDelay, l.delays = 250*time.Millisecond, firstOther }),
		"SlowCoordinator": sixSlots(1.25).with(func(l *brittleLoad) {
			l.peerDelay, l.delays = 250*time.Millisecond, theCoordinator
		}),
		"RestartEach":  sixSlots(1.25).with(func(l *brittleLoad) { l.meanwhile = restartEach }),
		"RestartAll":   sixSlots(1.25).with(func(l *brittleLoad) { l.meanwhile = restartAll }),
		"StoreSilent":  sixSlots(1.25).with(func(l *brittleLoad) { l.during = silenceStore }),
		"SlowUpstream": sixSlots(1.25).with(func(l *brittleLoad) { l.took = []time.Duration{brittleTook, brittleTook / 5, brittleTook / 5} }),
		"CallersLeave": sixSlots(1.25).with(func(l *brittleLoad) { l.leaving, l.linger = 3, 1500*time.Millisecond }),
		"Large":        sixSlots(0.6).with(func(l *brittleLoad) { l.large = true }),
		"LargeEngines": sixSlots(0.6).with(func(l *brittleLoad) { l.large, l.engines = true, true }),
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playBrittle(t, &tt)
		})
	}
}
