package snipeoperator

import (
	"context"
	"slices"
	"strings"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// maySee reports whether an operator may see an adapter, given as team/name@version or as the name
// of its team.
func maySee(o snipetree.Operator, adapter string) bool {
	team, _, _ := strings.Cut(adapter, "/")
	return o.Platform || slices.Contains(o.Teams, team)
}

// ListEngines implements snipeproto.Operator. It returns all engines in the settings. An engine
// whose owner did not answer has neither adapters nor calls in flight; Silent names these owners.
func (s *Server) ListEngines(ctx context.Context, _ *snipeproto.ListEnginesRequest) (*snipeproto.ListEnginesResponse, error) {
	o, err := s.operator(ctx)
	if err != nil {
		return nil, err
	}
	out := &snipeproto.ListEnginesResponse{}
	t := s.Settings.Current()
	if t == nil {
		return out, nil
	}
	view := s.View()
	owned, silent := s.gatherOwners(ctx)
	out.Silent = silent
	for name, e := range t.Platform.Engines {
		state := &snipeproto.EngineState{Name: name, Base: e.Base, Domain: e.Domain, Slots: int64(e.Slots)}
		if w, ok := view.Owners[name]; ok {
			state.Owner, state.Fence = w.Instance.Name, w.Fence
		}
		state.InFlight = owned[name].GetInFlight()
		for _, a := range owned[name].GetResident() {
			if maySee(o, a) {
				state.Resident = append(state.Resident, a)
			}
		}
		out.Engines = append(out.Engines, state)
	}
	slices.SortFunc(out.Engines, func(a, b *snipeproto.EngineState) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out, nil
}
