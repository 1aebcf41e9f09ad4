package snipelease

import (
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
)

// OwnerCheck returns a change for a transaction that makes the transaction fail once the engine
// has another owner than the one with the fencing number.
func OwnerCheck(engine string, fence uint64) snipeplatform.Change {
	return snipeplatform.Change{
		Key:    snipeplatform.Key{Partition: ownersPartition, Sort: engine},
		Expect: fence,
	}
}

// Owns reports whether this instance still owns the engine under the fencing number, also while
// it hands the engine over, and past its lease while an outage of the table extends the ownership.
// An action that must not happen past the lease requires a write with OwnerCheck, which fails then.
func (h *Holder) Owns(engine string, fence uint64) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	o, ok := h.owned[engine]
	return ok && o.fence == fence && h.valid(o, time.Now())
}
