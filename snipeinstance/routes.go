package snipeinstance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipetree"
)

// routesMaxAge bounds the age of prepared candidates. Changes of the membership, which determines
// the owners that are reachable, take effect with up to this delay.
const routesMaxAge = 100 * time.Millisecond

// routes holds the candidates of all calls, prepared in advance so that a call neither hashes nor
// allocates. It is immutable.
type routes struct {
	tree     *snipetree.Tree
	view     *snipelease.View
	at       time.Time
	engines  map[string][]sniperoute.Candidate // by base model
	services map[string][]sniperoute.Candidate
}

// router caches the prepared routes and pools the candidate buffers of calls.
type router struct {
	current atomic.Pointer[routes]
	lock    sync.Mutex // held while routes are prepared
	buffers sync.Pool  // of *[]sniperoute.Candidate
}

// prepared returns routes for the current settings and owners, which are at most routesMaxAge old.
// It prepares new ones if necessary; settings must be in force.
func (i *Instance) prepared() *routes {
	t, v := i.settings.Current(), i.holder.View()
	r := i.router.current.Load()
	if r != nil && r.tree == t && r.view == v && time.Since(r.at) < routesMaxAge {
		return r
	}
	i.router.lock.Lock()
	defer i.router.lock.Unlock()
	if n := i.router.current.Load(); n != r && n.tree == t && n.view == v {
		return n // another call has prepared them in the meantime
	}
	r = i.prepare(t, v)
	i.router.current.Store(r)
	return r
}

func (i *Instance) prepare(t *snipetree.Tree, v *snipelease.View) *routes {
	r := &routes{
		tree: t, view: v, at: time.Now(),
		engines: map[string][]sniperoute.Candidate{}, services: map[string][]sniperoute.Candidate{},
	}
	for name, s := range t.Platform.Services {
		for upstream, u := range s.Upstreams {
			r.services[name] = append(r.services[name], sniperoute.Candidate{
				Name: upstream, Hash: sniperoute.Hash(upstream), Usable: !u.Leaving,
			})
		}
	}
	for name, e := range t.Platform.Engines {
		o, owned := v.Owners[name]
		r.engines[e.Base] = append(r.engines[e.Base], sniperoute.Candidate{
			Name: name, Hash: sniperoute.Hash(name),
			Usable: owned && !o.HandingOver && !e.Leaving && i.reachable(o.Instance),
		})
	}
	return r
}

// candidates copies the candidates of a call into a buffer and marks those in failed as excluded.
// The caller returns the buffer to the pool.
func (i *Instance) candidates(c *snipecall.Call, failed []string) *[]sniperoute.Candidate {
	r := i.prepared()
	from := r.engines[c.Base]
	if c.Service != "" {
		from = r.services[c.Service]
	}
	all, ok := i.router.buffers.Get().(*[]sniperoute.Candidate)
	if !ok {
		all = new([]sniperoute.Candidate)
	}
	*all = append((*all)[:0], from...)
	if len(failed) == 0 {
		return all
	}
	for n := range *all {
		k := &(*all)[n]
		k.Excluded = slices.Contains(failed, k.Name)
	}
	return all
}
