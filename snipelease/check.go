package snipelease

import (
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// OwnerCheck returns the part of a transaction that fails once the engine has
// another owner than the one with the fencing number.
func OwnerCheck(engine string, fence uint64) snipeplatform.Change {
	return snipeplatform.Change{
		Key:    snipeplatform.Key{Partition: ownersPartition, Sort: engine},
		Expect: fence,
	}
}

// Holds reports whether this instance still owns the engine under the fencing
// number, also while it is giving the engine up, and past its lease while the
// table is down for everybody. What must not happen past the lease rests on a
// write with OwnerCheck, which fails then.
func (h *Holder) Holds(engine string, fence uint64) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.owned[engine]
	return ok && o.fence == fence && h.believes(o, time.Now())
}
