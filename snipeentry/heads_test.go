package snipeentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"snipepitch.example/snipepitch/snipeconn"
	"snipepitch.example/snipepitch/snipepressure"
)

// headServer is a server whose heads have a bound.
type headServer struct {
	listener    net.Listener
	budget      *snipepressure.Budget
	connections *snipeconn.Tracker
	runs        atomic.Int32
	refused     atomic.Int32
	held        atomic.Int64 // for heads, when a handler ran last
}

func newHeadServer(t *testing.T) *headServer {
	h := &headServer{listener: listenLocal(t), budget: &snipepressure.Budget{Bound: 400_000}, connections: &snipeconn.Tracker{}}
	connections := &connectionLimit{most: 100, connections: h.connections, refused: func(int, bool) {}}
	heads := &headLimit{
		budget: h.budget, answer: connections.answerRefusal, refused: func(*snipepressure.FullError) { h.refused.Add(1) },
	}
	serveLimited(t, &http.Server{
		ConnState: trackHeads(h.connections.StateChanged),
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			h.held.Store(h.budget.Held())
			_, _ = io.Copy(io.Discard, r.Body)
			h.runs.Add(1)
		}),
	}, h.connections.Listener(heads.listener(h.listener)))
	return h
}

// lineHead returns the beginning of a request's head with the given number of short lines.
func lineHead(lines int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\n")
	for n := range lines {
		fmt.Fprintf(&b, "t%x:1\r\n", n)
	}
	return b.String()
}

// TestHeadRefused guards against heads of many short lines that are parsed without a bound on the memory of all, against a
// refusal whose request runs or that names no time to return, and against usual requests that are refused beside them.
func TestHeadRefused(t *testing.T) {
	h := newHeadServer(t)
	first := dialLocal(t, h.listener)
	_, err := io.WriteString(first, lineHead(750)) // 300,000 bytes for their lines
	must.NoError(t, err)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.budget.Held() > 290_000 }), wait.Timeout(5*time.Second)))

	second := dialLocal(t, h.listener)
	_, err = io.WriteString(second, lineHead(750)+"\r\n")
	must.NoError(t, err)
	reader := bufio.NewReader(second)
	a := answer(t, reader)
	must.Eq(t, http.StatusServiceUnavailable, a.StatusCode)
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 0.2, seconds, 5)
	_, err = reader.ReadByte()
	must.Error(t, err)
	must.Eq(t, 0, h.runs.Load())
	must.Eq(t, 1, h.refused.Load())

	usual := dialLocal(t, h.listener)
	_, err = io.WriteString(usual, lineHead(30)+"Content-Length: 0\r\n\r\n")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, answer(t, bufio.NewReader(usual)).StatusCode)

	must.NoError(t, first.Close())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.budget.Held() == 0 }), wait.Timeout(5*time.Second)))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.connections.Open() == 1 }), wait.Timeout(5*time.Second)))
}

// TestHeadsOnOneConnection guards against heads that stay counted when their requests are served, against bodies that are
// counted as heads, and against heads after the first one that are not counted.
func TestHeadsOnOneConnection(t *testing.T) {
	h := newHeadServer(t)
	conn := dialLocal(t, h.listener)
	reader := bufio.NewReader(conn)
	body := strings.Repeat("\n", 200_000)
	for range 3 {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", lineHead(750), len(body), body)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer(t, reader).StatusCode)
		must.Eq(t, 0, h.held.Load())
	}
	must.Eq(t, 3, h.runs.Load())
	_, err := io.WriteString(conn, lineHead(1500))
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, answer(t, reader).StatusCode)
	must.Eq(t, 0, h.budget.Held())
}
