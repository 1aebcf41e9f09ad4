// Package snipeoperator implements the Twirp service for operators that snipectl calls. Each
// command has its own file.
//
// An operator sends a key as a bearer token; the settings tree defines which branches (the settings
// of the platform, or those of one team) the key may read and edit. Rights are checked first,
// against the tree in force on the called instance. State that only other instances have is
// requested from them over the peers' listener (gather.go), with a bounded number of requests at
// once and a timeout for each. The answer to the operator names the instances that did not answer.
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

// Server implements snipeproto.Operator. Exported fields are set before the first request.
type Server struct {
	// Settings is the settings store of this instance.
	Settings *snipetree.Store
	// BootstrapKeyHash is the hash of the key that has platform rights while the platform branch
	// declares no operators.
	BootstrapKeyHash snipetree.KeyHash
	// View returns the instances and the owners of engines.
	View func() *snipelease.View
	// Local provides the state that only this instance has.
	Local *LocalStatus
	// Peers sends requests to other instances with the peer secret.
	Peers snipeproto.HTTPClient
}

// keyContext is the context key of the operator key of a request.
type keyContext struct{}

// Handler returns the HTTP handler of the service.
func (s *Server) Handler() http.Handler {
	inner := snipeproto.NewOperatorServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		inner.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), keyContext{}, key)))
	})
}

// PathPrefix is the path prefix at which Handler is mounted.
const PathPrefix = snipeproto.OperatorPathPrefix

// operator returns the rights of the request's operator key, or an Unauthenticated error if the key
// is unknown. While no settings are in force or they declare no operators, only the bootstrap key
// is known.
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

// authorize returns an error unless the request's operator key has rights to the branch of a team,
// or to the platform branch if team is empty.
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
