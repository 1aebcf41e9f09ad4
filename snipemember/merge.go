package snipemember

import (
	"math/bits"
	"time"

	"snipepitch.example/snipepitch/snipelog"
)

// merge takes one member's state from news and reports whether it was new.
// The lock is held.
func (n *Node) merge(m Member) bool {
	if m.Name == n.self.Name {
		return n.refute(m)
	}
	old, known := n.peers[m.Name]
	if known && !m.newer(old.Member) {
		return false
	}
	if !known && !m.Live() {
		// Remember it, so that older news does not bring it back.
		n.peers[m.Name] = &peer{Member: m, until: time.Now().Add(tombstone)}
		return true
	}
	n.note(m, old)
	n.enqueueMember(m.Name)
	return true
}

// note stores a state that outweighs old, which is nil for a new member.
func (n *Node) note(m Member, old *peer) {
	p := &peer{Member: m}
	fields := snipelog.Fields{"Member": m.Name, "Incarnation": m.Incarnation}
	switch m.Status {
	case Alive:
		if old == nil || !old.Live() || old.Address != m.Address {
			n.Log.Log(snipelog.MemberAlive, fields)
		}
	case Suspect:
		p.until = time.Now().Add(n.suspicion())
		n.Log.Log(snipelog.MemberSuspect, fields)
	case Dead:
		p.until = time.Now().Add(tombstone)
		n.Log.Log(snipelog.MemberDead, fields)
	case Left:
		p.until = time.Now().Add(tombstone)
		n.Log.Log(snipelog.MemberLeft, fields)
	}
	n.peers[m.Name] = p
}

// suspicion is how long a suspect may take to refute. It grows with the
// logarithm of the number of members, as the time does in which news reaches
// all of them.
func (n *Node) suspicion() time.Duration {
	return suspectFactor * n.Interval * time.Duration(1+bits.Len(uint(len(n.peers)))/3)
}

// refute answers news about this instance itself. The lock is held.
func (n *Node) refute(m Member) bool {
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

// suspect notes that a member could not be reached. When no relay answered
// either, this instance may be the one that is cut off, and its suspicion is
// given more time.
func (n *Node) suspect(name string, alone bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	p, ok := n.peers[name]
	if !ok || p.Status != Alive {
		return
	}
	m := p.Member
	m.Status = Suspect
	n.note(m, p)
	if alone {
		n.peers[name].until = time.Now().Add(isolatedFactor * n.suspicion())
	}
	n.enqueueMember(name)
}

// expire turns suspects into dead ones and forgets what is over.
func (n *Node) expire() {
	now := time.Now()
	n.lock.Lock()
	defer n.lock.Unlock()
	for name, p := range n.peers {
		switch {
		case p.Status == Alive || now.Before(p.until):
		case p.Status == Suspect:
			m := p.Member
			m.Status = Dead
			n.note(m, p)
			n.enqueueMember(name)
		default:
			delete(n.peers, name)
		}
	}
	for k, d := range n.digests {
		if !now.Before(d.until) {
			delete(n.digests, k)
			delete(n.queue, k.queueName())
		}
	}
}
