package snipeoperator

import (
	"context"
	"slices"
	"strings"

	"snipepitch.example/snipepitch/snipeproto"
)

// ListInstances implements snipeproto.Operator. It returns the instances in this instance's view.
// If the request demands it, each instance is asked for its current revision.
func (s *Server) ListInstances(ctx context.Context, r *snipeproto.ListInstancesRequest) (*snipeproto.ListInstancesResponse, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	var g gathered
	if r.GetAsk() {
		g = s.gather(ctx, nil)
	}
	out := &snipeproto.ListInstancesResponse{}
	for _, i := range s.View().Instances {
		state := &snipeproto.InstanceState{
			Name: i.Name, Domain: i.Domain, PeerAddress: i.PeerAddress.String(),
			OperatorAddress: i.OperatorAddress.String(), Revision: i.Revision, Leaving: i.Leaving,
		}
		if a, ok := g.answers[i.Name]; ok {
			state.Revision, state.Answered = a.GetRevision(), true
		}
		out.Instances = append(out.Instances, state)
	}
	slices.SortFunc(out.Instances, func(a, b *snipeproto.InstanceState) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out, nil
}
