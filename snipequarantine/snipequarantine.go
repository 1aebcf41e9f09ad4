// Package snipequarantine limits the damage of calls that crash upstreams, and quarantines no call
// that crashes nothing. It does so in two ways. With Registry, Guard and Isolation each
// fingerprint causes at most two crashes in the whole system; each attempt is registered before it
// starts. With Exchange (see there), which entry instances use, a fingerprint may crash three
// upstreams, and no message is sent for calls that crash nothing. The rest of this comment is about
// the first way.
//
// Design. A fingerprint is a hash of a team, an adapter (or a service with method and
// path) and a body. Each fingerprint has two coordinators: the instance that ranks
// first for it by rendezvous hash, and, as a fallback if that instance does not answer,
// the highest-ranking instance of another failure domain. Every attempt is reported to
// a coordinator before it starts and after it has ended, so that at least one instance
// besides the one that executes the attempt has a record of it. The entry instance of a
// call is the one that the caller is connected to.
//
//   - Registry holds the state of a coordinator and makes its decisions.
//   - Guard is the entry instance's side: it asks the coordinator before each attempt
//     and reports the attempt's end.
//   - Isolation is the side of an upstream's owner: it runs a suspect alone.
//
// Invariants. The limit of two crashes follows from these rules:
//
//   - A coordinator lets attempts of one fingerprint be in flight at one upstream at a
//     time, and directs further attempts to that upstream. These attempts can therefore
//     crash one upstream, or two while two coordinators are in use.
//   - After a crash, every fingerprint that was in flight at the upstream is a suspect.
//     A suspect starts again only alone on its upstream, with one attempt at a time in
//     the whole system, with the permission of the first coordinator, and not before
//     all its other attempts have ended and the record of the crash has had time to
//     reach every instance. The owner of the upstream reports the start of this attempt
//     to the coordinators; until then no crash is attributed to the suspect.
//   - A complete answer of an attempt that ran alone clears the suspect. A crash during
//     such an attempt quarantines the fingerprint, because nothing else was running at
//     the upstream.
//
// Known gaps are listed in docs/design/limits-quarantine.md.
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

// ErrBadFingerprint is returned for text or bytes that are not a fingerprint.
var ErrBadFingerprint = errors.New("not a fingerprint")

// fingerprintSize is the number of bytes of a Fingerprint.
const fingerprintSize = 16

// Fingerprint identifies calls that are identical for an upstream.
type Fingerprint [fingerprintSize]byte

// FingerprintOf returns the fingerprint of a call: a hash of the team, the target and
// the body. The target is the adapter, or the service with method and path.
func FingerprintOf(c *snipecall.Call) Fingerprint {
	if c.Service != "" {
		return NewFingerprint(c.Body, c.Team, c.Service, c.Method, c.Path)
	}
	return NewFingerprint(c.Body, c.Team, c.Adapter.String())
}

// NewFingerprint returns a hash of a body and of the fields that identify, beside it, what an
// upstream runs. The fields must not contain the zero byte.
func NewFingerprint(body []byte, fields ...string) Fingerprint {
	h := sha256.New()
	for _, field := range fields {
		h.Write([]byte(field + "\x00"))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	return Fingerprint(h.Sum(sum[:0])[:fingerprintSize])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the hexadecimal form of a fingerprint.
func ParseFingerprint(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, errors.Wrapf(ErrBadFingerprint, "%q", s)
	}
	return FingerprintFrom(b)
}

// FingerprintFrom converts bytes to a fingerprint. It returns ErrBadFingerprint if
// their number is wrong.
func FingerprintFrom(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintSize {
		return Fingerprint{}, errors.Wrapf(ErrBadFingerprint, "%d bytes", len(b))
	}
	return Fingerprint(b), nil
}

// Decision is a coordinator's decision about the start of an attempt.
type Decision uint8

// Decisions of a coordinator. Instances exchange their numeric values.
const (
	// Run permits the attempt to start.
	Run Decision = iota
	// RunAlone permits the attempt to start with no other call at its upstream.
	RunAlone
	// Wait requires the attempt to ask again after Verdict.Wait.
	Wait
	// Quarantined refuses the call. The fingerprint is released after Verdict.Wait.
	Quarantined
	decisionCount
)

// Verdict is a coordinator's answer to Begin.
type Verdict struct {
	Decision Decision
	// Wait is the time to wait if Decision is Wait, the time until the release if
	// Decision is Quarantined, and without meaning otherwise.
	Wait time.Duration
	// Upstream is where the attempt must run. If it is empty, the attempt runs at the
	// upstream that its entry instance chose.
	Upstream string
}

// Attempt is one attempt of a call, as reported to a coordinator.
type Attempt struct {
	Fingerprint Fingerprint
	// ID identifies the attempt in the whole system.
	ID string
	// Entry is the ID of the member that the caller is connected to. It is empty in the
	// reports of an upstream's owner.
	Entry string
	// Upstream is where the attempt runs.
	Upstream string
	// Mark is what Guard.Survived looks for at the upstream: the alias, or the prefix
	// of the alias, under which the call runs. An engine loses it in a restart.
	// Services have no aliases and use a mark of their own. If Mark is empty, a crash
	// cannot be verified.
	Mark string
	// Left is the time until the call's deadline.
	Left time.Duration
	// Alone means that the attempt belongs to a suspect and that the first coordinator
	// has permitted it to run alone. The second coordinator only registers such an
	// attempt.
	Alone bool
	// Started means that the owner of the upstream has admitted an attempt that runs
	// alone.
	Started bool
	// Moved means that another coordinator has already permitted the attempt to start.
	Moved bool
}

// End is how an attempt ended.
type End uint8

// Ends of an attempt. Instances exchange their numeric values.
const (
	// Answered: the upstream has returned a complete answer.
	Answered End = iota
	// Refused: the upstream did not execute the call, or failed it and kept running.
	Refused
	// Abandoned: the call is no longer awaited, but the upstream may still execute it.
	Abandoned
	// Crashed: the upstream broke off the call and may have crashed.
	Crashed
	// Withdrawn: the owner admitted a suspect's attempt, but the attempt was refused;
	// it may be admitted again.
	Withdrawn
	endCount
)

// Member is a live instance.
type Member struct {
	// ID identifies one run of an instance's process.
	ID string
	// Domain is its failure domain.
	Domain string
	// Hash is the hash of ID that determines the member's rank.
	Hash uint64
}

// NewMember returns a member with its hash.
func NewMember(id, domain string) Member {
	return Member{ID: id, Domain: domain, Hash: sniperoute.Hash(id)}
}

// maxCoordinators is the number of coordinators of a fingerprint where there are so many members.
const maxCoordinators = 2

// Coordinators returns the coordinators of a fingerprint, at most maxCoordinators: the member that
// ranks first, and the highest-ranking member of another failure domain. Without
// another failure domain the second is the member that ranks second. It returns nil if
// there are no members.
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

// bestMember returns the index of the allowed member with the highest rank, or -1 if
// there is none.
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

// isolationDivisor limits the upstreams at which suspects may run: one in
// isolationDivisor of the usable upstreams, and at least one.
const isolationDivisor = 6

// IsolationUpstream returns the usable upstream at which a suspect runs, or false if
// there is none. All instances choose from the same few upstreams, so that most
// upstreams remain available to other calls.
func IsolationUpstream(f Fingerprint, usable []string) (string, bool) {
	if len(usable) == 0 {
		return "", false
	}
	ranked := slices.Clone(usable)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(sniperoute.Hash(a), sniperoute.Hash(b)), cmp.Compare(a, b))
	})
	n := max(len(ranked)/isolationDivisor, 1)
	return ranked[int(f[0])%n], true
}
