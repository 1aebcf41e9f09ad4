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

// buckets is the number of parts into which the known states are split for comparison.
const buckets = 32

// bucketOf returns the bucket of a name by its hash.
func bucketOf(hash uint64) uint32 { return uint32(hash % buckets) }

// memberHashes returns the hash that determines a member's bucket, and the hash of its state. Every
// change of a member changes its incarnation or status, so the state's hash covers only these.
func memberHashes(m Member) (name, state uint64) {
	return sniperoute.Hash(m.Name),
		sniperoute.Hash(m.Name, strconv.FormatUint(m.Incarnation, 10), m.Status.String())
}

// digestHashes returns the hash that determines a digest's bucket, and the hash of its state.
func digestHashes(d Digest) (name, state uint64) {
	return sniperoute.Hash(d.Origin, d.Topic, d.Key),
		sniperoute.Hash(d.Origin, d.Topic, d.Key, strconv.FormatUint(d.Version, 10))
}

// bucketSums returns one sum for each bucket: the XOR of the hashes of its known states.
func (n *Membership) bucketSums() []uint64 {
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

// bucketContents returns all known states in the wanted buckets.
func (n *Membership) bucketContents(wanted []uint32) *snipeproto.News {
	n.lock.Lock()
	defer n.lock.Unlock()
	out := &snipeproto.News{}
	if name, _ := memberHashes(n.self); slices.Contains(wanted, bucketOf(name)) {
		out.Members = append(out.Members, encodeMember(n.self))
	}
	for _, p := range n.peers {
		if name, _ := memberHashes(p.Member); slices.Contains(wanted, bucketOf(name)) {
			out.Members = append(out.Members, encodeMember(p.Member))
		}
	}
	for _, d := range n.digests {
		if name, _ := digestHashes(d.Digest); slices.Contains(wanted, bucketOf(name)) {
			out.Digests = append(out.Digests, encodeDigest(d))
		}
	}
	return out
}

// sync compares the known states with those of a peer by bucket sums, exchanges the buckets that
// differ, and reports whether the peer answered. With introduce it sends only this instance's own
// state in addition to the sums, as the peer may not know this instance, and fetches the contents
// of the peer's differing buckets without sending its own.
func (n *Membership) sync(ctx context.Context, address netip.AddrPort, introduce bool) bool {
	bounded, cancel := context.WithTimeout(ctx, 2*n.Timeout)
	defer cancel()
	in := &snipeproto.SyncRequest{Sums: n.bucketSums()}
	if introduce {
		in.News = n.selfUpdate()
	}
	out, err := n.client(address).Sync(bounded, in)
	if err != nil {
		return false
	}
	n.applyUpdates(out.GetNews())
	if introduce || len(out.GetDiffer()) == 0 {
		return true
	}
	reply := &snipeproto.SyncRequest{News: n.bucketContents(out.GetDiffer())}
	if _, err = n.client(address).Sync(bounded, reply); err != nil {
		// The peer fetches the missing states with its own sync requests.
		return true
	}
	return true
}

// selfUpdate returns this instance's own state as an update.
func (n *Membership) selfUpdate() *snipeproto.News {
	n.lock.Lock()
	defer n.lock.Unlock()
	return &snipeproto.News{Members: []*snipeproto.MemberState{encodeMember(n.self)}}
}

// server serves the requests of peers.
type server struct{ membership *Membership }

// Probe implements snipeproto.Member. It refuses a probe that is meant for an instance of another
// name.
func (s *server) Probe(_ context.Context, in *snipeproto.ProbeRequest) (*snipeproto.ProbeResponse, error) {
	if in.GetTarget() != s.membership.Self.Name {
		return nil, twirp.NotFound.Errorf("this is %s", s.membership.Self.Name)
	}
	s.membership.applyUpdates(in.GetNews())
	b := s.membership.nextBatch(in.GetNews())
	s.membership.markSent(b)
	return &snipeproto.ProbeResponse{News: b.updates}, nil
}

// Relay implements snipeproto.Member. It probes the target and reports whether the target answered.
func (s *server) Relay(ctx context.Context, in *snipeproto.RelayRequest) (*snipeproto.RelayResponse, error) {
	address, err := decodeAddress(in.GetAddress())
	if err != nil {
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	s.membership.recordContact()
	reached := s.membership.probe(ctx, in.GetTarget(), address)
	return &snipeproto.RelayResponse{Reached: reached}, nil
}

// Sync implements snipeproto.Member. It applies the updates and, if the request has sums, returns
// the differing buckets with all states that this instance knows in them.
func (s *server) Sync(_ context.Context, in *snipeproto.SyncRequest) (*snipeproto.SyncResponse, error) {
	s.membership.applyUpdates(in.GetNews())
	out := &snipeproto.SyncResponse{}
	if len(in.GetSums()) != buckets {
		return out, nil
	}
	for n, sum := range s.membership.bucketSums() {
		if sum != in.GetSums()[n] {
			out.Differ = append(out.Differ, uint32(n))
		}
	}
	out.News = s.membership.bucketContents(out.GetDiffer())
	return out, nil
}
