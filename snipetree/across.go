package snipetree

import "slices"

// checkAcross checks an edit against all other branches at a revision that is
// in force here or lower. An edit that names what another branch lacks, or
// takes away what another branch names, is refused.
func (s *Store) checkAcross(revision uint64, name string, d *document) error {
	t := s.Current()
	if t == nil || revision == 0 {
		t = NewTree(0, &Platform{}, nil)
	}
	if name == platformSort {
		for _, team := range sortedNames(t.Teams) {
			if err := t.Teams[team].checkAgainst(d.platform, "branch "+team+" needs it: "); err != nil {
				return err
			}
		}
		return nil
	}
	if err := d.branch.checkAgainst(t.Platform, ""); err != nil {
		return err
	}
	for _, key := range sortedNames(d.branch.Keys) {
		if team, ok := t.keys[d.branch.Keys[key]]; ok && team != teamOf(name) {
			return invalid("Keys."+key, "is a key of another team")
		}
	}
	return nil
}

// checkAgainst checks a team's branch against the platform's.
func (b *Branch) checkAgainst(p *Platform, reason string) error {
	bases := map[string]bool{}
	for _, e := range p.Engines {
		bases[e.Base] = true
	}
	for _, name := range sortedNames(b.Adapters) {
		if base := b.Adapters[name].Base; !bases[base] {
			return invalid("Adapters."+name+".Base", reason+"no engine has base model "+base)
		}
	}
	for _, service := range slices.Sorted(slices.Values(b.Services)) {
		if _, ok := p.Services[service]; !ok {
			return invalid("Services", reason+"there is no service "+service)
		}
	}
	return nil
}
