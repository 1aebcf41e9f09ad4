// Package snipecatalog holds the operators' declarations for requests that are forwarded
// unchanged: routes by host and path prefix, the services behind them, the workspaces
// that callers' keys belong to, and the newest version of each adapter.
//
// A Catalog is an immutable snapshot. A Cache holds the one in force.
//
// Invariants:
//
//   - The catalog in force is never replaced by one of a lower version.
//   - An adapter's versions only increase. Each is stored with the time at which this
//     instance learned of it, so that the grace period until requests require a version
//     is counted for each version separately.
package snipecatalog

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Repeat states whether a request of a route may run more than once.
type Repeat uint8

const (
	// AtMostOnce requests run once or not at all.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Backend is a service that receives a share of a route's requests, in proportion to Weight.
type Backend struct {
	Service string
	Weight  uint32
}

// Route describes how requests for a host and a path prefix are handled.
type Route struct {
	Name string
	// Host and Prefix select the route; among the prefixes of a path, the longest wins.
	Host   string
	Prefix string
	// Repeat states whether a request may run more than once.
	Repeat Repeat
	// Streaming routes answer with events. The stream of a Resumable route can be
	// continued at any upstream after the last event that was received.
	Streaming bool
	Resumable bool
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Target is the time within which callers expect the answer, or its first event if the
	// route is Streaming. MaxGap is the longest pause between two events.
	Target time.Duration
	MaxGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Backends has at least one entry.
	Backends []Backend
	// MaxAttempts limits the number of upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// MayRepeat reports whether a request that may already have run can be sent again.
func (r *Route) MayRepeat() bool { return r.Repeat == Idempotent }

// Backend returns the service for a request according to the backends' weights; the first
// service if all weights are 0. hash must be evenly distributed over requests.
func (r *Route) Backend(hash uint64) string {
	var total uint64
	for _, b := range r.Backends {
		total += uint64(b.Weight)
	}
	if total == 0 {
		return r.Backends[0].Service
	}
	n := hash % total
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
	// Adapters is the number of adapters that the model has.
	Adapters int
}

// Engine describes the upstreams of a service that run models.
type Engine struct {
	// Slots is the number of requests that an engine runs at once. (Slots of snipetree.Engine
	// is a number of adapters.)
	Slots int
	// AdapterSlots is the number of adapters that an engine can hold.
	AdapterSlots int
	// MemoryTokens is the size of an engine's prompt memory (KV cache), in tokens.
	MemoryTokens int
	Models       []Model
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all
	// instances together.
	MaxConnections int
	// Engine is nil for services that run no models.
	Engine *Engine
}

// Limits bounds what a caller may send, in bytes and in time.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime bounds the time to send a header, IdleTime the time that a connection
	// may stay open without a request.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Catalog is one version of the operators' declarations.
type Catalog struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Workspaces are the owners of callers' keys. If there are none, no request needs a key.
	Workspaces []Workspace
	Limits     Limits

	routesByHost    map[string][]*Route
	workspaceByKey  map[KeyDigest]*Workspace
	workspaceByName map[string]*Workspace
	// anyLimited reports whether any workspace has a quota.
	anyLimited bool
}

// Index prepares the catalog for Lookup and Workspace. It returns an error that wraps
// ErrWorkspace if a workspace is invalid. It is called once, before the catalog is shared.
func (c *Catalog) Index() error {
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	return c.indexWorkspaces()
}

// Engine returns what the catalog declares of the engines of a service. It returns nil if the service
// runs no models or is not declared, and for a nil catalog.
func (c *Catalog) Engine(service string) *Engine {
	if c == nil || c.Services[service] == nil {
		return nil
	}
	return c.Services[service].Engine
}

// Lookup returns the host's route with the longest prefix of path; nil if no route matches.
func (c *Catalog) Lookup(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Adapter identifies an adapter of a base model; Name is empty for the model itself.
type Adapter struct {
	Model string
	Name  string
}

// Announcement is a new version of an adapter.
type Announcement struct {
	Adapter Adapter
	Version int64
}

// Change is the result of one read of the operators' documents.
type Change struct {
	// Position is the store's position at the time of the read.
	Position uint64
	// Catalog is nil if it has not changed.
	Catalog  *Catalog
	Versions []Announcement
	// Errors holds the errors of documents that could not be decoded; the other documents
	// still apply.
	Errors []error
}

// Announced is a version of an adapter and the time at which this instance learned of it.
type Announced struct {
	Version int64
	Learned time.Time
}

// Cache holds the catalog in force and the adapters' versions. It is safe for concurrent
// use.
type Cache struct {
	current atomic.Pointer[Catalog]

	lock     sync.RWMutex            // guards versions
	versions map[Adapter][]Announced // in ascending order
}

// Catalog returns the catalog in force; nil before the first one is known.
func (k *Cache) Catalog() *Catalog { return k.current.Load() }

// Adopt puts a catalog in force and reports whether it did so: a catalog whose version is
// not higher than the current one is ignored. The catalog must be indexed.
func (k *Cache) Adopt(c *Catalog) bool {
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

const (
	// versionTime is how long an announced version of an adapter is stored after a newer one was announced. It bounds the
	// grace of Required.
	versionTime = 10 * time.Second
	// versionSpacing bounds the number of versions in that time: of three that are announced within it, the one in the middle
	// is dropped, so that Required returns a newer version so much later at most.
	versionSpacing = 50 * time.Millisecond
)

// Announce records a version of an adapter and reports whether it is higher than all versions
// announced before.
func (k *Cache) Announce(a Adapter, version int64) bool {
	k.lock.Lock()
	defer k.lock.Unlock()
	known := k.versions[a]
	if len(known) > 0 && known[len(known)-1].Version >= version {
		return false
	}
	if k.versions == nil {
		k.versions = make(map[Adapter][]Announced)
	}
	now := time.Now()
	if n := len(known); n > 1 && now.Sub(known[n-2].Learned) < versionSpacing {
		known = known[:n-1]
	}
	known = append(known, Announced{Version: version, Learned: now})
	for len(known) > 1 && now.Sub(known[1].Learned) >= versionTime {
		known = known[1:]
	}
	k.versions[a] = known
	return true
}

// Newest returns the newest announced version of an adapter; false if none has been announced,
// so that only the adapter's initial version exists.
func (k *Cache) Newest(a Adapter) (int64, bool) {
	k.lock.RLock()
	defer k.lock.RUnlock()
	known := k.versions[a]
	if len(known) == 0 {
		return 0, false
	}
	return known[len(known)-1].Version, true
}

// Required returns the lowest version of an adapter that a new request may use: the newest one
// that has been known for at least grace, which is versionTime at most; 0 if there is none.
func (k *Cache) Required(a Adapter, grace time.Duration) int64 {
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

// Announcements returns the newest version of each adapter that has an announced version.
func (k *Cache) Announcements() map[Adapter]int64 {
	k.lock.RLock()
	defer k.lock.RUnlock()
	all := make(map[Adapter]int64, len(k.versions))
	for a, known := range k.versions {
		all[a] = known[len(known)-1].Version
	}
	return all
}
