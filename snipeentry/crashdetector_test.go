package snipeentry

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipedirectory"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipemeter"
	"snipepitch.example/snipepitch/snipequarantine"
)

// TestCrashDetector guards against broken answers of upstreams that go on, or that left as announced,
// being counted as crashes, and against crashes that are not noticed.
func TestCrashDetector(t *testing.T) {
	tests := map[string]struct {
		dial error
		// leaving is set if the upstream was leaving when the answers broke off, left if it began later.
		leaving, left bool
		// gone is when the upstream leaves the registry; zero if it stays.
		gone    time.Duration
		crashes int64
	}{
		"refuses connections":          {dial: syscall.ECONNREFUSED, crashes: 2},
		"accepts connections":          {},
		"does not answer":              {dial: context.DeadlineExceeded},
		"gone soon after":              {gone: time.Second, crashes: 2},
		"gone long after":              {gone: 5 * time.Second},
		"refuses and was leaving":      {dial: syscall.ECONNREFUSED, leaving: true},
		"gone and was leaving":         {gone: time.Second, leaving: true},
		"gone, has begun to leave":     {gone: time.Second, left: true},
		"refuses, and is gone as well": {dial: syscall.ECONNREFUSED, gone: time.Second, crashes: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var crashes atomic.Int64
				d := &crashDetector{
					Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
						if tt.dial != nil {
							return nil, tt.dial
						}
						a, b := net.Pipe()
						return a, b.Close()
					},
					Leaving: func(string) bool { return tt.leaving }, ConfirmTime: 3 * time.Second,
					Crashed: func(string, snipequarantine.Fingerprint) { crashes.Add(1) },
					Log:     snipelog.New(io.Discard, logrus.InfoLevel, "test"), Meter: snipemeter.New(),
				}
				u := &snipedirectory.Upstream{ID: "e1", Address: netip.MustParseAddrPort("10.1.0.1:80")}
				d.Broke(u, snipequarantine.Fingerprint{1}, "r1")
				d.Broke(u, snipequarantine.Fingerprint{2}, "r2")
				synctest.Wait()
				if tt.gone > 0 {
					time.Sleep(tt.gone)
					u.Leaving = tt.left
					d.Gone(u)
				}
				synctest.Wait()
				must.Eq(t, tt.crashes, crashes.Load())
				time.Sleep(2 * endedRetention)
				d.Sweep()
				must.MapEmpty(t, d.upstreams)
			})
		})
	}
}
