package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// manyLines is the size of the header lines of a head that has many short ones, below what operators declare for a head.
	manyLines = 15_500
	// headCallers is the number of callers that send such heads at once.
	headCallers = 800
	// headsTime is how long they do so.
	headsTime = 6 * time.Second
)

// shortLines returns header lines of a few bytes each.
func shortLines() string {
	var b strings.Builder
	for n := 0; b.Len() < manyLines; n++ {
		fmt.Fprintf(&b, "t%x:1\r\n", n)
	}
	return b.String()
}

// sendHeads sends heads again and again until ctx ends, without their last line.
func (c *callers) sendHeads(ctx context.Context, lines string) {
	head := "POST /often/x HTTP/1.1\r\nHost: calls.example\r\n" + lines
	for ctx.Err() == nil {
		if conn, err := net.Dial("tcp", c.address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, head)
			if a, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = a.Body.Close()
				if a.StatusCode == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != "" {
					c.recordRefused()
				}
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// recordRefused counts a refusal of a request without an identifier.
func (c *callers) recordRefused() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.refused[fmt.Sprint("head ", len(c.refused))] = true
}

// TestHeadsOfManyLines guards against a process that exceeds its memory because many requests at once have heads of many short
// lines, which take far more memory than bytes: while they are read, and while their requests are served.
func TestHeadsOfManyLines(t *testing.T) {
	lines := shortLines()
	tests := map[string]func(ctx context.Context, c *callers){
		"Served":   func(ctx context.Context, c *callers) { c.sendUnread(ctx, "/stuck/unread", key("slow")+lines, 0) },
		"Answered": func(ctx context.Context, c *callers) { c.sendUnread(ctx, "/often/x", key("slow")+lines, 0) },
		"NotWhole": func(ctx context.Context, c *callers) { c.sendHeads(ctx, lines) },
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			p := startReady(t)
			c := &callers{address: p.callers, refused: map[string]bool{}}
			ctx, cancel := context.WithTimeout(t.Context(), headsTime)
			defer cancel()
			var all sync.WaitGroup
			for range headCallers {
				all.Go(func() { send(ctx, c) })
			}
			s := &reader{}
			for range 4 {
				all.Go(func() { c.serveReader(ctx, key("reader"), s) })
			}
			m := p.watch(ctx)
			all.Wait()
			must.Positive(t, p.resident(), must.Sprint("the process has ended"))
			t.Logf("%s: memory %d MB at most, with what the kernel holds %d MB; %d refused, %d broken; callers beside: %s",
				t.Name(), p.highWater(t)/1e6, m.total/1e6, len(c.refused), c.broken.Load(), s)
			must.LessEq(t, memoryBytes, p.highWater(t))
			must.LessEq(t, memoryBytes, m.total)
			must.Positive(t, s.served.Load())
			must.Positive(t, len(c.refused))
		})
	}
}
