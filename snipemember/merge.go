package snipemember

import (
	"math/bits"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

// mergeMember merges a received state of one member and reports whether it changed anything. A new
// state is queued for other peers, unless it is that of an unknown member that is dead or has left.
// The lock is held.
func (n *Membership) mergeMember(m Member) bool {
	if m.Name == n.self.Name {
		return n.refute(m)
	}
	old, known := n.peers[m.Name]
	if known && !m.supersedes(old.Member) {
		return false
	}
	if !known && !m.Live() {
		// Keep the state, so that an older update does not make the member live again.
		n.peers[m.Name] = &peer{Member: m, deadline: time.Now().Add(tombstoneTTL)}
		return true
	}
	n.setState(m, old)
	n.enqueueMember(m.Name)
	return true
}

// setState stores and logs a state that supersedes old, which is nil for a new member. The lock is
// held.
func (n *Membership) setState(m Member, old *peer) {
	p := &peer{Member: m}
	fields := snipelog.Fields{"Member": m.Name, "Incarnation": m.Incarnation}
	switch m.Status {
	case Alive:
		if old == nil || !old.Live() || old.Address != m.Address {
			n.Log.Log(snipelog.MemberAlive, fields)
		}
	case Suspect:
		p.deadline = time.Now().Add(n.suspicionTimeout())
		n.Log.Log(snipelog.MemberSuspect, fields)
	case Dead:
		p.deadline = time.Now().Add(tombstoneTTL)
		n.Log.Log(snipelog.MemberDead, fields)
	case Left:
		p.deadline = time.Now().Add(tombstoneTTL)
		n.Log.Log(snipelog.MemberLeft, fields)
	}
	n.peers[m.Name] = p
}

// suspicionTimeout returns the time that a suspect has to refute. It grows with the logarithm of
// the number of members, as does the time in which an update reaches all of them. The lock is held.
func (n *Membership) suspicionTimeout() time.Duration {
	return suspectFactor * n.Interval * time.Duration(1+bits.Len(uint(len(n.peers)))/3)
}

// refute handles a received state of this instance. If the state has a higher incarnation than the
// instance, or the same one with a status other than Alive, refute raises the instance's
// incarnation above it and reports true. An instance that has left refutes nothing. The lock is
// held.
func (n *Membership) refute(m Member) bool {
	same := m.Status == n.self.Status && m.Address == n.self.Address && m.Leaving == n.self.Leaving
	if m.Incarnation < n.self.Incarnation || same && m.Incarnation == n.self.Incarnation {
		return false
	}
	if m.Status == Alive && m.Incarnation == n.self.Incarnation || n.self.Status == Left {
		return false
	}
	n.self.Incarnation = m.Incarnation + 1
	n.enqueueMember(n.self.Name)
	n.Log.Log(snipelog.MemberRefuted, snipelog.Fields{"Status": m.Status.String(), "Incarnation": n.self.Incarnation})
	return true
}

// markSuspect marks an alive member as suspect after it could not be reached. isolated reports that
// no relay (a peer that was asked to probe the member) has answered either. This instance may then
// be the one that is cut off, so the suspect gets isolatedFactor times as long to refute.
func (n *Membership) markSuspect(name string, isolated bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	p, ok := n.peers[name]
	if !ok || p.Status != Alive {
		return
	}
	m := p.Member
	m.Status = Suspect
	n.setState(m, p)
	if isolated {
		n.peers[name].deadline = time.Now().Add(isolatedFactor * n.suspicionTimeout())
	}
	n.enqueueMember(name)
}

// expire declares suspects dead after their deadline, and removes expired digests and, after
// tombstoneTTL, members that are dead or have left.
func (n *Membership) expire() {
	now := time.Now()
	n.lock.Lock()
	defer n.lock.Unlock()
	for name, p := range n.peers {
		switch {
		case p.Status == Alive || now.Before(p.deadline):
		case p.Status == Suspect:
			m := p.Member
			m.Status = Dead
			n.setState(m, p)
			n.enqueueMember(name)
		default:
			delete(n.peers, name)
		}
	}
	for k, d := range n.digests {
		if !now.Before(d.expires) {
			delete(n.digests, k)
			delete(n.queue, k.queueName())
		}
	}
}
