package snipedirectory

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// edit makes a new snapshot out of one. What is not changed is shared by both: most readings
// of the registry change a few of some thousand entries.
type edit struct {
	byID     map[string]*Upstream
	services map[string][]*Upstream
	// copied tells that the maps are this edit's own, changed names the services whose
	// upstreams are.
	copied  bool
	changed map[string]bool
}

func newEdit(old *Snapshot) *edit {
	e := &edit{changed: make(map[string]bool)}
	if old != nil {
		e.byID, e.services = old.byID, old.services
	}
	return e
}

// own makes the maps and a service's upstreams this edit's own.
func (e *edit) own(service string) {
	if !e.copied {
		e.byID, e.services, e.copied = maps.Clone(e.byID), maps.Clone(e.services), true
	}
	if e.byID == nil {
		e.byID, e.services = make(map[string]*Upstream), make(map[string][]*Upstream)
	}
	if !e.changed[service] {
		e.services[service] = slices.Clone(e.services[service])
		e.changed[service] = true
	}
}

// put adds an upstream, or puts it in the place of the one with its identifier, which has to
// be of the same service.
func (e *edit) put(u *Upstream) {
	e.own(u.Service)
	e.byID[u.ID] = u
	n, found := e.find(u)
	if found {
		e.services[u.Service][n] = u
		return
	}
	e.services[u.Service] = slices.Insert(e.services[u.Service], n, u)
}

// remove takes an upstream out.
func (e *edit) remove(u *Upstream) {
	e.own(u.Service)
	delete(e.byID, u.ID)
	if n, found := e.find(u); found {
		e.services[u.Service] = slices.Delete(e.services[u.Service], n, n+1)
	}
	if len(e.services[u.Service]) == 0 {
		delete(e.services, u.Service)
	}
}

// find returns the place of an upstream among those of its service, which are in order.
func (e *edit) find(u *Upstream) (int, bool) {
	return slices.BinarySearchFunc(e.services[u.Service], u.ID, func(other *Upstream, id string) int {
		return strings.Compare(other.ID, id)
	})
}

// snapshot ends the edit.
func (e *edit) snapshot(position uint64, read time.Time) *Snapshot {
	return &Snapshot{Position: position, Read: read, byID: e.byID, services: e.services}
}
