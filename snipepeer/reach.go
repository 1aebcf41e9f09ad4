package snipepeer

import (
	"net/netip"
	"sync"
	"time"
)

// holdOff is how long calls go elsewhere after an instance was not reached.
const holdOff = time.Second

// Reach remembers the instances that were not reached lately, so that not each
// call has to find out for itself and pay with a retry. After the hold-off the
// next call tries again. The zero value is usable, and safe for concurrent use.
type Reach struct {
	lock  sync.Mutex // guards until
	until map[netip.AddrPort]time.Time
}

// Failed notes that an instance was not reached.
func (r *Reach) Failed(address netip.AddrPort) {
	now := time.Now()
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.until == nil {
		r.until = map[netip.AddrPort]time.Time{}
	}
	for a, t := range r.until {
		if now.After(t) {
			delete(r.until, a)
		}
	}
	r.until[address] = now.Add(holdOff)
}

// Answered notes that an instance has answered.
func (r *Reach) Answered(address netip.AddrPort) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.until, address)
}

// Usable reports whether calls may be sent to an instance.
func (r *Reach) Usable(address netip.AddrPort) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	t, ok := r.until[address]
	return !ok || time.Now().After(t)
}
