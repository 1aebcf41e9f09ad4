package snipeinstance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelog"
)

// until returns a function that returns 1 until d has passed from now, then 0.
func until(d time.Duration) func() int {
	end := time.Now().Add(d)
	return func() int {
		if time.Now().Before(end) {
			return 1
		}
		return 0
	}
}

// TestStop checks how long a stop takes and how it ends: it waits for the notice, the calls and the
// release of engines, but not longer than its limits or after a second signal.
func TestStop(t *testing.T) {
	never := 24 * time.Hour
	cases := map[string]struct {
		calls, owned time.Duration // time until the last call ends, or the last engine is released
		signal       time.Duration // time of the second signal
		took         time.Duration
		err          error
	}{
		"idle":                        {0, 0, never, 3 * time.Second, nil},
		"calls finish":                {20 * time.Second, time.Second, never, 20 * time.Second, nil},
		"ownership handed over late":  {5 * time.Second, 8 * time.Second, never, 8 * time.Second, nil},
		"table is down":               {5 * time.Second, never, never, 11 * time.Second, nil},
		"call never ends":             {never, 0, never, 60 * time.Second, ErrStopTimeout},
		"second signal in the notice": {never, never, time.Second, time.Second, ErrForced},
		"second signal later":         {never, never, 30 * time.Second, 30 * time.Second, ErrForced},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p phase
				must.True(t, p.setReady())
				signals := make(chan os.Signal, 2)
				time.AfterFunc(c.signal, func() { signals <- syscall.SIGTERM })
				start := time.Now()
				var left, refused time.Duration = -1, -1
				s := &stop{
					notice: 3 * time.Second, limit: time.Minute, handover: 6 * time.Second, signals: signals,
					unready: p.stop,
					leave: func() {
						must.False(t, p.ready())
						left = time.Since(start)
					},
					refuse: func() { refused = time.Since(start) },
					end:    func(ctx context.Context, _ time.Time) { <-ctx.Done() },
					calls:  until(c.calls), owned: until(c.owned), log: snipelog.Discard(),
				}
				must.ErrorIs(t, s.run(t.Context()), c.err)
				took := time.Since(start)
				must.GreaterEq(t, c.took, took)
				must.Less(t, c.took+200*time.Millisecond, took)
				must.Zero(t, left)
				if c.took >= 3*time.Second {
					must.Eq(t, 3*time.Second, refused)
				}
			})
		})
	}
}

// TestReadyStaysOff guards against readiness that comes back after a stop has begun, when the stop
// races with the end of the start.
func TestReadyStaysOff(t *testing.T) {
	for range 200 {
		var p phase
		done := make(chan struct{})
		go func() {
			p.setReady()
			close(done)
		}()
		p.stop()
		<-done
		must.False(t, p.ready())
		must.False(t, p.setReady())
	}
}

// TestKeptConnectionsAreClosedDuringStop guards against a balancer that keeps its connections to a
// stopping instance: answers during a stop carry "Connection: close".
func TestKeptConnectionsAreClosedDuringStop(t *testing.T) {
	var p phase
	h := p.closeWhenStopping(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, want := range []string{"", "close"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		must.Eq(t, want, w.Header().Get("Connection"))
		p.stop()
	}
}

// TestStopEndsWithItsGroup guards against a stop that keeps waiting after another component of the
// run group has failed and the context has ended.
func TestStopEndsWithItsGroup(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var none atomic.Int64
	s := &stop{
		notice: time.Hour, limit: time.Hour, unready: func() {}, leave: func() {}, refuse: func() {},
		end: func(ctx context.Context, _ time.Time) { <-ctx.Done() }, calls: func() int { return int(none.Load()) }, owned: func() int { return 0 }, log: snipelog.Discard(),
	}
	must.NoError(t, s.run(ctx))
}
