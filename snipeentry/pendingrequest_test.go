package snipeentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestUnreachableOwner covers an owner that hangs while requests wait for loads on its engines.
// When a report to the owner fails, the pending requests to that owner end, those to another owner
// do not, and the owner counts as unreachable until it answers a report.
func TestUnreachableOwner(t *testing.T) {
	asked := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	}))
	defer server.Close()
	owner := netip.MustParseAddrPort(server.Listener.Addr().String())
	other := netip.MustParseAddrPort("10.0.0.9:80")
	p := newPeers(server.Client().Transport)

	ctx, cancel := p.trackRequest(t.Context(), owner)
	defer cancel()
	elsewhere, end := p.trackRequest(t.Context(), other)
	defer end()
	failed := make(chan error, 1)
	go func() {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err == nil {
			var a *http.Response
			if a, err = server.Client().Do(r); err == nil {
				err = a.Body.Close()
			}
		}
		failed <- err
	}()
	<-asked
	must.False(t, p.isUnreachable(owner))
	must.True(t, p.noteReachability(owner, false))
	select {
	case err := <-failed:
		must.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the request has not ended")
	}
	must.ErrorIs(t, context.Cause(ctx), errOwnerUnresponsive)
	must.NoError(t, elsewhere.Err())
	must.True(t, p.isUnreachable(owner))
	must.True(t, p.noteReachability(owner, true))
	must.False(t, p.isUnreachable(owner))

	cancel()
	end()
	must.MapEmpty(t, p.pendingRequests)
}
