package snipeoperator

import (
	"context"
	"slices"
	"strings"

	"snipepitch.example/snipepitch/snipeproto"
)

// ListLeases implements snipeproto.Operator. It returns the instances in this instance's view with
// the engines that each of them owns.
func (s *Server) ListLeases(ctx context.Context, _ *snipeproto.ListLeasesRequest) (*snipeproto.ListLeasesResponse, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	view := s.View()
	owned := map[string][]string{}
	for engine, o := range view.Owners {
		owned[o.Instance.Name] = append(owned[o.Instance.Name], engine)
	}
	out := &snipeproto.ListLeasesResponse{}
	for name, i := range view.Instances {
		slices.Sort(owned[name])
		out.Leases = append(out.Leases, &snipeproto.LeaseState{
			Instance: name, Incarnation: i.Incarnation, Leaving: i.Leaving, Engines: owned[name],
		})
	}
	slices.SortFunc(out.Leases, func(a, b *snipeproto.LeaseState) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return out, nil
}
