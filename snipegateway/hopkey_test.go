package snipegateway_test

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
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

// askWithKey sends a request with the key "secret" and further lines of its header.
func askWithKey(t *testing.T, s *httptest.Server, header ...string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /x/ HTTP/1.1\r\nHost: calls.example\r\nAuthorization: Bearer secret\r\n"+
		strings.Join(header, "")+"Content-Length: 0\r\n\r\n")
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

// TestHopDeniedByEarlierRelease guards the same against a peer that cannot look at keys, since it is of an earlier release, also where
// the key is gone and the route public.
func TestHopDeniedByEarlierRelease(t *testing.T) {
	entry := newScriptGateway(t, "127.0.0.1:1", onceRoute)
	entry.Catalog.Adopt(keyCatalog(t, entry, 2, "north", "secret"))
	useHops(entry, addressOf(serveGateway(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Later") != "" {
			entry.Catalog.Adopt(publicCatalog(t, entry))
		}
		w.Header().Set("Snipepitch-Hop-Id", r.Header.Get("Snipepitch-Hop-Id"))
		w.Header().Set("Snipepitch-Hop", "e30=")
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(w, `{"Error":{"Code":"Unauthenticated"},"Outcome":"NotRun","Reason":"the key was taken away"}`)
	})))
	callers := serveGateway(t, entry.ServeHTTP)
	for _, header := range []string{"", "Later: 1\r\n"} {
		status, body := askWithKey(t, callers, header)
		must.NotEq(t, http.StatusUnauthorized, status, must.Sprint(body))
	}
}

// publicCatalog returns a catalog without the key "secret" whose route is public.
func publicCatalog(t *testing.T, g *snipegateway.Gateway) *snipecatalog.Catalog {
	t.Helper()
	c := keyCatalog(t, g, 3, "north", "other")
	c.Routes = slices.Clone(c.Routes)
	c.Routes[0].Public = true
	must.NoError(t, c.Index())
	return c
}

// TestPublicRouteAfterKey guards against a request that is refused because its key was taken away, though its route is public, or
// becomes so with the same change: at the instance asked, and at a peer that knows of it first.
func TestPublicRouteAfterKey(t *testing.T) {
	for name, always := range map[string]bool{"Always": true, "Since": false} {
		t.Run(name, func(t *testing.T) {
			u := startScriptedUpstreams(t, []script{plain(byLength, "all")})
			newGateway := func() *snipegateway.Gateway {
				g := newScriptGateway(t, u.listener.Addr().String(), onceRoute)
				g.Catalog.Catalog().Routes[0].Public = always
				g.Catalog.Adopt(keyCatalog(t, g, 2, "north", "secret"))
				return g
			}
			asked, peer, entry := newGateway(), newGateway(), newGateway()
			decode := asked.Protocol.Decode
			asked.Protocol.Decode = func(r *http.Request) (snipegateway.Request, error) {
				asked.Catalog.Adopt(publicCatalog(t, asked))
				return decode(r)
			}
			peer.Catalog.Adopt(publicCatalog(t, peer))
			useHops(entry, addressOf(serveGateway(t, peer.ServeHop)))
			for _, g := range []*snipegateway.Gateway{asked, entry} {
				status, body := askWithKey(t, serveGateway(t, g.ServeHTTP))
				must.Eq(t, http.StatusOK, status, must.Sprint(body))
			}
		})
	}
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
