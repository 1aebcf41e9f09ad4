package snipetree

import "slices"

// checkCrossBranch checks an edit against the other branches of the snapshot in force here,
// whose revision must be at least the given one; at revision 0 there are no branches. An edit
// is refused if it refers to something that another branch does not declare, removes something
// that another branch refers to, or declares a key of another team.
func (s *Store) checkCrossBranch(revision uint64, name string, d *document) error {
	t := s.Current()
	if t == nil || revision == 0 {
		t = NewTree(0, &Platform{}, nil)
	}
	if name == platformBranchName {
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
		if team, ok := t.teamByKey[d.branch.Keys[key]]; ok && team != teamOf(name) {
			return invalid("Keys."+key, "is a key of another team")
		}
	}
	return nil
}

// checkAgainst checks a team's branch against the platform's. prefix precedes the reason of
// each refusal.
func (b *Branch) checkAgainst(p *Platform, prefix string) error {
	bases := map[string]bool{}
	for _, e := range p.Engines {
		bases[e.Base] = true
	}
	for _, name := range sortedNames(b.Adapters) {
		if base := b.Adapters[name].Base; !bases[base] {
			return invalid("Adapters."+name+".Base", prefix+"no engine has base model "+base)
		}
	}
	for _, service := range slices.Sorted(slices.Values(b.Services)) {
		if _, ok := p.Services[service]; !ok {
			return invalid("Services", prefix+"there is no service "+service)
		}
	}
	return nil
}
