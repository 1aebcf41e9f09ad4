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

// ErrBadNews is returned for news that breaks a bound.
var ErrBadNews = errors.New("bad news")

// queued is a change that is still to be told.
type queued struct {
	// sent counts how often it was told.
	sent int
	// member or digest says what changed.
	member string
	digest digestKey
}

const memberQueue = "m/"

func (n *Node) enqueueMember(name string) {
	n.queue[memberQueue+name] = &queued{member: name}
}

func (n *Node) enqueueDigest(k digestKey) {
	n.queue[k.queueName()] = &queued{digest: k}
}

// retransmits is how often one change is told by each instance that learns it.
// The lock is held.
func (n *Node) retransmits() int {
	return min(maxRetransmit, 1+bits.Len(uint(len(n.peers))))
}

// fresh reports whether a change waits that has not been told yet.
func (n *Node) fresh() bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, q := range n.queue {
		if q.sent < min(pushFanout, n.retransmits()) {
			return true
		}
	}
	return false
}

// parcel is news with the names of its changes in the queue.
type parcel struct {
	news  *snipeproto.News
	names []string
}

// pack takes the changes told least so far, up to maxNews bytes, without those
// that the other side has just told.
func (n *Node) pack(told *snipeproto.News) parcel {
	skip := stampsOf(told)
	n.lock.Lock()
	defer n.lock.Unlock()
	names := make([]string, 0, len(n.queue))
	for name, q := range n.queue {
		if s, ok := skip[name]; !ok || s != n.stamp(q) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(n.queue[a].sent, n.queue[b].sent), strings.Compare(a, b))
	})
	out, size := parcel{news: &snipeproto.News{}}, 0
	for _, name := range names {
		added := n.appendQueued(out.news, n.queue[name], maxNews-size)
		if added == 0 {
			continue
		}
		size += added
		out.names = append(out.names, name)
	}
	return out
}

// delivered counts the changes of a parcel as told. What did not arrive is not
// counted: an instance that is cut off for a while must not use up its news.
func (n *Node) delivered(p parcel) {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, name := range p.names {
		q, ok := n.queue[name]
		if !ok {
			continue
		}
		if q.sent++; q.sent >= n.retransmits() {
			delete(n.queue, name)
		}
	}
}

// stamp tells one version of a change from another.
type stamp struct {
	version uint64
	status  Status
}

// stampsOf returns the versions of the changes in news by their names in the
// queue.
func stampsOf(news *snipeproto.News) map[string]stamp {
	stamps := map[string]stamp{}
	for _, m := range news.GetMembers() {
		stamps[memberQueue+m.GetName()] = stamp{m.GetIncarnation(), Status(m.GetStatus())} //nolint:gosec // only compared
	}
	for _, d := range news.GetDigests() {
		stamps[digestKey{d.GetOrigin(), d.GetTopic(), d.GetKey()}.queueName()] = stamp{version: d.GetVersion()}
	}
	return stamps
}

// stamp returns the version of a queued change. The lock is held.
func (n *Node) stamp(q *queued) stamp {
	if q.member == n.self.Name {
		return stamp{n.self.Incarnation, n.self.Status}
	}
	if p, ok := n.peers[q.member]; ok {
		return stamp{p.Incarnation, p.Status}
	}
	if d, ok := n.digests[q.digest]; ok {
		return stamp{version: d.Version}
	}
	return stamp{}
}

// appendQueued appends a change that fits into the bytes left and returns its
// size, or 0.
func (n *Node) appendQueued(out *snipeproto.News, q *queued, left int) int {
	if q.member != "" {
		m := n.self
		if p, ok := n.peers[q.member]; ok {
			m = p.Member
		}
		state := memberState(m)
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
	state := digestState(d)
	size := proto.Size(state)
	if size > left {
		return 0
	}
	out.Digests = append(out.Digests, state)
	return size
}

// learn takes the news of a peer and wakes the pusher when some was new.
func (n *Node) learn(news *snipeproto.News) {
	anything := false
	n.lock.Lock()
	for _, state := range news.GetMembers() {
		if m, err := memberOf(state); err == nil {
			anything = n.merge(m) || anything
		}
	}
	for _, state := range news.GetDigests() {
		if d, err := digestOf(state); err == nil {
			anything = n.mergeDigest(d) || anything
		}
	}
	n.contact = time.Now()
	n.lock.Unlock()
	if anything {
		n.signal()
	}
}

func memberState(m Member) *snipeproto.MemberState {
	// An AddrPort always has a binary form.
	address, _ := m.Address.MarshalBinary()
	return &snipeproto.MemberState{
		Name: m.Name, Incarnation: m.Incarnation, Status: snipeproto.MemberStatus(m.Status),
		Address: address, Domain: m.Domain, Leaving: m.Leaving,
	}
}

func memberOf(s *snipeproto.MemberState) (Member, error) {
	m := Member{
		Name: s.GetName(), Incarnation: s.GetIncarnation(), Domain: s.GetDomain(), Leaving: s.GetLeaving(),
	}
	if err := snipecall.CheckName(m.Name); err != nil {
		return m, errors.Wrap(ErrBadNews, err.Error())
	}
	if s.GetStatus() < 0 || s.GetStatus() >= snipeproto.MemberStatus(statuses) || len(m.Domain) > MaxName {
		return m, errors.Wrapf(ErrBadNews, "member %s", m.Name)
	}
	m.Status = Status(s.GetStatus()) //nolint:gosec // checked above
	var err error
	m.Address, err = addressOf(s.GetAddress())
	return m, err
}

func addressOf(data []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if err := a.UnmarshalBinary(data); err != nil || !a.IsValid() {
		return a, errors.Wrap(ErrBadNews, "address")
	}
	return a, nil
}

func digestState(d *digest) *snipeproto.DigestState {
	left := min(max(time.Until(d.until), 0), MaxTTL)
	return &snipeproto.DigestState{
		Origin: d.Origin, Topic: d.Topic, Key: d.Key, Version: d.Version, Data: d.Data,
		TimeLeftMilliseconds: uint32(left.Milliseconds()), //nolint:gosec // at most MaxTTL
	}
}

func digestOf(s *snipeproto.DigestState) (*digest, error) {
	left := time.Duration(s.GetTimeLeftMilliseconds()) * time.Millisecond
	if left <= 0 || left > MaxTTL || len(s.GetData()) > MaxData ||
		len(s.GetTopic()) > MaxName || len(s.GetKey()) > MaxName {
		return nil, errors.Wrapf(ErrBadNews, "digest of %s", s.GetOrigin())
	}
	if err := snipecall.CheckName(s.GetOrigin()); err != nil {
		return nil, errors.Wrap(ErrBadNews, err.Error())
	}
	return &digest{
		Digest: Digest{
			Origin: s.GetOrigin(), Topic: s.GetTopic(), Key: s.GetKey(), Version: s.GetVersion(), Data: s.GetData(),
		},
		until: time.Now().Add(left),
	}, nil
}
