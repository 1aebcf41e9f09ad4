package snipegateway_test

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipegateway"
)

// keyCatalog returns a copy of a gateway's catalog with another version and workspaces, named in pairs with their keys.
func keyCatalog(t *testing.T, g *snipegateway.Gateway, version int64, pairs ...string) *snipecatalog.Catalog {
	t.Helper()
	old := g.Catalog.Catalog()
	c := &snipecatalog.Catalog{Version: version, Services: old.Services, Routes: old.Routes}
	for n := 0; n < len(pairs); n += 2 {
		c.Workspaces = append(c.Workspaces, snipecatalog.Workspace{Name: pairs[n], Keys: []snipecatalog.KeyDigest{snipecatalog.DigestKey(pairs[n+1])}})
	}
	must.NoError(t, c.Index())
	return c
}

// askWithKey sends a request with the key "secret".
func askWithKey(t *testing.T, s *httptest.Server) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer secret\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	data, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(data)
}

// TestHopDenial guards against a request that is denied for good on the word of a peer that cannot know it, though its sender
// knows the key.
func TestHopDenial(t *testing.T) {
	tests := map[string]struct {
		noKey    bool     // the sender is of an earlier release
		outdated bool     // the peer may have missed a newer catalog
		then     []string // the peer's catalog when the request is sent
	}{
		"EarlierSenderRenamed": {noKey: true, then: []string{"west", "secret"}},
		"OutdatedPeer":         {outdated: true, then: []string{"north", "other"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
			helper := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
			entry := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
			entry.Catalog.Adopt(keyCatalog(t, entry, 2, "north", "secret"))
			helper.Catalog.Adopt(keyCatalog(t, helper, 2, "north", "secret"))
			helper.Outdated = func() bool { return tt.outdated }
			decode := helper.Protocol.Decode
			helper.Protocol.Decode = func(r *http.Request) (snipegateway.Request, error) {
				helper.Catalog.Adopt(keyCatalog(t, helper, 3, tt.then...)) // the request was admitted by the one before
				return decode(r)
			}
			serve := helper.ServeHop
			if tt.noKey {
				serve = func(w http.ResponseWriter, r *http.Request) {
					r.Header.Set("Snipepitch-Hop", withoutKey(t, r.Header.Get("Snipepitch-Hop")))
					helper.ServeHop(w, r)
				}
			}
			useHops(entry, addressOf(serveGateway(t, serve)))
			status, body := askWithKey(t, serveGateway(t, entry.ServeHTTP))
			must.NotEq(t, http.StatusUnauthorized, status, must.Sprint(body))
		})
	}
}

// TestHopDeniedByEarlierRelease guards the same against a peer that cannot look at keys, since it is of an earlier release.
func TestHopDeniedByEarlierRelease(t *testing.T) {
	entry := newScriptGateway(t, "127.0.0.1:1", onceRoute)
	entry.Catalog.Adopt(keyCatalog(t, entry, 2, "north", "secret"))
	useHops(entry, addressOf(serveGateway(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Snipepitch-Hop-Id", r.Header.Get("Snipepitch-Hop-Id"))
		w.Header().Set("Snipepitch-Hop", "e30=")
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(w, `{"Error":{"Code":"Unauthenticated"},"Outcome":"NotRun","Reason":"the key was taken away"}`)
	})))
	status, body := askWithKey(t, serveGateway(t, entry.ServeHTTP))
	must.NotEq(t, http.StatusUnauthorized, status, must.Sprint(body))
}

// TestPublicRouteAfterKey guards against a request of a public route that is refused because its key was taken away.
func TestPublicRouteAfterKey(t *testing.T) {
	u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
	g := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
	g.Catalog.Catalog().Routes[0].Public = true
	g.Catalog.Adopt(keyCatalog(t, g, 2, "north", "secret"))
	decode := g.Protocol.Decode
	g.Protocol.Decode = func(r *http.Request) (snipegateway.Request, error) {
		g.Catalog.Adopt(keyCatalog(t, g, 3, "north", "other"))
		return decode(r)
	}
	status, body := askWithKey(t, serveGateway(t, g.ServeHTTP))
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
}

// withoutKey returns a hop's message as an earlier release writes it.
func withoutKey(t *testing.T, text string) string {
	t.Helper()
	data, err := base64.StdEncoding.DecodeString(text)
	must.NoError(t, err)
	var m map[string]any
	must.NoError(t, json.Unmarshal(data, &m))
	must.MapContainsKey(t, m, "Key")
	delete(m, "Key")
	data, err = json.Marshal(m)
	must.NoError(t, err)
	return base64.StdEncoding.EncodeToString(data)
}
