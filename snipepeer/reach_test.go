package snipepeer_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipepeer"
)

// TestReachHoldsOff checks that a peer that a call did not reach is not used during
// the hold-off, and that an answer ends the hold-off at once.
func TestReachHoldsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		address := netip.MustParseAddrPort("192.0.2.1:1")
		refused := roundTrip(func(*http.Request) (*http.Response, error) { return nil, errRefused })
		client := &http.Client{Transport: refused}
		p := &snipepeer.Client{Pooled: client, Fresh: client, Progress: time.Second}
		must.True(t, p.Reach.Usable(address))
		c := &snipecall.Call{ID: "c", Upstream: "e", Deadline: time.Now().Add(time.Minute), Idempotent: true}
		must.Error(t, p.Forward(t.Context(), address, c, func(snipecall.Chunk) error { return nil }))
		must.False(t, p.Reach.Usable(address))
		p.Reach.Answered(address)
		must.True(t, p.Reach.Usable(address))
		p.Reach.Failed(address)
		time.Sleep(2 * time.Second)
		must.True(t, p.Reach.Usable(address))
	})
}

var errRefused = http.ErrServerClosed

// roundTrip is an http.RoundTripper that answers requests without a network.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
