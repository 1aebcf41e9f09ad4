package snipegateway

import "snipepitch.example/snipepitch/snipecatalog"

// use is the use of an adapter on one engine.
type use struct {
	// begun counts requests since the last report, running those in flight.
	begun, running int
}

// Use notes that a request for an adapter goes to an engine, for the next report to
// the engine's owner. The returned function notes its end.
func (c *Chooser) Use(engine string, a snipecatalog.Adapter) (end func()) {
	if a.Name == "" {
		return func() {}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.uses == nil {
		c.uses = make(map[string]map[snipecatalog.Adapter]*use)
	}
	if c.uses[engine] == nil {
		c.uses[engine] = make(map[snipecatalog.Adapter]*use)
	}
	u := c.uses[engine][a]
	if u == nil {
		u = &use{}
		c.uses[engine][a] = u
	}
	u.begun++
	u.running++
	return func() {
		c.lock.Lock()
		defer c.lock.Unlock()
		u.running--
	}
}

// TakeUses returns how often adapters were used on each engine since the last
// call; 0 for those whose requests are still in flight.
func (c *Chooser) TakeUses() map[string]map[snipecatalog.Adapter]int {
	c.lock.Lock()
	defer c.lock.Unlock()
	taken := make(map[string]map[snipecatalog.Adapter]int, len(c.uses))
	for engine, all := range c.uses {
		counts := make(map[snipecatalog.Adapter]int, len(all))
		for a, u := range all {
			counts[a] = u.begun
			u.begun = 0
			if u.running == 0 {
				delete(all, a)
			}
		}
		if len(all) == 0 {
			delete(c.uses, engine)
		}
		taken[engine] = counts
	}
	return taken
}
