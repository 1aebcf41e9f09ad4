package snipelink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipepressure"
)

// serveTwo starts an upstream that refuses the first request of each connection, and answers the second one with extra and an
// answer. It keeps its connections open.
func serveTwo(t *testing.T, extra string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				r := bufio.NewReader(c)
				for _, reply := range []string{refusal, extra + goodAnswer} {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, replyTo(q, reply))
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestCutCopyEndsAtOnce guards against a request that waits until its deadline for the rest of an answer to an earlier request.
func TestCutCopyEndsAtOnce(t *testing.T) {
	address := serveTwo(t, copyOf+"Content-Length: 900\r\n\r\nfull")
	p := newPool()
	_, _, err := exchangeAs(t, p, address, "first")
	must.NoError(t, err)
	r := newRequest(address)
	r.Header.Set("Id", "next")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	_, _, err = p.Send(ctx, address, snipelink.Message{Request: r})
	must.ErrorIs(t, err, snipelink.ErrBroken)
	must.Less(t, time.Second, time.Since(began))
}

// TestLongCopyIsNoLongHead guards against an answer that counts as too large because of an answer to an earlier request.
func TestLongCopyIsNoLongHead(t *testing.T) {
	body := strings.Repeat("x", 1500<<10)
	address := serveTwo(t, copyOf+"Content-Length: 1536000\r\n\r\n"+body)
	p := newPool()
	_, _, err := exchangeAs(t, p, address, "first")
	must.NoError(t, err)
	_, _, err = exchangeAs(t, p, address, "next")
	must.ErrorIs(t, err, snipelink.ErrForeign)
	must.False(t, errors.Is(err, snipelink.ErrTooLarge))
}

// TestCopyOfManyLines guards the same for an answer of many short lines, such as a stream of events.
func TestCopyOfManyLines(t *testing.T) {
	body := strings.Repeat("id: 1\n\n", 10<<10)
	address := serveTwo(t, copyOf+"Content-Length: 71680\r\n\r\n"+body)
	p := newPool()
	_, _, err := exchangeAs(t, p, address, "first")
	must.NoError(t, err)
	got, sent, err := exchangeAs(t, p, address, "next")
	must.NoError(t, err)
	must.Eq(t, 1, sent.Skipped)
	must.Eq(t, "ok", got)
}

// TestSkippedAnswerIsNotHeld guards against an answer that was skipped and still counts as held while the one that was due is read.
func TestSkippedAnswerIsNotHeld(t *testing.T) {
	address := serveTwo(t, copyOf+"Content-Length: 204800\r\n\r\n"+strings.Repeat("x", 200<<10))
	p := newPool()
	_, _, err := exchangeAs(t, p, address, "first")
	must.NoError(t, err)
	b := &snipepressure.Budget{Bound: 64 << 20}
	var account snipepressure.Account
	must.NoError(t, b.Open(&account, "", 0))
	defer account.Close()
	r := newRequest(address)
	r.Header.Set("Id", "next")
	a, sent, err := p.Send(t.Context(), address, snipelink.Message{Request: r, Account: &account})
	must.NoError(t, err)
	defer a.Close()
	must.Eq(t, 1, sent.Skipped)
	must.LessEq(t, 32<<10, b.Held())
}
