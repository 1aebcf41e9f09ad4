package snipequarantine

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelog"
)

// newRemote returns the registry of member "m" and a client that calls it over HTTP.
func newRemote(t *testing.T) (*Registry, *Client) {
	r := &Registry{Self: "m", SettleTime: time.Millisecond, Linger: time.Second, Retention: time.Hour}
	g := &Guard{Registry: r, Spread: func(Fingerprint, []byte, time.Duration) {}, Log: snipelog.Discard()}
	server := httptest.NewServer(g.Handler())
	t.Cleanup(server.Close)
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	must.NoError(t, err)
	return r, &Client{HTTP: http.DefaultClient, Address: func(member string) (netip.AddrPort, bool) {
		return address, member == "m"
	}}
}

// TestWire checks that attempts, verdicts, ends and records reach another coordinator
// unchanged. It guards against a successful replication that is reported as an error.
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
	must.True(t, r.IsSuspect(Fingerprint{2}))
}

// TestWireRejects guards against messages that are accepted although they are invalid.
func TestWireRejects(t *testing.T) {
	_, client := newRemote(t)
	good := Attempt{ID: "a", Upstream: "u"}
	long := good
	long.ID = strings.Repeat("x", maxTextBytes+1)
	tests := map[string]func() error{
		"unknown member": func() error { _, err := client.Begin(t.Context(), "x", good); return err },
		"long name":      func() error { _, err := client.Begin(t.Context(), "m", long); return err },
		"unknown end":    func() error { _, err := client.Finish(t.Context(), "m", good, endCount); return err },
		"no record":      func() error { return client.Replicate(t.Context(), "m", Fingerprint{1}, []byte("{")) },
		"too many crashes": func() error {
			r := &record{expires: time.Now().Add(time.Minute)}
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

// countingListener counts the bytes that its connections carry.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// TestMeasureTraffic logs the bytes that one call costs between its entry instance and
// its coordinator, and bounds them.
func TestMeasureTraffic(t *testing.T) {
	g := &Guard{Registry: &Registry{Self: "m", Retention: time.Hour}, Log: snipelog.Discard()}
	server := httptest.NewUnstartedServer(g.Handler())
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	defer server.Close()
	address, err := netip.ParseAddrPort(l.Addr().String())
	must.NoError(t, err)
	client := &Client{HTTP: http.DefaultClient, Address: func(string) (netip.AddrPort, bool) { return address, true }}
	a := Attempt{
		ID: "WZ3MJ5V4Y2Q6T7R8S9X0ABCDEF/engine-100", Entry: "entry-100/7DJNBXACLJBZO56SWY6OXTGA7Q",
		Upstream: "engine-100", Mark: "bottling/adapter-1000@12#", Left: time.Minute,
	}
	const calls = 100
	for range calls {
		_, err := client.Begin(t.Context(), "m", a)
		must.NoError(t, err)
		_, err = client.Finish(t.Context(), "m", a, Answered)
		must.NoError(t, err)
	}
	each := l.bytes.Load() / calls
	t.Log("Table: messages of one call to its coordinator, both ways, without TCP's own")
	t.Log("| requests | bytes |")
	t.Log("|---|---|")
	t.Logf("| 2 | %d |", each)
	must.Less(t, 1500, each)
}
