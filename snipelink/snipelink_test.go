package snipelink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
)

// upstream answers each request on a connection with the next of its replies, and
// closes the connection after the last one.
type upstream struct {
	address  netip.AddrPort
	accepted atomic.Int32 // connections
	read     atomic.Int32 // requests
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
		if _, err := io.WriteString(c, replyTo(q, reply)); err != nil {
			return
		}
	}
}

func newPool() *snipelink.Pool {
	return &snipelink.Pool{
		Dial: snipelink.Dialer(), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4,
		Identifier: func(h http.Header) string { return h.Get("Id") },
		KeepAlive:  func(*http.Response) time.Duration { return 0 },
	}
}

// replyTo returns a reply with the identifier of a request in the place of 1.
func replyTo(q *http.Request, reply string) string {
	return strings.ReplaceAll(reply, "Id: 1", "Id: "+q.Header.Get("Id"))
}

const goodAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// newRequest returns a request whose answer has the same header Id.
func newRequest(address netip.AddrPort) *http.Request {
	return &http.Request{
		Method: http.MethodGet, Host: "a.example", Header: http.Header{"Id": {"1"}},
		URL: &url.URL{Scheme: "http", Host: address.String(), Opaque: "/x"}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// exchange sends one request, and returns the answer's body.
func exchange(t *testing.T, p *snipelink.Pool, address netip.AddrPort) (body string, err error) {
	t.Helper()
	body, _, err = exchangeAs(t, p, address, "1")
	return body, err
}

// exchangeNext sends another request, which may use the same connection, and returns the answer's body and whether the
// connection was reused.
func exchangeNext(t *testing.T, p *snipelink.Pool, address netip.AddrPort) (body string, reused bool, err error) {
	t.Helper()
	body, sent, err := exchangeAs(t, p, address, "next")
	return body, sent.Reused, err
}

// exchangeAs sends a request with an identifier, and returns the answer's body.
func exchangeAs(t *testing.T, p *snipelink.Pool, address netip.AddrPort, id string) (body string, sent snipelink.Sent, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r := newRequest(address)
	r.Header.Set("Id", id)
	a, sent, err := p.Send(ctx, address, snipelink.Message{Request: r})
	if err != nil {
		return "", sent, err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return string(data), sent, err
}

// TestSend checks what Send returns for valid and invalid answers, and whether the connection is
// reused afterwards. A connection that is reused after an incomplete answer, or with bytes left to
// read, would deliver a wrong answer to the next request.
func TestSend(t *testing.T) {
	tests := map[string]struct {
		reply     string
		body      string
		want      error
		truncated bool // whether the body ends early
		reused    bool // whether the next request uses the same connection
	}{
		"Whole":     {goodAnswer, "ok", nil, false, true},
		"Chunked":   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", nil, false, true},
		"Interim":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + goodAnswer, "ok", nil, false, true},
		"Closes":    {"HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", nil, false, false},
		"Unframed":  {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nok", "ok", nil, false, false},
		"Foreign":   {"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok", "", snipelink.ErrForeign, false, false},
		"NoAnswer":  {"", "", snipelink.ErrBroken, false, false},
		"Garbage":   {"what is this\r\n\r\n", "", snipelink.ErrBroken, false, false},
		"Short":     {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok", "ok", nil, true, false},
		"CutChunks": {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", nil, true, false},
		"TwoAtOnce": {goodAnswer + goodAnswer, "ok", nil, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, tt.reply)
			if tt.reused {
				u = newUpstream(t, tt.reply, tt.reply)
			}
			p := newPool()
			body, err := exchange(t, p, u.address)
			switch {
			case tt.want != nil:
				must.ErrorIs(t, err, tt.want)
			case tt.truncated:
				must.ErrorIs(t, err, io.ErrUnexpectedEOF)
			default:
				must.NoError(t, err)
			}
			must.Eq(t, tt.body, body)
			must.Eq(t, 1, u.read.Load())
			_, reused, _ := exchangeNext(t, p, u.address)
			must.Eq(t, tt.reused, reused)
		})
	}
}

// TestNoRetryOnReusedConnection checks that a request is not sent again when the upstream reads it
// from a reused connection and closes the connection without an answer. The error must not be
// ErrNotSent, since the caller would then send the request again and it could run twice.
func TestNoRetryOnReusedConnection(t *testing.T) {
	u := newUpstream(t, goodAnswer, "")
	p := newPool()
	_, err := exchange(t, p, u.address)
	must.NoError(t, err)
	_, reused, err := exchangeNext(t, p, u.address)
	must.True(t, reused)
	must.ErrorIs(t, err, snipelink.ErrBroken)
	must.Eq(t, 2, u.read.Load())
	must.Eq(t, 1, u.accepted.Load())
}

// TestLateAnswer checks that a connection is not reused if bytes arrive after an answer. The next
// request would otherwise read them as its own answer.
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
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, replyTo(q, goodAnswer))
					if first {
						_, _ = io.WriteString(c, replyTo(q, goodAnswer))
						close(late)
						return
					}
				}
			}()
		}
	}()
	p := newPool()
	address := netip.MustParseAddrPort(l.Addr().String())
	_, err = exchange(t, p, address)
	must.NoError(t, err)
	<-late
	body, reused, err := exchangeNext(t, p, address)
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	must.False(t, reused)
}

// TestNotSent checks that a refused connection is reported as ErrNotSent.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	must.NoError(t, l.Close())
	_, err = exchange(t, newPool(), address)
	must.ErrorIs(t, err, snipelink.ErrNotSent)
}

// TestCancel checks that the end of the context ends the exchange and closes the connection. An
// upstream would otherwise continue to execute a request whose caller has left.
func TestCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	closed := make(chan error, 1)
	received := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			closed <- err
			return
		}
		r := bufio.NewReader(c)
		_, _ = http.ReadRequest(r)
		close(received)
		_, err = r.ReadByte()
		closed <- err
	}()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	r := &http.Request{Method: http.MethodGet, Host: "a", Header: http.Header{}, URL: &url.URL{Opaque: "/"}, ProtoMajor: 1, ProtoMinor: 1}
	_, _, err = newPool().Send(ctx, netip.MustParseAddrPort(l.Addr().String()), snipelink.Message{Request: r})
	must.ErrorIs(t, err, snipelink.ErrBroken)
	must.Error(t, <-closed)
}

// TestSweep checks that an expired connection is not reused after a call of Sweep or Forget.
func TestSweep(t *testing.T) {
	for name, end := range map[string]func(p *snipelink.Pool, u *upstream){
		"Sweep":  func(p *snipelink.Pool, _ *upstream) { p.Sweep() },
		"Forget": func(p *snipelink.Pool, u *upstream) { p.Forget(u.address) },
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, goodAnswer, goodAnswer)
			p := newPool()
			p.IdleTimeout = 0
			_, err := exchange(t, p, u.address)
			must.NoError(t, err)
			end(p, u)
			_, reused, err := exchangeNext(t, p, u.address)
			must.NoError(t, err)
			must.False(t, reused)
		})
	}
}
