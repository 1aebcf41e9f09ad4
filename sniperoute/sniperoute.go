// Package sniperoute decides which upstream serves a call. Its functions are pure: they do no I/O,
// read no clock and allocate nothing on the hot path.
//
// For every adapter, the engines are ranked by rendezvous hashing. The adapter's home is the engine
// that ranks first. The ranking is the same on every instance, so that instances agree on the home
// without exchanging messages, and few adapters get another home when an engine is added or
// removed.
package sniperoute

import "snipepitch.example/snipepitch/snipecall"

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a 64-bit hash of the parts of a name (FNV-1a with a final mix). Each part is
// terminated, so that ("ab", "c") and ("a", "bc") have different hashes.
func Hash(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime
	}
	return mix(h)
}

// mix is the finalizer of MurmurHash3: each bit of h influences all bits of the result.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// AdapterHash returns the hash that ranks engines for an adapter.
func AdapterHash(a snipecall.Adapter) uint64 { return Hash(a.Team, a.Name, a.Version) }

// Score returns the score of a candidate for a key. Both are given by their hashes; the candidate
// with the highest score ranks first.
func Score(key, candidate uint64) uint64 { return mix(key ^ candidate) }

// Candidate is an upstream that may serve a call.
type Candidate struct {
	// Name is the upstream's name, and Hash is the result of Hash for that name.
	Name string
	Hash uint64
	// Usable reports that the upstream is alive, has an owner and is not leaving.
	Usable bool
	// Excluded reports that an earlier attempt of the call failed at the upstream.
	Excluded bool
}

// Pick returns the index of the candidate with the highest score for key among those that are
// usable and not excluded, or -1 when there is none.
func Pick(key uint64, candidates []Candidate) int {
	best, bestScore := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if !c.Usable || c.Excluded {
			continue
		}
		if s := Score(key, c.Hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
