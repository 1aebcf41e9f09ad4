package snipeadapter

import (
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipedirectory"
)

// observation is what an owner or the engine itself reported about one adapter on one engine.
type observation struct {
	version int64
	present bool
	at      time.Time
}

// engineView is one instance's view of an engine.
type engineView struct {
	// listed are the versions of the adapters in the engine's directory entry.
	listed map[snipecatalog.Adapter]int64
	// observed are later reports, which override the directory entry for overrideTTL.
	observed map[snipecatalog.Adapter]observation
	previous previousAdapters
}

// holds returns the version of an adapter that the engine is believed to hold, if the directory was
// last read at the given time.
func (v *engineView) holds(a snipecatalog.Adapter, read time.Time) (int64, bool) {
	if o, ok := v.observed[a]; ok && read.Sub(o.at) < overrideTTL {
		return o.version, o.present
	}
	version, ok := v.listed[a]
	return version, ok
}

// Residency is an instance's view of the adapters that engines hold, and of those that they held
// recently and can reload quickly. It is safe for concurrent use; the zero value is ready to use.
type Residency struct {
	lock    sync.RWMutex // guards the fields below
	engines map[string]*engineView
	// read is when the directory was last read. The age of an observation counts up to this
	// time, so an observation stays in force until the directory must include it, however long the
	// directory cannot be read.
	read time.Time
	// holders are the engines that may hold an adapter, previousHolders those recorded to have held
	// it.
	holders         engineIndex
	previousHolders engineIndex
}

// engineIndex lists engine IDs by adapter.
type engineIndex map[snipecatalog.Adapter][]string

func (x engineIndex) add(a snipecatalog.Adapter, engine string) {
	if !slices.Contains(x[a], engine) {
		x[a] = append(x[a], engine)
	}
}

func (x engineIndex) remove(a snipecatalog.Adapter, engine string) {
	remaining := slices.DeleteFunc(x[a], func(other string) bool { return other == engine })
	if len(remaining) == 0 {
		delete(x, a)
		return
	}
	x[a] = remaining
}

// MarkRead records that the directory was read now, and that the entries of engines that are not
// passed to Observe are unchanged.
func (r *Residency) MarkRead() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.read = time.Now()
}

// Observe records an engine's directory entry, which was read just now and replaces the engine's
// previous entry. The engine becomes a previous holder of the adapters that it no longer holds.
func (r *Residency) Observe(u *snipedirectory.Upstream) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.read = time.Now()
	v := r.view(u.ID)
	old := v.listed
	v.listed = make(map[snipecatalog.Adapter]int64, len(u.Resident))
	for _, held := range u.Resident {
		v.listed[held.Adapter] = held.Version
		r.holders.add(held.Adapter, u.ID)
	}
	r.expire(u.ID, v)
	for a := range old {
		if _, listed := v.listed[a]; !listed {
			r.removeIfAbsent(u.ID, v, a, true)
		}
	}
}

// expire drops observations that no longer override the directory. The lock is held.
func (r *Residency) expire(engine string, v *engineView) {
	for a, o := range v.observed {
		if r.read.Sub(o.at) >= overrideTTL {
			delete(v.observed, a)
			r.removeIfAbsent(engine, v, a, o.present)
		}
	}
}

// removeIfAbsent removes an engine from an adapter's holders unless a directory entry or an
// observation still shows the adapter there. If the engine did hold it, it becomes a previous
// holder. The lock is held.
func (r *Residency) removeIfAbsent(engine string, v *engineView, a snipecatalog.Adapter, held bool) {
	if _, holds := v.holds(a, r.read); holds {
		return
	}
	r.holders.remove(a, engine)
	if held {
		r.recordPrevious(engine, v, a)
	}
}

// recordPrevious records that an engine held an adapter until now. The lock is held.
func (r *Residency) recordPrevious(engine string, v *engineView, a snipecatalog.Adapter) {
	dropped, full := v.previous.add(a)
	r.previousHolders.add(a, engine)
	if full {
		r.previousHolders.remove(dropped, engine)
	}
}

// view returns the view of an engine for modification, creating it if necessary. The lock is held.
func (r *Residency) view(engine string) *engineView {
	v := r.engines[engine]
	if v != nil {
		return v
	}
	if r.engines == nil {
		r.engines, r.holders, r.previousHolders = make(map[string]*engineView), make(engineIndex), make(engineIndex)
	}
	v = &engineView{observed: make(map[snipecatalog.Adapter]observation)}
	r.engines[engine] = v
	return v
}

// RecordHeld records a report that an engine holds an adapter. The report replaces the previous one
// about that adapter and overrides the directory entry for overrideTTL.
func (r *Residency) RecordHeld(engine string, a snipecatalog.Adapter, version int64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.view(engine).observed[a] = observation{version: version, present: true, at: time.Now()}
	r.holders.add(a, engine)
}

// RecordAbsent records a report that an engine does not hold an adapter in the expected version.
// The report replaces the previous one about that adapter and overrides the directory entry for
// overrideTTL.
func (r *Residency) RecordAbsent(engine string, a snipecatalog.Adapter) {
	r.lock.Lock()
	defer r.lock.Unlock()
	v := r.view(engine)
	if _, held := v.holds(a, r.read); held {
		r.recordPrevious(engine, v, a)
	}
	v.observed[a] = observation{at: time.Now()}
}

// PreviouslyHeld reports whether an engine held an adapter recently and does not hold it now: the
// engine reloads it in a tenth of the time of a load, without the weight store.
func (r *Residency) PreviouslyHeld(engine string, a snipecatalog.Adapter) bool {
	r.lock.RLock()
	defer r.lock.RUnlock()
	v := r.engines[engine]
	if v == nil || !v.previous.contains(a) {
		return false
	}
	_, held := v.holds(a, r.read)
	return !held
}

// Forget drops an engine that no longer exists.
func (r *Residency) Forget(engine string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.forget(engine)
}

// forget drops an engine. The lock is held.
func (r *Residency) forget(engine string) {
	v := r.engines[engine]
	if v == nil {
		return
	}
	for a := range v.listed {
		r.holders.remove(a, engine)
	}
	for a := range v.observed {
		r.holders.remove(a, engine)
	}
	for a := range v.previous.lastHeld {
		r.previousHolders.remove(a, engine)
	}
	delete(r.engines, engine)
}

// Retain drops all engines for which known is false, and the expired observations of the others.
func (r *Residency) Retain(known func(engine string) bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for id, v := range r.engines {
		if known(id) {
			r.expire(id, v)
			continue
		}
		r.forget(id)
	}
}

// Holds returns the version of an adapter that an engine is believed to hold, and false if it holds
// none. A base model, which has no adapter name, counts as held with version 0 if the engine's
// directory entry lists it.
func (r *Residency) Holds(u *snipedirectory.Upstream, a snipecatalog.Adapter) (int64, bool) {
	if a.Name == "" {
		return 0, slices.Contains(u.Models, a.Model)
	}
	r.lock.RLock()
	defer r.lock.RUnlock()
	v := r.engines[u.ID]
	if v == nil {
		return 0, false
	}
	return v.holds(a, r.read)
}

// Holders appends the IDs of the engines that may hold an adapter; Holds reports whether an engine
// does. Few of some thousand engines hold an adapter, so a caller need not check them all.
func (r *Residency) Holders(a snipecatalog.Adapter, engines []string) []string {
	r.lock.RLock()
	defer r.lock.RUnlock()
	return append(engines, r.holders[a]...)
}

// PreviousHolders appends the IDs of the engines that are recorded to have held an adapter;
// PreviouslyHeld reports whether an engine has held it and does not hold it now.
func (r *Residency) PreviousHolders(a snipecatalog.Adapter, engines []string) []string {
	r.lock.RLock()
	defer r.lock.RUnlock()
	return append(engines, r.previousHolders[a]...)
}
