package snipeoperator

import (
	"context"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// ListAdapters implements snipeproto.Operator. It returns the adapters that engines hold, as far as
// the operator may see them. Those on engines whose owner did not answer are missing; Silent names
// these owners.
func (s *Server) ListAdapters(ctx context.Context, r *snipeproto.ListAdaptersRequest) (*snipeproto.ListAdaptersResponse, error) {
	o, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	if team := r.GetTeam(); team != "" && !maySee(o, team) {
		return nil, twirp.PermissionDenied.Errorf("no right to branch %q", team)
	}
	engines, silent := s.gatherOwners(ctx)
	out := &snipeproto.ListAdaptersResponse{Silent: silent}
	tree := s.Settings.Current()
	byName := map[string]*snipeproto.AdapterState{}
	for engine, e := range engines {
		for _, a := range e.GetResident() {
			team, _, _ := strings.Cut(a, "/")
			if !maySee(o, a) || r.GetTeam() != "" && team != r.GetTeam() {
				continue
			}
			if byName[a] == nil {
				byName[a] = &snipeproto.AdapterState{Adapter: a, Declared: declared(tree, a)}
				out.Adapters = append(out.Adapters, byName[a])
			}
			byName[a].Engines = append(byName[a].Engines, engine)
		}
	}
	for _, a := range out.Adapters {
		slices.Sort(a.Engines)
	}
	slices.SortFunc(out.Adapters, func(a, b *snipeproto.AdapterState) int {
		return strings.Compare(a.GetAdapter(), b.GetAdapter())
	})
	return out, nil
}

// declared reports whether the settings in force contain an adapter, given in its text form.
func declared(t *snipetree.Tree, text string) bool {
	var a snipecall.Adapter
	if t == nil || a.UnmarshalText([]byte(text)) != nil {
		return false
	}
	_, _, ok := t.Find(a)
	return ok
}
