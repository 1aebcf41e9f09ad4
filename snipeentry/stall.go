package snipeentry

import (
	"sync"
	"time"
)

const (
	// minStall is the shortest time without a beat that counts as a stall; there is one beat in each
	// reportInterval.
	minStall = retryDelay
	// stallBacklog is how long after a stall requests are read that callers had sent during it.
	stallBacklog = 500 * time.Millisecond
)

// stallDetector finds out when the process did not run, because it was frozen or got no processor. It is
// safe for concurrent use.
type stallDetector struct {
	lock sync.Mutex // guards the fields below
	// beatAt is when beat was last called, resumedAt when the last stall was over.
	beatAt    time.Time
	resumedAt time.Time
}

// beat records that the process runs. It is called every reportInterval.
func (d *stallDetector) beat(now time.Time) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.stalled(now) {
		d.resumedAt = now
	}
	d.beatAt = now
}

// stalled reports whether a stall ends now. The lock is held.
func (d *stallDetector) stalled(now time.Time) bool {
	return !d.beatAt.IsZero() && now.Sub(d.beatAt) > minStall
}

// sentBefore reports whether a request that arrived at a time may have been sent during a stall, longer
// before than retryDelay.
func (d *stallDetector) sentBefore(arrived time.Time) bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.stalled(arrived) || !d.resumedAt.IsZero() && arrived.Sub(d.resumedAt) < stallBacklog
}
