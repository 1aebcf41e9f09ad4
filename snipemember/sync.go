package snipemember

import (
	"context"
	"net/netip"
	"slices"
	"strconv"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/sniperoute"
)

// buckets is into how many parts the known is split for comparison.
const buckets = 32

func bucketOf(hash uint64) uint32 { return uint32(hash % buckets) }

func memberHashes(m Member) (name, state uint64) {
	return sniperoute.Hash(m.Name),
		sniperoute.Hash(m.Name, strconv.FormatUint(m.Incarnation, 10), m.Status.String())
}

func digestHashes(d Digest) (name, state uint64) {
	return sniperoute.Hash(d.Origin, d.Topic, d.Key),
		sniperoute.Hash(d.Origin, d.Topic, d.Key, strconv.FormatUint(d.Version, 10))
}

// sums returns one sum for each bucket of what is known here.
func (n *Node) sums() []uint64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	sums := make([]uint64, buckets)
	add := func(name, state uint64) { sums[bucketOf(name)] ^= state }
	add(memberHashes(n.self))
	for _, p := range n.peers {
		add(memberHashes(p.Member))
	}
	for _, d := range n.digests {
		add(digestHashes(d.Digest))
	}
	return sums
}

// contents returns all that is known in some buckets.
func (n *Node) contents(of []uint32) *snipeproto.News {
	n.lock.Lock()
	defer n.lock.Unlock()
	out := &snipeproto.News{}
	if name, _ := memberHashes(n.self); slices.Contains(of, bucketOf(name)) {
		out.Members = append(out.Members, memberState(n.self))
	}
	for _, p := range n.peers {
		if name, _ := memberHashes(p.Member); slices.Contains(of, bucketOf(name)) {
			out.Members = append(out.Members, memberState(p.Member))
		}
	}
	for _, d := range n.digests {
		if name, _ := digestHashes(d.Digest); slices.Contains(of, bucketOf(name)) {
			out.Digests = append(out.Digests, digestState(d))
		}
	}
	return out
}

// sync compares all that is known with a peer; false when it did not answer.
// With introduce the peer is also told who asks, as it may not know.
func (n *Node) sync(ctx context.Context, address netip.AddrPort, introduce bool) bool {
	bounded, cancel := context.WithTimeout(ctx, 2*n.Timeout)
	defer cancel()
	in := &snipeproto.SyncRequest{Sums: n.sums()}
	if introduce {
		in.News = n.introduction()
	}
	out, err := n.client(address).Sync(bounded, in)
	if err != nil {
		return false
	}
	n.learn(out.GetNews())
	if introduce || len(out.GetDiffer()) == 0 {
		return true
	}
	back := &snipeproto.SyncRequest{News: n.contents(out.GetDiffer())}
	if _, err = n.client(address).Sync(bounded, back); err != nil {
		// The other side asks in its turn.
		return true
	}
	return true
}

func (n *Node) introduction() *snipeproto.News {
	n.lock.Lock()
	defer n.lock.Unlock()
	return &snipeproto.News{Members: []*snipeproto.MemberState{memberState(n.self)}}
}

// server serves the requests of peers.
type server struct{ node *Node }

// Probe implements snipeproto.Member.
func (s *server) Probe(_ context.Context, in *snipeproto.ProbeRequest) (*snipeproto.ProbeResponse, error) {
	if in.GetTarget() != s.node.Self.Name {
		return nil, twirp.NotFound.Errorf("this is %s", s.node.Self.Name)
	}
	s.node.learn(in.GetNews())
	p := s.node.pack(in.GetNews())
	s.node.delivered(p)
	return &snipeproto.ProbeResponse{News: p.news}, nil
}

// Relay implements snipeproto.Member.
func (s *server) Relay(ctx context.Context, in *snipeproto.RelayRequest) (*snipeproto.RelayResponse, error) {
	address, err := addressOf(in.GetAddress())
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	s.node.seen()
	reached := s.node.probe(ctx, in.GetTarget(), address)
	return &snipeproto.RelayResponse{Reached: reached}, nil
}

// Sync implements snipeproto.Member.
func (s *server) Sync(_ context.Context, in *snipeproto.SyncRequest) (*snipeproto.SyncResponse, error) {
	s.node.learn(in.GetNews())
	out := &snipeproto.SyncResponse{}
	if len(in.GetSums()) != buckets {
		return out, nil
	}
	for n, sum := range s.node.sums() {
		if sum != in.GetSums()[n] {
			out.Differ = append(out.Differ, uint32(n))
		}
	}
	out.News = s.node.contents(out.GetDiffer())
	return out, nil
}
