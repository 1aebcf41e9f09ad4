package snipelink_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
)

// cutUpstream answers each request with the beginning of an answer, and closes the connection or resets it.
type cutUpstream struct {
	address netip.AddrPort
	cuts    chan cut
}

// cut is what is sent of an answer.
type cut struct {
	sent  string
	reset bool
}

func newCutUpstream(t *testing.T) *cutUpstream {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &cutUpstream{address: netip.MustParseAddrPort(l.Addr().String()), cuts: make(chan cut, 1)}
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			u.answer(c, <-u.cuts)
		}
	}()
	return u
}

func (u *cutUpstream) answer(c *net.TCPConn, a cut) {
	_, _ = c.Read(make([]byte, 4096))
	_, _ = io.WriteString(c, a.sent)
	if a.reset {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// TestHeadCutAtEachByte guards against an answer whose head breaks off and that passes for a whole one, with an empty or a short
// body.
func TestHeadCutAtEachByte(t *testing.T) {
	const body = "0123456789"
	tests := map[string]struct {
		head, body string
		// byClose is set if the end of the connection ends the body.
		byClose bool
	}{
		"Length":        {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n", body, false},
		"Chunks":        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n" + body + "\r\n0\r\n\r\n", false},
		"Neither":       {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\n\r\n", body, true},
		"Old":           {"HTTP/1.0 200 OK\r\nId: 1\r\n\r\n", body, true},
		"Interim":       {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\n", body, false},
		"LineFeeds":     {"HTTP/1.1 200 OK\nId: 1\nContent-Length: 10\n\n", body, false},
		"Continued":     {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Long: a\r\n  b\r\nX-Last: c\r\n\r\n", body, true},
		"EmptyByClose":  {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "", true},
		"LengthNothing": {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newCutUpstream(t)
			whole := tt.head + tt.body
			for at := range len(whole) {
				for _, reset := range []bool{false, true} {
					u.cuts <- cut{whole[:at], reset}
					a, got, err := u.get(t)
					switch where := fmt.Sprintf("%q, reset %v", whole[:at], reset); {
					case at < len(tt.head):
						must.ErrorIs(t, err, snipelink.ErrBroken, must.Sprint(where))
					case tt.byClose && !reset:
						must.NoError(t, err, must.Sprint(where))
						must.EqOp(t, snipelink.FramedByClose, a.Framing())
						must.Eq(t, whole[len(tt.head):at], got)
					default:
						must.Error(t, err, must.Sprint(where))
					}
				}
			}
			if !tt.byClose {
				u.cuts <- cut{whole, false}
				_, got, err := u.get(t)
				must.NoError(t, err)
				must.True(t, strings.HasSuffix(body, got))
			}
		})
	}
}

// get sends a request and reads the answer.
func (u *cutUpstream) get(t *testing.T) (a *snipelink.Answer, body string, err error) {
	t.Helper()
	p := newPool()
	r := newRequest(u.address)
	r.Method = http.MethodPost
	a, _, err = p.Send(t.Context(), u.address, snipelink.Message{Request: r})
	if err != nil {
		return nil, "", err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return a, string(data), err
}
