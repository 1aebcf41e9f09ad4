// Package snipequarantine bounds what a call that crashes upstreams can do: at
// most two crashes for each fingerprint in the whole system, and no innocent
// call refused.
//
// Design. A fingerprint is a team, an adapter (or service) and a body. Each
// fingerprint has two coordinators: the instance that ranks first for it by
// rendezvous hash, and the first one of another failure domain for when that
// one does not answer. Every attempt is announced to a coordinator before it
// starts and when it has ended, so that besides the instance that executes it
// there is always another one that knows of it.
//
//   - Registry is a coordinator's state and its decisions.
//   - Guard is the entry instance's side: it asks the coordinator before each
//     attempt and reports its end.
//   - Isolation is the side of an upstream's owner: it runs a suspect alone.
//
// Invariants. The bound is two because of these rules:
//
//   - A coordinator lets attempts of one fingerprint be in flight at one
//     upstream at a time; others are directed there. So they can crash one
//     upstream, and two while two coordinators are asked.
//   - After a crash all fingerprints that were in flight are suspects. A suspect
//     starts again only alone on its upstream, one attempt in the whole system,
//     by leave of the first coordinator, and not before all its other attempts
//     have ended and the news of the crash has had time to reach everybody. Its
//     turn there is told to the coordinator too; until then no crash is its own.
//   - An answer of an attempt that ran alone clears the suspect. A crash of it
//     quarantines the fingerprint: nothing else was running there.
//
// What remains open is in docs/design/limits-quarantine.md.
package snipequarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/sniperoute"
)

// ErrBadFingerprint is returned for a text that is no fingerprint.
var ErrBadFingerprint = errors.New("not a fingerprint")

// fingerprintSize is the number of bytes of a Fingerprint.
const fingerprintSize = 16

// Fingerprint identifies calls that are the same to an upstream.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a call: a hash of the team, what is
// called, and the body.
func FingerprintOf(c *snipecall.Call) Fingerprint {
	h := sha256.New()
	target := c.Adapter.String()
	if c.Service != "" {
		target = c.Service + "\x00" + c.Method + "\x00" + c.Path
	}
	h.Write([]byte(c.Team + "\x00" + target + "\x00"))
	h.Write(c.Body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintSize])
}

// String returns the hexadecimal form.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads the hexadecimal form.
func ParseFingerprint(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, errors.Wrapf(ErrBadFingerprint, "%q", s)
	}
	return FingerprintFrom(b)
}

// FingerprintFrom reads the bytes of a fingerprint.
func FingerprintFrom(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintSize {
		return Fingerprint{}, errors.Wrapf(ErrBadFingerprint, "%d bytes", len(b))
	}
	return Fingerprint(b), nil
}

// Decision is what a coordinator says to an attempt.
type Decision uint8

// The decisions.
const (
	// Run: start the attempt.
	Run Decision = iota
	// RunAlone: start the attempt with nothing else at its upstream.
	RunAlone
	// Wait: ask again after the verdict's Wait.
	Wait
	// Quarantined: refuse the call; it is released after the verdict's Wait.
	Quarantined
	decisions
)

// Verdict is a coordinator's answer to the start of an attempt.
type Verdict struct {
	Decision Decision
	// Wait is the time to wait, for Wait and Quarantined.
	Wait time.Duration
	// Upstream is where the attempt must run; empty for its own choice.
	Upstream string
}

// Attempt is one attempt of a call, as its coordinator sees it.
type Attempt struct {
	Fingerprint Fingerprint
	// ID is the attempt's identifier, unique in the system.
	ID string
	// Entry is the member that the caller is connected to.
	Entry string
	// Upstream is where the attempt runs.
	Upstream string
	// Mark is what an upstream that has not restarted since still has: the
	// beginning of the alias that the call runs under. Empty for services.
	Mark string
	// Left is the time until the call's deadline.
	Left time.Duration
	// Alone tells that the attempt is a suspect's and may run alone, by leave of
	// the first coordinator; the second one is told so.
	Alone bool
	// Started tells that the turn of an attempt that runs alone has come.
	Started bool
	// Moved tells that another coordinator has let the attempt start.
	Moved bool
}

// End is how an attempt ended.
type End uint8

// The ends of an attempt.
const (
	// Answered: the upstream has answered in full.
	Answered End = iota
	// Refused: the upstream has not executed the call, or has failed it and
	// gone on.
	Refused
	// Abandoned: nobody waits any more, but the upstream may still execute it.
	Abandoned
	// Crashed: the upstream broke off and may have crashed.
	Crashed
	// Withdrawn: the turn of a suspect was not used; another one will come.
	Withdrawn
	ends
)

// Member is a live instance.
type Member struct {
	// ID names one run of an instance's process.
	ID string
	// Domain is its failure domain.
	Domain string
	// Hash is the hash of ID that ranks it.
	Hash uint64
}

// NewMember returns a member with its hash.
func NewMember(id, domain string) Member {
	return Member{ID: id, Domain: domain, Hash: sniperoute.Hash(id)}
}

// Coordinators returns the coordinators of a fingerprint: the member that
// ranks first, and the first one of another failure domain, or the second.
func Coordinators(f Fingerprint, members []Member) []Member {
	key := sniperoute.Hash(string(f[:]))
	first := bestMember(key, members, func(Member) bool { return true })
	if first < 0 {
		return nil
	}
	lead := members[first]
	second := bestMember(key, members, func(m Member) bool { return m.Domain != lead.Domain })
	if second < 0 {
		second = bestMember(key, members, func(m Member) bool { return m.ID != lead.ID })
	}
	if second < 0 {
		return []Member{lead}
	}
	return []Member{lead, members[second]}
}

// bestMember returns the index of the allowed member with the highest rank, or
// -1 when there is none.
func bestMember(key uint64, members []Member, allowed func(Member) bool) int {
	best, bestScore := -1, uint64(0)
	for i, m := range members {
		if !allowed(m) {
			continue
		}
		if s := sniperoute.Score(key, m.Hash); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// isolationShare is the part of the upstreams at which suspects may run: one
// in so many, at least one.
const isolationShare = 6

// IsolationUpstream returns which of the usable upstreams a suspect runs at.
// All suspects share a few upstreams, the same on every instance, so that most
// stay free for other calls.
func IsolationUpstream(f Fingerprint, usable []string) (string, bool) {
	if len(usable) == 0 {
		return "", false
	}
	ranked := slices.Clone(usable)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(sniperoute.Hash(a), sniperoute.Hash(b)), cmp.Compare(a, b))
	})
	n := max(len(ranked)/isolationShare, 1)
	return ranked[int(f[0])%n], true
}
