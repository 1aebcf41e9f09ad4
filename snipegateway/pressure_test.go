package snipegateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipepressure"
)

// TestRefusedForMemory guards against requests that run although they are refused for their bytes,
// against refusals without a time to return, and against a body that is read beyond the bound.
func TestRefusedForMemory(t *testing.T) {
	tests := map[string]struct {
		held   int64 // by another workspace
		body   int
		stated bool
		want   int
	}{
		"Fits":           {0, 1000, true, http.StatusOK},
		"FitsUnstated":   {0, 100_000, false, http.StatusOK},
		"NoRoom":         {980_000, 0, true, http.StatusServiceUnavailable},
		"NoRoomBody":     {600_000, 200_000, true, http.StatusServiceUnavailable},
		"NoRoomUnstated": {600_000, 400_000, false, http.StatusServiceUnavailable},
		"NeverFits":      {0, 300_000, true, http.StatusRequestEntityTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g, upstream := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
			g.Pressure = &snipepressure.Budget{Bound: 1_000_000}
			var other snipepressure.Account
			must.NoError(t, g.Pressure.Open(&other, "other", 0))
			must.True(t, other.Grow(tt.held))
			body := &countedReader{inner: strings.NewReader(strings.Repeat("x", tt.body))}
			r := httptest.NewRequest(http.MethodPost, "/x/", body)
			r.Host, r.ContentLength = "calls.example", -1
			if tt.stated {
				r.ContentLength = int64(tt.body)
			}
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			must.Eq(t, tt.want, w.Code, must.Sprint(w.Body))
			must.Eq(t, tt.held, g.Pressure.Held())
			if tt.want == http.StatusOK {
				must.Eq(t, 1, upstream.Load())
				must.Eq(t, tt.body, body.read)
				return
			}
			must.Eq(t, 0, upstream.Load())
			must.Less(t, 400_000, body.read)
			if tt.want == http.StatusServiceUnavailable {
				seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				must.NoError(t, err)
				must.Between(t, 0.2, seconds, 7.5)
				must.StrContains(t, w.Body.String(), `"Outcome":"NotRun"`)
			}
		})
	}
}

// TestHeadCounted guards against a request whose head has many short lines that counts like a usual one, and against usual heads
// that count more than before.
func TestHeadCounted(t *testing.T) {
	tests := map[string]struct {
		lines int
		held  int64 // by another workspace
		want  int
	}{
		"Fits":       {2000, 0, http.StatusOK},
		"NoRoom":     {2000, 200_000, http.StatusServiceUnavailable},
		"Usual":      {30, 900_000, http.StatusOK},
		"UsualFully": {30, 950_000, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g, upstream := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
			g.Pressure = &snipepressure.Budget{Bound: 1_000_000}
			var other snipepressure.Account
			must.NoError(t, g.Pressure.Open(&other, "other", 0))
			must.True(t, other.Grow(tt.held))
			r := httptest.NewRequest(http.MethodPost, "/x/", http.NoBody)
			r.Host = "calls.example"
			for n := range tt.lines {
				r.Header.Set(fmt.Sprintf("T%x", n), "1")
			}
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			must.Eq(t, tt.want, w.Code, must.Sprint(w.Body))
			must.Eq(t, tt.want == http.StatusOK, upstream.Load() == 1)
			must.Eq(t, tt.held, g.Pressure.Held())
		})
	}
}

// countedReader counts the bytes that are read.
type countedReader struct {
	inner io.Reader
	read  int
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.inner.Read(p)
	r.read += n
	return n, err
}

// slowCaller is a caller's side whose writes block until it reads.
type slowCaller struct {
	header http.Header
	reads  chan struct{} // takes one write, or all of them if it is closed
	ended  chan struct{} // closed by the write deadline
	once   sync.Once
	body   bytes.Buffer
}

func newSlowCaller() *slowCaller {
	return &slowCaller{header: http.Header{}, reads: make(chan struct{}), ended: make(chan struct{})}
}

// Header, WriteHeader, Write, FlushError and SetWriteDeadline implement http.ResponseWriter.
func (w *slowCaller) Header() http.Header { return w.header }
func (w *slowCaller) WriteHeader(int)     {}
func (w *slowCaller) FlushError() error   { return nil }
func (w *slowCaller) Write(p []byte) (int, error) {
	select {
	case <-w.reads:
		return w.body.Write(p)
	case <-w.ended:
		return 0, os.ErrDeadlineExceeded
	}
}

func (w *slowCaller) SetWriteDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		w.once.Do(func() { close(w.ended) })
	}
	return nil
}

// pipeUpstream is an upstream on a pipe, which answers one request.
type pipeUpstream struct {
	events bool
	body   string
	all    atomic.Bool // whether the whole answer was taken
	cut    atomic.Bool // whether the connection was closed before
}

func (u *pipeUpstream) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		r := bufio.NewReader(far)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		kind := "text/plain"
		if u.events {
			kind = "text/event-stream"
		}
		_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", kind)
		_, err := io.WriteString(far, u.body)
		u.all.Store(err == nil)
		u.cut.Store(err != nil)
		_ = far.Close()
	}()
	return near, nil
}

// exchange is a request to a pipeUpstream of a caller that reads slowly.
type exchange struct {
	gateway *snipegateway.Gateway
	caller  *slowCaller
	up      *pipeUpstream
	aborted bool
	done    chan struct{}
}

func startExchange(t *testing.T, g *snipegateway.Gateway, bound int64, events bool, body string) *exchange {
	e := &exchange{gateway: g, caller: newSlowCaller(), up: &pipeUpstream{events: events, body: body}, done: make(chan struct{})}
	e.gateway.Links.Dial = e.up.dial
	e.gateway.Pressure = &snipepressure.Budget{Bound: bound, MaxUnread: 10 * time.Second}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x/", http.NoBody)
	r.Host = "calls.example"
	go func() {
		defer close(e.done)
		defer func() { e.aborted = recover() != nil }()
		e.gateway.ServeHTTP(e.caller, r)
	}()
	return e
}

// answerBody returns an answer of events with some more bytes than size.
func answerBody(size int) string {
	var b strings.Builder
	for n := 1; b.Len() < size; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000))
	}
	return b.String()
}

// TestReadAhead guards against an answer that remains unread at its upstream, which would cut it off,
// while its caller does not read, and against bytes that are lost or out of order after that.
func TestReadAhead(t *testing.T) {
	tests := map[string]struct {
		events bool
		size   int
	}{"Stream": {true, 500_000}, "Buffered": {false, 500_000}, "Unbuffered": {false, 3_000_000}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// The gateway's server must not be part of the test's bubble.
			g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
			synctest.Test(t, func(t *testing.T) {
				body := answerBody(tt.size)
				e := startExchange(t, g, 64<<20, tt.events, body)
				time.Sleep(time.Second)
				synctest.Wait()
				must.True(t, e.up.all.Load())
				must.GreaterEq(t, int64(tt.size), e.gateway.Pressure.Held())
				close(e.caller.reads)
				<-e.done
				must.False(t, e.aborted)
				must.Eq(t, body, e.caller.body.String())
				must.Eq(t, 0, e.gateway.Pressure.Held())
				synctest.Wait()
			})
		})
	}
}

// TestBackPressure guards against ending a caller that reads steadily when its answer is larger than the
// bound: it is read from the upstream as fast as it is written.
func TestBackPressure(t *testing.T) {
	for name, events := range map[string]bool{"Stream": true, "Unbuffered": false} {
		t.Run(name, func(t *testing.T) {
			// The gateway's server must not be part of the test's bubble.
			g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
			synctest.Test(t, func(t *testing.T) {
				body := answerBody(2_000_000)
				e := startExchange(t, g, 600_000, events, body)
				most := int64(0)
				reading := true
				for reading {
					select {
					case <-e.done:
						reading = false
					case e.caller.reads <- struct{}{}:
						time.Sleep(150 * time.Millisecond)
						e.gateway.Pressure.Sweep()
						most = max(most, e.gateway.Pressure.Held())
					}
				}
				must.False(t, e.aborted)
				must.Eq(t, len(body), e.caller.body.Len())
				must.LessEq(t, 600_000, most)
				must.GreaterEq(t, 400_000, most)
				must.Eq(t, 0, e.gateway.Pressure.Held())
				synctest.Wait()
			})
		})
	}
}

// TestEnded guards against an answer that is held though its caller reads nothing, at the bound and below
// it, and against an upstream that goes on for it.
func TestEnded(t *testing.T) {
	tests := map[string]struct {
		events bool
		bound  int64
		size   int
		within time.Duration
	}{
		"StreamAtBound":     {true, 600_000, 2_000_000, 2 * time.Second},
		"UnbufferedAtBound": {false, 600_000, 2_000_000, 2 * time.Second},
		"StreamUnread":      {true, 64 << 20, 500_000, 11 * time.Second},
		"BufferedUnread":    {false, 64 << 20, 500_000, 11 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// The gateway's server must not be part of the test's bubble.
			g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
			synctest.Test(t, func(t *testing.T) {
				e := startExchange(t, g, tt.bound, tt.events, answerBody(tt.size))
				for end := time.Now().Add(tt.within); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
					e.gateway.Pressure.Sweep()
				}
				select {
				case <-e.done:
				default:
					t.Fatal("not ended")
				}
				must.True(t, e.aborted)
				must.Eq(t, 0, e.gateway.Pressure.Held())
				synctest.Wait()
				must.Eq(t, tt.bound < 1<<20, e.up.cut.Load())
			})
		})
	}
}

// TestLoadOfSlowCaller guards against counting a request at its upstream, and into the time that requests
// take there, until a slow caller has read the answer that the upstream has sent whole.
func TestLoadOfSlowCaller(t *testing.T) {
	g, _ := newGateway(t, newChooser(&fakeOwners{}, 1), nil, nil)
	synctest.Test(t, func(t *testing.T) {
		e := startExchange(t, g, 64<<20, false, "answer")
		time.Sleep(time.Second)
		synctest.Wait()
		must.True(t, e.up.all.Load())
		must.Eq(t, 0, g.Balancer.InFlight("e0"))
		close(e.caller.reads)
		<-e.done
		must.Eq(t, "answer", e.caller.body.String())
		must.Eq(t, 0, g.Balancer.InFlight("e0"))
		synctest.Wait()
	})
}
