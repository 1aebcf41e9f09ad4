package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

const (
	// spillTime is how long upstreams send bytes that do not end.
	spillTime = 6 * time.Second
	// spillCallers is the number of requests at once that are answered so, of each kind.
	spillCallers = 100
	// longHead is the size of a head just below the bound.
	longHead = 1_000_000
)

// spillBody sends a signed answer without a length whose body does not end.
func spillBody(w http.ResponseWriter, q *http.Request, id string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(spillTime))
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Snipepitch-Server-Seal: %s.1\r\n\r\n", attemptID, q.Header.Get(attemptID), id)
	for part := bytes.Repeat([]byte("x"), 64<<10); err == nil; {
		_, err = c.Write(part)
	}
}

// spillHead sends a head that does not end and stays below the bound.
func spillHead(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(spillTime))
	if _, err := c.Write(append([]byte("HTTP/1.1 200 OK\r\nA: "), bytes.Repeat([]byte("x"), longHead)...)); err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// readAll is a caller that reads all of the answers to its requests.
func (c *callers) readAll(ctx context.Context, target, header string) {
	for ctx.Err() == nil {
		_, _, a, closeConn := c.call(ctx, target, header, 0)
		if a != nil {
			_, _ = io.Copy(io.Discard, a)
		}
		closeConn()
		time.Sleep(100 * time.Millisecond)
	}
}

// TestEndlessAnswersOfMany guards against a process that exceeds its memory because many answers at once do not end, each
// within the bound of one: bodies, to callers that read and to others, and heads.
func TestEndlessAnswersOfMany(t *testing.T) {
	tests := map[string]struct {
		target string
		reads  bool // whether the callers read
	}{
		"BodiesRead":   {"/often/endless", true},
		"BodiesUnread": {"/often/endless", false},
		"Heads":        {"/often/longhead", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, store := startUpstreams(t)
			p := startProcess(t, store)
			must.Wait(t, wait.InitialSuccess(wait.Timeout(15*time.Second), wait.Gap(50*time.Millisecond), wait.BoolFunc(func() bool {
				a, err := http.Get(p.ready)
				if err != nil {
					return false
				}
				_ = a.Body.Close()
				return a.StatusCode == http.StatusOK
			})))
			time.Sleep(time.Second)
			c := &callers{address: p.callers, refused: map[string]bool{}}
			ctx, cancel := context.WithTimeout(t.Context(), spillTime)
			defer cancel()
			var all sync.WaitGroup
			for range spillCallers {
				all.Go(func() {
					if tt.reads {
						c.readAll(ctx, tt.target, key("slow"))
						return
					}
					c.sendUnread(ctx, tt.target, key("slow"), 0)
				})
			}
			s := &reader{}
			for range 4 {
				all.Go(func() { c.serveReader(ctx, key("reader"), s) })
			}
			m := p.watch(ctx)
			all.Wait()
			must.Positive(t, p.resident(), must.Sprint("the process has ended"))
			t.Logf("%s: memory %d MB at most, with what the kernel holds %d MB; callers beside: %s", t.Name(), p.highWater(t)/1e6, m.total/1e6, s)
			must.LessEq(t, memoryBytes, p.highWater(t))
			must.LessEq(t, memoryBytes, m.total)
			must.Positive(t, s.served.Load())
		})
	}
}
