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
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
)

// TestTargets guards against a request that reaches its upstream with another target, header or body than it was sent
// with.
func TestTargets(t *testing.T) {
	for _, target := range []string{
		"/", "/a", "//", "//orders/17", "///", "////a//b/", "/a//b", "//a?b=//c", "/?//", "//%2F%20a", "http://a.example//b", "//a:80/b", "/a;b?c#d", "*",
	} {
		t.Run(target, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = l.Close() }()
			type received struct{ line, host, body string }
			got := make(chan received, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				line, _ := r.ReadString('\n')
				// The rest is read as a request with another first line.
				q, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("POST / HTTP/1.1\r\n"), r)))
				if err != nil {
					got <- received{line: line + err.Error()}
					return
				}
				body, _ := io.ReadAll(q.Body)
				got <- received{strings.TrimSuffix(line, "\r\n"), q.Host, string(body)}
				_, _ = io.WriteString(c, goodAnswer)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r := &http.Request{
				Method: http.MethodPost, Host: "a.example", Header: http.Header{"Id": {"1"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
				URL: &url.URL{Scheme: "http", Host: l.Addr().String(), Opaque: target},
			}
			a, _, err := newPool().Send(ctx, netip.MustParseAddrPort(l.Addr().String()), snipelink.Message{Request: r, Body: []byte("the body")})
			must.NoError(t, err)
			a.Close()
			must.Eq(t, received{"POST " + target + " HTTP/1.1", "a.example", "the body"}, <-got)
			must.EqOp(t, target, r.URL.Opaque)
		})
	}
}
