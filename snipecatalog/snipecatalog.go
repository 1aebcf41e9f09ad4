// Package snipecatalog holds what operators declare for requests that are passed
// on as they are: routes by host and path prefix, the services behind them, the
// workspaces that callers' keys belong to, and the newest version of each adapter.
//
// A Catalog is an immutable snapshot. A Keeper holds the one in force.
//
// Invariants:
//
//   - The catalog in force never goes back to a lower version.
//   - An adapter's versions only grow. Each is remembered with the time at which
//     this instance learned of it, so that the time until it must be everywhere
//     is counted for each version by itself.
package snipecatalog

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Repeat says how often a request of a route may run.
type Repeat uint8

const (
	// AtMostOnce requests run once or not at all.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Backend is a service that a route's requests go to, with its share of them.
type Backend struct {
	Service string
	Weight  uint32
}

// Route says what happens to the requests of a host below a path prefix.
type Route struct {
	Name string
	// Host and Prefix select the route; the longest prefix of a path wins.
	Host   string
	Prefix string
	// Repeat says whether a request may run more than once.
	Repeat Repeat
	// Streaming routes answer with events, Resumable ones can go on after the
	// last event that was received, at any upstream.
	Streaming bool
	Resumable bool
	// Timeout is the longest that a request may be kept without its answer.
	Timeout time.Duration
	// Target is the time to the answer, or to its first event, that callers
	// count on; MaxGap the longest pause between two events.
	Target time.Duration
	MaxGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Backends has at least one entry.
	Backends []Backend
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// MayRepeat reports whether a request that may have run can be sent again.
func (r *Route) MayRepeat() bool { return r.Repeat == Idempotent }

// Backend returns the service for a request, chosen by a number that is spread
// evenly over all requests.
func (r *Route) Backend(spread uint64) string {
	var total uint64
	for _, b := range r.Backends {
		total += uint64(b.Weight)
	}
	if total == 0 {
		return r.Backends[0].Service
	}
	n := spread % total
	for _, b := range r.Backends {
		if n < uint64(b.Weight) {
			return b.Service
		}
		n -= uint64(b.Weight)
	}
	return r.Backends[len(r.Backends)-1].Service
}

// Model is a base model that a service's engines can hold.
type Model struct {
	Name string
	// Adapters is how many adapters the model has.
	Adapters int
}

// Engine describes the upstreams of a service that run models.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// AdapterSlots is how many adapters it can hold.
	AdapterSlots int
	// MemoryTokens is the size of its memory for prompts.
	MemoryTokens int
	Models       []Model
}

// Service is a group of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream accepts from all instances together.
	MaxConnections int
	// Engine is nil for services that run no models.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime bounds the time to send a header, IdleTime the time that a
	// connection may stay without a request.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is one version of what operators declared.
type Catalog struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Workspaces are whom callers' keys belong to; where there are none no request needs a key.
	Workspaces []Workspace
	Limits     Limits

	hosts map[string][]*Route
	keys  map[KeyDigest]*Workspace
	names map[string]*Workspace
	// limited tells that a workspace has a quota.
	limited bool
}

// Index prepares the catalog for Lookup and Workspace, and returns what is wrong with its
// workspaces. It is called once, before the catalog is shared.
func (c *Catalog) Index() error {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	return c.indexWorkspaces()
}

// Lookup returns the route of a host with the longest prefix of path; nil when
// there is none.
func (c *Catalog) Lookup(host, path string) *Route {
	var best *Route
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Adapter names an adapter of a base model; Name is empty for the model itself.
type Adapter struct {
	Model string
	Name  string
}

// Announcement is a new version of an adapter.
type Announcement struct {
	Adapter Adapter
	Version int64
}

// Change is what was read of operators' documents.
type Change struct {
	// Position is the store's position of the reading.
	Position uint64
	// Catalog is nil when it has not changed.
	Catalog  *Catalog
	Versions []Announcement
	// Wrong tells of documents that could not be understood; the others hold.
	Wrong []error
}

// Announced is a version of an adapter and when this instance learned of it.
type Announced struct {
	Version int64
	Learned time.Time
}

// Keeper holds the catalog in force and the adapters' versions. It is safe for
// concurrent use.
type Keeper struct {
	current atomic.Pointer[Catalog]

	lock     sync.RWMutex // guards versions
	versions map[Adapter][]Announced
}

// Catalog returns the catalog in force; nil before the first one is known.
func (k *Keeper) Catalog() *Catalog { return k.current.Load() }

// Adopt puts a catalog in force and reports whether it did: an older or equal
// version changes nothing. The catalog must be indexed.
func (k *Keeper) Adopt(c *Catalog) bool {
	for {
		old := k.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if k.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// maxVersions bounds the versions that are remembered of one adapter: only those
// of the last few seconds matter.
const maxVersions = 8

// Announce notes a version of an adapter and reports whether it is new.
func (k *Keeper) Announce(a Adapter, version int64) bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	known := k.versions[a]
	if len(known) > 0 && known[len(known)-1].Version >= version {
		return false
	}
	if k.versions == nil {
		k.versions = make(map[Adapter][]Announced)
	}
	known = append(known, Announced{Version: version, Learned: time.Now()})
	if len(known) > maxVersions {
		known = known[len(known)-maxVersions:]
	}
	k.versions[a] = known
	return true
}

// Newest returns the newest version of an adapter; false when none was announced
// beside the one that it began with.
func (k *Keeper) Newest(a Adapter) (int64, bool) {
	k.lock.RLock()
	defer k.lock.RUnlock()
	known := k.versions[a]
	if len(known) == 0 {
		return 0, false
	}
	return known[len(known)-1].Version, true
}

// Required returns the lowest version of an adapter that a request may begin on:
// the newest one that has been known for at least grace.
func (k *Keeper) Required(a Adapter, grace time.Duration) int64 {
	k.lock.RLock()
	defer k.lock.RUnlock()
	known := k.versions[a]
	for i := len(known) - 1; i >= 0; i-- {
		if time.Since(known[i].Learned) >= grace {
			return known[i].Version
		}
	}
	return 0
}

// Announcements returns the newest version of each adapter that had one.
func (k *Keeper) Announcements() map[Adapter]int64 {
	k.lock.RLock()
	defer k.lock.RUnlock()
	all := make(map[Adapter]int64, len(k.versions))
	for a, known := range k.versions {
		all[a] = known[len(known)-1].Version
	}
	return all
}
