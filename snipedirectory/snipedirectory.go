// Package snipedirectory knows the upstreams that have registered themselves.
//
// A Snapshot is immutable. A Keeper applies what is read of the registry, in the
// order of the registry's own positions.
//
// Invariants:
//
//   - An upstream that is marked as leaving or that is gone from the registry is
//     not returned for new work, from the moment at which that was read. One that has
//     said itself that it leaves is leaving until another start of it is known, whatever
//     the registry shows.
//   - An upstream that starts again is another one, though its name and its address
//     may be the same: it holds nothing of before, and nothing that was learned of the
//     start before it is true of it. Starts are compared for equality only, since
//     they are told by clocks that jump.
//   - An entry that cannot be understood names no upstream to use, whatever the entry
//     before it said.
package snipedirectory

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/sniperoute"
)

// Resident is an adapter that an engine holds.
type Resident struct {
	Adapter snipecatalog.Adapter
	Version int64
}

// Upstream is one registered upstream.
type Upstream struct {
	// ID names this start of the upstream, and Name the upstream, which may start
	// again under it; StartID makes the one of the other.
	ID   string
	Name string
	// Start is the moment at which it says that it started, in milliseconds; 0 when it
	// does not say.
	Start int64
	// Again tells that the start before this one was known under the same name; the
	// Keeper sets it.
	Again   bool
	Service string
	Address netip.AddrPort
	// RankKey is the hash of the address by which the upstream ranks for an adapter; the
	// Keeper sets it.
	RankKey uint64
	// Domain is its failure domain.
	Domain string
	Slots  int
	// Leaving upstreams take no new work. Remaining is the time until it is gone,
	// zero when it did not say.
	Leaving   bool
	Remaining time.Duration
	// Resident is what an engine held when it last wrote its entry, Models the
	// base models.
	Resident []Resident
	Models   []string
	// Position is the registry's position of the entry.
	Position uint64
}

// StartID returns the identifier of one start of an upstream: its name and the moment
// at which it says that it started, in milliseconds. One that does not say has its name
// alone.
func StartID(name string, start int64) string {
	if start == 0 {
		return name
	}
	return name + "@" + strconv.FormatInt(start, 10)
}

// Snapshot is the state of the directory at one position.
type Snapshot struct {
	// Position is the registry's position, Read when it was read.
	Position uint64
	Read     time.Time
	byID     map[string]*Upstream
	services map[string][]*Upstream
}

// ByID returns an upstream by its identifier; nil when it is not registered.
func (s *Snapshot) ByID(id string) *Upstream {
	if s == nil {
		return nil
	}
	return s.byID[id]
}

// Service returns the upstreams of a service, by identifier, leaving ones too.
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

// Change is what was read of the registry.
type Change struct {
	// Whole tells that the change holds all entries, not only those that differ
	// from an earlier position.
	Whole    bool
	Position uint64
	Changed  []*Upstream
	// Removed names upstreams without an entry, Wrong those whose entry cannot be
	// understood.
	Removed []string
	Wrong   []string
}

// Keeper holds the newest snapshot. Exported fields are set before the first
// call; it is safe for concurrent use.
type Keeper struct {
	// Seen is told of upstreams that are new, leaving or gone; nil for nobody.
	Seen func(u *Upstream, e Event)
	// Return is how long entries that are missing after an outage of the registry
	// are kept: they lapse while their owners cannot write.
	Return time.Duration

	current atomic.Pointer[Snapshot]

	lock    sync.Mutex           // guards the fields below
	names   map[string]*Upstream // by name
	outage  time.Time            // when the registry last could not be read
	missing map[string]time.Time
	// leaving are the starts that have said themselves that they leave, and when that was noted.
	leaving map[string]time.Time
	// ended are the starts, by name, that are over though the registry still shows them.
	ended map[string]string
}

// Event is what has become of an upstream.
type Event uint8

// The events.
const (
	Appeared Event = iota
	Leaving
	Gone
)

// Snapshot returns the newest snapshot; nil before the registry was read.
func (k *Keeper) Snapshot() *Snapshot { return k.current.Load() }

// Lost notes that the registry could not be read.
func (k *Keeper) Lost() {
	k.lock.Lock()
	defer k.lock.Unlock()
	k.outage = time.Now()
}

// Apply takes a change into a new snapshot.
func (k *Keeper) Apply(c Change) {
	k.lock.Lock()
	defer k.lock.Unlock()
	e := k.edit()
	gone := slices.Clone(c.Removed)
	if c.Whole {
		gone = append(gone, absent(k.names, c)...)
	}
	for _, u := range c.Changed {
		k.put(e, u)
	}
	for _, name := range c.Wrong {
		k.remove(e, name)
	}
	for _, name := range gone {
		k.drop(e, name)
	}
	k.expire(e)
	k.current.Store(e.snapshot(c.Position, time.Now()))
}

// End notes that a start is over though the registry still shows it: the upstream has
// started again. It is not used until its entry tells of another start.
func (k *Keeper) End(id string) {
	k.lock.Lock()
	defer k.lock.Unlock()
	old := k.current.Load()
	u := old.ByID(id)
	if u == nil {
		return
	}
	if k.ended == nil {
		k.ended = make(map[string]string)
	}
	k.ended[u.Name] = id
	e := k.edit()
	k.remove(e, u.Name)
	k.current.Store(e.snapshot(old.Position, old.Read))
}

// leavingMemory is for how long a start that leaves is remembered: its entry may be lost for a while
// and come back.
const leavingMemory = 10 * time.Minute

// Leave notes that a start has said itself that it leaves, though the registry may not show it.
func (k *Keeper) Leave(id string) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.leaving == nil {
		k.leaving = make(map[string]time.Time)
	}
	maps.DeleteFunc(k.leaving, func(_ string, noted time.Time) bool { return time.Since(noted) > leavingMemory })
	k.leaving[id] = time.Now()
	old := k.current.Load()
	u := old.ByID(id)
	if u == nil || u.Leaving {
		return
	}
	left := *u
	left.Leaving = true
	k.names[u.Name] = &left
	e := k.edit()
	e.put(&left)
	k.current.Store(e.snapshot(old.Position, old.Read))
	k.tell(&left, Leaving)
}

// edit begins a new snapshot. The lock is held.
func (k *Keeper) edit() *edit {
	if k.names == nil {
		k.names = make(map[string]*Upstream)
	}
	return newEdit(k.current.Load())
}

// absent returns the names that a whole change does not hold.
func absent(byName map[string]*Upstream, c Change) []string {
	present := make(map[string]bool, len(c.Changed))
	for _, u := range c.Changed {
		present[u.Name] = true
	}
	for _, name := range c.Wrong {
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

// put takes an entry. The lock is held.
func (k *Keeper) put(e *edit, u *Upstream) {
	if k.ended[u.Name] == u.ID {
		return
	}
	if _, left := k.leaving[u.ID]; left {
		u.Leaving = true
	}
	_, u.Again = k.ended[u.Name]
	delete(k.ended, u.Name)
	delete(k.missing, u.Name)
	old := k.names[u.Name]
	if old != nil && old.ID != u.ID {
		k.remove(e, u.Name)
		u.Again, old = true, nil
	}
	k.names[u.Name] = u
	if old == nil {
		u.RankKey = sniperoute.Hash(u.Address.String())
		e.put(u)
		k.tell(u, Appeared)
		return
	}
	u.Again, u.RankKey = old.Again, old.RankKey
	if u.Address != old.Address {
		u.RankKey = sniperoute.Hash(u.Address.String())
	}
	if u.Service != old.Service {
		e.remove(old)
	}
	e.put(u)
	if u.Leaving && !old.Leaving {
		k.tell(u, Leaving)
	}
}

// drop takes an upstream out whose entry is gone, unless the registry is just back:
// entries lapse during an outage and are written again by upstreams that live. The lock
// is held.
func (k *Keeper) drop(e *edit, name string) {
	delete(k.ended, name)
	if k.names[name] == nil {
		return
	}
	if k.outage.IsZero() || time.Since(k.outage) >= k.Return {
		k.remove(e, name)
		return
	}
	if k.missing == nil {
		k.missing = make(map[string]time.Time)
	}
	if _, ok := k.missing[name]; !ok {
		k.missing[name] = k.outage.Add(k.Return)
	}
}

// remove takes an upstream out. The lock is held.
func (k *Keeper) remove(e *edit, name string) {
	delete(k.missing, name)
	u := k.names[name]
	if u == nil {
		return
	}
	delete(k.names, name)
	e.remove(u)
	k.tell(u, Gone)
}

// expire drops the entries that did not come back in time. The lock is held.
func (k *Keeper) expire(e *edit) {
	for name, until := range k.missing {
		if !time.Now().Before(until) {
			k.remove(e, name)
		}
	}
}

func (k *Keeper) tell(u *Upstream, e Event) {
	if k.Seen != nil {
		k.Seen(u, e)
	}
}
