// Package snipemember detects which instances are live and distributes small announcements, called
// digests, among them. Members are all instances; an instance's peers are the other ones.
//
// Design. No instance contacts all others at once. In each interval each instance probes one
// other instance, in a shuffled order. When the probe fails, it asks a few other instances to probe
// the same target, and suspects the target only if none of them reaches it, so that a broken link
// between two instances alone makes no instance suspect. A suspect that does not refute the
// suspicion in time is declared dead. Changes are sent with probes and their answers. New changes
// are also pushed at once to a few random instances, as far as a budget of pushes allows, since the
// traffic of an instance must not grow with the number of instances. Missed changes are found by
// comparing hash sums of the known states with a random instance.
//
// Invariants:
//
//   - A member's state is ordered by (Incarnation, Status); a lower one never replaces a higher
//     one. Merging is therefore commutative, and the order in which updates arrive does not matter.
//   - Only an instance itself sets its incarnation: from the clock at its start. It raises it to
//     refute a suspicion or a state of an earlier process, or to announce that it is leaving.
//   - A digest is ordered by its origin's version; a lower one never replaces a higher one. Digests
//     are bounded in number and in size, and they expire.
//
// Membership is a hint. Nothing that must be exclusive may depend on it; package snipelease
// provides exclusive ownership.
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

// Status is the state of a member as known here.
type Status uint8

// The statuses, in ascending order: at one incarnation a later status supersedes an earlier one.
const (
	// Alive members answer probes, as far as is known.
	Alive Status = iota
	// Suspect members did not answer a probe and have not refuted the suspicion yet.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members have announced the end of their process.
	Left
	statusCount
)

var statusNames = [statusCount]string{"Alive", "Suspect", "Dead", "Left"}

// String returns the status's name.
func (s Status) String() string {
	if s >= statusCount {
		return "Unknown"
	}
	return statusNames[s]
}

// Member is one instance as known here.
type Member struct {
	// Name is the instance's name, Address its address for requests from peers, and Domain its
	// failure domain.
	Name    string
	Address netip.AddrPort
	Domain  string
	// Incarnation orders the states of the instance. It is set from the clock at each start, and
	// raised by each refutation and by Leave.
	Incarnation uint64
	// Status is the state of the instance.
	Status Status
	// Leaving reports that a planned stop has begun.
	Leaving bool
}

// Live reports whether the member is neither dead nor has left. A suspect is live.
func (m Member) Live() bool { return m.Status == Alive || m.Status == Suspect }

// supersedes reports whether m replaces old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}

// Seed is an instance listed by the platform; it may no longer exist.
type Seed struct {
	Name    string
	Address netip.AddrPort
}

// Defaults and bounds.
const (
	// DefaultInterval is the time between two probes that an instance sends.
	DefaultInterval = time.Second
	// DefaultTimeout bounds one request.
	DefaultTimeout = 500 * time.Millisecond

	relayCount      = 3                     // peers asked to probe a target that does not answer
	pushFanout      = 4                     // peers that one push reaches at most
	pushBurst       = 12                    // requests that pushes may make at once
	pushRefillRate  = 0.25                  // requests of pushes per interval
	pushDelay       = 20 * time.Millisecond // collects further changes before a push
	maxUpdateBytes  = 400                   // bytes of updates in one message
	maxRetransmits  = 8                     // most times that an instance sends one change
	suspectFactor   = 3                     // multiplies Interval in suspicionTimeout
	isolatedFactor  = 3                     // multiplies suspicionTimeout if no relay answers (see markSuspect)
	tombstoneTTL    = 10 * time.Minute      // how long members that are dead or have left are kept
	syncRounds      = 5                     // rounds between two syncs; a round lasts one interval
	reconnectRounds = 5                     // rounds between two calls of reconnect
	seedsRounds     = 60                    // rounds between two reads of the platform's list
	maxJoinSyncs    = 3                     // answers of listed instances after which join ends
)

// peer is a member and the time at which its status changes by itself.
type peer struct {
	Member
	// deadline is when a suspect becomes dead, or a member that is dead or has left is forgotten.
	deadline time.Time
}

// Membership is this instance's view of the membership and its part in the protocol. Its exported
// fields are set before Run. Its methods are safe for concurrent use.
type Membership struct {
	// Self is this instance; Membership sets its status, and its incarnation from the clock.
	Self Member
	// HTTP sends requests to peers. It must open a new connection for each request: an existing
	// connection may have failed silently, so its state proves nothing about the peer.
	HTTP snipeproto.HTTPClient
	// Seeds returns the instances that the platform lists.
	Seeds func(ctx context.Context) ([]Seed, error)
	// Interval is the time between two probes, Timeout bounds one request.
	Interval, Timeout time.Duration
	// Random returns a number from 0 to n-1.
	Random func(n int) int
	// Log receives the events.
	Log *snipelog.Logger

	started  sync.Once
	pushWake chan struct{}

	lock        sync.Mutex // guards the fields below; never held during a request
	self        Member
	peers       map[string]*peer
	digests     map[digestKey]*digest
	lastVersion uint64                   // the version of this instance's last digest
	queue       map[string]*queuedUpdate // by memberPrefix and the name, or by digestKey.queueName
	probeOrder  []string                 // the names of the peers still to be probed in this pass
	lastContact time.Time
	seeds       []Seed
	seedsRead   bool
}

// start initializes the Membership on its first call, so that its methods can be called before Run.
func (n *Membership) start() {
	n.started.Do(func() {
		n.pushWake = make(chan struct{}, 1)
		n.lock.Lock()
		defer n.lock.Unlock()
		n.self = n.Self
		n.self.Status = Alive
		n.self.Incarnation = uint64(time.Now().UnixMilli())
		n.lastVersion = n.self.Incarnation << versionShift
		n.lastContact = time.Now()
		n.peers = map[string]*peer{}
		n.digests = map[digestKey]*digest{}
		n.queue = map[string]*queuedUpdate{}
		n.enqueueMember(n.self.Name)
	})
}

// Handler returns the handler of peers' requests; the caller checks the peer secret.
func (n *Membership) Handler() http.Handler {
	n.start()
	return snipeproto.NewMemberServer(&server{membership: n})
}

// PathPrefix is the path at which Handler is mounted.
const PathPrefix = snipeproto.MemberPathPrefix

// Members returns all known members sorted by name. They include this instance, and members that
// are dead or have left and are not yet forgotten.
func (n *Membership) Members() []Member {
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

// Member returns the member with the given name, and whether it is known.
func (n *Membership) Member(name string) (Member, bool) {
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

// Joined reports whether this instance knows another member, or has read the platform's list and
// found no other instance in it.
func (n *Membership) Joined() bool {
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
	return n.seedsRead
}

// LastContact returns when another instance last answered or sent a request, or when this one
// started if none has done so.
func (n *Membership) LastContact() time.Time {
	n.start()
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.lastContact
}

// Leave announces that a planned stop has begun, by a higher incarnation. The member stays alive.
// Leave does not wait for the announcement to be sent.
func (n *Membership) Leave() {
	n.start()
	n.lock.Lock()
	n.self.Leaving = true
	n.self.Incarnation++
	n.enqueueMember(n.self.Name)
	n.lock.Unlock()
	n.wakePusher()
}

// AnnounceLeft sets this instance's status to Left, pushes it to a few random live peers, and waits
// for their answers, at most for Timeout. The other instances receive the status from these peers;
// if none of them answers, it may reach no instance.
func (n *Membership) AnnounceLeft(ctx context.Context) {
	n.start()
	n.lock.Lock()
	n.self.Status = Left
	n.enqueueMember(n.self.Name)
	n.lock.Unlock()
	n.push(ctx, pushFanout)
}

// wakePusher wakes the goroutine that pushes changes.
func (n *Membership) wakePusher() {
	select {
	case n.pushWake <- struct{}{}:
	default:
	}
}

// livePeers returns the live peers in a random order. The lock is held.
func (n *Membership) livePeers() []Member {
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

// shuffle puts count elements into a random order.
func (n *Membership) shuffle(count int, swap func(i, j int)) {
	for i := count - 1; i > 0; i-- {
		swap(i, n.Random(i+1))
	}
}

// randomPeers returns up to count random live peers other than the one named except.
func (n *Membership) randomPeers(count int, except string) []Member {
	n.lock.Lock()
	defer n.lock.Unlock()
	var chosen []Member
	for _, m := range n.livePeers() {
		if m.Name != except && len(chosen) < count {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// recordContact records that a peer answered or sent a request.
func (n *Membership) recordContact() {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.lastContact = time.Now()
}
