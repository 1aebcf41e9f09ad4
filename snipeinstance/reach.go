package snipeinstance

import (
	"snipepitch.example/snipepitch/snipelease"
)

// reachable reports whether calls may be sent to the owner of an engine. A dead owner keeps its
// engines until its lease expires; until then calls go to other engines at once.
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
