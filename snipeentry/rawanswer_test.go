package snipeentry_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipestand"
)

// rawUpstream is an upstream that answers requests to paths that end in /raw with bytes, and ends their connection.
type rawUpstream struct {
	next http.Handler
	id   string
	// answer is sent to all such requests; its text is a format with the identifiers of the request and of the upstream.
	answer atomic.Pointer[snipestand.RawAnswer]
	lock   sync.Mutex     // guards asked
	asked  map[string]int // by identifier of the request
}

// ServeHTTP implements http.Handler.
func (u *rawUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := u.answer.Load()
	if a == nil || !strings.HasSuffix(r.URL.Path, "/raw") {
		u.next.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("X-Snipepitch-Attempt-Id")
	u.lock.Lock()
	u.asked[id]++
	u.lock.Unlock()
	_, _ = io.CopyN(io.Discard, r.Body, int64(a.Read))
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, a.Text, id, u.id)
	time.Sleep(a.Pause)
	if t, ok := c.(*net.TCPConn); ok && a.Reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// rawCluster is a cluster whose upstreams are rawUpstreams.
type rawCluster struct {
	*cutCluster
	upstreams []*rawUpstream
	asked     *instance
}

// startRawCluster starts such a cluster; byHop is set if the instance that is asked reaches no upstream.
func startRawCluster(t *testing.T, byHop bool) *rawCluster {
	s := &rawCluster{cutCluster: &cutCluster{}}
	s.testCluster = startTestCluster(t, time.Millisecond, twoOfEach(), func(r *snipestand.Runner) {
		u := &rawUpstream{next: r.Handler(), id: r.ID, asked: map[string]int{}}
		r.Address = serve(t, u).String()
		s.upstreams = append(s.upstreams, u)
	})
	s.declare(1)
	s.asked = s.addInstance("asked")
	waitServing(t, s.asked)
	if byHop {
		waitServing(t, s.addInstance("other"))
		s.cut(1, linksReset)
		eventually(t, func() bool { return s.servedByHop(s.asked, "/often/x") })
	}
	waitRetrySlack(t, s.instances)
	return s
}

// answer has the upstreams answer so from now on.
func (s *rawCluster) answer(a snipestand.RawAnswer) {
	for _, u := range s.upstreams {
		u.answer.Store(&a)
	}
}

// count returns how often a request was answered so.
func (s *rawCluster) count(id string) (n int) {
	for _, u := range s.upstreams {
		u.lock.Lock()
		n += u.asked[id]
		u.lock.Unlock()
	}
	return n
}

// upload is a long request.
type upload struct {
	target  string
	body    string
	chunked bool
	// close has the caller announce the end of its connection.
	close  bool
	header []string
}

// send sends the request and returns its answer and identifier.
func (q upload) send(t *testing.T, url string) (reply, string) {
	t.Helper()
	var body io.Reader = strings.NewReader(q.body)
	if q.chunked {
		body = io.MultiReader(body)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	must.NoError(t, err)
	id := rand.Text()
	r.URL.Opaque, r.Host, r.Close = q.target, host, q.close
	r.Header.Set("X-Snipepitch-Attempt-Id", id)
	r.Header.Set("X-Snipepitch-Deadline-Ms", "8000")
	for n := 0; n < len(q.header); n += 2 {
		r.Header.Set(q.header[n], q.header[n+1])
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	a, err := transport.RoundTrip(r)
	if err != nil {
		return reply{err: err}, id
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	return reply{a.StatusCode, a.Header, string(data), err}, id
}

// rawHead is the head of an answer without a length; its status and content type are filled in first.
const rawHead = "HTTP/1.1 %s X\r\nContent-Type: %s\r\nX-Snipepitch-Attempt-Id: %%s\r\nX-Snipepitch-Server-Seal: %%s.1\r\n"

// rawTargets are the requests that a rawCluster answers with bytes.
var rawTargets = map[string]struct {
	target, kind string
	header       []string
	byHop        bool
	most         int // how often one may reach upstreams
}{
	"Often":      {"/often/raw", "text/plain", nil, false, 2},
	"Once":       {"/once/raw", "text/plain", nil, false, 1},
	"Draft":      {"/draft/raw", "text/event-stream", []string{modelHeader, "base"}, false, 2},
	"Final":      {"/final/raw", "text/event-stream", []string{modelHeader, "base"}, false, 1},
	"OftenByHop": {"/often/raw", "text/plain", nil, true, 2},
	"OnceByHop":  {"/once/raw", "text/plain", nil, true, 1},
	"FinalByHop": {"/final/raw", "text/event-stream", []string{modelHeader, "base"}, true, 1},
}

// TestEarlyAnswersReset guards against an upstream that answers a long upload at once with a 200 without a length, sends a part of
// the body and resets the connection while the upload is still being written, and callers that get the part as a whole answer.
func TestEarlyAnswersReset(t *testing.T) {
	const part = "id: 1\ndata: half\n\n"
	for name, tt := range rawTargets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRawCluster(t, tt.byHop)
			early := 0
			for n := range 36 {
				head := fmt.Sprintf(rawHead, "200", tt.kind)
				if n%2 == 1 {
					head += "Connection: close\r\n"
				}
				s.answer(snipestand.RawAnswer{
					Read: []int{0, 60_000, 300_000}[n%3], Pause: []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond}[n/3%3],
					Text: head + "\r\n" + part, Reset: true,
				})
				a, id := upload{tt.target, strings.Repeat("x", 1_000_000), n%4 >= 2, n%8 >= 4, tt.header}.send(t, s.asked.url)
				early += s.count(id)
				must.LessEq(t, tt.most, s.count(id))
				must.False(t, a.err == nil && a.status == http.StatusOK, must.Sprint(a.body))
			}
			t.Log("early answers:", early)
			must.Positive(t, early)
		})
	}
}

// TestStatusesOutOfRange guards against an upstream whose answer has a status that is none of HTTP, such as 000 or 600, and callers
// that get it as an answer. A request that must run once may have run.
func TestStatusesOutOfRange(t *testing.T) {
	for name, tt := range rawTargets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRawCluster(t, tt.byHop)
			asked := 0
			for n, status := range []string{"000", "099", "600", "999", "000", "099", "600", "999"} {
				s.answer(snipestand.RawAnswer{Text: fmt.Sprintf(rawHead, status, tt.kind) + "Content-Length: 2\r\n\r\nno"})
				for range 2 {
					a, id := upload{tt.target, "text", false, n%2 == 0, tt.header}.send(t, s.asked.url)
					must.NoError(t, a.err, must.Sprint(status))
					asked += s.count(id)
					must.LessEq(t, tt.most, s.count(id))
					if s.count(id) > 0 {
						must.EqOp(t, http.StatusBadGateway, a.status)
						continue
					}
					must.EqOp(t, http.StatusServiceUnavailable, a.status)
				}
			}
			must.Positive(t, asked)
		})
	}
	t.Run("Boundary", func(t *testing.T) {
		t.Parallel()
		s := startRawCluster(t, false)
		for _, status := range []string{"599", "200", "404"} {
			s.answer(snipestand.RawAnswer{Text: fmt.Sprintf(rawHead, status, "text/plain") + "Content-Length: 2\r\n\r\nok"})
			a, id := upload{"/once/raw", "text", false, true, nil}.send(t, s.asked.url)
			must.EqOp(t, 1, s.count(id))
			must.EqOp(t, status, fmt.Sprint(a.status))
			must.EqOp(t, "ok", a.body)
		}
	})
}
