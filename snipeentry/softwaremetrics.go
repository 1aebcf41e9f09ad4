package snipeentry

import (
	"strconv"
	"sync"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipesoftware"
)

// maxSoftwareGauges bounds the gauges of upstreams by software version. Versions that appear later
// have none.
const maxSoftwareGauges = 128

// softwareGauges holds the software versions, by service, for which a gauge is registered. The zero
// value is ready to use.
type softwareGauges struct {
	lock       sync.Mutex // guards registered
	registered map[serviceSoftware]bool
}

// serviceSoftware is a software version of a service.
type serviceSoftware struct {
	service  string
	software snipesoftware.Version
}

// add reports whether a gauge is to be registered: the version is new, and there are not too many.
func (g *softwareGauges) add(s serviceSoftware) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.registered[s] || len(g.registered) >= maxSoftwareGauges {
		return false
	}
	if g.registered == nil {
		g.registered = make(map[serviceSoftware]bool)
	}
	g.registered[s] = true
	return true
}

// countSoftware registers the gauge of the software version of an upstream that has appeared.
func (i *Instance) countSoftware(u *snipedirectory.Upstream) {
	s := serviceSoftware{u.Service, u.Software}
	if !i.softwareGauges.add(s) {
		return
	}
	name := "snipepitch_upstreams_by_software{service=" + strconv.Quote(s.service) + ",software=" + strconv.Quote(string(s.software)) + "}"
	i.meter.Gauge(name, func() float64 {
		n := 0
		for _, u := range i.directory.Snapshot().Service(s.service) {
			if u.Software == s.software {
				n++
			}
		}
		return float64(n)
	})
}
