package snipeoperator

import (
	"context"
	"encoding/json"
	"sort"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// GetSettings implements snipeproto.Operator. It returns the document of a branch in force, or of
// the version that the request names. The answer has no document if the branch does not exist or no
// settings are in force.
func (s *Server) GetSettings(ctx context.Context, r *snipeproto.GetSettingsRequest) (*snipeproto.GetSettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	if r.GetVersion() > 0 {
		return s.previousSettings(ctx, r)
	}
	t, version := s.branch(r.GetTeam())
	if t == nil {
		return &snipeproto.GetSettingsResponse{}, nil
	}
	out := &snipeproto.GetSettingsResponse{Revision: t.Revision, Version: version}
	var branch any = t.Platform
	if r.GetTeam() != "" {
		b, ok := t.Teams[r.GetTeam()]
		if !ok {
			return out, nil
		}
		branch = b
	}
	for name := range t.Teams {
		if s.authorize(ctx, name) == nil {
			out.Teams = append(out.Teams, name)
		}
	}
	sort.Strings(out.Teams)
	document, err := json.MarshalIndent(branch, "", "  ")
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	out.Document = document
	return out, nil
}

// branch returns the tree in force, nil if there is none, and the version of a branch in the same
// tree. If the version
// were newer than the document, an operator could overwrite an edit that the document does not
// contain.
func (s *Server) branch(team string) (*snipetree.Tree, uint64) {
	for {
		t := s.Settings.Current()
		version := s.Settings.BranchVersion(team)
		if s.Settings.Current() == t {
			return t, version
		}
	}
}
