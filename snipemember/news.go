package snipemember

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeproto"
)

// ErrInvalidUpdate is returned for an update that exceeds a bound or cannot be decoded.
var ErrInvalidUpdate = errors.New("bad news")

// queuedUpdate is a change that is still to be sent to peers.
type queuedUpdate struct {
	// sent counts how often the change was sent.
	sent int
	// member is the name of the changed member. If it is empty, digest is the key of the changed
	// digest.
	member string
	digest digestKey
}

// memberPrefix begins the queue names of members.
const memberPrefix = "m/"

// enqueueMember queues a member's current state to be sent, with no transmissions counted. The lock
// is held.
func (n *Membership) enqueueMember(name string) {
	n.queue[memberPrefix+name] = &queuedUpdate{member: name}
}

// enqueueDigest queues a digest to be sent, with no transmissions counted. The lock is held.
func (n *Membership) enqueueDigest(k digestKey) {
	n.queue[k.queueName()] = &queuedUpdate{digest: k}
}

// retransmitLimit returns how often each instance that receives a change sends it on. The lock is
// held.
func (n *Membership) retransmitLimit() int {
	return min(maxRetransmits, 1+bits.Len(uint(len(n.peers))))
}

// hasFreshUpdates reports whether a queued change has been sent fewer than pushFanout times, or
// fewer than retransmitLimit times if that is less.
func (n *Membership) hasFreshUpdates() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, q := range n.queue {
		if q.sent < min(pushFanout, n.retransmitLimit()) {
			return true
		}
	}
	return false
}

// updateBatch is a set of changes with their names in the queue.
type updateBatch struct {
	updates *snipeproto.News
	names   []string
}

// nextBatch returns the changes that were sent least often so far, up to maxUpdateBytes, without
// those that the peer has just sent itself at the same version. It does not count them as sent.
func (n *Membership) nextBatch(received *snipeproto.News) updateBatch {
	skip := versionsOf(received)
	n.lock.Lock()
	defer n.lock.Unlock()
	names := make([]string, 0, len(n.queue))
	for name, q := range n.queue {
		if s, ok := skip[name]; !ok || s != n.queuedVersion(q) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(n.queue[a].sent, n.queue[b].sent), strings.Compare(a, b))
	})
	out, size := updateBatch{updates: &snipeproto.News{}}, 0
	for _, name := range names {
		added := n.appendQueued(out.updates, n.queue[name], maxUpdateBytes-size)
		if added == 0 {
			continue
		}
		size += added
		out.names = append(out.names, name)
	}
	return out
}

// markSent counts the changes of a batch as sent, and removes those that have reached
// retransmitLimit from the queue. The changes in a probe are counted only once the peer has
// answered: an instance that is cut off for a while must not use up its retransmissions. The
// changes in an answer to a probe are counted at once, as the sender does not learn whether the
// answer arrives.
func (n *Membership) markSent(b updateBatch) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, name := range b.names {
		q, ok := n.queue[name]
		if !ok {
			continue
		}
		if q.sent++; q.sent >= n.retransmitLimit() {
			delete(n.queue, name)
		}
	}
}

// updateVersion distinguishes the versions of a change.
type updateVersion struct {
	version uint64
	status  Status
}

// versionsOf returns the versions of the changes in updates by their names in the queue.
func versionsOf(updates *snipeproto.News) map[string]updateVersion {
	versions := map[string]updateVersion{}
	for _, m := range updates.GetMembers() {
		versions[memberPrefix+m.GetName()] = updateVersion{m.GetIncarnation(), Status(m.GetStatus())} //nolint:gosec // only compared
	}
	for _, d := range updates.GetDigests() {
		versions[digestKey{d.GetOrigin(), d.GetTopic(), d.GetKey()}.queueName()] = updateVersion{version: d.GetVersion()}
	}
	return versions
}

// queuedVersion returns the version of a queued change, or zero if its member or digest was
// removed. The lock is held.
func (n *Membership) queuedVersion(q *queuedUpdate) updateVersion {
	if q.member == n.self.Name {
		return updateVersion{n.self.Incarnation, n.self.Status}
	}
	if p, ok := n.peers[q.member]; ok {
		return updateVersion{p.Incarnation, p.Status}
	}
	if d, ok := n.digests[q.digest]; ok {
		return updateVersion{version: d.Version}
	}
	return updateVersion{}
}

// appendQueued appends a change to out if it fits into left bytes. It returns the change's size, or
// 0 if nothing was appended. The lock is held.
func (n *Membership) appendQueued(out *snipeproto.News, q *queuedUpdate, left int) int {
	if q.member != "" {
		m := n.self
		if p, ok := n.peers[q.member]; ok {
			m = p.Member
		}
		state := encodeMember(m)
		size := proto.Size(state)
		if size > left {
			return 0
		}
		out.Members = append(out.Members, state)
		return size
	}
	d, ok := n.digests[q.digest]
	if !ok {
		return 0
	}
	state := encodeDigest(d)
	size := proto.Size(state)
	if size > left {
		return 0
	}
	out.Digests = append(out.Digests, state)
	return size
}

// applyUpdates merges the updates of a peer and wakes the pusher when one was new. It leaves out
// invalid updates, and records a contact also if there are no updates.
func (n *Membership) applyUpdates(updates *snipeproto.News) {
	changed := false
	n.lock.Lock()
	for _, state := range updates.GetMembers() {
		if m, err := decodeMember(state); err == nil {
			changed = n.mergeMember(m) || changed
		}
	}
	for _, state := range updates.GetDigests() {
		if d, err := decodeDigest(state); err == nil {
			changed = n.mergeDigest(d) || changed
		}
	}
	n.lastContact = time.Now()
	n.lock.Unlock()
	if changed {
		n.wakePusher()
	}
}

func encodeMember(m Member) *snipeproto.MemberState {
	// Marshaling an AddrPort cannot fail.
	address, _ := m.Address.MarshalBinary()
	return &snipeproto.MemberState{
		Name: m.Name, Incarnation: m.Incarnation, Status: snipeproto.MemberStatus(m.Status),
		Address: address, Domain: m.Domain, Leaving: m.Leaving,
	}
}

func decodeMember(s *snipeproto.MemberState) (Member, error) {
	m := Member{
		Name: s.GetName(), Incarnation: s.GetIncarnation(), Domain: s.GetDomain(), Leaving: s.GetLeaving(),
	}
	if err := snipecall.CheckName(m.Name); err != nil {
		return m, errors.Wrap(ErrInvalidUpdate, err.Error())
	}
	if s.GetStatus() < 0 || s.GetStatus() >= snipeproto.MemberStatus(statusCount) || len(m.Domain) > MaxName {
		return m, errors.Wrapf(ErrInvalidUpdate, "member %s", m.Name)
	}
	m.Status = Status(s.GetStatus()) //nolint:gosec // checked above
	var err error
	m.Address, err = decodeAddress(s.GetAddress())
	return m, err
}

func decodeAddress(data []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(data); err != nil || !a.IsValid() {
		return a, errors.Wrap(ErrInvalidUpdate, "address")
	}
	return a, nil
}

func encodeDigest(d *digest) *snipeproto.DigestState {
	left := min(max(time.Until(d.expires), 0), MaxTTL)
	return &snipeproto.DigestState{
		Origin: d.Origin, Topic: d.Topic, Key: d.Key, Version: d.Version, Data: d.Data,
		TimeLeftMilliseconds: uint32(left.Milliseconds()), //nolint:gosec // at most MaxTTL
	}
}

func decodeDigest(s *snipeproto.DigestState) (*digest, error) {
	left := time.Duration(s.GetTimeLeftMilliseconds()) * time.Millisecond
	if left <= 0 || left > MaxTTL || len(s.GetData()) > MaxData ||
		len(s.GetTopic()) > MaxName || len(s.GetKey()) > MaxName {
		return nil, errors.Wrapf(ErrInvalidUpdate, "digest of %s", s.GetOrigin())
	}
	if err := snipecall.CheckName(s.GetOrigin()); err != nil {
		return nil, errors.Wrap(ErrInvalidUpdate, err.Error())
	}
	return &digest{
		Digest: Digest{
			Origin: s.GetOrigin(), Topic: s.GetTopic(), Key: s.GetKey(), Version: s.GetVersion(), Data: s.GetData(),
		},
		expires: time.Now().Add(left),
	}, nil
}
