package snipeadapter

import (
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
)

// UseTTL is how long a report of requests in flight is valid. An instance repeats the report while
// the requests last, so a lost report does no harm, and reports their end without waiting for this
// time. The adapters that a killed instance was using can be evicted after this time.
const UseTTL = 1500 * time.Millisecond

// Use is what one instance reports about an adapter on an engine.
type Use struct {
	// Begun is how many requests have begun since the instance's last report.
	Begun int
	// Running reports whether requests are in flight.
	Running bool
}

// inFlightReport lists the adapters of an engine for which one instance has requests in flight.
type inFlightReport struct {
	adapters []snipecatalog.Adapter
	expires  time.Time
}

// RecordUse records an instance's use of the adapters of an engine. The report replaces the
// instance's previous report about that engine: an adapter with requests in flight there and not
// here counts as used until now. RecordUse returns the adapters that the engine neither holds nor
// is about to load, and drops the uses of all adapters that the engine does not hold. While the
// engine's state is unknown, it records nothing and returns nil.
func (c *Controller) RecordUse(id, instance string, uses map[snipecatalog.Adapter]Use) (absent []snipecatalog.Adapter) {
	c.lock.Lock()
	e := c.engines[id]
	c.lock.Unlock()
	if e == nil || !e.stateKnown.Load() {
		return nil
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	e.endInFlight(instance, now)
	var running []snipecatalog.Adapter
	for a, u := range uses {
		if u.Running {
			running = append(running, a)
		}
		switch h := e.held[a]; {
		case h != nil:
			h.recordUses(now, u.Begun)
		case e.loads[a] == nil:
			absent = append(absent, a)
		}
	}
	if len(running) > 0 {
		e.inFlightReports[instance] = inFlightReport{running, now.Add(UseTTL)}
	}
	return absent
}

// endInFlight drops what an instance reported as in flight, and records these adapters as used
// until now. The lock is held.
func (e *engine) endInFlight(instance string, now time.Time) {
	for _, a := range e.inFlightReports[instance].adapters {
		if h := e.held[a]; h != nil {
			h.lastUsed = now
		}
	}
	delete(e.inFlightReports, instance)
}

// inFlight returns the adapters of the engine for which instances have requests in flight. The lock
// is held.
func (e *engine) inFlight(now time.Time) map[snipecatalog.Adapter]bool {
	all := make(map[snipecatalog.Adapter]bool)
	for instance, f := range e.inFlightReports {
		if now.After(f.expires) {
			delete(e.inFlightReports, instance)
			continue
		}
		for _, a := range f.adapters {
			all[a] = true
		}
	}
	return all
}
