package snipeoperator

import (
	"context"
	"crypto/rand"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// ApplySettings implements snipeproto.Operator. It replaces the document of one branch if the
// branch still has the expected version.
func (s *Server) ApplySettings(ctx context.Context, r *snipeproto.ApplySettingsRequest) (*snipeproto.ApplySettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	return s.apply(ctx, snipetree.Edit{
		ID: r.GetEdit(), Team: r.GetTeam(), Expect: r.GetExpectVersion(), Document: r.GetDocument(),
	})
}

// apply applies an edit for an operator whose rights have been checked. An edit without an
// identifier gets a random one, so repeating the request is not recognized as the same edit.
func (s *Server) apply(ctx context.Context, edit snipetree.Edit) (*snipeproto.ApplySettingsResponse, error) {
	if edit.ID == "" {
		edit.ID = rand.Text()
	}
	revision, err := s.Settings.ApplyEdit(ctx, edit)
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
