package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// memoryMegabytes is the memory of a machine of the small deployments, power its share of a core.
	memoryMegabytes = 284
	power           = 0.4
	// storeTime is how long the store takes for an answer, heartbeat the time between two entries of a runner.
	storeTime = 4 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// restartTime is how long after its end a process is started again, memoryInterval the time between two looks at its memory.
	restartTime    = 500 * time.Millisecond
	memoryInterval = 20 * time.Millisecond
	readyTime      = 20 * time.Second
	// hostName is the host of all routes.
	hostName = "callers.example"
	// nameField is the field with the name of what an object describes.
	nameField = "name"
)

// machine is a machine of the system with its process.
type machine struct {
	name, settings         string
	callers, ready         string
	fields                 map[string]any // of the settings
	lock                   sync.Mutex     // guards the fields below
	process                *os.Process
	startedAt              time.Time
	stopped                bool
	done                   chan struct{}
	in                     bool // whether callers are sent here
	overMemory, mostMemory int
}

// platform is the stand-in of the platform: the store, the machines and the balancer.
type platform struct {
	*play
	store    *snipestand.RowStore
	table    string
	machines []*machine
}

func newPlatform(p *play) (*platform, error) {
	f := &platform{play: p, store: snipestand.NewRowStore()}
	handler := f.store.Handler()
	address, err := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(storeTime)
		handler.ServeHTTP(w, q)
	}))
	f.table = address
	return f, err
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// serve serves a handler at a free address, which it returns.
func serve(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// route returns a route of the configuration; times are in milliseconds.
func route(name, kind, service string, timeout, target int) map[string]any {
	return map[string]any{
		nameField: name, "host": hostName, "prefix": "/" + name + "/", "routeKind": kind, "service": service, "timeoutMs": timeout,
		"targetLatencyMs": target, "maxAttempts": 1, "priority": 0, "gapAimMs": 400,
	}
}

// declare writes the configuration.
func (f *platform) declare(routes ...map[string]any) error {
	return f.store.Put("op", "config", map[string]any{
		"version": 1, "routes": routes,
		"services": []any{
			map[string]any{nameField: plainService, "healthPath": "/healthz", "maxConns": 370},
			map[string]any{nameField: engineService, "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{
				"slots": engineSlots, "kvCapacity": 232000, "adapterSlots": 18,
				"models": []any{map[string]any{nameField: modelName, "weightsMb": 34300, "loadS": 1, "adapters": 3000, "adapterMb": 40}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// The limits of the configuration.
const (
	maxHeaderBytes = 16384
	maxBodyBytes   = 4194304
)

// register keeps the entries of the runners in the registry.
func (f *platform) register(runners []*runner) {
	go func() {
		for {
			for _, r := range runners {
				_ = f.store.Put("servers", r.id, r.entry())
			}
			time.Sleep(heartbeat)
		}
	}()
}

// free returns addresses at which nothing listens.
func free(n int) ([]string, error) {
	var all []string
	for range n {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		all = append(all, l.Addr().String())
	}
	return all, nil
}

// addresses is the number of addresses of a machine.
const addresses = 4

// start starts n machines, with the settings that deploy/settings.json gives for the bounds of the small deployments, and waits
// until all are ready.
func (f *platform) start(n int) error {
	all, err := free(addresses * n)
	if err != nil {
		return err
	}
	for k := range n {
		own := all[addresses*k:]
		m := &machine{name: "frontend-" + strconv.Itoa(k+1), callers: own[0], ready: own[1]}
		m.settings = filepath.Join(f.folder, m.name+".json")
		m.fields = map[string]any{
			"Name": m.name, "Domain": "zone-" + strconv.Itoa(k+1), "Callers": own[0], "Ready": own[1], "Peers": own[2], "Metrics": own[3],
			"Seeds": []string{all[2]}, "Table": f.table, "OrderGap": "3000ms", "RetryShare": 0.2, "RetrySlack": 58, "RetrySpan": "10s",
			"StopTimeout": "8s", "DrainTime": "2000ms", "ApplyTime": "2000ms", "CrashTime": "3000ms", "Power": power,
			"MemoryBytes": memoryMegabytes * 1_000_000, "AdmissionShare": 1, "LogLevel": "info",
		}
		if err := m.writeSettings(); err != nil {
			return err
		}
		f.machines = append(f.machines, m)
		if err := f.startProcess(m); err != nil {
			return err
		}
		go f.balance(m)
	}
	return f.waitReady()
}

// writeSettings writes the settings file.
func (m *machine) writeSettings() error {
	data, err := json.Marshal(m.fields)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

func (f *platform) waitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(f.ready()) == len(f.machines) {
			f.record.note("all machines are ready")
			return nil
		}
	}
	return errors.New("the machines are not ready")
}

// startProcess starts the process of a machine, which is started again whenever it ends.
func (f *platform) startProcess(m *machine) error {
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(f.daemon, "entry") //nolint:gosec // the daemon that is reviewed
	c.Env = append(os.Environ(), "SNIPEPITCH_BOOT="+m.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.lock.Lock()
	m.process, m.done, m.startedAt = c.Process, done, time.Now()
	m.lock.Unlock()
	go f.watchMemory(m, c.Process, done)
	go func() {
		err := c.Wait()
		_ = log.Close()
		f.record.note("%s: the process has ended: %v", m.name, err)
		close(done)
		time.Sleep(restartTime)
		m.lock.Lock()
		stopped := m.stopped
		m.lock.Unlock()
		if !stopped {
			if err := f.startProcess(m); err != nil {
				f.record.note("%s: %v", m.name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills a process that exceeds the memory of its machine, as the platform does.
func (f *platform) watchMemory(m *machine, p *os.Process, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
		}
		megabytes := resident(p.Pid)
		m.lock.Lock()
		m.mostMemory = max(m.mostMemory, megabytes)
		over := megabytes > memoryMegabytes
		if over {
			m.overMemory++
		}
		m.lock.Unlock()
		if over {
			f.record.note("%s: the process has %d MiB in memory, the machine %d: it is killed", m.name, megabytes, memoryMegabytes)
			_ = p.Kill()
			return
		}
	}
}

// resident returns the resident memory of a process in MiB, which is the larger reading of the limit; 0 if it has ended.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				return 0
			}
			return kilobytes / 1024
		}
	}
	return 0
}

// balance asks a machine each second whether it is ready. Two misses take it out, an answer takes it in.
func (f *platform) balance(m *machine) {
	client := &http.Client{Timeout: time.Second}
	for misses := 0; ; time.Sleep(time.Second) {
		answer, err := client.Get("http://" + m.ready + "/api/readyz")
		misses++
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		m.lock.Lock()
		m.in = misses == 0 || m.in && misses < 2
		m.lock.Unlock()
	}
}

// ready returns the machines to which callers are sent.
func (f *platform) ready() []*machine {
	var all []*machine
	for _, m := range f.machines {
		m.lock.Lock()
		if m.in {
			all = append(all, m)
		}
		m.lock.Unlock()
	}
	return all
}

// end ends all processes.
func (f *platform) end() {
	for _, m := range f.machines {
		m.lock.Lock()
		m.stopped = true
		p, done := m.process, m.done
		m.lock.Unlock()
		if p != nil {
			_ = p.Kill()
			<-done
		}
	}
}
