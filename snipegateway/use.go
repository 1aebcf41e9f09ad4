package snipegateway

import (
	"time"

	"snipepitch.example/snipepitch/snipeadapter"
	"snipepitch.example/snipepitch/snipecatalog"
)

// useRefresh is the time between two reports of an engine where nothing has changed but
// requests are in flight: it repeats what a lost report told.
const useRefresh = snipeadapter.UseLife / 3

// engineUse is what this instance uses of one engine.
type engineUse struct {
	// running counts the requests in flight.
	running  int
	adapters map[snipecatalog.Adapter]*use
	// changed tells that a request has begun or ended since the last report, taken when
	// that was.
	changed bool
	taken   time.Time
}

// use is the use of an adapter on one engine.
type use struct {
	// begun counts requests since the last report, running those in flight.
	begun, running int
}

// Use notes that a request goes to an engine, for the next report to the engine's owner; its
// adapter has no name where it asks for the base model itself. The returned function notes
// its end.
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

// engineUse returns the use of an engine, to be changed. The lock is held.
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

// TakeUses returns what has to be told to the owners of engines: the use of adapters, by
// engine, of the engines where a request has begun or ended since the last report, and of
// those with requests in flight of which nothing was told for a while.
func (c *Chooser) TakeUses() map[string]map[snipecatalog.Adapter]snipeadapter.Use {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := time.Now()
	taken := make(map[string]map[snipecatalog.Adapter]snipeadapter.Use)
	for engine, e := range c.uses {
		if !e.changed && now.Sub(e.taken) < useRefresh {
			continue
		}
		taken[engine] = e.take(now)
		if e.running == 0 {
			delete(c.uses, engine)
		}
	}
	return taken
}

// take returns the use of one engine for a report.
func (e *engineUse) take(now time.Time) map[snipecatalog.Adapter]snipeadapter.Use {
	e.changed, e.taken = false, now
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
