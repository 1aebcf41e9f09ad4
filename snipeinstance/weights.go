package snipeinstance

import (
	"cmp"
	"crypto/rand"
	"math"
	"net/http"
	"slices"

	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipepeer"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipeupstream"
	"snipepitch.example/snipepitch/snipeweight"
)

// weightQueueKey is the key whose rendezvous ranking determines the instance that holds the queue
// for the weight store.
const weightQueueKey = "WeightQueue"

// buildWeights creates this instance's queue for the weight store, which other instances use while
// this instance ranks first, and the client that requests permits to load from the instance that
// holds the queue.
func (i *Instance) buildWeights() {
	c := i.Config
	i.weights = &snipeweight.Queue{Limits: i.weightLimits}
	fresh := snipeupstream.NewFresh(i.peerDial("Weights"))
	client := &snipepeer.SecretClient{Client: fresh, Secret: c.PeerSecret}
	i.permits = &snipeweight.Permits{
		Self:    c.Name + "/" + rand.Text(),
		Holders: func() []snipeweight.Holder { return i.weightHolders(client) },
	}
}

// weightServer returns the handler, and its path prefix, through which other instances use the
// queue.
func (i *Instance) weightServer() (prefix string, h http.Handler) {
	server := snipeproto.NewWeightServer(&snipeweight.Server{Queue: i.weights})
	return server.PathPrefix(), snipepeer.Authorized(i.Config.PeerSecret, server)
}

// weightHolders returns the clients of the queues of all live instances that are not leaving, and
// always of this one. They are sorted by rank: the first one should hold the queue.
func (i *Instance) weightHolders(client snipeproto.HTTPClient) []snipeweight.Holder {
	key := sniperoute.Hash(weightQueueKey)
	members := slices.DeleteFunc(i.members.Members(), func(m snipemember.Member) bool {
		return m.Name != i.Config.Name && (!m.Live() || m.Leaving)
	})
	slices.SortFunc(members, func(a, b snipemember.Member) int {
		x, y := sniperoute.Score(key, sniperoute.Hash(a.Name)), sniperoute.Score(key, sniperoute.Hash(b.Name))
		return cmp.Or(cmp.Compare(y, x), cmp.Compare(a.Name, b.Name))
	})
	holders := make([]snipeweight.Holder, 0, len(members)+1)
	self := false
	for _, m := range members {
		if m.Name == i.Config.Name {
			self = true
			holders = append(holders, snipeweight.Local(m.Name, i.weights))
			continue
		}
		holders = append(holders, snipeweight.Remote(m.Name, m.Address, client))
	}
	if !self {
		holders = append(holders, snipeweight.Local(i.Config.Name, i.weights))
	}
	return holders
}

// weightLimits returns the weight store's budget. While the membership lists fewer live instances
// than there are instances with leases, as in a network partition, it returns the proportional
// share of the budget, and at least one concurrent load. It returns zeros while no settings are in
// force.
func (i *Instance) weightLimits() (perSecond float64, concurrent int) {
	t := i.settings.Current()
	if t == nil {
		return 0, 0
	}
	live := 0
	for _, m := range i.members.Members() {
		if m.Live() {
			live++
		}
	}
	w := t.Platform.WeightStore
	share := min(1, float64(max(live, 1))/float64(max(len(i.holder.View().Instances), 1)))
	return w.LoadsPerSecond * share, max(int(math.Round(float64(w.Concurrent)*share)), 1)
}
