package snipegateway

import "snipepitch.example/snipepitch/snipecatalog"

// RankedForTest returns the engines of a service in the order in which they should hold an adapter.
func (c *Chooser) RankedForTest(service string, a snipecatalog.Adapter) []string {
	var ids []string
	for r := newRanking(c.Directory.Snapshot().Service(service), a); r.Len() > 0; {
		ids = append(ids, r.next().ID)
	}
	return ids
}

// LoadCandidatesForTest returns the first engines of a service to ask for an adapter.
func (c *Chooser) LoadCandidatesForTest(service string, a snipecatalog.Adapter, most int) []string {
	var ids []string
	for u := range c.loadCandidates(c.Directory.Snapshot().Service(service), a) {
		if ids = append(ids, u.ID); len(ids) == most {
			break
		}
	}
	return ids
}
