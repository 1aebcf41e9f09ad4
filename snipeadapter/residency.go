package snipeadapter

import (
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// word is what an owner or the engine itself said of one adapter on one engine.
type word struct {
	version int64
	present bool
	at      time.Time
}

// memory is what is believed of one engine.
type memory struct {
	// listed are the versions of the adapters in its directory entry.
	listed map[snipecatalog.Adapter]int64
	// told is what was said since, which stands against the entry for a while.
	told   map[snipecatalog.Adapter]word
	former former
}

// holds returns the version of an adapter that the engine is believed to hold, where the
// directory was last read at a time.
func (m *memory) holds(a snipecatalog.Adapter, read time.Time) (int64, bool) {
	if w, ok := m.told[a]; ok && read.Sub(w.at) < trust {
		return w.version, w.present
	}
	version, ok := m.listed[a]
	return version, ok
}

// Residency is what an instance believes that engines hold, and what they held a while
// ago and bring back soon. It is safe for concurrent use; the zero value is ready.
type Residency struct {
	lock    sync.RWMutex // guards the fields below
	engines map[string]*memory
	// read is when the directory was last read: what was said stands until the directory
	// must know of it, however long it cannot be read.
	read time.Time
	// holders are the engines that may be believed to hold an adapter, formers those that
	// are remembered to have held it.
	holders index
	formers index
}

// index names engines by adapter.
type index map[snipecatalog.Adapter][]string

func (x index) add(a snipecatalog.Adapter, engine string) {
	if !slices.Contains(x[a], engine) {
		x[a] = append(x[a], engine)
	}
}

func (x index) remove(a snipecatalog.Adapter, engine string) {
	left := slices.DeleteFunc(x[a], func(other string) bool { return other == engine })
	if len(left) == 0 {
		delete(x, a)
		return
	}
	x[a] = left
}

// Read notes that the directory was read: entries that were not observed since are as they
// were.
func (r *Residency) Read() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.read = time.Now()
}

// Observe takes an engine's directory entry, which was read now.
func (r *Residency) Observe(u *snipedirectory.Upstream) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.read = time.Now()
	m := r.memory(u.ID)
	before := m.listed
	m.listed = make(map[snipecatalog.Adapter]int64, len(u.Resident))
	for _, held := range u.Resident {
		m.listed[held.Adapter] = held.Version
		r.holders.add(held.Adapter, u.ID)
	}
	r.expire(u.ID, m)
	for a := range before {
		if _, listed := m.listed[a]; !listed {
			r.settle(u.ID, m, a, true)
		}
	}
}

// expire forgets what was said too long ago. The lock is held.
func (r *Residency) expire(engine string, m *memory) {
	for a, w := range m.told {
		if r.read.Sub(w.at) >= trust {
			delete(m.told, a)
			r.settle(engine, m, a, w.present)
		}
	}
}

// settle notes that an adapter is no longer listed or told to be on an engine that may have
// held it. The lock is held.
func (r *Residency) settle(engine string, m *memory, a snipecatalog.Adapter, held bool) {
	if _, holds := m.holds(a, r.read); holds {
		return
	}
	r.holders.remove(a, engine)
	if held {
		r.remember(engine, m, a)
	}
}

// remember notes that an engine held an adapter until now. The lock is held.
func (r *Residency) remember(engine string, m *memory, a snipecatalog.Adapter) {
	forgotten, full := m.former.add(a)
	r.formers.add(a, engine)
	if full {
		r.formers.remove(forgotten, engine)
	}
}

// memory returns what is believed of an engine, to be changed. The lock is held.
func (r *Residency) memory(engine string) *memory {
	m := r.engines[engine]
	if m != nil {
		return m
	}
	if r.engines == nil {
		r.engines, r.holders, r.formers = make(map[string]*memory), make(index), make(index)
	}
	m = &memory{told: make(map[snipecatalog.Adapter]word)}
	r.engines[engine] = m
	return m
}

// Tell notes that an engine holds an adapter.
func (r *Residency) Tell(engine string, a snipecatalog.Adapter, version int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.memory(engine).told[a] = word{version: version, present: true, at: time.Now()}
	r.holders.add(a, engine)
}

// Deny notes that an engine does not hold an adapter in the version it was thought
// to.
func (r *Residency) Deny(engine string, a snipecatalog.Adapter) {
	r.lock.Lock()
	defer r.lock.Unlock()
	m := r.memory(engine)
	if _, held := m.holds(a, r.read); held {
		r.remember(engine, m, a)
	}
	m.told[a] = word{at: time.Now()}
}

// Formerly reports whether an engine held an adapter lately and does not now: it brings
// it back in a tenth of the time, without the weight store.
func (r *Residency) Formerly(engine string, a snipecatalog.Adapter) bool {
	r.lock.RLock()
	defer r.lock.RUnlock()
	m := r.engines[engine]
	if m == nil || !m.former.has(a) {
		return false
	}
	_, held := m.holds(a, r.read)
	return !held
}

// Forget drops an engine that is gone.
func (r *Residency) Forget(engine string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.forget(engine)
}

// forget drops an engine. The lock is held.
func (r *Residency) forget(engine string) {
	m := r.engines[engine]
	if m == nil {
		return
	}
	for a := range m.listed {
		r.holders.remove(a, engine)
	}
	for a := range m.told {
		r.holders.remove(a, engine)
	}
	for a := range m.former.seen {
		r.formers.remove(a, engine)
	}
	delete(r.engines, engine)
}

// Keep forgets all engines but some, and what was said too long ago of these.
func (r *Residency) Keep(known func(engine string) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for id, m := range r.engines {
		if known(id) {
			r.expire(id, m)
			continue
		}
		r.forget(id)
	}
}

// Holds returns the version of an adapter that an engine is believed to hold. The
// base model itself is held by every engine that lists it.
func (r *Residency) Holds(u *snipedirectory.Upstream, a snipecatalog.Adapter) (int64, bool) {
	if a.Name == "" {
		return 0, slices.Contains(u.Models, a.Model)
	}
	r.lock.RLock()
	defer r.lock.RUnlock()
	m := r.engines[u.ID]
	if m == nil {
		return 0, false
	}
	return m.holds(a, r.read)
}

// Holders appends the engines that may be believed to hold an adapter; Holds tells whether
// one is. Of some thousand engines few do, so that whoever looks for one need not ask all.
func (r *Residency) Holders(a snipecatalog.Adapter, engines []string) []string {
	r.lock.RLock()
	defer r.lock.RUnlock()
	return append(engines, r.holders[a]...)
}

// Formers appends the engines that are remembered to have held an adapter; Formerly tells
// whether one has and does not now.
func (r *Residency) Formers(a snipecatalog.Adapter, engines []string) []string {
	r.lock.RLock()
	defer r.lock.RUnlock()
	return append(engines, r.formers[a]...)
}
