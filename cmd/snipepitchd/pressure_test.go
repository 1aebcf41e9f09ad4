package main_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"snipepitch.example/snipepitch/platform"
	"snipepitch.example/snipepitch/snipestand"
)

const (
	// memoryBytes is the least memory of a deployment's instances.
	memoryBytes = 144_000_000
	// answerBytes is the size of a large answer, bodyBytes that of a large body.
	answerBytes = 900 << 10
	bodyBytes   = 256 << 10
	// unreadTime is how long an upstream waits for its answer to be read.
	unreadTime = 3 * time.Second
	// slowCallers is the number of slow callers of each kind.
	slowCallers = 900
	// loadTime is how long the slow callers send requests.
	loadTime = 8 * time.Second
	// readerTimeout is the time that a caller that reads gives each request.
	readerTimeout = 4 * time.Second
	attemptID     = "X-Snipepitch-Attempt-Id"
	modelHeader   = "X-Snipepitch-Model: base\r\n"
)

// upstreams is the upstreams' side of the test: stand-ins that record which requests ran.
type upstreams struct {
	store *snipestand.RowStore
	lock  sync.Mutex // guards ran
	ran   map[string]bool
	cut   atomic.Int32 // answers that the upstream cut off since they were not read
	stop  chan struct{}
}

func (u *upstreams) record(q *http.Request) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.ran[q.Header.Get(attemptID)] = true
}

// handler answers the paths of slow callers, and passes all other requests to the stand-in.
func (u *upstreams) handler(r *snipestand.Runner) http.Handler {
	inner := r.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch {
		case strings.HasSuffix(q.URL.Path, "/unread"):
			u.record(q)
			select { // reads nothing of the body
			case <-u.stop:
			case <-q.Context().Done():
			}
		case strings.HasSuffix(q.URL.Path, "/big"):
			u.record(q)
			u.answer(w, q, r.ID)
		case strings.HasSuffix(q.URL.Path, "/endless"):
			spillBody(w, q, r.ID, "", strings.Repeat("x", 64<<10))
		case strings.HasSuffix(q.URL.Path, "/endless-length"):
			spillBody(w, q, r.ID, "Content-Length: 99999999999\r\n", strings.Repeat("x", 64<<10))
		case strings.HasSuffix(q.URL.Path, "/endless-chunks"):
			spillBody(w, q, r.ID, "Transfer-Encoding: chunked\r\n", "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n")
		case strings.HasSuffix(q.URL.Path, "/endless-events"):
			spillBody(w, q, r.ID, "Content-Type: text/event-stream\r\n", strings.Repeat("data: x\n\n", 8<<10))
		case strings.HasSuffix(q.URL.Path, "/longhead"):
			spillHead(w)
		default:
			u.record(q)
			inner.ServeHTTP(w, q)
		}
	})
}

// answer sends a large answer, in events if a model is named. It cuts the answer off if a part of it
// is not read for unreadTime.
func (u *upstreams) answer(w http.ResponseWriter, q *http.Request, id string) {
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set(attemptID, q.Header.Get(attemptID))
	w.Header().Set("X-Snipepitch-Server-Seal", id+".1")
	if q.Header.Get("X-Snipepitch-Model") != "" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	control := http.NewResponseController(w)
	for n := range answerBytes / 1024 {
		_ = control.SetWriteDeadline(time.Now().Add(unreadTime))
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", 1000))
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			u.cut.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
}

// startUpstreams starts a store with a catalog, two engines and two plain upstreams.
func startUpstreams(t *testing.T) (*upstreams, string) {
	u := &upstreams{store: snipestand.NewRowStore(), ran: map[string]bool{}, stop: make(chan struct{})}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	address := serve(u.store.Handler())
	runners := []*snipestand.Runner{
		{ID: "e1", Service: "engines", Model: "base"},
		{ID: "e2", Service: "engines", Model: "base"},
		{ID: "p1", Service: "plain"},
		{ID: "p2", Service: "plain"},
		{ID: "s1", Service: "stuck"},
		{ID: "s2", Service: "stuck"},
	}
	for _, r := range runners {
		r.Slots, r.LoadDuration, r.EventInterval, r.Events = 4, 30*time.Millisecond, time.Millisecond, 6
		r.Faults = &snipestand.RunnerFaults{}
		r.Address = serve(u.handler(r))
	}
	t.Cleanup(func() { close(u.stop) })
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "calls.example", "prefix": prefix, "routeKind": kind, "service": service,
			"timeoutMs": 20000, "targetLatencyMs": 3000, "maxAttempts": 2,
		}
	}
	must.NoError(t, u.store.Put("op", "config", map[string]any{
		"version": 1, "routes": []any{route("often", "/often/", "idempotent", "plain"), route("final", "/final/", "streaming", "engines"), route("stuck", "/stuck/", "idempotent", "stuck")},
		"services": []any{
			map[string]any{"name": "plain", "healthPath": "/healthz"},
			map[string]any{"name": "stuck", "healthPath": "/healthz"},
			map[string]any{"name": "engines", "engine": map[string]any{
				"slots": 8, "adapterSlots": 4, "models": []any{map[string]any{"name": "base", "adapters": 50}},
			}},
		},
		"tenants": []any{workspace("slow"), workspace("reader")},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "idleTimeoutMs": 15000},
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var heartbeats sync.WaitGroup
	t.Cleanup(func() { cancel(); heartbeats.Wait() })
	heartbeats.Go(func() {
		for ctx.Err() == nil {
			for _, r := range runners {
				_ = r.SendHeartbeat(u.store)
			}
			select {
			case <-ctx.Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
	})
	return u, address
}

// workspace returns a workspace without a quota whose key is its name.
func workspace(name string) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{name}, "unit": "token_rate", "plainTokens": 200}
}

// key returns the header with a workspace's key.
func key(workspace string) string { return "Authorization: Bearer " + workspace + "\r\n" }

// process is a running snipepitchd.
type process struct {
	pid            int
	callers, ready string
	metrics        string
	log            string
	exited         chan error
}

// startProcess builds and starts snipepitchd with a memory of memoryBytes.
func startProcess(t *testing.T, store string) *process {
	dir := t.TempDir()
	bin := filepath.Join(dir, "snipepitchd")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	addresses, listeners := make([]string, 4), make([]net.Listener, 4)
	for n := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		addresses[n] = l.Addr().String()
		listeners[n] = l
	}
	for _, l := range listeners {
		must.NoError(t, l.Close())
	}
	settings, err := json.Marshal(map[string]any{
		"Name": "one", "Domain": "here", "Callers": addresses[0], "Ready": addresses[1], "Peers": addresses[2], "Metrics": addresses[3],
		"Table": store, "OrderGap": "200ms", "RetryShare": 0.2, "RetrySlack": 100, "StopTimeout": "8s", "Power": 1,
		"MemoryBytes": memoryBytes, "LogLevel": "info",
	})
	must.NoError(t, err)
	path := filepath.Join(dir, "settings.json")
	must.NoError(t, os.WriteFile(path, settings, 0o600))
	p := &process{callers: addresses[0], metrics: addresses[3], ready: "http://" + addresses[1] + platform.ReadyPath, log: filepath.Join(dir, "log"), exited: make(chan error, 1)}
	file, err := os.Create(p.log)
	must.NoError(t, err)
	defer func() { _ = file.Close() }()
	c := exec.Command(bin, "entry", "-settings", path)
	c.Stdout, c.Stderr = file, os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(t, c.Start())
	p.pid = c.Process.Pid
	go func() { p.exited <- c.Wait() }()
	t.Cleanup(func() { _ = c.Process.Kill() })
	return p
}

// resident returns the resident memory of the process in bytes; 0 if it has ended.
func (p *process) resident() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.pid))
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// highWater returns the largest resident memory that the process had.
func (p *process) highWater(t *testing.T) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	must.NoError(t, err)
	_, after, found := strings.Cut(string(data), "VmHWM:")
	must.True(t, found)
	kilobytes, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	must.NoError(t, err)
	return kilobytes << 10
}

// readMetrics returns the metrics of the process.
func (p *process) readMetrics(t *testing.T) string {
	a, err := http.Get("http://" + p.metrics + "/metrics")
	must.NoError(t, err)
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	must.NoError(t, err)
	return string(text)
}

// checkMetrics checks that operators see the pressure, by workspace.
func (p *process) checkMetrics(t *testing.T) {
	text := p.readMetrics(t)
	for _, name := range []string{
		`snipepitch_held_bytes{workspace="slow"}`, `snipepitch_held_bytes{workspace="reader"}`, "snipepitch_held_bytes_bound 51840000",
		`snipepitch_memory_refusals_total{workspace="slow"}`, `snipepitch_answers_ended_total{workspace="slow",reason="Pressure"}`,
		"snipepitch_caller_connections", "snipepitch_connections_refused_total",
	} {
		must.StrContains(t, text, name)
	}
}

// queued returns the bytes in the kernel's buffers of the process's sockets: received and not read, and
// sent and not acknowledged.
func (p *process) queued() (received, sent int64) {
	own := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:[") {
			own[strings.Trim(to, "socket:[]")] = true
		}
	}
	data, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 10 || !own[f[9]] || f[3] == "0A" { // 0A listens
			continue
		}
		tx, rx, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(tx, 16, 64)
		m, _ := strconv.ParseInt(rx, 16, 64)
		sent, received = sent+n, received+m
	}
	return received, sent
}

// peak is the largest memory seen.
type peak struct{ total, resident, received, sent int64 }

// watch samples the memory of a process until ctx ends.
func (p *process) watch(ctx context.Context) peak {
	var m peak
	for ctx.Err() == nil {
		resident := p.resident()
		received, sent := p.queued()
		m.resident, m.received, m.sent = max(m.resident, resident), max(m.received, received), max(m.sent, sent)
		m.total = max(m.total, resident+received+sent)
		time.Sleep(50 * time.Millisecond)
	}
	return m
}

// callers is the callers' side of the test.
type callers struct {
	address string
	lock    sync.Mutex // guards refused
	refused map[string]bool
	broken  atomic.Int32
}

// call sends a request on a connection of its own and reads its status, and nothing more of the answer.
// It records a refusal. It returns the time after which a refused caller may return, and the answer.
func (c *callers) call(ctx context.Context, target, header string, body int) (status int, retry time.Duration, a *bufio.Reader, closeConn func()) {
	id := rand.Text()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		c.recordBroken(ctx)
		return 0, time.Second, nil, func() {}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	closeConn = func() { stop(); _ = conn.Close() }
	message := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: calls.example\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: 20000\r\n%sContent-Length: %d\r\n\r\n", target, attemptID, id, header, body)
	go func() { _, _ = conn.Write(append([]byte(message), bytes.Repeat([]byte{'x'}, body)...)) }()
	r := bufio.NewReaderSize(conn, 1024)
	line, err := r.ReadString('\n')
	if err != nil {
		c.recordBroken(ctx)
		return 0, time.Second, nil, closeConn
	}
	_, _ = fmt.Sscanf(line, "HTTP/1.1 %d", &status)
	if status == http.StatusServiceUnavailable {
		c.lock.Lock()
		c.refused[id] = true
		c.lock.Unlock()
		for {
			line, err := r.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
			if value, found := strings.CutPrefix(line, "Retry-After: "); found {
				seconds, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				retry = time.Duration(seconds * float64(time.Second))
			}
		}
	}
	return status, retry, r, closeConn
}

// recordBroken counts a call without an answer, unless the test has ended it.
func (c *callers) recordBroken(ctx context.Context) {
	if ctx.Err() == nil {
		c.broken.Add(1)
	}
}

// sendUnread is one slow caller: it repeats a request until ctx ends, and does not read the answers.
func (c *callers) sendUnread(ctx context.Context, target, header string, body int) {
	for ctx.Err() == nil {
		status, retry, a, closeConn := c.call(ctx, target, header, body)
		if status == http.StatusOK {
			// One byte in two seconds is no sign of a caller that reads.
			for ctx.Err() == nil {
				if _, err := a.ReadByte(); err != nil {
					break
				}
				wait := time.NewTimer(2 * time.Second)
				select {
				case <-ctx.Done():
				case <-wait.C:
				}
			}
		}
		closeConn()
		select {
		case <-ctx.Done():
		case <-time.After(max(retry, 300*time.Millisecond)):
		}
	}
}

// reader counts the requests of callers that read.
type reader struct{ served, unserved, tries atomic.Int32 }

// String returns the counts.
func (s *reader) String() string {
	return fmt.Sprintf("%d served in %d tries, %d not", s.served.Load(), s.tries.Load(), s.unserved.Load())
}

// serveReader sends small requests one after the other until ctx ends. Each is tried again when its
// refusal says, for readerTimeout in all.
func (c *callers) serveReader(ctx context.Context, header string, s *reader) {
	for ctx.Err() == nil {
		deadline := time.Now().Add(readerTimeout)
		for {
			s.tries.Add(1)
			status, retry, _, closeConn := c.call(ctx, "/often/x", header, 0)
			closeConn()
			if ctx.Err() != nil {
				return
			}
			if status == http.StatusOK {
				s.served.Add(1)
				break
			}
			if time.Now().Add(retry).After(deadline) {
				s.unserved.Add(1)
				break
			}
			time.Sleep(retry)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestSlowReaders guards against a process that exceeds its memory and is killed, against callers that
// read and get nothing while others do not read, and against refusals of requests that ran. Thousands
// of callers do not read answers, buffered or streamed, send bodies to upstreams that do not read them,
// or send nothing on their connections.
func TestSlowReaders(t *testing.T) {
	u, store := startUpstreams(t)
	p := startProcess(t, store)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		a, err := http.Get(p.ready)
		if err != nil {
			return false
		}
		_ = a.Body.Close()
		return a.StatusCode == http.StatusOK
	}), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)))
	ctx, cancel := context.WithTimeout(t.Context(), loadTime)
	defer cancel()
	c := &callers{address: p.callers, refused: map[string]bool{}}
	start := p.resident()
	var all sync.WaitGroup
	var m peak
	all.Go(func() { m = p.watch(ctx) })
	for range slowCallers {
		all.Go(func() { c.sendUnread(ctx, "/often/big", key("slow"), 0) })
		all.Go(func() { c.sendUnread(ctx, "/final/big", key("slow")+modelHeader, 0) })
		all.Go(func() { c.sendUnread(ctx, "/stuck/unread", key("slow"), bodyBytes) })
		all.Go(func() {
			if conn, err := net.Dial("tcp", c.address); err == nil {
				<-ctx.Done()
				_ = conn.Close()
			}
		})
	}
	other, same := &reader{}, &reader{}
	for range 4 {
		all.Go(func() { c.serveReader(ctx, key("reader"), other) })
		all.Go(func() { c.serveReader(ctx, key("slow"), same) })
	}
	all.Wait()
	select {
	case err := <-p.exited:
		t.Fatal("the process has ended", err)
	default:
	}
	text, err := os.ReadFile(p.log)
	must.NoError(t, err)
	t.Logf("memory before %d, peak %+v of %d; fast callers of another workspace: %s; of the same: %s; %d refused, %d broken, %d ended, %d cut off by upstreams, connections full %d times",
		start, m, int64(memoryBytes), other, same, len(c.refused), c.broken.Load(),
		bytes.Count(text, []byte(`"Name":"AnswerEnded"`)), u.cut.Load(), bytes.Count(text, []byte(`"Name":"ConnectionsFull"`)))
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		must.NoError(t, os.WriteFile(keep, text, 0o600))
	}
	must.Less(t, memoryBytes, m.total)
	// The high-water mark includes peaks of the resident memory between two samples.
	must.Less(t, memoryBytes, p.highWater(t)+m.received+m.sent)
	p.checkMetrics(t)
	must.Positive(t, other.served.Load())
	must.Zero(t, other.unserved.Load())
	must.Positive(t, same.served.Load())
	u.lock.Lock()
	defer u.lock.Unlock()
	for id := range c.refused {
		must.False(t, u.ran[id], must.Sprint("was refused and ran: ", id))
	}
}
