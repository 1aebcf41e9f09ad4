package snipeinstance

import (
	"snipepitch.example/snipepitch/snipelease"
)

// reachable reports whether calls may be sent to the owner of an engine. It returns false if the
// membership considers the owner's process dead or gone, or while calls to its address are held off
// after a failure (snipepeer.Reach). A dead owner keeps its engines until its lease expires; until
// then calls go to other engines at once.
func (i *Instance) reachable(owner snipelease.Instance) bool {
	if owner.Name == i.Config.Name {
		return true
	}
	m, known := i.members.Member(owner.Name)
	if known && !m.Live() && m.Address == owner.PeerAddress {
		return false
	}
	return i.forward.Reach.Usable(owner.PeerAddress)
}
