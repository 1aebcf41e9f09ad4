package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

func init() { plays["flood"] = flood }

const (
	// linkBytes is what the link of a machine carries in each step of a tenth of a second, at 1,000 Mbit/s.
	linkBytes, linkStep = 12_500_000, 100 * time.Millisecond
	// longestSpill bounds the bytes of one answer.
	longestSpill = 500_000_000
	// channels is the number of kept channels with requests to the sound service, slowWork what such a request takes.
	channels, slowWork = 8, 400 * time.Millisecond
	// faultyRunners is the number of runners of the other service, one of which is faulty. It spoils one answer, after
	// soundAnswers sound ones.
	faultyRunners, soundAnswers = 3, 24
	// floodRequests is the number of requests to that service at most.
	floodRequests = 200
	// floodDeadline is what the caller of a request to the faulty runner waits, as the stream kinds of the sheet.
	floodDeadline = 5 * time.Second
	// lostAllowed is how many requests the rule allows to be lost.
	lostAllowed = 3
	// sound is a service whose runner is sound.
	sound = "depot-app"
)

// floodPlay counts what became of the requests on kept channels.
type floodPlay struct {
	w        *world
	i        *instance
	slow     *upstream
	lost     atomic.Int64
	answered atomic.Int64
	killed   atomic.Bool
	end      chan struct{}
}

// flood has one of three runners answer once with bytes that are not a response: a long line. Rule: no more than three requests
// of kept channels that were passed on to a sound runner end with a closed channel.
func flood(w *world) ([]string, error) {
	f := &floodPlay{w: w, end: make(chan struct{})}
	if err := f.setUp(); err != nil {
		return nil, err
	}
	f.i = w.instances[0]
	var callers sync.WaitGroup
	for n := range channels {
		callers.Go(func() { f.keep(n) })
		time.Sleep(slowWork / channels)
	}
	time.Sleep(time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; n < floodRequests && !f.killed.Load(); n++ {
			w.send(f.i, "GET", "/orders/17", fmt.Sprintf("request-%d", n), floodDeadline)
		}
	}()
	most := f.watch(done)
	time.Sleep(500 * time.Millisecond)
	close(f.end)
	callers.Wait()
	w.record("most memory of %s: %d bytes; ended for it: %v; kept channels: %d answered, %d closed without an answer",
		f.i.name, most, f.killed.Load(), f.answered.Load(), f.lost.Load())
	var breaches []string
	if f.lost.Load() > lostAllowed {
		breaches = append(breaches, fmt.Sprintf("LOST: %d requests of kept channels that a sound runner ran ended without an answer", f.lost.Load()))
	}
	return breaches, nil
}

func (f *floodPlay) setUp() error {
	w := f.w
	route := func(prefix, kind, service string) snipestand.DeclaredRoute {
		return snipestand.DeclaredRoute{
			Name: "route" + prefix, Host: host, Prefix: prefix, Kind: kind, Service: service, Timeout: 6000, Target: 1000, MaxAttempts: 2,
		}
	}
	if err := w.store.Declare(snipestand.Declared{
		Version: 1, Limits: snipestand.DeclaredLimits{BodyBytes: 4 << 20},
		Routes: []snipestand.DeclaredRoute{
			route("/orders/", snipestand.RouteIdempotent, plain), route("/depot/", snipestand.RouteNonIdempotent, sound),
		},
		Services: []snipestand.DeclaredService{{Name: plain}, {Name: sound}},
	}); err != nil {
		return err
	}
	all := []*upstream{}
	for n := range faultyRunners {
		all = append(all, &upstream{id: fmt.Sprintf("i-%d", n), service: plain})
	}
	if w.trouble {
		all[0].answer = spillOnce()
	}
	f.slow = &upstream{id: "i-sound", service: sound, work: slowWork}
	for _, u := range append(all, f.slow) {
		if err := w.addUpstream(u); err != nil {
			return err
		}
	}
	return w.start(1)
}

// watch ends the process when it holds more memory than it may, as the platform does.
func (f *floodPlay) watch(done <-chan struct{}) (most int64) {
	for {
		select {
		case <-done:
			return most
		case <-time.After(10 * time.Millisecond):
		}
		resident := residentBytes(f.i.command.Process.Pid)
		most = max(most, resident)
		if resident > memoryBytes && !f.killed.Swap(true) {
			f.w.record("the platform ends %s: %d bytes of memory, allowed are %d", f.i.name, resident, memoryBytes)
			_ = f.i.command.Process.Kill()
		}
	}
}

// keep sends requests to the sound service on one kept channel until the end.
func (f *floodPlay) keep(n int) {
	c, err := net.Dial("tcp", f.i.callers)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for k := 0; ; k++ {
		select {
		case <-f.end:
			return
		default:
		}
		id := fmt.Sprintf("kept-%d-%d", n, k)
		f.w.record("caller sends %s on kept channel %d", id, n)
		_, err := fmt.Fprintf(c, "POST /depot/9 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", host, attemptID, id)
		if err == nil {
			err = readAnswer(reader)
		}
		if err == nil {
			f.answered.Add(1)
			continue
		}
		ran := false
		for _, a := range f.slow.runs() {
			ran = ran || a.id == id
		}
		f.w.record("channel %d is closed without an answer to %s: %v; the sound runner ran it: %v", n, id, err, ran)
		if ran {
			f.lost.Add(1)
		}
		return
	}
}

func readAnswer(r *bufio.Reader) error {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// spillOnce returns the answers of a runner that spoils one, after soundAnswers sound ones.
func spillOnce() func(u *upstream, rw http.ResponseWriter, r *http.Request) bool {
	var n atomic.Int64
	return func(u *upstream, rw http.ResponseWriter, r *http.Request) bool {
		return n.Add(1) == soundAnswers+1 && spill(u, rw, r)
	}
}

// spill writes bytes that are not a response, at the speed of the link.
func spill(u *upstream, rw http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get(attemptID) == "" {
		return false
	}
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	u.w.record("runner %s answers %s with bytes that are no response", u.id, r.Header.Get(attemptID))
	part := bytes.Repeat([]byte("x"), linkBytes)
	sent := 0
	for next := time.Now(); sent < longestSpill; next = next.Add(linkStep) {
		time.Sleep(time.Until(next))
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		n, err := c.Write(part)
		if sent += n; err != nil {
			break
		}
	}
	u.w.record("runner %s has sent %d bytes", u.id, sent)
	return true
}

// residentBytes returns the memory of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			return n << 10
		}
	}
	return 0
}
