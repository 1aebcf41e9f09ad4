package snipequarantine

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelog"
)

// newRemote returns a member's registry and a client that asks it over HTTP.
func newRemote(t *testing.T) (*Registry, *Client) {
	r := &Registry{Self: "m", Settle: time.Millisecond, Linger: time.Second, Hold: time.Hour}
	g := &Guard{Registry: r, Spread: func(Fingerprint, []byte, time.Duration) {}, Log: snipelog.Discard()}
	server := httptest.NewServer(g.Handler())
	t.Cleanup(server.Close)
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	must.NoError(t, err)
	return r, &Client{HTTP: http.DefaultClient, Address: func(member string) (netip.AddrPort, bool) {
		return address, member == "m"
	}}
}

// TestWire is the contract between coordinators: what is asked and told arrives
// whole. A replication that succeeded was reported as an error.
func TestWire(t *testing.T) {
	r, client := newRemote(t)
	a := Attempt{Fingerprint: Fingerprint{1}, ID: "a", Entry: "e", Upstream: "u", Mark: "m", Left: time.Minute}
	v, err := client.Begin(t.Context(), "m", a)
	must.NoError(t, err)
	must.Eq(t, Run, v.Decision)
	must.Eq(t, a, r.active[a.Fingerprint]["a"].Attempt)
	other := a
	other.ID, other.Upstream = "b", "elsewhere"
	v, err = client.Begin(t.Context(), "m", other)
	must.NoError(t, err)
	must.Eq(t, "u", v.Upstream)
	record, err := client.Finish(t.Context(), "m", a, Crashed)
	must.NoError(t, err)
	decoded, err := DecodeRecord(record, time.Hour)
	must.NoError(t, err)
	must.Len(t, 1, decoded.Crashes)
	must.Less(t, 512, len(record))
	must.NoError(t, client.Replicate(t.Context(), "m", Fingerprint{2}, record))
	must.True(t, r.Suspects(Fingerprint{2}))
}

func TestWireRefuses(t *testing.T) {
	_, client := newRemote(t)
	good := Attempt{ID: "a", Upstream: "u"}
	long := good
	long.ID = strings.Repeat("x", maxID+1)
	tests := map[string]func() error{
		"unknown member": func() error { _, err := client.Begin(t.Context(), "x", good); return err },
		"long name":      func() error { _, err := client.Begin(t.Context(), "m", long); return err },
		"unknown end":    func() error { _, err := client.Finish(t.Context(), "m", good, ends); return err },
		"no record":      func() error { return client.Replicate(t.Context(), "m", Fingerprint{1}, []byte("{")) },
		"too many crashes": func() error {
			r := &record{until: time.Now().Add(time.Minute)}
			for n := range uint64(maxCrashes + 1) {
				r.crashes = append(r.crashes, crash{id: n})
			}
			return client.Replicate(t.Context(), "m", Fingerprint{1}, r.encode(time.Now()))
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) { must.Error(t, call()) })
	}
}
