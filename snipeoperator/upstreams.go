package snipeoperator

import (
	"cmp"
	"context"
	"slices"

	"snipepitch.example/snipepitch/snipeproto"
)

// kindEngine is the kind of engines in a list of upstreams; other upstreams have the name of their
// plain service as kind.
const kindEngine = "Engine"

// ListUpstreams implements snipeproto.Operator. It returns the engines and the upstreams of plain
// services in the settings in force.
func (s *Server) ListUpstreams(ctx context.Context, _ *snipeproto.ListUpstreamsRequest) (*snipeproto.ListUpstreamsResponse, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	out := &snipeproto.ListUpstreamsResponse{}
	t := s.Settings.Current()
	if t == nil {
		return out, nil
	}
	owners := s.View().Owners
	for name, e := range t.Platform.Engines {
		out.Upstreams = append(out.Upstreams, &snipeproto.UpstreamState{
			Name: name, Kind: kindEngine, Address: e.Address.String(), Domain: e.Domain,
			Owner: owners[name].Instance.Name,
		})
	}
	for service, v := range t.Platform.Services {
		for name, u := range v.Upstreams {
			out.Upstreams = append(out.Upstreams, &snipeproto.UpstreamState{
				Name: name, Kind: service, Address: u.Address.String(), Domain: u.Domain,
			})
		}
	}
	slices.SortFunc(out.Upstreams, func(a, b *snipeproto.UpstreamState) int {
		return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return out, nil
}
