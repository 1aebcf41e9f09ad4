package snipeadapter

import (
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

// UseLife is for how long a report of requests in flight counts. An instance repeats it while
// they last, so that one that is lost does no harm, and tells their end at once; what an
// instance used that was killed is free after this.
const UseLife = 1500 * time.Millisecond

// Use is what one instance reports of an adapter on an engine.
type Use struct {
	// Begun is how many requests have begun since its last report.
	Begun int
	// Running tells that some are in flight.
	Running bool
}

// flights are the adapters of an engine that one instance has in flight.
type flights struct {
	adapters []snipecatalog.Adapter
	until    time.Time
}

// Used notes how an instance uses the adapters of an engine, and returns those that the
// engine does not hold.
func (d *Desk) Used(id, instance string, uses map[snipecatalog.Adapter]Use) (gone []snipecatalog.Adapter) {
	d.lock.Lock()
	e := d.engines[id]
	d.lock.Unlock()
	if e == nil || !e.read.Load() {
		return nil
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	e.land(instance, now)
	var running []snipecatalog.Adapter
	for a, u := range uses {
		if u.Running {
			running = append(running, a)
		}
		switch h := e.held[a]; {
		case h != nil:
			h.note(now, u.Begun)
		case e.loads[a] == nil:
			gone = append(gone, a)
		}
	}
	if len(running) > 0 {
		e.flights[instance] = flights{running, now.Add(UseLife)}
	}
	return gone
}

// land ends what an instance had in flight, which was used until now. The lock is held.
func (e *engine) land(instance string, now time.Time) {
	for _, a := range e.flights[instance].adapters {
		if h := e.held[a]; h != nil {
			h.used = now
		}
	}
	delete(e.flights, instance)
}

// inFlight returns the adapters that instances have in flight on the engine. The lock is
// held.
func (e *engine) inFlight(now time.Time) map[snipecatalog.Adapter]bool {
	all := make(map[snipecatalog.Adapter]bool)
	for instance, f := range e.flights {
		if now.After(f.until) {
			delete(e.flights, instance)
			continue
		}
		for _, a := range f.adapters {
			all[a] = true
		}
	}
	return all
}
