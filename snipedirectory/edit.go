package snipedirectory

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// builder derives a new snapshot from an existing one by copy-on-write. Unchanged data is shared
// by both snapshots, because most reads of the registry change a few of several thousand entries.
type builder struct {
	byID     map[string]*Upstream
	services map[string][]*Upstream
	// mapsCopied is set once byID and services are copies that the builder may modify;
	// copiedServices holds the services whose slices of upstreams are such copies.
	mapsCopied     bool
	copiedServices map[string]bool
}

func newBuilder(old *Snapshot) *builder {
	b := &builder{copiedServices: make(map[string]bool)}
	if old != nil {
		b.byID, b.services = old.byID, old.services
	}
	return b
}

// prepareWrite copies the maps and the service's slice of upstreams, if the builder has not
// copied them yet.
func (b *builder) prepareWrite(service string) {
	if !b.mapsCopied {
		b.byID, b.services, b.mapsCopied = maps.Clone(b.byID), maps.Clone(b.services), true
	}
	if b.byID == nil {
		b.byID, b.services = make(map[string]*Upstream), make(map[string][]*Upstream)
	}
	if !b.copiedServices[service] {
		b.services[service] = slices.Clone(b.services[service])
		b.copiedServices[service] = true
	}
}

// put adds an upstream, or replaces the one with the same identifier, which must belong to the
// same service.
func (b *builder) put(u *Upstream) {
	b.prepareWrite(u.Service)
	b.byID[u.ID] = u
	i, ok := b.find(u)
	if ok {
		b.services[u.Service][i] = u
		return
	}
	b.services[u.Service] = slices.Insert(b.services[u.Service], i, u)
}

// remove removes an upstream from the new snapshot.
func (b *builder) remove(u *Upstream) {
	b.prepareWrite(u.Service)
	delete(b.byID, u.ID)
	if i, ok := b.find(u); ok {
		b.services[u.Service] = slices.Delete(b.services[u.Service], i, i+1)
	}
	if len(b.services[u.Service]) == 0 {
		delete(b.services, u.Service)
	}
}

// find returns the index of an upstream among those of its service, which are sorted by
// identifier, and whether it is present; if not, the index is where to insert it.
func (b *builder) find(u *Upstream) (int, bool) {
	return slices.BinarySearchFunc(b.services[u.Service], u.ID, func(other *Upstream, id string) int {
		return strings.Compare(other.ID, id)
	})
}

// snapshot returns the new snapshot. The builder must not be used afterwards.
func (b *builder) snapshot(position uint64, read time.Time) *Snapshot {
	return &Snapshot{Position: position, Read: read, byID: b.byID, services: b.services}
}
