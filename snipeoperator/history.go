package snipeoperator

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// GetHistory implements snipeproto.Operator. It returns the accepted edits of a branch without
// their documents.
func (s *Server) GetHistory(ctx context.Context, r *snipeproto.GetHistoryRequest) (*snipeproto.GetHistoryResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	edits, err := s.Settings.History(ctx, r.GetTeam())
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	out := &snipeproto.GetHistoryResponse{}
	for _, e := range edits {
		out.Edits = append(out.Edits, &snipeproto.Edit{
			Revision: e.Revision, Version: e.Version, Accepted: e.Accepted.UnixMilli(),
		})
	}
	return out, nil
}

// previousSettings returns the document of a branch at a previous version.
func (s *Server) previousSettings(ctx context.Context, r *snipeproto.GetSettingsRequest) (*snipeproto.GetSettingsResponse, error) {
	document, err := s.Settings.Document(ctx, r.GetTeam(), r.GetVersion())
	if err != nil {
		return nil, documentError(err)
	}
	return &snipeproto.GetSettingsResponse{Version: r.GetVersion(), Document: document}, nil
}

// Rollback implements snipeproto.Operator. The previous document is checked like any other edit and
// becomes a new version: revisions never decrease.
func (s *Server) Rollback(ctx context.Context, r *snipeproto.RollbackRequest) (*snipeproto.ApplySettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	document, err := s.Settings.Document(ctx, r.GetTeam(), r.GetVersion())
	if err != nil {
		return nil, documentError(err)
	}
	return s.apply(ctx, snipetree.Edit{Team: r.GetTeam(), Expect: r.GetExpectVersion(), Document: document})
}

// documentError returns a NotFound error for a version that does not exist and an Unavailable error
// for one that cannot be read now.
func documentError(err error) error {
	if errors.Is(err, snipetree.ErrUnknownVersion) {
		return twirp.NotFoundError(err.Error())
	}
	return twirp.Unavailable.Error(err.Error())
}
