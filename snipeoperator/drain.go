package snipeoperator

import (
	"context"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
)

// Drain implements snipeproto.Operator. It starts a graceful stop of the named instance, or of this
// one if no name is given, and does not wait for its end.
func (s *Server) Drain(ctx context.Context, r *snipeproto.DrainRequest) (*snipeproto.DrainResponse, error) {
	if err := s.authorize(ctx, ""); err != nil {
		return nil, err
	}
	name := r.GetInstance()
	if name == "" || name == s.Local.Name {
		s.Local.Drain()
		return &snipeproto.DrainResponse{}, nil
	}
	i, ok := s.View().Instances[name]
	if !ok {
		return nil, twirp.NotFoundError("no live instance " + name)
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := s.peer(i.PeerAddress).Stop(bounded, &snipeproto.StopRequest{}); err != nil {
		return nil, twirp.Unavailable.Errorf("instance %s: %v", name, err)
	}
	return &snipeproto.DrainResponse{}, nil
}
