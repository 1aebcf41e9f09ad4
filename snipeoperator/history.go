package snipeoperator

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
)

// Edit is one accepted edit of a branch.
type Edit struct {
	// Revision and Version are those of the tree and of the branch since then.
	Revision, Version uint64
	// Accepted is when, by the clock of the instance that accepted it.
	Accepted time.Time
}

// GetHistory implements snipeproto.Operator.
func (s *Server) GetHistory(ctx context.Context, r *snipeproto.GetHistoryRequest) (*snipeproto.GetHistoryResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	edits, err := s.History(ctx, r.GetTeam())
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

// earlier returns a branch as it was at an earlier version.
func (s *Server) earlier(ctx context.Context, r *snipeproto.GetSettingsRequest) (*snipeproto.GetSettingsResponse, error) {
	document, err := s.Document(ctx, r.GetTeam(), r.GetVersion())
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return &snipeproto.GetSettingsResponse{Version: r.GetVersion(), Document: document}, nil
}

// Rollback implements snipeproto.Operator. The old document is checked as any
// other edit is, and becomes a new version: revisions never go back.
func (s *Server) Rollback(ctx context.Context, r *snipeproto.RollbackRequest) (*snipeproto.ApplySettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	document, err := s.Document(ctx, r.GetTeam(), r.GetVersion())
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	return s.apply(ctx, r.GetTeam(), r.GetExpectVersion(), document)
}
