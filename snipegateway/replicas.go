package snipegateway

import (
	"maps"
	"math"
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/sniperoute"
)

const (
	// ReplicaRate is the target rate of requests per second for one adapter on one engine: half of
	// what an engine can answer in total. With a lower rate, more engines would hold the adapter,
	// in slots that less used adapters need.
	ReplicaRate = 15.0
	// replicaMaxWait is the longest expected time for the load of a further replica. An engine with
	// more loads queued would not relieve the others in time.
	replicaMaxWait = offloadMaxWait
	// replicaDecisionInterval is the least time between two decisions about an adapter's replicas.
	// The load of an adapter takes 0.3 s, and rates of requests have a half-life of 0.3 s. After a
	// shorter time, the rates would not reflect the last decision yet.
	replicaDecisionInterval = 1200 * time.Millisecond
	// replicaMargin is the factor by which the rate on one engine must exceed ReplicaRate before an
	// adapter that several engines hold gets further replicas. The number of requests for one
	// adapter at one engine within half a second varies by a third.
	replicaMargin = 1.5
	// maxSpareRate is the highest rate to which the other holders' requests may rise when one
	// holder evicts the adapter. It is lower than the rate that adds a replica, so that eviction
	// and replication do not alternate.
	maxSpareRate = 0.7 * ReplicaRate
	// replicaReportTime is how long a new replica is reported to other instances; after that the
	// registry lists it for all of them.
	replicaReportTime = 3 * time.Second
)

// replicaDemand is the demand for a further replica. No request waits for it, so it goes behind those
// for which one does, and is given up when the next decision about the adapter's replicas is due.
var replicaDemand = snipeadapter.Demand{
	MaxWait: replicaMaxWait, Priority: snipeadapter.MaxPriority,
	Target: replicaDecisionInterval, Deadline: replicaDecisionInterval,
}

// Replica is an engine that has recently loaded an adapter, and the version that it loaded.
type Replica struct {
	Engine  string
	Version int64
}

// recentReplica is the version of a new replica and when it was recorded.
type recentReplica struct {
	version int64
	at      time.Time
}

// AddReplicas has more engines load the adapters that are used much on u, an engine owned by this
// instance. No request waits for these loads. Rates are the requests per second on that engine from
// all instances: a single instance serves too few requests to distinguish a popular adapter from
// one that was requested twice.
func (c *Chooser) AddReplicas(u *snipedirectory.Upstream, rates map[snipecatalog.Adapter]float64) {
	for a, perSecond := range rates {
		c.addReplicas(u, a, perSecond)
	}
}

// addReplicas has as many engines load an adapter as its rate on one engine requires, assuming the
// same rate on the other holders. If there are several holders, only the first in rank decides:
// each owner knows only the rate on its own engine, and all of them together would add too many
// replicas.
func (c *Chooser) addReplicas(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) {
	directory := c.Directory.Snapshot()
	all := directory.Service(u.Service)
	holders, first := c.usableHolders(directory, u.Service, a)
	if holders > 1 && (first != u.ID || perSecond < replicaMargin*ReplicaRate) {
		return
	}
	holders = max(holders, 1)
	missing := wantedReplicas(perSecond*float64(holders), len(all)) - holders
	if missing <= 0 || !c.startReplicaDecision(a) {
		return
	}
	required := c.Versions.Required(a, versionGrace)
	for other := range c.loadCandidates(all, a) {
		if missing == 0 {
			return
		}
		if version, held := c.Residency.Holds(other, a); held && version >= required || !c.loadable(other, a) || c.Signals.Limited(other.ID) {
			continue
		}
		c.joinLoad(other, a, required, replicaDemand)
		missing--
	}
}

// usableHolders returns the number of usable engines that hold an adapter in an accepted version,
// and the identifier of the highest-ranked of them. It returns an identifier because each read of
// the directory creates new entries.
func (c *Chooser) usableHolders(directory *snipedirectory.Snapshot, service string, a snipecatalog.Adapter) (count int, first string) {
	required := c.Versions.Required(a, versionGrace)
	key := rankKey(a)
	var highest uint64
	for _, u := range c.adapterHolders(directory, service, a) {
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

// startReplicaDecision reports whether the last decision about an adapter's replicas was made at
// least replicaDecisionInterval ago, and if so records a new decision.
func (c *Chooser) startReplicaDecision(a snipecatalog.Adapter) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := time.Now()
	if now.Before(c.nextReplicaDecision[a]) {
		return false
	}
	if c.nextReplicaDecision == nil {
		c.nextReplicaDecision = make(map[snipecatalog.Adapter]time.Time)
	}
	maps.DeleteFunc(c.nextReplicaDecision, func(_ snipecatalog.Adapter, at time.Time) bool { return now.After(at) })
	c.nextReplicaDecision[a] = now.Add(replicaDecisionInterval)
	return true
}

// CanEvict reports whether an engine may evict an adapter that receives perSecond requests per
// second there, because the other holders can take over these requests. The first holder in rank
// may never evict the adapter, so that not all holders evict it at the same time.
func (c *Chooser) CanEvict(u *snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) bool {
	holders, first := c.usableHolders(c.Directory.Snapshot(), u.Service, a)
	return holders > 1 && first != u.ID && perSecond*float64(holders)/float64(holders-1) < maxSpareRate
}

// wantedReplicas returns how many engines should hold an adapter with a rate of requests, at least
// one.
func wantedReplicas(perSecond float64, engines int) int {
	return max(min(int(math.Ceil(perSecond/ReplicaRate)), engines), 1)
}

// recordReplica records that an engine has loaded an adapter now. It replaces an earlier record of
// the engine. The lock must be held.
func (c *Chooser) recordReplica(a snipecatalog.Adapter, engine string, version int64) {
	now := time.Now()
	if c.replicas == nil {
		c.replicas = make(map[snipecatalog.Adapter]map[string]recentReplica)
	}
	if c.replicas[a] == nil {
		c.pruneReplicas(now)
		c.replicas[a] = make(map[string]recentReplica)
	}
	c.replicas[a][engine] = recentReplica{version, now}
}

// pruneReplicas removes the records that are no longer reported. The lock must be held.
func (c *Chooser) pruneReplicas(now time.Time) {
	for a, engines := range c.replicas {
		for engine, n := range engines {
			if now.Sub(n.at) > replicaReportTime {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(c.replicas, a)
		}
	}
}

// Replicas returns the engines, except the excluded one, that have loaded an adapter at this
// instance's request within replicaReportTime.
func (c *Chooser) Replicas(a snipecatalog.Adapter, excluded string) []Replica {
	c.lock.Lock()
	defer c.lock.Unlock()
	var all []Replica
	for engine, n := range c.replicas[a] {
		if engine != excluded && time.Since(n.at) <= replicaReportTime {
			all = append(all, Replica{engine, n.version})
		}
	}
	return all
}
