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
	maxHistory = 32768
)

// PartHistory remembers the parts of prompts that upstreams have lately answered requests with. The zero value is
// ready to use; it is safe for concurrent use.
type PartHistory struct {
	lock sync.Mutex // guards the fields below
	// recent holds the parts since turnedAt, earlier those of the time before.
	recent, earlier historyHalf
	turnedAt        time.Time
	// begunAt is when the first part was added.
	begunAt time.Time
}

// historyHalf holds the parts of some time; full is set if there were more than maxHistory.
type historyHalf struct {
	parts map[Fingerprint]bool
	full  bool
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
		switch {
		case h.recent.parts[key]:
		case len(h.recent.parts) >= maxHistory:
			h.recent.full = true
		default:
			h.recent.parts[key] = true
		}
	}
}

// turn makes the recent half the earlier one if it is older than historyTime. The lock is held.
func (h *PartHistory) turn(now time.Time) {
	if h.recent.parts != nil && now.Sub(h.turnedAt) < historyTime {
		return
	}
	h.earlier, h.recent, h.turnedAt = h.recent, historyHalf{parts: make(map[Fingerprint]bool)}, now
}

// Has reports whether a request with a part was answered lately.
func (h *PartHistory) Has(key Fingerprint) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.has(key)
}

func (h *PartHistory) has(key Fingerprint) bool { return h.recent.parts[key] || h.earlier.parts[key] }

// MarkKnown sets PartMark.Known of the parts with which a request was answered lately.
func (h *PartHistory) MarkKnown(parts []PartMark) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for n := range parts {
		parts[n].Known = h.has(parts[n].Key)
	}
}

// Covers reports whether the history is so long, and so recent, that a part which requests often hold would be in it.
func (h *PartHistory) Covers() bool {
	now := time.Now()
	h.lock.Lock()
	defer h.lock.Unlock()
	complete := !h.recent.full && !h.earlier.full
	return complete && !h.begunAt.IsZero() && now.Sub(h.begunAt) >= coveredTime && now.Sub(h.turnedAt) < 2*historyTime
}
