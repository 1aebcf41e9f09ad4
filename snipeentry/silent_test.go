package snipeentry_test

import (
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSilentUpstream guards against streams of a sound upstream that are ended, and against an upstream that counts as
// crashed, because it was silent for a second and went on.
func TestSilentUpstream(t *testing.T) {
	t.Parallel()
	const silence = 1200 * time.Millisecond
	s := startCutCluster(t, 1)
	for _, r := range s.runners {
		r.EventInterval = 200 * time.Millisecond
	}
	silent := netip.MustParseAddrPort(s.runners["e1"].Address)
	s.links[0].affects = func(a netip.AddrPort) bool { return a == silent }
	var streams sync.WaitGroup
	for range 12 {
		streams.Go(func() {
			a, id := send(t, s.instances[0].url, http.MethodPost, "/final/x", "text", modelHeader, "base")
			must.NoError(t, a.err)
			must.Eq(t, events(1), a.body)
			must.Eq(t, 1, s.total(id))
		})
	}
	time.Sleep(500 * time.Millisecond)
	s.cut(1, linksPause)
	time.Sleep(silence)
	s.cut(1, linksSound)
	streams.Wait()
	s.checkNoCrashes()
}
