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
	// replicasStep is the time between two looks at the calls in flight, and
	// at what other instances have announced.
	replicasStep = time.Second
	// replicasTTL is how long an announcement counts, replicasAgain the time
	// after which it is repeated.
	replicasTTL   = 30 * time.Second
	replicasAgain = 10 * time.Second
	// keyBase is the base of the hash that is an announcement's key.
	keyBase = 36
)

// replicas keeps how many engines hold each hot adapter. The owner of an
// adapter's home engine decides and announces; all others only listen.
type replicas struct {
	counts atomic.Pointer[map[uint64]int] // by the adapter's hash; immutable

	// The fields below belong to the goroutine of watchReplicas.
	homes map[uint64]*homeReplicas
}

// homeReplicas is the decision for one adapter whose home is owned here.
type homeReplicas struct {
	decision sniperoute.Replicas
	said     int
	at       time.Time // when it was said
	seen     time.Time
}

// count returns how many engines hold an adapter.
func (r *replicas) count(key uint64) int {
	if m := r.counts.Load(); m != nil {
		return (*m)[key]
	}
	return 0
}

func (i *Instance) watchReplicas(ctx context.Context) error {
	return snipetime.Every(ctx, replicasStep, func(context.Context) {
		i.decideReplicas(time.Now())
		i.hearReplicas()
	})
}

// decideReplicas looks at the adapters whose home is at an engine of this
// instance.
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
		if now.Sub(h.seen) > replicasTTL {
			delete(r.homes, key)
			continue
		}
		if n := h.decision.Count(); n != h.said || n > 1 && now.Sub(h.at) >= replicasAgain {
			h.said, h.at = n, now
			i.members.Announce(replicasTopic, strconv.FormatUint(key, keyBase), []byte{byte(n)}, replicasTTL) //nolint:gosec // at most MaxReplicas
		}
	}
}

// observe takes a look at one adapter. Those that need one engine are not kept.
func (r *replicas) observe(key uint64, now time.Time, inFlight, batch int) {
	h := r.homes[key]
	if h == nil {
		if inFlight == 0 {
			return
		}
		h = &homeReplicas{said: 1}
		r.homes[key] = h
	}
	if inFlight > 0 || h.decision.Count() > 1 {
		h.seen = now
	}
	h.decision.Step(now, inFlight, batch)
}

// hearReplicas takes what all instances have announced. When a home has just
// changed its owner, the higher number counts.
func (i *Instance) hearReplicas() {
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
