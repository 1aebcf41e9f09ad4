package snipeinstance

import (
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net/netip"
	"time"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipetree"
)

// The membership topic, key and lifetime of the announcement of an accepted revision.
const (
	settingsTopic = "Settings"
	revisionKey   = "Revision"
	revisionTTL   = 10 * time.Minute
)

// buildSettings creates the store that follows the settings. It needs the membership, which
// distributes announcements and lists the peers, so buildMembers must run first.
func (i *Instance) buildSettings(table snipeplatform.Table) {
	i.settings = &snipetree.Store{
		Table: table, Poll: i.Config.Poll.Value(), Log: i.Log, Operation: rand.Text,
		Peers: i.randomPeers, HTTP: i.members.HTTP, AnnouncedRevision: i.announcedRevision,
		Announce: func(revision uint64) {
			i.members.Announce(settingsTopic, revisionKey, binary.AppendUvarint(nil, revision), revisionTTL)
		},
		Jitter: func(most time.Duration) time.Duration {
			return mathrand.N(most + 1) //nolint:gosec // spreads load
		},
	}
}

// announcedRevision returns the highest revision that any instance announced, or 0 if there is no
// announcement.
func (i *Instance) announcedRevision() uint64 {
	var highest uint64
	for _, d := range i.members.Digests(settingsTopic) {
		if n, size := binary.Uvarint(d.Data); size > 0 {
			highest = max(highest, n)
		}
	}
	return highest
}

// randomPeers returns the addresses of up to n other live instances in random order.
func (i *Instance) randomPeers(n int) []netip.AddrPort {
	var all []netip.AddrPort
	for _, m := range i.members.Members() {
		if m.Live() && m.Name != i.Config.Name {
			all = append(all, m.Address)
		}
	}
	mathrand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] }) //nolint:gosec // spreads load
	return all[:min(n, len(all))]
}
