package snipeupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipecall"
)

// serveCopies answers the requests of a connection with what text returns for their identifier, after a copy of the answer
// before if copies is set. The header of an answer bears what identify returns for it.
func serveCopies(t *testing.T, copies bool, identify, text func(id string) string) (netip.AddrPort, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				before := ""
				for r := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					id := q.Header.Get("X-Request-Id")
					body := text(id)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", identify(id), len(body), body)
					_, _ = io.WriteString(c, before+answer)
					if copies {
						before = answer
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), &accepted
}

func echo(id string) string { return "X-Request-Id: " + id + "\r\n" }

// TestCopiedServiceAnswer guards against a caller who gets the answer to another call, which a plain service sent twice, and
// against answers that are discarded because the service sets identifiers of its own.
func TestCopiedServiceAnswer(t *testing.T) {
	tests := map[string]struct {
		copies   bool
		identify func(string) string
		accepted int32
	}{
		"Copied":  {true, echo, 2},
		"Echoed":  {false, echo, 1},
		"ItsOwn":  {false, func(string) string { return echo("other") }, 1},
		"Missing": {false, func(string) string { return "" }, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, accepted := serveCopies(t, tt.copies, tt.identify, func(id string) string { return id })
			s := &Service{Name: "p1", Address: address, Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP()), Progress: 5 * time.Second}
			for _, id := range []string{"first", "second"} {
				c := serviceCall(true)
				c.ID = id
				must.NoError(t, s.Call(t.Context(), c, func(k snipecall.Chunk) error {
					must.EqOp(t, id, string(k.Data))
					return nil
				}))
				time.Sleep(20 * time.Millisecond) // the connection becomes idle
			}
			must.Eq(t, tt.accepted, accepted.Load())
		})
	}
}

// TestCopiedEngineAnswer is TestCopiedServiceAnswer for an engine whose calls are for one adapter.
func TestCopiedEngineAnswer(t *testing.T) {
	address, accepted := serveCopies(t, true, echo, func(id string) string {
		var events strings.Builder
		for n := range 4 {
			_, _ = fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", n+1, strings.ReplaceAll(chunk(n+1, testAlias), "a-1", id))
		}
		return events.String() + "id: 5\ndata: [DONE]\n\n"
	})
	e := &Engine{Name: "e1", Address: address, Pooled: NewPooled(DialTCP()), Fresh: NewFresh(DialTCP()), Progress: 5 * time.Second}
	for _, id := range []string{"first", "second"} {
		c := modelCall()
		c.ID = id
		var got strings.Builder
		must.NoError(t, e.Call(t.Context(), c, testAlias, func(k snipecall.Chunk) error {
			got.Write(k.Data)
			return nil
		}))
		must.StrContains(t, got.String(), id)
		time.Sleep(20 * time.Millisecond)
	}
	must.Eq(t, 2, accepted.Load())
}
