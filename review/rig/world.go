package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	loopback = "127.0.0.1:0"
	zoneName = "regina"
	host     = "review.example"
	// heartbeat is the time between two writes of an upstream's entry.
	heartbeat = 1200 * time.Millisecond
	// startTime bounds the time until an instance says that it is ready.
	startTime = 15 * time.Second
	// memoryBytes is memoryMb of a small deployment.
	memoryBytes = 284_000_000
)

// world is the store, the upstreams and the instances of one play.
type world struct {
	store   *snipestand.RowStore
	folder  string
	address string // of the store
	trouble bool
	started time.Time
	ctx     context.Context
	end     context.CancelFunc

	lock      sync.Mutex // guards the fields below
	out       *os.File
	instances []*instance
}

// instance is one process of the program under test.
type instance struct {
	name, callers, ready, peers, metrics string
	settings                             string
	command                              *exec.Cmd
	ended                                chan struct{}
}

func newWorld() (*world, error) {
	out, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	w := &world{
		store: snipestand.NewRowStore(), folder: folder, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(),
		ctx: ctx, end: end, out: out,
	}
	w.address, err = w.serve(w.store.Handler())
	return w, err
}

// record writes a line with the time since the start to the record.
func (w *world) record(format string, a ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, a...))
}

// close ends the play.
func (w *world) close() {
	w.end()
	w.endInstances()
	_ = os.RemoveAll(w.folder)
	_ = w.out.Close()
}

// serve serves a handler on a free port of loopback.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(w.ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// lowestPort, blocks and blockSize are the ports from which those of a play are drawn, below those that the kernel draws for
// connections. A play takes one block, so that plays beside each other seldom meet.
const lowestPort, blocks, blockSize = 12000, 400, 40

// addInstances adds n instances with free addresses, all of which are kept until all are found.
func (w *world) addInstances(n int) error {
	next := lowestPort + blockSize*rand.IntN(blocks) //nolint:gosec // any free ports will do
	for k := range n {
		i := &instance{name: fmt.Sprintf("frontend-%d", k)}
		for _, a := range []*string{&i.callers, &i.ready, &i.peers, &i.metrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", next))
			next++
			if err != nil {
				return err
			}
			defer func() { _ = l.Close() }()
			*a = l.Addr().String()
		}
		w.instances = append(w.instances, i)
	}
	return nil
}

// start starts n instances with settings like those of a small deployment, and waits until all are ready. Where a port
// is in use it begins again with others.
func (w *world) start(n int) error {
	var err error
	for range 5 {
		if err = w.tryStart(n); err == nil {
			w.record("%d instances are ready", n)
			return nil
		}
		w.record("start: %v", err)
		w.endInstances()
	}
	return err
}

func (w *world) tryStart(n int) error {
	if err := w.addInstances(n); err != nil {
		return err
	}
	for _, i := range w.instances {
		if err := w.write(i); err != nil {
			return err
		}
		if err := i.start(filepath.Join(w.folder, i.name+".log")); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// endInstances ends all processes that were started, by their identifiers.
func (w *world) endInstances() {
	for _, i := range w.instances {
		if i.ended == nil {
			continue // it was not started
		}
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.ended
	}
	w.instances = nil
}

// write writes an instance's settings file, as the template of the deploy file renders it for a small site.
func (w *world) write(i *instance) error {
	seeds := []string{}
	for _, other := range w.instances {
		if len(seeds) < 3 {
			seeds = append(seeds, other.peers)
		}
	}
	data, err := json.MarshalIndent(map[string]any{
		"Name": i.name, "Domain": zoneName, "Callers": i.callers, "Ready": i.ready, "Peers": i.peers, "Metrics": i.metrics,
		"Seeds": seeds, "Table": w.address, "OrderGap": "3000ms", "RetryShare": 0.2, "RetrySlack": 58, "RetrySpan": "10s",
		"StopTimeout": "8s", "DrainTime": "2000ms", "ApplyTime": "2000ms", "CrashTime": "3000ms", "Power": 0.4,
		"MemoryBytes": memoryBytes, "AdmissionShare": 1, "LogLevel": "info",
	}, "", "  ")
	if err != nil {
		return err
	}
	i.settings = filepath.Join(w.folder, i.name+".json")
	return os.WriteFile(i.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start(log string) error {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	i.command = exec.Command(os.Getenv("PROGRAM"), "entry") //nolint:gosec // the program under test
	i.command.Env = []string{"SNIPEPITCH_BOOT=" + i.settings}
	i.command.Stdout, i.command.Stderr = f, f
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan struct{})
	go func() {
		defer close(i.ended)
		_ = i.command.Wait()
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(s)
	}
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-i.ended:
			return errors.New(i.name + " has ended")
		default:
		}
		r, err := http.Get("http://" + i.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(i.name + " is not ready")
}
