package snipequarantine

import (
	"sync"
	"time"
)

const (
	// historyTime is how long a PartHistory remembers a part at least, and twice as long at most.
	historyTime = 30 * time.Second
	// coveredTime is how long answers must have come for the absence of a part to show that requests seldom held it:
	// one that is at four crashes within seconds comes about once a second.
	coveredTime = 10 * time.Second
	// maxHistory bounds the parts of each half of a PartHistory.
	maxHistory = 4096
)

// PartHistory remembers the parts of prompts that upstreams have lately answered requests with. The zero value is
// ready to use; it is safe for concurrent use.
type PartHistory struct {
	lock sync.Mutex // guards the fields below
	// recent holds the parts since turnedAt, earlier those of the time before.
	recent, earlier map[Fingerprint]bool
	turnedAt        time.Time
	// begunAt is when the first part was added.
	begunAt time.Time
}

// Add records the parts of a request that was answered. Parts beyond maxHistory are not remembered.
func (h *PartHistory) Add(keys []Fingerprint) {
	now := time.Now()
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.begunAt.IsZero() {
		h.begunAt = now
	}
	h.turn(now)
	for _, key := range keys {
		if len(h.recent) < maxHistory {
			h.recent[key] = true
		}
	}
}

// turn makes the recent half the earlier one if it is older than historyTime. The lock is held.
func (h *PartHistory) turn(now time.Time) {
	if h.recent != nil && now.Sub(h.turnedAt) < historyTime {
		return
	}
	h.earlier, h.recent, h.turnedAt = h.recent, make(map[Fingerprint]bool), now
}

// Has reports whether a request with a part was answered lately.
func (h *PartHistory) Has(key Fingerprint) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.recent[key] || h.earlier[key]
}

// Covers reports whether the history is so long, and so recent, that a part which requests often hold would be in it.
func (h *PartHistory) Covers() bool {
	now := time.Now()
	h.lock.Lock()
	defer h.lock.Unlock()
	return !h.begunAt.IsZero() && now.Sub(h.begunAt) >= coveredTime && now.Sub(h.turnedAt) < 2*historyTime
}
