package snipegateway

import "snipepitch.example/snipepitch/snipecatalog"

// RankedForTest returns the engines of a service in the order in which they should hold
// an adapter.
func (c *Chooser) RankedForTest(service string, a snipecatalog.Adapter) []string {
	var ids []string
	for _, u := range c.ranked(c.Directory.Snapshot().Service(service), a) {
		ids = append(ids, u.ID)
	}
	return ids
}
