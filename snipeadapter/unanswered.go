package snipeadapter

import (
	"maps"
	"sync"
	"time"
)

// lateLife is for how long an order that got no answer may still be carried out.
const lateLife = 15 * time.Second

// lateOrders are the loads that got no answer, by the name of the engine, whichever start
// of it they were for. The number of orders that a load states protects against taking it
// late as long as the engine counts on; after a restart the count begins anew and meets
// each number again. The zero value is ready.
type lateOrders struct {
	lock sync.Mutex // guards sent
	// sent tells when a load that states a number was last sent: repeats of one order
	// state the same, and the engine takes one of them.
	sent map[string]map[uint64]time.Time
}

// add notes a load that got no answer.
func (l *lateOrders) add(name string, expect uint64) {
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
func (l *lateOrders) count(name string) int {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.prune()
	return len(l.sent[name])
}

// prune forgets what is too old. The lock is held.
func (l *lateOrders) prune() {
	old := func(_ uint64, at time.Time) bool { return time.Since(at) > lateLife }
	for name, all := range l.sent {
		if maps.DeleteFunc(all, old); len(all) == 0 {
			delete(l.sent, name)
		}
	}
}

// reserved returns how many places are kept free for loads of before a restart: those
// that this instance knows of, or one when somebody else may have sent it. One place is
// left to work with.
func (e *engine) reserved(slots int) int {
	if !e.again || time.Since(e.learned) > lateLife {
		return 0
	}
	return max(min(max(e.desk.late.count(e.name), 1), slots-1), 0)
}
