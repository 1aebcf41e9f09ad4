package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// spillBody sends a signed answer whose body does not end: a part again and again, after a head with the given lines.
func spillBody(w http.ResponseWriter, q *http.Request, id, lines, part string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(spillTime))
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Snipepitch-Server-Seal: %s.1\r\n%s\r\n", attemptID, q.Header.Get(attemptID), id, lines)
	for err == nil {
		_, err = io.WriteString(c, part)
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

// startReady starts upstreams and a process that serves them.
func startReady(t *testing.T) *process {
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
	return p
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
			p := startReady(t)
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

// readSlowly is a caller that reads about a megabyte a second of the answers to its requests.
func (c *callers) readSlowly(ctx context.Context, target, header string) {
	const pause = 50 * time.Millisecond
	for ctx.Err() == nil {
		_, _, a, closeConn := c.call(ctx, target, header, 0)
		for a != nil {
			if _, err := io.CopyN(io.Discard, a, 50<<10); err != nil {
				break
			}
			time.Sleep(pause)
		}
		closeConn()
		time.Sleep(2 * pause)
	}
}

// watchHeld returns the most bytes that the process has held for the requests of a workspace until ctx ends.
func (p *process) watchHeld(ctx context.Context, t *testing.T, workspace string) (most int64) {
	name := "snipepitch_held_bytes{workspace=" + strconv.Quote(workspace) + "} "
	for ctx.Err() == nil {
		for line := range strings.Lines(p.readMetrics(t)) {
			if value, found := strings.CutPrefix(line, name); found {
				held, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				must.NoError(t, err)
				most = max(most, int64(held))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return most
}

// TestEndlessBodies guards against a few answers whose bodies do not end, and whose callers read slowly or not at all, that take most
// of what the instance may hold for all requests.
func TestEndlessBodies(t *testing.T) {
	const (
		endless = 5
		// mostHeld is a quarter of the bound of all requests, with the first megabyte of each answer, whose buffer grows by
		// copying. mostGrowth has as much again for garbage.
		mostHeld   = memoryBytes*36/100/4 + endless*3<<20
		mostGrowth = 2 * mostHeld
	)
	tests := map[string]struct {
		target, header string
		unread         bool
	}{
		"NoLength":       {"/often/endless", "", false},
		"NoLengthUnread": {"/often/endless", "", true},
		"FalseLength":    {"/often/endless-length", "", false},
		"Chunks":         {"/often/endless-chunks", "", false},
		"ChunksUnread":   {"/often/endless-chunks", "", true},
		"Events":         {"/final/endless-events", modelHeader, false},
		"EventsUnread":   {"/final/endless-events", modelHeader, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := startReady(t)
			c := &callers{address: p.callers, refused: map[string]bool{}}
			ctx, cancel := context.WithTimeout(t.Context(), spillTime)
			defer cancel()
			start := p.resident()
			var all sync.WaitGroup
			for range endless {
				all.Go(func() {
					if tt.unread {
						c.sendUnread(ctx, tt.target, key("slow")+tt.header, 0)
						return
					}
					c.readSlowly(ctx, tt.target, key("slow")+tt.header)
				})
			}
			s := &reader{}
			all.Go(func() { c.serveReader(ctx, key("reader"), s) })
			held := int64(0)
			all.Go(func() { held = p.watchHeld(ctx, t, "slow") })
			m := p.watch(ctx)
			all.Wait()
			t.Logf("%d MB held, memory grown by %d MB; callers beside: %s", held/1e6, (m.resident-start)/1e6, s)
			must.Positive(t, held)
			must.LessEq(t, mostHeld, held)
			must.LessEq(t, mostGrowth, m.resident-start)
			must.Positive(t, s.served.Load())
			must.Zero(t, s.unserved.Load())
		})
	}
}
