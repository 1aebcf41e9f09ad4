package snipegateway

import (
	"math"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

const (
	// ReplicaRate is how many requests a second one engine should answer for one
	// adapter: half of what an engine can answer in all with prompts of 650 tokens.
	// A lower rate fills places that rarer adapters need: with 8 a second 4.0 in 100
	// requests were refused under heavy load, with 15 a second 3.0.
	ReplicaRate = 15.0
	// replicaPatience is how long the load of one more replica may take: with more
	// to do, the engine is no help.
	replicaPatience = 300 * time.Millisecond
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
	all := c.Directory.Snapshot().Service(u.Service)
	for a, perSecond := range rates {
		c.spread(all, a, perSecond)
	}
}

// spread has as many engines load an adapter as its use on one engine calls for; the
// others that hold it are used as much.
func (c *Chooser) spread(all []*snipedirectory.Upstream, a snipecatalog.Adapter, perSecond float64) {
	required := c.Versions.Required(a, versionGrace)
	holds := func(u *snipedirectory.Upstream) bool {
		version, ok := c.Residency.Holds(u, a)
		return ok && version >= required
	}
	held := max(c.held(all, holds), 1)
	missing := wanted(perSecond*float64(held), len(all)) - held
	if missing <= 0 {
		return
	}
	for _, u := range c.ranked(all, a) {
		if missing == 0 {
			return
		}
		if holds(u) || !c.loadable(u, a) {
			continue
		}
		c.join(u, a, required, replicaPatience)
		missing--
	}
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
