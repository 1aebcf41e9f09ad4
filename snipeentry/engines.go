package snipeentry

import (
	"context"
	"net/netip"

	"snipepitch.example/snipepitch/snipedirectory"
)

// engineAddresses returns the addresses of all engines that are not leaving, which instances may
// own.
func (i *Instance) engineAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, u := range i.engines() {
		if !u.Leaving {
			all = append(all, u.Address)
		}
	}
	return all
}

// engines returns the upstreams of all services that run models, or nil if no catalog is known.
func (i *Instance) engines() []*snipedirectory.Upstream {
	c := i.catalog.Catalog()
	if c == nil {
		return nil
	}
	var all []*snipedirectory.Upstream
	for name, s := range c.Services {
		if s.Engine != nil {
			all = append(all, i.directory.Snapshot().Service(name)...)
		}
	}
	return all
}

// adapterSlots returns how many adapters an engine can hold, or 0 if no catalog is known or it does
// not declare the engine's service as one that runs models.
func (i *Instance) adapterSlots(u *snipedirectory.Upstream) int {
	if e := i.catalog.Catalog().Engine(u.Service); e != nil {
		return e.AdapterSlots
	}
	return 0
}

// modelFor returns the base model that an engine should load: the model that the fewest engines of
// its service hold, or "" if the engine holds a model already, if no catalog is known, or if the
// catalog does not declare its service as one that runs models.
func (i *Instance) modelFor(u *snipedirectory.Upstream) string {
	engine := i.catalog.Catalog().Engine(u.Service)
	if engine == nil || len(u.Models) > 0 {
		return ""
	}
	held := make(map[string]int)
	for _, other := range i.directory.Snapshot().Service(u.Service) {
		for _, m := range other.Models {
			held[m]++
		}
	}
	rarest := ""
	for _, m := range engine.Models {
		if rarest == "" || held[m.Name] < held[rarest] {
			rarest = m.Name
		}
	}
	return rarest
}

// readTakenEngines has the controller read the state of the engines that this instance owns, as far
// as the state is not known yet. An engine that cannot be read is tried again on the next call.
func (i *Instance) readTakenEngines(ctx context.Context) {
	for _, u := range i.engines() {
		if !u.Leaving {
			i.controller.ReadEngine(ctx, u)
		}
	}
}

// ownerReachable reports whether an engine has an owner that can be asked to load adapters: this
// instance, or another one that is not known as unreachable (see isUnreachable) and that has not
// denied a request within the last orderDeniedPause because it must not order the engine.
func (i *Instance) ownerReachable(u *snipedirectory.Upstream) bool {
	owner, ok := i.holder.View().Owners[u.Address]
	return ok && (owner.Self || !i.peers.isUnreachable(owner.Instance.Peer) && i.peers.ownerMayOrder(u.Address))
}
