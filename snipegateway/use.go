package snipegateway

import (
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
)

// useReportInterval is the time between two reports of an engine that has requests in flight and no
// changes. The repetition makes up for a lost report.
const useReportInterval = snipeadapter.UseTTL / 3

// engineUse is this instance's use of one engine.
type engineUse struct {
	// running counts the requests in flight.
	running  int
	adapters map[snipecatalog.Adapter]*use
	// changed is set when a request has begun or ended since the last report; reportedAt is the
	// time of that report.
	changed    bool
	reportedAt time.Time
}

// use is the use of an adapter on one engine.
type use struct {
	// begun counts the requests since the last report, running those in flight.
	begun, running int
}

// Use records that a request is sent to an engine, for the next report to the engine's owner. The
// adapter's name is empty for a request to the base model itself. The returned function records the
// request's end.
func (c *Chooser) Use(engine string, a snipecatalog.Adapter) (end func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	e := c.engineUse(engine)
	e.changed = true
	e.running++
	if a.Name == "" {
		return func() { c.endUse(e, nil) }
	}
	u := e.adapters[a]
	if u == nil {
		u = &use{}
		e.adapters[a] = u
	}
	u.begun++
	u.running++
	return func() { c.endUse(e, u) }
}

// engineUse returns the use of an engine and creates it if needed. The lock must be held.
func (c *Chooser) engineUse(engine string) *engineUse {
	if e := c.uses[engine]; e != nil {
		return e
	}
	if c.uses == nil {
		c.uses = make(map[string]*engineUse)
	}
	e := &engineUse{adapters: make(map[snipecatalog.Adapter]*use)}
	c.uses[engine] = e
	return e
}

func (c *Chooser) endUse(e *engineUse, u *use) {
	c.lock.Lock()
	defer c.lock.Unlock()
	e.running--
	e.changed = true
	if u != nil {
		u.running--
	}
}

// markUseChanged makes the use of an engine due for a report.
func (c *Chooser) markUseChanged(engine string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if e := c.uses[engine]; e != nil {
		e.changed = true
	}
}

// TakeUseReports returns the use of adapters, by engine, that is due to be reported to the engines'
// owners, and records that it was reported. An engine is due if a request has begun or ended there
// since its last report, or if requests are in flight there and its last report is older than
// useReportInterval. Requests to the base model itself make an engine due without adding an
// adapter.
func (c *Chooser) TakeUseReports() map[string]map[snipecatalog.Adapter]snipeadapter.Use {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := time.Now()
	reports := make(map[string]map[snipecatalog.Adapter]snipeadapter.Use)
	for engine, e := range c.uses {
		if !e.changed && now.Sub(e.reportedAt) < useReportInterval {
			continue
		}
		reports[engine] = e.report(now)
		if e.running == 0 {
			delete(c.uses, engine)
		}
	}
	return reports
}

// report returns the use of one engine for a report, resets the counts of begun requests, and drops
// the adapters without requests in flight.
func (e *engineUse) report(now time.Time) map[snipecatalog.Adapter]snipeadapter.Use {
	e.changed, e.reportedAt = false, now
	all := make(map[snipecatalog.Adapter]snipeadapter.Use, len(e.adapters))
	for a, u := range e.adapters {
		all[a] = snipeadapter.Use{Begun: u.begun, Running: u.running > 0}
		u.begun = 0
		if u.running == 0 {
			delete(e.adapters, a)
		}
	}
	return all
}
