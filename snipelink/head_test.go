package snipelink_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipepressure"
)

// maxSpill is far beyond every bound; a test whose client reads so much fails.
const maxSpill = 64 << 20

// spillingUpstream answers each request with a beginning, and with one text again and again until its connection is closed
// or it has written limit bytes. It then keeps the connection open.
type spillingUpstream struct {
	address netip.AddrPort
	written atomic.Int64 // bytes that the kernel took
	closed  atomic.Int64 // connections that the other side has closed
	settled atomic.Int64 // connections that have written limit bytes, or were closed before
}

func newSpillingUpstream(t *testing.T, begin string, next func(n int) string, limit int) *spillingUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &spillingUpstream{address: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c, begin, next, limit)
		}
	}()
	return u
}

func (u *spillingUpstream) serve(c net.Conn, begin string, next func(n int) string, limit int) {
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	part := bytes.NewBufferString(begin)
	for n, sent := 0, 0; sent < limit; {
		for ; part.Len() < min(64<<10, limit-sent); n++ {
			part.WriteString(next(n))
		}
		written, err := c.Write(part.Bytes()[:min(part.Len(), limit-sent)])
		u.written.Add(int64(written))
		sent += written
		part.Reset()
		if err != nil {
			u.settled.Add(1)
			u.closed.Add(1)
			return
		}
	}
	u.settled.Add(1)
	_, _ = io.Copy(io.Discard, c)
	u.closed.Add(1)
}

// heads are beginnings of answers whose heads do not end.
var heads = map[string]struct {
	begin string
	next  func(n int) string
}{
	"NoAnswer":        {"", func(int) string { return "xxxxxxxxxxxxxxxx" }},
	"LineOfZeros":     {"", func(int) string { return "\x00\x00\x00\x00\x00\x00\x00\x00" }},
	"StatusLine":      {"HTTP/1.1 200 ", func(int) string { return "OK and more " }},
	"StatusCode":      {"HTTP/1.1 ", func(int) string { return "2222222222" }},
	"OneHeader":       {"HTTP/1.1 200 OK\r\nA: ", func(int) string { return "value value value " }},
	"OneName":         {"HTTP/1.1 200 OK\r\n", func(int) string { return "NameNameName" }},
	"ManyHeaders":     {"HTTP/1.1 200 OK\r\n", func(n int) string { return fmt.Sprintf("Name-%d: value %d\r\n", n, n) }},
	"TinyHeaders":     {"HTTP/1.1 200 OK\r\n", func(n int) string { return fmt.Sprintf("%x:\n", n) }},
	"SameHeader":      {"HTTP/1.1 200 OK\r\n", func(int) string { return "a:\n" }},
	"Folded":          {"HTTP/1.1 200 OK\r\nA: b\r\n", func(int) string { return " folded\r\n" }},
	"FoldedTiny":      {"HTTP/1.1 200 OK\r\nA: b\r\n", func(int) string { return " c\n" }},
	"Interim":         {"", func(int) string { return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" }},
	"InterimThenMore": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: ", func(int) string { return "value " }},
}

// TestEndlessHead guards against an answer whose head does not end: it took as much memory as the upstream sent. The
// connection must be closed long before the deadline of the request.
func TestEndlessHead(t *testing.T) {
	for name, tt := range heads {
		t.Run(name, func(t *testing.T) {
			u := newSpillingUpstream(t, tt.begin, tt.next, maxSpill)
			begun := time.Now()
			_, err := exchange(t, newPool(), u.address)
			must.ErrorIs(t, err, snipelink.ErrBroken)
			must.Less(t, 5*time.Second, time.Since(begun))
			must.Less(t, 1000, len(err.Error()))
			must.Wait(t, waitFor(func() bool { return u.closed.Load() == 1 }))
			// The kernel's buffers hold some more than what was read.
			must.Less(t, maxSpill/2, u.written.Load())
		})
	}
}

// TestHeldHeads guards against many connections at once whose heads each stay just below the bound: together they must fit
// into the memory that the instance has for requests.
func TestHeldHeads(t *testing.T) {
	const connections, bound = 100, 40 << 20
	for name, tt := range heads {
		t.Run(name, func(t *testing.T) {
			u := newSpillingUpstream(t, tt.begin, tt.next, snipelink.DefaultHeadBound/4)
			p := newPool()
			p.DialTimeout = 10 * time.Second // a hundred dials at once
			budget := &snipepressure.Budget{Bound: bound}
			before := liveBytes()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{}, connections)
			for range connections {
				go func() {
					defer func() { ended <- struct{}{} }()
					var a snipepressure.Account
					must.NoError(t, budget.Open(&a, "", 0))
					defer a.Close()
					_, _, err := p.Send(ctx, u.address, snipelink.Message{Request: newRequest(u.address), Account: &a})
					must.ErrorIs(t, err, snipelink.ErrBroken)
				}()
			}
			// Each head is read to its present end, or refused.
			must.Wait(t, waitFor(func() bool { return u.settled.Load() == connections }))
			time.Sleep(100 * time.Millisecond)
			held := liveBytes() - before
			t.Logf("held %.1f MB, counted %.1f MB, refused %d", float64(held)/1e6, float64(budget.Held())/1e6, u.closed.Load())
			cancel()
			for range connections {
				<-ended
			}
			must.LessEq(t, bound+connections*freeBytes, held)
			must.EqOp(t, 0, budget.Held())
		})
	}
}

// freeBytes is what a connection may take beside the account: snipelink.FreeHeadBytes, its buffer and those of the test.
const freeBytes = snipelink.FreeHeadBytes + 64<<10

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestLargeHead guards against a bound that refuses sound answers: net/http accepts heads of a megabyte.
func TestLargeHead(t *testing.T) {
	tests := map[string]string{
		"OneHeader":   "A: " + strings.Repeat("v", 1_000_000) + "\r\n",
		"ManyHeaders": strings.Repeat("Set-Cookie: "+strings.Repeat("v", 1000)+"\r\n", 900),
		"Interim":     "",
	}
	for name, fields := range tests {
		t.Run(name, func(t *testing.T) {
			interim := ""
			if fields == "" {
				interim = strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("v", 100_000)+"\r\n\r\n", 3)
			}
			reply := interim + "HTTP/1.1 200 OK\r\nId: 1\r\n" + fields + "Content-Length: 2\r\n\r\nok"
			u := newUpstream(t, reply, reply)
			p := newPool()
			body, err := exchange(t, p, u.address)
			must.NoError(t, err)
			must.EqOp(t, "ok", body)
			_, reused, err := exchangeNext(t, p, u.address)
			must.NoError(t, err)
			must.True(t, reused)
		})
	}
}

// TestSweepClosesUnread guards against bytes after a whole answer that an idle connection holds until its next request.
func TestSweepClosesUnread(t *testing.T) {
	closed := make(chan error, 1)
	spill := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, goodAnswer)
		<-spill
		_, _ = io.WriteString(c, "more")
		_, err = io.Copy(io.Discard, c)
		closed <- err
	}()
	p := newPool()
	_, err = exchange(t, p, netip.MustParseAddrPort(l.Addr().String()))
	must.NoError(t, err)
	close(spill)
	must.Wait(t, waitFor(func() bool {
		p.Sweep()
		return len(closed) == 1
	}))
}

// waitFor waits until f reports true.
func waitFor(f func() bool) *wait.Constraint {
	return wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond))
}

// TestCutHead guards against a head that was cut off inside a field and passes for a whole one: net/http takes a line of
// spaces alone for the end of a header.
func TestCutHead(t *testing.T) {
	for _, cut := range []string{"HTTP/1.1 200 OK\r\nId: 1\r\n ", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2", "HTTP/1.1 200 OK\r\nId: 1\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\n\t \t"} {
		u := newUpstream(t, cut)
		_, err := exchange(t, newPool(), u.address)
		must.ErrorIs(t, err, snipelink.ErrBroken)
	}
}
