// Package snipemember finds out which instances live and spreads small
// announcements among them.
//
// Design. No instance talks to all others. Each probes one other instance in
// an interval, in a shuffled order; when the probe fails it asks a few others
// to probe the same target (so that a cut between two instances alone condemns
// nobody), and only then suspects it. A suspect that does not refute in time
// is dead. What changes rides on probes and their answers; new changes are
// also pushed at once to a few random instances, as far as a budget of pushes
// allows, since the traffic of an instance must not grow with the number of
// instances. What was missed is found by comparing sums with a random instance.
//
// Invariants:
//
//   - A member's state is ordered by (Incarnation, Status); a lower one never
//     replaces a higher one. Merging is therefore commutative, and the order
//     in which news arrives does not matter.
//   - Only an instance itself raises its incarnation: to refute a suspicion,
//     or to say that it is leaving.
//   - A digest is ordered by its origin's version; a lower one never replaces
//     a higher one. Digests are bounded in number and in size and expire.
//
// Membership is a hint. Nothing that must be exclusive rests on it; that is
// the duty of package snipelease.
package snipemember

import (
	"cmp"
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeproto"
)

// Status is what is known of a member.
type Status uint8

// The statuses, in the order in which they outweigh each other at one
// incarnation.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
	statuses
)

var statusNames = [statuses]string{"Alive", "Suspect", "Dead", "Left"}

// String returns the status's name.
func (s Status) String() string {
	if s >= statuses {
		return "Unknown"
	}
	return statusNames[s]
}

// Member is one instance as known here.
type Member struct {
	// Name is the instance's name, Address its peers' address and Domain its
	// failure domain.
	Name    string
	Address netip.AddrPort
	Domain  string
	// Incarnation grows with each start and each refutation.
	Incarnation uint64
	// Status is what is known of it.
	Status Status
	// Leaving tells that a planned stop has begun.
	Leaving bool
}

// Live reports whether the member is not known to be gone.
func (m Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// newer reports whether m outweighs old.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// Seed is an instance named by the platform; it may be gone already.
type Seed struct {
	Name    string
	Address netip.AddrPort
}

// Defaults and bounds.
const (
	// DefaultInterval is the time between two probes of an instance.
	DefaultInterval = time.Second
	// DefaultTimeout bounds one request.
	DefaultTimeout = 500 * time.Millisecond

	relays         = 3
	pushFanout     = 4
	pushBurst      = 12
	pushRefill     = 0.25
	pushGather     = 20 * time.Millisecond
	maxNews        = 400
	maxRetransmit  = 8
	suspectFactor  = 3
	isolatedFactor = 3
	tombstone      = 10 * time.Minute
	syncEvery      = 5
	reconnectEvery = 5
	seedsEvery     = 60
	joinSeeds      = 3
)

// peer is a member with what this instance noted about it.
type peer struct {
	Member
	// until is when a suspect becomes dead, or a dead one is forgotten.
	until time.Time
}

// Node is this instance's part of the membership. Its exported fields are set
// before Run. Its methods are safe for concurrent use.
type Node struct {
	// Self is this instance; Run sets its incarnation from the clock.
	Self Member
	// HTTP sends requests to peers. It must open a new connection for each
	// request: an old one may have gone silent and proves nothing.
	HTTP snipeproto.HTTPClient
	// Seeds returns the instances that the platform lists.
	Seeds func(ctx context.Context) ([]Seed, error)
	// Interval is the time between two probes, Timeout bounds one request.
	Interval, Timeout time.Duration
	// Random returns a number from 0 to n-1.
	Random func(n int) int
	// Log takes the node's events.
	Log *snipelog.Logger

	started sync.Once
	wake    chan struct{}

	lock    sync.Mutex // guards the fields below; never held during a request
	self    Member
	peers   map[string]*peer
	digests map[digestKey]*digest
	version uint64
	queue   map[string]*queued
	order   []string
	contact time.Time
	seeds   []Seed
	listed  bool
}

// start makes the node usable before Run.
func (n *Node) start() {
	n.started.Do(func() {
		n.wake = make(chan struct{}, 1)
		n.lock.Lock()
		defer n.lock.Unlock()
		n.self = n.Self
		n.self.Status = Alive
		n.self.Incarnation = uint64(time.Now().UnixMilli())
		n.version = n.self.Incarnation << versionShift
		n.contact = time.Now()
		n.peers = map[string]*peer{}
		n.digests = map[digestKey]*digest{}
		n.queue = map[string]*queued{}
		n.enqueueMember(n.self.Name)
	})
}

// Handler returns the handler of peers' requests; the caller checks the secret.
func (n *Node) Handler() http.Handler {
	n.start()
	return snipeproto.NewMemberServer(&server{node: n})
}

// PathPrefix is where the handler is mounted.
const PathPrefix = snipeproto.MemberPathPrefix

// Members returns all known members by name, this instance among them,
// including those that are dead or have left and are not yet forgotten.
func (n *Node) Members() []Member {
	n.start()
	n.lock.Lock()
	defer n.lock.Unlock()
	all := make([]Member, 0, len(n.peers)+1)
	all = append(all, n.self)
	for _, p := range n.peers {
		all = append(all, p.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Member returns one member.
func (n *Node) Member(name string) (Member, bool) {
	n.start()
	n.lock.Lock()
	defer n.lock.Unlock()
	if name == n.self.Name {
		return n.self, true
	}
	p, ok := n.peers[name]
	if !ok {
		return Member{}, false
	}
	return p.Member, true
}

// Joined reports whether this instance has met another one, or knows of none.
func (n *Node) Joined() bool {
	n.start()
	n.lock.Lock()
	defer n.lock.Unlock()
	if len(n.peers) > 0 {
		return true
	}
	for _, s := range n.seeds {
		if s.Name != n.self.Name {
			return false
		}
	}
	return n.listed
}

// LastContact returns when another instance last answered or asked. An
// instance without any peer has no contact after its start.
func (n *Node) LastContact() time.Time {
	n.start()
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.contact
}

// Leave tells the others that a planned stop has begun.
func (n *Node) Leave() {
	n.start()
	n.lock.Lock()
	n.self.Leaving = true
	n.self.Incarnation++
	n.enqueueMember(n.self.Name)
	n.lock.Unlock()
	n.signal()
}

// Gone tells the others that this instance ends now; it waits for one round of
// pushes.
func (n *Node) Gone(ctx context.Context) {
	n.start()
	n.lock.Lock()
	n.self.Status = Left
	n.enqueueMember(n.self.Name)
	n.lock.Unlock()
	n.push(ctx, pushFanout)
}

// signal wakes the pusher.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// live returns the live peers, in a random order. The lock is held.
func (n *Node) live() []Member {
	var all []Member
	for _, p := range n.peers {
		if p.Live() {
			all = append(all, p.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	n.shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (n *Node) shuffle(count int, swap func(i, j int)) {
	for i := count - 1; i > 0; i-- {
		swap(i, n.Random(i+1))
	}
}

// some returns up to count random live peers other than the one named.
func (n *Node) some(count int, except string) []Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	var chosen []Member
	for _, m := range n.live() {
		if m.Name != except && len(chosen) < count {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// seen notes that a peer answered or asked.
func (n *Node) seen() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.contact = time.Now()
}
