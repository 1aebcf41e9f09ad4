package snipeadapter

import (
	"maps"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// belief is what is known of one adapter on one engine.
type belief struct {
	version int64
	present bool
	// told is when an owner or the engine itself said so; zero when it is from the
	// directory.
	told time.Time
}

// memory is what is believed of one engine.
type memory struct {
	beliefs map[snipecatalog.Adapter]belief
	former  former
}

// Residency is what an instance believes that engines hold, and what they held a while
// ago and bring back soon. It is safe for concurrent use; the zero value is ready.
type Residency struct {
	lock    sync.RWMutex // guards engines
	engines map[string]*memory
}

// Observe takes an engine's directory entry.
func (r *Residency) Observe(u *snipedirectory.Upstream) {
	r.lock.Lock()
	defer r.lock.Unlock()
	m := r.memory(u.ID)
	all := make(map[snipecatalog.Adapter]belief, len(u.Resident))
	for _, held := range u.Resident {
		all[held.Adapter] = belief{version: held.Version, present: true}
	}
	for a, b := range m.beliefs {
		if !b.told.IsZero() && time.Since(b.told) < trust {
			all[a] = b
		}
	}
	for a, b := range m.beliefs {
		if b.present && !all[a].present {
			m.former.add(a)
		}
	}
	m.beliefs = all
}

// memory returns what is believed of an engine, to be changed. The lock is held.
func (r *Residency) memory(engine string) *memory {
	m := r.engines[engine]
	if m != nil {
		return m
	}
	if r.engines == nil {
		r.engines = make(map[string]*memory)
	}
	m = &memory{beliefs: make(map[snipecatalog.Adapter]belief)}
	r.engines[engine] = m
	return m
}

// Tell notes that an engine holds an adapter.
func (r *Residency) Tell(engine string, a snipecatalog.Adapter, version int64) {
	r.note(engine, a, belief{version: version, present: true, told: time.Now()})
}

// Deny notes that an engine does not hold an adapter in the version it was thought
// to.
func (r *Residency) Deny(engine string, a snipecatalog.Adapter) {
	r.note(engine, a, belief{told: time.Now()})
}

func (r *Residency) note(engine string, a snipecatalog.Adapter, b belief) {
	r.lock.Lock()
	defer r.lock.Unlock()
	m := r.memory(engine)
	if m.beliefs[a].present && !b.present {
		m.former.add(a)
	}
	m.beliefs[a] = b
}

// Formerly reports whether an engine held an adapter lately and does not now: it brings
// it back in a tenth of the time, without the weight store.
func (r *Residency) Formerly(engine string, a snipecatalog.Adapter) bool {
	r.lock.RLock()
	defer r.lock.RUnlock()
	m := r.engines[engine]
	return m != nil && !m.beliefs[a].present && m.former.has(a)
}

// Forget drops an engine that is gone.
func (r *Residency) Forget(engine string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.engines, engine)
}

// Keep forgets all engines but some.
func (r *Residency) Keep(known func(engine string) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	maps.DeleteFunc(r.engines, func(id string, _ *memory) bool { return !known(id) })
}

// Holds returns the version of an adapter that an engine is believed to hold. The
// base model itself is held by every engine that lists it.
func (r *Residency) Holds(u *snipedirectory.Upstream, a snipecatalog.Adapter) (int64, bool) {
	if a.Name == "" {
		for _, m := range u.Models {
			if m == a.Model {
				return 0, true
			}
		}
		return 0, false
	}
	r.lock.RLock()
	defer r.lock.RUnlock()
	m := r.engines[u.ID]
	if m == nil {
		return 0, false
	}
	b, ok := m.beliefs[a]
	return b.version, ok && b.present
}
