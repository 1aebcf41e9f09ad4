package snipepeer

import (
	"crypto/subtle"
	"net/http"

	"snipepitch.example/snipepitch/snipeerror"
)

// Authorized returns a handler that passes requests with the peer secret to h and
// refuses all others.
func Authorized(secret string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(secretHeader)), []byte(secret)) != 1 {
			snipeerror.New(snipeerror.ErrUnauthenticated, snipeerror.NotRun, "peer secret").Write(w, "")
			return
		}
		h.ServeHTTP(w, r)
	})
}

// SecretClient sends requests with the peer secret.
type SecretClient struct {
	// Client sends the requests.
	Client *http.Client
	// Secret is the peer secret.
	Secret string
}

// Do sends a request with the secret; see http.Client.Do.
func (s *SecretClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(secretHeader, s.Secret)
	return s.Client.Do(r) //nolint:gosec // the address comes from the membership
}
