package snipeinstance

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	replicasTopic = "Replicas"
	// replicasInterval is the time between two polls of the calls in flight and of the
	// announcements of all instances.
	replicasInterval = time.Second
	// replicasTTL is how long an announcement is valid, and how long the decision for an idle adapter
	// is kept. replicasRepeat is the time after which a number above 1 is announced again.
	replicasTTL    = 30 * time.Second
	replicasRepeat = 10 * time.Second
	// keyBase is the numeric base of an announcement's key, the hash of the adapter.
	keyBase = 36
)

// replicas holds, for each adapter that is in such demand that one engine does not suffice, the
// number of engines among which its calls are distributed. The owner of the adapter's home engine,
// the one that ranks first for it, decides the number and announces it; all instances route by the
// announced number.
type replicas struct {
	counts atomic.Pointer[map[uint64]int] // by the adapter's hash; the map is immutable

	// homes holds the decisions of this instance by the adapter's hash. Only the goroutine of
	// watchReplicas accesses it.
	homes map[uint64]*homeReplicas
}

// homeReplicas is the decision for one adapter whose home engine this instance owns.
type homeReplicas struct {
	decision    sniperoute.Replicas
	announced   int       // the number in the last announcement
	announcedAt time.Time // time of the last announcement
	activeAt    time.Time // last time with a call in flight or more than one replica
}

// count returns the announced number of engines for an adapter, or 0 if no number above 1 is
// announced.
func (r *replicas) count(key uint64) int {
	if m := r.counts.Load(); m != nil {
		return (*m)[key]
	}
	return 0
}

func (i *Instance) watchReplicas(ctx context.Context) error {
	return snipetime.Every(ctx, replicasInterval, func(context.Context) {
		i.decideReplicas(time.Now())
		i.mergeReplicas()
	})
}

// decideReplicas updates the decisions for the adapters whose home engine this instance owns. It
// drops those of adapters that have been idle for longer than replicasTTL, and announces the others
// when their number has changed or, if it is above 1, every replicasRepeat. It does nothing while
// no settings are in force.
func (i *Instance) decideReplicas(now time.Time) {
	r := &i.replicas
	t := i.settings.Current()
	if t == nil {
		return
	}
	if r.homes == nil {
		r.homes = map[uint64]*homeReplicas{}
	}
	for _, name := range i.holder.Owned() {
		e, ok := t.Platform.Engines[name]
		if !ok {
			continue
		}
		candidates := i.prepared().engines[e.Base]
		i.dispatch.Uses(name, func(a snipecall.Adapter, inFlight int) {
			key := sniperoute.AdapterHash(a)
			home := sniperoute.Pick(key, candidates)
			if home >= 0 && candidates[home].Name == name {
				r.observe(key, now, inFlight, e.Batch)
			}
		})
	}
	for key, h := range r.homes {
		if now.Sub(h.activeAt) > replicasTTL {
			delete(r.homes, key)
			continue
		}
		if n := h.decision.Count(); n != h.announced || n > 1 && now.Sub(h.announcedAt) >= replicasRepeat {
			h.announced, h.announcedAt = n, now
			i.members.Announce(replicasTopic, strconv.FormatUint(key, keyBase), []byte{byte(n)}, replicasTTL) //nolint:gosec // at most MaxReplicas
		}
	}
}

// observe updates the decision for one adapter with its calls in flight at the home engine. An
// adapter gets an entry with its first call; the entry expires replicasTTL after the last
// time with a call in flight or more than one replica.
func (r *replicas) observe(key uint64, now time.Time, inFlight, batch int) {
	h := r.homes[key]
	if h == nil {
		if inFlight == 0 {
			return
		}
		h = &homeReplicas{announced: 1}
		r.homes[key] = h
	}
	if inFlight > 0 || h.decision.Count() > 1 {
		h.activeAt = now
	}
	h.decision.Step(now, inFlight, batch)
}

// mergeReplicas replaces the counts by those in the valid announcements of all instances; numbers
// below 2 are left out. If two instances announce a number for
// the same adapter, as happens after its home engine has changed owners, the higher one applies.
func (i *Instance) mergeReplicas() {
	counts := map[uint64]int{}
	for _, d := range i.members.Digests(replicasTopic) {
		key, err := strconv.ParseUint(d.Key, keyBase, 64)
		if err != nil || len(d.Data) != 1 || d.Data[0] > sniperoute.MaxReplicas {
			continue
		}
		if n := int(d.Data[0]); n > 1 {
			counts[key] = max(counts[key], n)
		}
	}
	i.replicas.counts.Store(&counts)
}
