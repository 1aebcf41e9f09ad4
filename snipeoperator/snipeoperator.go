// Package snipeoperator is the operators' side of an instance: the Twirp
// service that snipectl calls.
//
// An operator shows a key as a bearer token; the settings tree says which
// branches the key may edit. Rights are checked against the tree in force on
// the called instance.
package snipeoperator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strings"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipetree"
)

// Server implements snipeproto.Operator. Exported fields are set before the
// first request.
type Server struct {
	// Settings are the settings of this instance.
	Settings *snipetree.Store
	// BootstrapKeyHash may write the platform branch while it has no operators.
	BootstrapKeyHash snipetree.KeyHash
	// View returns instances and owners.
	View func() *snipelease.View
	// Resident returns the adapters at an owned engine and the calls in flight.
	Resident func(engine string) ([]snipecall.Adapter, int)
	// Stop starts a graceful stop.
	Stop func()
}

type keyContext struct{}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	inner := snipeproto.NewOperatorServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		inner.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyContext{}, key)))
	})
}

// PathPrefix is where the handler is mounted.
const PathPrefix = snipeproto.OperatorPathPrefix

// operator returns the rights of the request's key.
func (s *Server) operator(ctx context.Context) (snipetree.Operator, error) {
	key, _ := ctx.Value(keyContext{}).(string)
	hash := snipetree.HashKey(key)
	t := s.Settings.Current()
	if t == nil || len(t.Platform.Operators) == 0 {
		if key != "" && hash == s.BootstrapKeyHash {
			return snipetree.Operator{Platform: true}, nil
		}
		return snipetree.Operator{}, twirp.Unauthenticated.Error("unknown operator key")
	}
	for _, o := range t.Platform.Operators {
		if o.KeyHash == hash {
			return o, nil
		}
	}
	return snipetree.Operator{}, twirp.Unauthenticated.Error("unknown operator key")
}

func (s *Server) authorize(ctx context.Context, team string) error {
	o, err := s.operator(ctx)
	if err != nil {
		return err
	}
	if o.Platform || team != "" && slices.Contains(o.Teams, team) {
		return nil
	}
	return twirp.PermissionDenied.Errorf("no right to branch %q", team)
}

// GetSettings implements snipeproto.Operator.
func (s *Server) GetSettings(ctx context.Context, r *snipeproto.GetSettingsRequest) (*snipeproto.GetSettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	t := s.Settings.Current()
	if t == nil {
		return &snipeproto.GetSettingsResponse{}, nil
	}
	out := &snipeproto.GetSettingsResponse{Revision: t.Revision, Version: s.Settings.BranchVersion(r.GetTeam())}
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

// ApplySettings implements snipeproto.Operator.
func (s *Server) ApplySettings(ctx context.Context, r *snipeproto.ApplySettingsRequest) (*snipeproto.ApplySettingsResponse, error) {
	if err := s.authorize(ctx, r.GetTeam()); err != nil {
		return nil, err
	}
	revision, err := s.Settings.Apply(ctx, r.GetTeam(), r.GetExpectVersion(), r.GetDocument())
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

// ListInstances implements snipeproto.Operator.
func (s *Server) ListInstances(ctx context.Context, _ *snipeproto.ListInstancesRequest) (*snipeproto.ListInstancesResponse, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	out := &snipeproto.ListInstancesResponse{}
	for _, i := range s.View().Instances {
		out.Instances = append(out.Instances, &snipeproto.InstanceState{
			Name: i.Name, Domain: i.Domain, PeerAddress: i.PeerAddress.String(),
			OperatorAddress: i.OperatorAddress.String(), Revision: i.Revision, Leaving: i.Leaving,
		})
	}
	slices.SortFunc(out.Instances, func(a, b *snipeproto.InstanceState) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out, nil
}

// ListEngines implements snipeproto.Operator.
func (s *Server) ListEngines(ctx context.Context, _ *snipeproto.ListEnginesRequest) (*snipeproto.ListEnginesResponse, error) {
	if _, err := s.operator(ctx); err != nil {
		return nil, err
	}
	out := &snipeproto.ListEnginesResponse{}
	t := s.Settings.Current()
	if t == nil {
		return out, nil
	}
	view := s.View()
	for name, e := range t.Platform.Engines {
		state := &snipeproto.EngineState{Name: name, Base: e.Base, Domain: e.Domain, Slots: int64(e.Slots)}
		if o, ok := view.Owners[name]; ok {
			state.Owner, state.Fence = o.Instance.Name, o.Fence
		}
		adapters, inFlight := s.Resident(name)
		state.InFlight = int64(inFlight)
		for _, a := range adapters {
			state.Resident = append(state.Resident, a.String())
		}
		sort.Strings(state.Resident)
		out.Engines = append(out.Engines, state)
	}
	slices.SortFunc(out.Engines, func(a, b *snipeproto.EngineState) int { return strings.Compare(a.GetName(), b.GetName()) })
	return out, nil
}

// Drain implements snipeproto.Operator.
func (s *Server) Drain(ctx context.Context, _ *snipeproto.DrainRequest) (*snipeproto.DrainResponse, error) {
	if err := s.authorize(ctx, ""); err != nil {
		return nil, err
	}
	s.Stop()
	return &snipeproto.DrainResponse{}, nil
}
