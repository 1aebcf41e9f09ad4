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

// routesAge is how old prepared candidates may be: what the membership says of
// owners is that late, too.
const routesAge = 100 * time.Millisecond

// routes are the candidates of all calls, prepared so that a call hashes and
// allocates nothing. They are immutable.
type routes struct {
	tree     *snipetree.Tree
	view     *snipelease.View
	at       time.Time
	engines  map[string][]sniperoute.Candidate // by base model
	services map[string][]sniperoute.Candidate
}

// router prepares routes and keeps the buffers of calls.
type router struct {
	current atomic.Pointer[routes]
	lock    sync.Mutex // held while routes are prepared
	buffers sync.Pool  // of *[]sniperoute.Candidate
}

// prepared returns routes for the settings and owners of now.
func (i *Instance) prepared() *routes {
	t, v := i.settings.Current(), i.holder.View()
	r := i.router.current.Load()
	if r != nil && r.tree == t && r.view == v && time.Since(r.at) < routesAge {
		return r
	}
	i.router.lock.Lock()
	defer i.router.lock.Unlock()
	if n := i.router.current.Load(); n != r && n.tree == t && n.view == v {
		return n // another call has prepared them meanwhile
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
			Usable: owned && !o.Giving && !e.Leaving && i.reachable(o.Instance),
		})
	}
	return r
}

// candidates copies the candidates of a call into a buffer, which the caller
// gives back.
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
