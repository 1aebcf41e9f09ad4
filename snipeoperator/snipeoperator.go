// Package snipeoperator is the operators' side of an instance: the Twirp
// service that snipectl calls, one command a file.
//
// An operator shows a key as a bearer token; the settings tree says which
// branches the key may see and edit. Rights are checked against the tree in
// force on the called instance, before anything else. What only other
// instances know, the called one asks them for on the peers' side (gather.go),
// a bounded number at once and each within a bounded time; who does not answer
// is named in the answer.
package snipeoperator

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipelease"
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
	// Own tells what only this instance knows.
	Own *Own
	// Peers sends requests to other instances; it shows the peer secret.
	Peers snipeproto.HTTPClient
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
