package snipegateway

import (
	"maps"
	"math"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// ReplicaRate is how many requests a second one engine should answer for one
	// adapter: half of what an engine can answer in all. A lower rate fills places that
	// rarer adapters need.
	ReplicaRate = 15.0
	// replicaPatience is how long the load of one more replica may take: with more
	// to do, the engine is no help.
	replicaPatience = 300 * time.Millisecond
	// replicaSettle is how long after one decision about an adapter the next one follows:
	// the loads take 0.3 s, and rates have a half-life of as much.
	replicaSettle = 1200 * time.Millisecond
	// replicaMargin is by how much the rate on one engine must exceed ReplicaRate for
	// more engines to be added to several: half a second's requests of one adapter at one
	// engine vary by a third from one time to the next.
	replicaMargin = 1.5
	// spareRate is the rate up to which the other holders may take over the requests of
	// one that is to be evicted: less than what adds a replica, so that the two do not
	// follow each other.
	spareRate = 0.7 * ReplicaRate
	// replicaNews is for how long others are told of a replica: the registry shows
	// it to all by then.
	replicaNews = 3 * time.Second
)

// Replica is an engine that has come to hold an adapter.
type Replica struct {
	Engine  string
	Version int64
}

// news is a replica and when it was learned of.
type news struct {
	version int64
	at      time.Time
}

// Spread has more engines load the adapters that are used much on one of this
// instance's engines; nobody waits for them. Rates are the uses a second on that
// engine, of all instances: one instance alone sees too few requests to tell an
// adapter that is asked for often from one that was asked for twice.
func (c *Chooser) Spread(u *snipedirectory.Upstream, rates map[snipecatalog.Adapter]float64) {
	for a, perSecond := range rates {
		c.spread(u, a, perSecond)
	}
}

// spread has as many engines load an adapter as its use on one engine calls for; the
// others that hold it are used as much. Of several engines only the first in rank decides:
// each knows its own rate alone, and what all of them add by theirs is too much.
func (c *Chooser) spread(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) {
	directory := c.Directory.Snapshot()
	all := directory.Service(u.Service)
	holders, first := c.holders(directory, u.Service, a)
	if holders > 1 && (first != u.ID || perSecond < replicaMargin*ReplicaRate) {
		return
	}
	holders = max(holders, 1)
	missing := wanted(perSecond*float64(holders), len(all)) - holders
	if missing <= 0 || !c.settled(a) {
		return
	}
	required := c.Versions.Required(a, versionGrace)
	for other := range c.bestFirst(all, a) {
		if missing == 0 {
			return
		}
		if version, held := c.Residency.Holds(other, a); held && version >= required || !c.loadable(other, a) || c.Signals.Limited(other.ID) {
			continue
		}
		c.join(other, a, required, replicaPatience)
		missing--
	}
}

// holders returns how many usable engines hold an adapter in a version that will do, and
// the identifier of the first of them in rank: its entry is another one with each reading.
func (c *Chooser) holders(directory *snipedirectory.Snapshot, service string, a snipecatalog.Adapter) (count int, first string) {
	required := c.Versions.Required(a, versionGrace)
	key := rankKey(a)
	var highest uint64
	for _, u := range c.mayHold(directory, service, a) {
		version, ok := c.Residency.Holds(u, a)
		if !ok || version < required || !c.Balancer.Usable(u) {
			continue
		}
		count++
		if score := sniperoute.Score(key, u.RankKey); first == "" || score > highest {
			first, highest = u.ID, score
		}
	}
	return count, first
}

// settled reports whether the last decision about an adapter shows in its rates, and
// notes a new one if so.
func (c *Chooser) settled(a snipecatalog.Adapter) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := time.Now()
	if now.Before(c.settling[a]) {
		return false
	}
	if c.settling == nil {
		c.settling = make(map[snipecatalog.Adapter]time.Time)
	}
	maps.DeleteFunc(c.settling, func(_ snipecatalog.Adapter, until time.Time) bool { return now.After(until) })
	c.settling[a] = now.Add(replicaSettle)
	return true
}

// Spare reports whether an engine may lose an adapter that is used so often there: the
// other engines that hold it take its requests over. The first in rank is never spare, so
// that not all are dropped at the same time.
func (c *Chooser) Spare(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool {
	holders, first := c.holders(c.Directory.Snapshot(), u.Service, a)
	return holders > 1 && first != u.ID && perSecond*float64(holders)/float64(holders-1) < spareRate
}

// wanted returns how many engines should hold an adapter that is asked for so often.
func wanted(perSecond float64, engines int) int {
	return max(min(int(math.Ceil(perSecond/ReplicaRate)), engines), 1)
}

// noteReplica notes that an engine has come to hold an adapter. The lock is held.
func (c *Chooser) noteReplica(a snipecatalog.Adapter, engine string, version int64) {
	now := time.Now()
	if c.replicas == nil {
		c.replicas = make(map[snipecatalog.Adapter]map[string]news)
	}
	if c.replicas[a] == nil {
		c.pruneReplicas(now)
		c.replicas[a] = make(map[string]news)
	}
	c.replicas[a][engine] = news{version, now}
}

// pruneReplicas forgets what is no news any more. The lock is held.
func (c *Chooser) pruneReplicas(now time.Time) {
	for a, engines := range c.replicas {
		for engine, n := range engines {
			if now.Sub(n.at) > replicaNews {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(c.replicas, a)
		}
	}
}

// Replicas returns the engines other than one that have lately come to hold an adapter
// at this instance's request.
func (c *Chooser) Replicas(a snipecatalog.Adapter, except string) []Replica {
	c.lock.Lock()
	defer c.lock.Unlock()
	var all []Replica
	for engine, n := range c.replicas[a] {
		if engine != except && time.Since(n.at) <= replicaNews {
			all = append(all, Replica{engine, n.version})
		}
	}
	return all
}
