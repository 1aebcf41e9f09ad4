package snipeinstance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"snipepitch.example/snipepitch/snipeconfig"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipestream"
	"snipepitch.example/snipepitch/snipetree"
	"snipepitch.example/snipepitch/snipeupstream"
)

// The benchmarks run a complete system over loopback in one process: the platform, one engine, and
// two instances, one of which owns the engine. The cost of an instance is the difference to calling
// the engine directly in the same run.

const (
	benchKey    = "callers-key-not-to-be-logged"
	peerSecret  = "peers-secret-not-to-be-logged"
	tableSecret = "tables-secret-not-to-be-logged"
	benchChunks = 64
)

// benchEngine answers calls at once and leaves all other requests to stand: the time that the
// stand-in takes for a call would hide the cost of an instance. A chat stream sends each chunk only
// after a receive from gate, which the benchmark sends when it has read the previous chunk.
type benchEngine struct {
	stand http.Handler
	gate  chan struct{}
}

func (e *benchEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != snipeupstream.CompletionsPath && r.URL.Path != snipeupstream.ChatPath {
		e.stand.ServeHTTP(w, r)
		return
	}
	var call struct {
		Model string `json:"model"`
	}
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &call)
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	chunks := 1
	if r.URL.Path == snipeupstream.ChatPath {
		chunks = benchChunks
	}
	for n := 1; n <= chunks; n++ {
		if chunks > 1 {
			<-e.gate
		}
		reason := "null"
		if n == chunks {
			reason = `"stop"`
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"a-1\",\"object\":\"chat.completion.chunk\",\"created\":1700000000,\"model\":%q,"+
			"\"choices\":[{\"index\":0,\"text\":\" token\",\"logprobs\":null,\"finish_reason\":%s}]}\n\n", n, call.Model, reason)
		_ = flush.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", chunks+1)
}

// path is one way to reach the engine: directly, through its owner, or through the other instance.
type path struct {
	name    string
	address netip.AddrPort
	model   string
}

// system is a complete system: platform, engine and two instances.
type system struct {
	engine *benchEngine
	table  *snipestand.Table
	paths  []path
	client *http.Client
	scheme string

	// instances are the two instances; ended receives the result of each one's serve.
	instances []*Instance
	ended     []chan error
	log       lockedBuffer
}

// lockedBuffer collects the log lines of both instances.
type lockedBuffer struct {
	lock sync.Mutex // guards text
	text strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.text.Write(p)
}

func (l *lockedBuffer) String() string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.text.String()
}

// serve serves a handler on loopback and returns its address.
func serve(b testing.TB, h http.Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// ports holds listeners that are opened before their instance starts. If only the numbers of free
// ports were reserved, another process could take a port in the meantime.
type ports map[netip.AddrPort]net.Listener

// open opens a listener and returns its address.
func (p ports) open(b testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	address := l.Addr().(*net.TCPAddr).AddrPort()
	p[address] = l
	return address
}

func (p ports) listen(_ context.Context, address netip.AddrPort) (net.Listener, error) {
	return p[address], nil
}

func newSystem(b testing.TB, change func(c *snipeconfig.Config)) *system {
	e := &snipestand.Engine{Slots: 4, Batch: 4}
	s := &system{
		engine: &benchEngine{stand: e.Handler(), gate: make(chan struct{})},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, scheme: "http://",
	}
	platform := &snipestand.Platform{Table: snipestand.NewTable(), Weights: &snipestand.Weights{PerSecond: 10, Concurrent: 1}}
	table, engine := serve(b, platform.Handler()), serve(b, s.engine)
	s.table = platform.Table
	s.paths = []path{{"direct", engine, "x"}, {"instance", netip.AddrPort{}, "a@1"}, {"hop", netip.AddrPort{}, "a@1"}}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	for n := range 2 {
		c := snipeconfig.Default()
		c.Name, c.Domain, c.PeerSecret = fmt.Sprintf("entry-%d", n), "d", peerSecret
		open := ports{}
		c.Callers, c.Operators, c.Peers = open.open(b), open.open(b), open.open(b)
		c.Platform.Table, c.Platform.AccessKey, c.Platform.SecretKey = table, "a", tableSecret
		c.Poll, c.Renew = snipejson.Duration(50*time.Millisecond), snipejson.Duration(200*time.Millisecond)
		if change != nil {
			change(&c)
		}
		must.NoError(b, c.Check())
		i := &Instance{Config: c, Log: snipelog.Discard(), Listen: open.listen}
		if change != nil {
			i.Log = snipelog.New(&s.log, logrus.TraceLevel, c.Name)
		}
		s.instances = append(s.instances, i)
		must.NoError(b, i.build())
		done := make(chan error, 1)
		s.ended = append(s.ended, done)
		ended.Go(func() { done <- i.serve(ctx) })
	}
	instances := s.instances
	wait(b, func() bool { return s.apply(ctx, instances[0], engine) })
	wait(b, func() bool {
		for n, i := range instances {
			if o, ok := i.holder.View().Owners["engine-0"]; ok && o.Instance.Name == i.Config.Name {
				s.paths[1].address, s.paths[2].address = i.Config.Callers, instances[1-n].Config.Callers
			}
		}
		return s.paths[1].address.IsValid()
	})
	if change == nil {
		s.waitAnswers(b)
	}
	return s
}

// waitAnswers waits until both instances answer calls.
func (s *system) waitAnswers(b testing.TB) {
	for _, p := range s.paths[1:] {
		wait(b, func() bool { return s.complete(p) == nil })
	}
}

// apply writes the settings and reports whether they were accepted.
func (s *system) apply(ctx context.Context, i *Instance, engine netip.AddrPort) bool {
	hash, _ := snipetree.HashKey(benchKey).MarshalText()
	platform := fmt.Sprintf(`{"WeightStore":{"LoadsPerSecond":10,"Concurrent":1},"Services":{},
		"Operators":{"o":{"KeyHash":%q,"Platform":true}},
		"Engines":{"engine-0":{"Address":%q,"Domain":"d","Base":"base","Slots":4,"Batch":4}}}`, hash, engine)
	team := fmt.Sprintf(`{"Keys":{"k":%q},"Adapters":{"a":{"Base":"base","Versions":{"1":{"Path":"p"}}}}}`, hash)
	if _, err := i.settings.Apply(ctx, "", 0, []byte(platform)); err != nil {
		return false
	}
	_, err := i.settings.Apply(ctx, "bench", 0, []byte(team))
	return err == nil
}

func wait(b testing.TB, done func() bool) {
	for range 400 {
		if done() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("the system did not become ready")
}

func (s *system) send(p path, route, body string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, s.scheme+p.address.String()+route, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	r.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(r)
	if err == nil && response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s: %s", response.Status, text)
	}
	return response, err
}

// complete makes one call whose answer is short.
func (s *system) complete(p path) error {
	response, err := s.send(p, snipeupstream.CompletionsPath, `{"model":"`+p.model+`","prompt":"order twelve cases","max_tokens":1}`)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(response.Body)
	if err == nil && !bytes.Contains(data, []byte("token")) {
		err = fmt.Errorf("wrong answer: %s", data)
	}
	_ = response.Body.Close()
	return err
}

// stream makes one gated call. It appends to times the time of each chunk after the first, from
// opening the gate for the chunk to its arrival.
func (s *system) stream(p path, times []time.Duration) ([]time.Duration, error) {
	go func() { s.engine.gate <- struct{}{} }()
	response, err := s.send(p, snipeupstream.ChatPath, `{"model":"`+p.model+`","messages":[],"stream":true}`)
	if err != nil {
		return times, err
	}
	defer func() { _ = response.Body.Close() }()
	reader := snipestream.NewReader(response.Body)
	var start time.Time
	for n := 1; ; n++ {
		e, err := reader.Read()
		if err != nil || e.Name == "error" {
			return times, fmt.Errorf("event %s %s: %w", e.Name, e.Data, err)
		}
		if n > 1 && n <= benchChunks {
			times = append(times, time.Since(start))
		}
		if n > benchChunks {
			_, err = io.Copy(io.Discard, response.Body)
			return times, err
		}
		start = time.Now()
		if n < benchChunks {
			s.engine.gate <- struct{}{}
		}
	}
}

func median(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2].Nanoseconds()) / 1e3
}

// BenchmarkAddedLatency alternates between the paths and reports the medians, in microseconds, of a
// short call and of one chunk of a stream.
func BenchmarkAddedLatency(b *testing.B) {
	s := newSystem(b, nil)
	calls := make([][]time.Duration, len(s.paths))
	chunks := make([][]time.Duration, len(s.paths))
	b.ResetTimer()
	for range b.N {
		for n, p := range s.paths {
			start := time.Now()
			must.NoError(b, s.complete(p))
			calls[n] = append(calls[n], time.Since(start))
		}
		for n, p := range s.paths {
			var err error
			chunks[n], err = s.stream(p, chunks[n])
			must.NoError(b, err)
		}
	}
	for n, p := range s.paths {
		b.ReportMetric(median(calls[n]), "us/call-"+p.name)
		b.ReportMetric(median(chunks[n]), "us/chunk-"+p.name)
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCost runs each path alone, with GOMAXPROCS short calls at a time or one stream at a
// time, and reports the time, processor time and allocations of the whole process. The cost of the
// instances is the difference to the path "direct".
func BenchmarkCost(b *testing.B) {
	s := newSystem(b, nil)
	for _, p := range s.paths {
		b.Run("call-"+p.name, func(b *testing.B) {
			b.ReportAllocs()
			before := processorTime()
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					must.NoError(b, s.complete(p))
				}
			})
			b.ReportMetric(float64((processorTime()-before).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
		b.Run("chunk-"+p.name, func(b *testing.B) {
			b.ReportAllocs()
			before := processorTime()
			for range b.N/benchChunks + 1 {
				_, err := s.stream(p, nil)
				must.NoError(b, err)
			}
			b.ReportMetric(float64((processorTime()-before).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		fmt.Fprintln(os.Stderr, "getrusage:", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
