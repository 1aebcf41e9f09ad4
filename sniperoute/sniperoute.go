// Package sniperoute decides which upstream serves a call. Its decisions are
// pure: no I/O, no clock, no allocation on the hot path.
//
// Every adapter has a ranking of the engines by rendezvous hash, the same on
// every instance, so that instances agree on an adapter's home without
// talking, and few adapters move when an engine comes or goes.
package sniperoute

import "snipepitch.example/snipepitch/snipecall"

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash mixes the parts of a name into 64 bits (FNV-1a with a final mix).
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

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// AdapterHash returns the hash that ranks engines for an adapter.
func AdapterHash(a snipecall.Adapter) uint64 { return Hash(a.Team, a.Name, a.Version) }

// Score returns the rank value of a candidate, given by its own hash, for a
// key; the highest value comes first.
func Score(key, candidate uint64) uint64 { return mix(key ^ candidate) }

// Candidate is an upstream that may serve a call.
type Candidate struct {
	// Name is the upstream's name and Hash its Hash.
	Name string
	Hash uint64
	// Usable tells that the upstream is alive, has an owner and is not leaving.
	Usable bool
	// Excluded tells that an earlier attempt of the call failed there.
	Excluded bool
}

// Pick returns the index of the usable candidate with the highest score for
// key, or -1 when there is none.
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
