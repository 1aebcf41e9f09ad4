package snipeadapter

import (
	"maps"
	"sync"
	"time"
)

// maxOrderDelay is how long an order that got no answer may still be carried out.
const maxOrderDelay = 15 * time.Second

// unansweredLoads records the loads that got no answer, by engine name, for all starts of the
// engine. A load that arrives late has no effect as long as the engine keeps counting its orders,
// because the load states an older count; after a restart the count begins again and reaches every
// number once more. The zero value is ready to use.
type unansweredLoads struct {
	lock sync.Mutex // guards sent
	// sent is when a load was last sent, by engine name and by the order count that the load
	// states. Repeats of an order state the same count, and the engine accepts only one of them.
	sent map[string]map[uint64]time.Time
}

// add records a load that got no answer.
func (l *unansweredLoads) add(name string, expect uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.sent == nil {
		l.sent = make(map[string]map[uint64]time.Time)
	}
	l.prune()
	if l.sent[name] == nil {
		l.sent[name] = make(map[uint64]time.Time)
	}
	l.sent[name][expect] = time.Now()
}

// count returns how many loads of an engine may still be carried out.
func (l *unansweredLoads) count(name string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.prune()
	return len(l.sent[name])
}

// prune drops loads that can no longer be carried out. The lock is held.
func (l *unansweredLoads) prune() {
	old := func(_ uint64, at time.Time) bool { return time.Since(at) > maxOrderDelay }
	for name, all := range l.sent {
		if maps.DeleteFunc(all, old); len(all) == 0 {
			delete(l.sent, name)
		}
	}
}

// reservedSlots returns how many slots are kept free for late loads that were ordered before a
// restart: as many as this instance knows of, but at least one, because another instance may have
// sent one. At least one slot stays usable. It returns 0 for an engine that has not restarted, and
// once this controller has used the engine's present start for maxOrderDelay.
func (e *engine) reservedSlots(slots int) int {
	if !e.restarted || time.Since(e.discovered) > maxOrderDelay {
		return 0
	}
	return max(min(max(e.controller.unanswered.count(e.name), 1), slots-1), 0)
}
