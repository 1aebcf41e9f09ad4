package snipelink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
)

// upstream answers each request on a connection with the next of its replies; it
// closes the connection after the last.
type upstream struct {
	address  netip.AddrPort
	accepted atomic.Int32
	read     atomic.Int32
}

func newUpstream(t *testing.T, replies ...string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			go u.serve(c, replies)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, replies []string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, reply := range replies {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		u.read.Add(1)
		if _, err := io.WriteString(c, reply); err != nil {
			return
		}
	}
}

func newPool() *snipelink.Pool {
	return &snipelink.Pool{
		Dial: snipelink.Dialer(), DialTimeout: time.Second, Idle: time.Minute, Kept: 4,
		Belongs:   func(r *http.Request, a *http.Response) bool { return a.Header.Get("Id") == r.Header.Get("Id") },
		KeepAlive: func(*http.Response) time.Duration { return 0 },
	}
}

const good = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// exchange sends one request and returns the answer's body and whether the
// connection had been used before.
func exchange(t *testing.T, p *snipelink.Pool, to netip.AddrPort) (body string, reused bool, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r := &http.Request{
		Method: http.MethodGet, Host: "a.example", Header: http.Header{"Id": {"1"}},
		URL: &url.URL{Scheme: "http", Host: to.String(), Opaque: "/x"}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	a, sent, err := p.Send(ctx, to, r, nil, false)
	if err != nil {
		return "", sent.Reused, err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return string(data), sent.Reused, err
}

// TestSend holds what becomes of answers, and of the connection after them.
func TestSend(t *testing.T) {
	tests := map[string]struct {
		reply  string
		body   string
		want   error
		broken bool // the body breaks off
		kept   bool
	}{
		"Whole":     {good, "ok", nil, false, true},
		"Chunked":   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", nil, false, true},
		"Interim":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + good, "ok", nil, false, true},
		"Closes":    {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", nil, false, false},
		"Unframed":  {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", "ok", nil, false, false},
		"Foreign":   {"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok", "", snipelink.ErrForeign, false, false},
		"NoAnswer":  {"", "", snipelink.ErrBroken, false, false},
		"Garbage":   {"what is this\r\n\r\n", "", snipelink.ErrBroken, false, false},
		"Short":     {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", "ok", nil, true, false},
		"CutChunks": {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", nil, true, false},
		"TwoAtOnce": {good + good, "ok", nil, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, tt.reply)
			if tt.kept {
				u = newUpstream(t, tt.reply, tt.reply)
			}
			p := newPool()
			body, _, err := exchange(t, p, u.address)
			switch {
			case tt.want != nil:
				must.ErrorIs(t, err, tt.want)
			case tt.broken:
				must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			default:
				must.NoError(t, err)
			}
			must.Eq(t, tt.body, body)
			must.Eq(t, 1, u.read.Load())
			_, reused, _ := exchange(t, p, u.address)
			must.Eq(t, tt.kept, reused)
		})
	}
}

// TestNeverTwice: a request on a kept connection that the upstream closes is not sent
// again, and is not said to be unsent if it may have arrived.
func TestNeverTwice(t *testing.T) {
	u := newUpstream(t, good, "")
	p := newPool()
	_, _, err := exchange(t, p, u.address)
	must.NoError(t, err)
	_, reused, err := exchange(t, p, u.address)
	must.True(t, reused)
	must.ErrorIs(t, err, snipelink.ErrBroken)
	must.Eq(t, 2, u.read.Load())
	must.Eq(t, 1, u.accepted.Load())
}

// TestLateAnswer: bytes that came after an answer belong to no request; the
// connection is not used again.
func TestLateAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	late := make(chan struct{})
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, good)
					if first {
						_, _ = io.WriteString(c, good)
						close(late)
						return
					}
				}
			}()
		}
	}()
	p := newPool()
	to := netip.MustParseAddrPort(l.Addr().String())
	_, _, err = exchange(t, p, to)
	must.NoError(t, err)
	<-late
	body, reused, err := exchange(t, p, to)
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	must.False(t, reused)
}

// TestNotSent: where nobody listens no byte has left.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	to := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	_, _, err = exchange(t, newPool(), to)
	must.ErrorIs(t, err, snipelink.ErrNotSent)
}

// TestCancel: the end of the context ends the exchange and the connection.
func TestCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	closed := make(chan error, 1)
	got := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		close(got)
		_, err = r.ReadByte()
		closed <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	r := &http.Request{Method: http.MethodGet, Host: "a", Header: http.Header{}, URL: &url.URL{Opaque: "/"}, ProtoMajor: 1, ProtoMinor: 1}
	_, _, err = newPool().Send(ctx, netip.MustParseAddrPort(l.Addr().String()), r, nil, false)
	must.ErrorIs(t, err, snipelink.ErrBroken)
	must.Error(t, <-closed)
}

// TestSweep: connections whose time is over, and those of an upstream that is gone,
// are closed.
func TestSweep(t *testing.T) {
	for name, end := range map[string]func(p *snipelink.Pool, u *upstream){
		"Sweep":  func(p *snipelink.Pool, _ *upstream) { p.Sweep() },
		"Forget": func(p *snipelink.Pool, u *upstream) { p.Forget(u.address) },
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, good, good)
			p := newPool()
			p.Idle = 0
			_, _, err := exchange(t, p, u.address)
			must.NoError(t, err)
			end(p, u)
			_, reused, err := exchange(t, p, u.address)
			must.NoError(t, err)
			must.False(t, reused)
		})
	}
}
