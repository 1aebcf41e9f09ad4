package snipepeer

import (
	"net/netip"
	"sync"
	"time"
)

// holdOff is how long an instance is not used after it was not reached. Shorter: more calls are
// tried at an unreachable instance; longer: an instance that is reachable again is used later.
const holdOff = time.Second

// Reach records the instances that were not reached recently, so that not every
// call needs a retry to find an unreachable instance. After the hold-off the next
// call tries again. The zero value is usable, and safe for concurrent use.
type Reach struct {
	lock      sync.Mutex // guards heldUntil
	heldUntil map[netip.AddrPort]time.Time
}

// Failed records that an instance was not reached.
func (r *Reach) Failed(address netip.AddrPort) {
	now := time.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.heldUntil == nil {
		r.heldUntil = map[netip.AddrPort]time.Time{}
	}
	for a, t := range r.heldUntil {
		if now.After(t) {
			delete(r.heldUntil, a)
		}
	}
	r.heldUntil[address] = now.Add(holdOff)
}

// Answered records that an instance answered, which ends its hold-off.
func (r *Reach) Answered(address netip.AddrPort) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.heldUntil, address)
}

// Usable reports whether calls may be sent to an instance, which is not in its
// hold-off.
func (r *Reach) Usable(address netip.AddrPort) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	t, ok := r.heldUntil[address]
	return !ok || time.Now().After(t)
}
