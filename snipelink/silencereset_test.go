package snipelink_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipestand"
)

// silentUpstream works on each request until its caller leaves, and can be made silent.
type silentUpstream struct {
	silence snipestand.Silence
	address netip.AddrPort
	server  *http.Server
	begun   chan struct{}
	// ended receives the time at which the upstream has noticed that a caller has left.
	ended chan time.Time
}

func newSilentUpstream(t *testing.T) *silentUpstream {
	u := &silentUpstream{begun: make(chan struct{}, 1), ended: make(chan time.Time, 1)}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	silenced, err := u.silence.Listener(l)
	must.NoError(t, err)
	u.address = netip.MustParseAddrPort(l.Addr().String())
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(silenced) }()
	t.Cleanup(func() { _ = u.server.Close() })
	return u
}

// ServeHTTP implements http.Handler. With the header Begins, the answer begins at once.
func (u *silentUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	if r.Header.Get("Begins") != "" {
		_ = http.NewResponseController(w).Flush()
	}
	u.begun <- struct{}{}
	<-r.Context().Done()
	u.ended <- time.Now()
}

// TestSilentConnectionIsReset guards against an upstream that works on after a silence on a request whose connection the
// kernel has ended here meanwhile, because nothing tells the upstream.
func TestSilentConnectionIsReset(t *testing.T) {
	const noticed = 400 * time.Millisecond
	tests := map[string]struct {
		begins, ends bool
	}{
		"BeforeTheAnswer": {false, false},
		"InTheAnswer":     {true, false},
		"UpstreamHasLeft": {false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newSilentUpstream(t)
			p := newPool()
			p.Dial = u.silence.Dialer(u.address, snipelink.Dialer())
			silent := make(chan error, 1)
			go func() { silent <- u.exchange(t.Context(), p, tt.begins) }()
			<-u.begun
			u.silence.Set(true)
			err := <-silent
			must.ErrorIs(t, err, snipelink.ErrSilent)
			must.False(t, snipelink.WaitReset(t.Context(), err, noticed), must.Sprint("the upstream cannot be reached"))
			u.silence.Set(false)
			reachable := time.Now()
			if tt.ends {
				must.NoError(t, u.server.Close())
			}
			must.True(t, snipelink.WaitReset(t.Context(), err, time.Second))
			must.Less(t, noticed, (<-u.ended).Sub(reachable))
		})
	}
}

// exchange sends a request and returns the error of its answer.
func (u *silentUpstream) exchange(ctx context.Context, p *snipelink.Pool, begins bool) error {
	r := newRequest(u.address)
	if begins {
		r.Header.Set("Begins", "1")
	}
	a, _, err := p.Send(ctx, u.address, snipelink.Message{Request: r})
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.ReadAll(a)
	return err
}
