package snipequarantine

import (
	"strings"
	"sync"
)

// PartKey returns the fingerprint of a part of a prompt with the given identifier.
func PartKey(id string) Fingerprint { return NewFingerprint(nil, "prompt part", id) }

const (
	// maxCachedKeys bounds the fingerprints in each half of a PartKeys, maxCachedID the identifiers, in bytes, of which
	// they are kept.
	maxCachedKeys = 8192
	maxCachedID   = 32
)

// PartKeys computes the fingerprints of parts of prompts, and remembers those of the last ones: prompts share most of
// their parts. The zero value is ready to use; it is safe for concurrent use.
type PartKeys struct {
	lock sync.Mutex // guards the fields below
	// recent holds the fingerprints by identifier since it was last full, earlier those of before.
	recent, earlier map[string]Fingerprint
}

// Of returns the fingerprints of n parts, whose identifiers id returns.
func (k *PartKeys) Of(n int, id func(n int) string) []Fingerprint {
	keys := make([]Fingerprint, n)
	k.lock.Lock()
	defer k.lock.Unlock()
	for i := range n {
		keys[i] = k.key(id(i))
	}
	return keys
}

// key returns the fingerprint of one part. The lock is held.
func (k *PartKeys) key(id string) Fingerprint {
	if key, ok := k.recent[id]; ok {
		return key
	}
	key, ok := k.earlier[id]
	if !ok {
		key = PartKey(id)
	}
	if len(id) > maxCachedID {
		return key
	}
	if k.recent == nil || len(k.recent) >= maxCachedKeys {
		k.earlier, k.recent = k.recent, make(map[string]Fingerprint)
	}
	k.recent[strings.Clone(id)] = key // otherwise the whole header would stay in memory
	return key
}
