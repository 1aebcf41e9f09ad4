// Package snipedirectory knows the upstreams that have registered themselves.
//
// A Snapshot is immutable. A Keeper applies what is read of the registry, in the
// order of the registry's own positions.
//
// Invariants:
//
//   - An upstream that is marked as leaving or that is gone from the registry is
//     not returned for new work, from the moment at which that was read.
//   - Identifiers are never used twice: an upstream that starts again is another
//     one, though its address may be the same.
package snipedirectory

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
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
	// ID names this start of the upstream.
	ID      string
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
	Removed  []string
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

	lock    sync.Mutex // guards the fields below
	outage  time.Time  // when the registry last could not be read
	missing map[string]time.Time
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
	old := k.current.Load()
	byID := make(map[string]*Upstream)
	if old != nil {
		byID = maps.Clone(old.byID)
	}
	gone := slices.Clone(c.Removed)
	if c.Whole {
		gone = append(gone, absent(byID, c.Changed)...)
	}
	for _, u := range c.Changed {
		k.put(byID, u)
	}
	for _, id := range gone {
		k.drop(byID, id)
	}
	k.expire(byID)
	k.current.Store(newSnapshot(byID, c.Position))
}

// absent returns the identifiers of byID that are not among the entries.
func absent(byID map[string]*Upstream, entries []*Upstream) []string {
	present := make(map[string]bool, len(entries))
	for _, u := range entries {
		present[u.ID] = true
	}
	var ids []string
	for id := range byID {
		if !present[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (k *Keeper) put(byID map[string]*Upstream, u *Upstream) {
	old := byID[u.ID]
	u.RankKey = sniperoute.Hash(u.Address.String())
	byID[u.ID] = u
	delete(k.missing, u.ID)
	switch {
	case old == nil:
		k.tell(u, Appeared)
	case u.Leaving && !old.Leaving:
		k.tell(u, Leaving)
	}
}

// drop takes an entry out, unless the registry is just back: entries lapse
// during an outage and are written again by upstreams that live.
func (k *Keeper) drop(byID map[string]*Upstream, id string) {
	u := byID[id]
	if u == nil {
		return
	}
	if !k.outage.IsZero() && time.Since(k.outage) < k.Return {
		if k.missing == nil {
			k.missing = make(map[string]time.Time)
		}
		if _, ok := k.missing[id]; !ok {
			k.missing[id] = k.outage.Add(k.Return)
		}
		return
	}
	delete(byID, id)
	k.tell(u, Gone)
}

// expire drops the entries that did not come back in time.
func (k *Keeper) expire(byID map[string]*Upstream) {
	for id, until := range k.missing {
		if time.Now().Before(until) {
			continue
		}
		delete(k.missing, id)
		if u := byID[id]; u != nil {
			delete(byID, id)
			k.tell(u, Gone)
		}
	}
}

func (k *Keeper) tell(u *Upstream, e Event) {
	if k.Seen != nil {
		k.Seen(u, e)
	}
}

func newSnapshot(byID map[string]*Upstream, position uint64) *Snapshot {
	s := &Snapshot{Position: position, Read: time.Now(), byID: byID, services: make(map[string][]*Upstream)}
	for _, u := range byID {
		s.services[u.Service] = append(s.services[u.Service], u)
	}
	for _, all := range s.services {
		slices.SortFunc(all, func(a, b *Upstream) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}
