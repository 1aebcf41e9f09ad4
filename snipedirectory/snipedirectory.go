// Package snipedirectory tracks the upstreams that have registered themselves.
//
// A Snapshot is immutable. A Cache applies the changes read from the registry, in the order
// in which the caller read them. A position is the registry's version, which grows with
// every change of an entry.
//
// Invariants:
//
//   - An upstream that the registry marks as leaving or no longer lists gets no new work
//     from the moment at which that was read; Cache.LapseGrace makes an exception for entries
//     that lapse during an outage of the registry. An upstream that has itself announced
//     that it is leaving counts as leaving until another start of it is known, whatever
//     the registry shows; the announcement may be dropped leavingRetention after it was
//     last recorded.
//   - Each start of an upstream is a separate upstream, even if the name and the address
//     are the same: it holds none of the adapters of the previous start, and nothing that
//     was learned about the previous start applies to it. An entry with another software
//     version is that of another start. Start times are compared for
//     equality only, because the clocks that set them can jump.
//   - An entry that cannot be decoded yields no usable upstream, whatever the previous
//     entry contained.
package snipedirectory

import (
	"iter"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/sniperoute"
	"snipepitch.example/snipepitch/snipesoftware"
)

// Resident is an adapter version that an engine holds.
type Resident struct {
	Adapter snipecatalog.Adapter
	Version int64
}

// Upstream is one registered upstream.
type Upstream struct {
	// ID identifies this start of the upstream; Name identifies the upstream across
	// restarts. StartID derives ID from Name and Start.
	ID   string
	Name string
	// Start is the start time that the upstream reports, in milliseconds; 0 if it reports
	// none.
	Start int64
	// Restarted reports whether an earlier start of the same name was known within the last
	// startRetention when this start appeared, or may have ended before the Cache first read the
	// registry. The Cache sets it.
	Restarted bool
	Service   string
	Address   netip.AddrPort
	// RankKey is the hash of the address, by which upstreams are ranked for an adapter. The
	// Cache sets it.
	RankKey uint64
	// Domain is the upstream's failure domain.
	Domain string
	// Software is the version of the software that the upstream runs.
	Software snipesoftware.Version
	Slots    int
	// Leaving upstreams take no new work. Remaining is the time until the upstream is gone;
	// 0 if it reports none.
	Leaving   bool
	Remaining time.Duration
	// Resident holds the adapters, and Models the base models, that an engine held when it
	// last wrote its entry.
	Resident []Resident
	Models   []string
	// Position is the registry's position at which the entry was written.
	Position uint64
}

// StartID returns the identifier of one start of an upstream: its name and its reported
// start time in milliseconds, or the name alone if it reports none.
func StartID(name string, start int64) string {
	if start == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(start, 10)
}

// Snapshot is the state of the directory at one position.
type Snapshot struct {
	// Position is the registry's position, Read the time at which it was read.
	Position uint64
	Read     time.Time
	byID     map[string]*Upstream
	services map[string][]*Upstream
}

// ByID returns the upstream with the given identifier; nil if it is not registered.
func (s *Snapshot) ByID(id string) *Upstream {
	if s == nil {
		return nil
	}
	return s.byID[id]
}

// ByAddress returns an upstream that is registered at the given address; nil if there is none.
func (s *Snapshot) ByAddress(address netip.AddrPort) *Upstream {
	for u := range s.All() {
		if u.Address == address {
			return u
		}
	}
	return nil
}

// All yields all upstreams, in no order.
func (s *Snapshot) All() iter.Seq[*Upstream] {
	if s == nil {
		return func(func(*Upstream) bool) {}
	}
	return maps.Values(s.byID)
}

// Service returns the upstreams of a service, sorted by identifier and including those that
// are leaving.
func (s *Snapshot) Service(name string) []*Upstream {
	if s == nil {
		return nil
	}
	return s.services[name]
}

// Len returns the number of upstreams.
func (s *Snapshot) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byID)
}

// Change is the result of one read of the registry.
type Change struct {
	// Whole reports whether the change holds all entries, not only those that changed since
	// an earlier position.
	Whole    bool
	Position uint64
	Changed  []*Upstream
	// Removed lists the names of upstreams whose entry was removed, Undecodable those whose
	// entry cannot be decoded.
	Removed     []string
	Undecodable []string
}

// Cache holds the newest snapshot. Exported fields are set before the first call. A Cache
// is safe for concurrent use.
type Cache struct {
	// OnEvent, if not nil, is called for each upstream that appears, starts to leave or is gone.
	// It is called with the Cache's lock held, so it must not call a method that takes the lock.
	OnEvent func(u *Upstream, e Event)
	// LapseGrace is how long missing entries are kept, because entries lapse while an outage of
	// the registry keeps the upstreams from renewing them. It is counted from the last call of
	// RegistryLost or RegistryRestored before the entry was found missing.
	LapseGrace time.Duration

	current atomic.Pointer[Snapshot]

	lock       sync.Mutex           // guards the fields below
	firstRead  time.Time            // when the first change was applied
	byName     map[string]*Upstream // the known upstreams
	lastOutage time.Time            // when RegistryLost was last called
	lapsed     map[string]lapse     // the missing entries whose upstreams are kept, by name
	// announcedLeaving holds the starts that have announced that they are leaving, and when
	// that was recorded.
	announcedLeaving map[string]time.Time
	// endedStarts holds, by name, the starts that are over although the registry still
	// lists them.
	endedStarts map[string]string
	// removed holds, by name, the starts that were removed last.
	removed map[string]removedStart
}

// Event is a change of an upstream's state.
type Event uint8

// The events that are reported to Cache.OnEvent.
const (
	Appeared Event = iota
	Leaving
	Gone
)

// Snapshot returns the newest snapshot; nil before the registry has been read.
func (k *Cache) Snapshot() *Snapshot { return k.current.Load() }

// Apply applies a change, removes the upstreams whose LapseGrace has passed, and publishes the
// resulting snapshot. It modifies and keeps the upstreams in c.
func (k *Cache) Apply(c Change) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.firstRead.IsZero() {
		k.firstRead = time.Now()
	}
	b := k.nextSnapshot()
	removed := slices.Clone(c.Removed)
	if c.Whole {
		removed = append(removed, absentNames(k.byName, c)...)
	}
	for _, u := range c.Changed {
		k.put(b, u)
	}
	for _, name := range c.Undecodable {
		k.remove(b, name)
	}
	for _, name := range removed {
		k.removeOrLapse(b, name)
	}
	k.removeExpired(b)
	k.current.Store(b.snapshot(c.Position, time.Now()))
}

// MarkEnded records that a start is over although the registry still lists it, because the upstream
// has restarted. The upstream is removed until its entry shows another start, or disappears and is
// written again. An unknown id is ignored.
func (k *Cache) MarkEnded(id string) {
	k.lock.Lock()
	defer k.lock.Unlock()
	old := k.current.Load()
	u := old.ByID(id)
	if u == nil {
		return
	}
	if k.endedStarts == nil {
		k.endedStarts = make(map[string]string)
	}
	k.endedStarts[u.Name] = id
	b := k.nextSnapshot()
	k.remove(b, u.Name)
	k.current.Store(b.snapshot(old.Position, old.Read))
}

// leavingRetention is how long a leaving start is remembered at least: its entry may be missing for a
// while and come back. Older announcements are dropped when the next one is recorded.
const leavingRetention = 10 * time.Minute

// MarkLeaving records that a start has itself announced that it is leaving, which the registry may not
// show yet.
func (k *Cache) MarkLeaving(id string) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.announcedLeaving == nil {
		k.announcedLeaving = make(map[string]time.Time)
	}
	maps.DeleteFunc(k.announcedLeaving, func(_ string, recorded time.Time) bool { return time.Since(recorded) > leavingRetention })
	k.announcedLeaving[id] = time.Now()
	old := k.current.Load()
	u := old.ByID(id)
	if u == nil || u.Leaving {
		return
	}
	updated := *u
	updated.Leaving = true
	k.byName[u.Name] = &updated
	b := k.nextSnapshot()
	b.put(&updated)
	k.current.Store(b.snapshot(old.Position, old.Read))
	k.notify(&updated, Leaving)
}

// nextSnapshot returns a builder that starts from the current snapshot. The lock is held.
func (k *Cache) nextSnapshot() *builder {
	if k.byName == nil {
		k.byName = make(map[string]*Upstream)
	}
	return newBuilder(k.current.Load())
}

// absentNames returns the known names that a whole change does not contain.
func absentNames(byName map[string]*Upstream, c Change) []string {
	present := make(map[string]bool, len(c.Changed))
	for _, u := range c.Changed {
		present[u.Name] = true
	}
	for _, name := range c.Undecodable {
		present[name] = true
	}
	var names []string
	for name := range byName {
		if !present[name] {
			names = append(names, name)
		}
	}
	return names
}

// put applies a decoded entry, and reports the events that follow from it. It ignores an entry
// whose start MarkEnded has recorded as over. The lock is held.
func (k *Cache) put(b *builder, u *Upstream) {
	if k.endedStarts[u.Name] == u.ID {
		return
	}
	if _, ok := k.announcedLeaving[u.ID]; ok {
		u.Leaving = true
	}
	delete(k.endedStarts, u.Name)
	delete(k.lapsed, u.Name)
	old := k.byName[u.Name]
	if old != nil && (old.ID != u.ID || old.Software != u.Software) {
		k.remove(b, u.Name)
		old = nil
	}
	k.byName[u.Name] = u
	if old == nil {
		u.Restarted = k.restarted(u)
		u.RankKey = sniperoute.Hash(u.Address.String())
		b.put(u)
		k.notify(u, Appeared)
		return
	}
	u.Restarted, u.RankKey = old.Restarted, old.RankKey
	if u.Address != old.Address {
		u.RankKey = sniperoute.Hash(u.Address.String())
	}
	if u.Service != old.Service {
		b.remove(old)
	}
	b.put(u)
	if u.Leaving && !old.Leaving {
		k.notify(u, Leaving)
	}
}

// remove removes an upstream and reports it as gone. An unknown name is ignored. The lock is held.
func (k *Cache) remove(b *builder, name string) {
	delete(k.lapsed, name)
	u := k.byName[name]
	if u == nil {
		return
	}
	delete(k.byName, name)
	b.remove(u)
	k.recordRemoved(u)
	k.notify(u, Gone)
}

func (k *Cache) notify(u *Upstream, e Event) {
	if k.OnEvent != nil {
		k.OnEvent(u, e)
	}
}
