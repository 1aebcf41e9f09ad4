package snipeoperator

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// ApplySettings implements snipeproto.Operator.
func (s *Server) ApplySettings(ctx context.Context, r *snipeproto.ApplySettingsRequest) (*snipeproto.ApplySettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	return s.apply(ctx, r.GetTeam(), r.GetExpectVersion(), r.GetDocument())
}

// apply replaces a branch on behalf of an operator who has the right to it.
func (s *Server) apply(ctx context.Context, team string, expect uint64, document []byte) (*snipeproto.ApplySettingsResponse, error) {
	revision, err := s.Settings.Apply(ctx, team, expect, document)
	switch {
	case err == nil:
		return &snipeproto.ApplySettingsResponse{Revision: revision}, nil
	case errors.Is(err, snipetree.ErrInvalid):
		return nil, twirp.InvalidArgument.Error(err.Error())
	case errors.Is(err, snipetree.ErrConflict):
		return nil, twirp.FailedPrecondition.Error(err.Error())
	case errors.Is(err, snipeplatform.ErrUnknown):
		return nil, twirp.DeadlineExceeded.Error(err.Error())
	}
	return nil, twirp.Unavailable.Error(err.Error())
}
