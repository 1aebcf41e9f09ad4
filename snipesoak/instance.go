package snipesoak

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeentry"
	"snipepitch.example/snipepitch/snipejson"
)

// stopTimeout is the instances' StopTimeout setting, which bounds a planned stop.
const stopTimeout = 6 * time.Second

// instance is one process of the program under test.
type instance struct {
	soak  *Soak
	name  string
	store netip.AddrPort

	callers, ready, peers, metrics netip.AddrPort

	// faultLock is held by the fault that currently stops, kills or freezes the process.
	faultLock sync.Mutex

	lock    sync.Mutex // guards the fields below
	process *os.Process
	// ended is closed when the process has ended.
	ended chan struct{}
	// starts counts the starts of the process.
	starts int
}

// The ports of instances lie below the ephemeral range, because the system could give a port in
// that range to an outgoing connection while the instance's process is down.
const lowestPort, portCount = 12000, 18000

// maxPortAttempts bounds the search for a free port.
const maxPortAttempts = 100

// reservePorts finds free ports for all instances. It keeps every port open until all are found,
// because a port that was released early could be drawn again for another instance. All ports are
// released on return, before the processes take them.
func reservePorts(all []*instance, draw func() uint16) error {
	for _, i := range all {
		for _, a := range []*netip.AddrPort{&i.callers, &i.ready, &i.peers, &i.metrics} {
			l, err := listenOnDrawnPort(draw)
			if err != nil {
				return err
			}
			*a = l.Addr().(*net.TCPAddr).AddrPort()
			defer func() { _ = l.Close() }()
		}
	}
	return nil
}

// drawPort returns a random port. Ports differ from run to run, because several soaks may run at
// once on one machine.
func drawPort() uint16 {
	return uint16(lowestPort + rand.Uint32N(portCount)) //nolint:gosec // any free port will do, at most 30,000
}

// listenOnDrawnPort draws ports until it can listen on one.
func listenOnDrawnPort(draw func() uint16) (net.Listener, error) {
	for range maxPortAttempts {
		address := netip.AddrPortFrom(loopback.Addr(), draw())
		if l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free port was found")
}

// start writes the settings file and starts the process, which appends to the instance's log. It
// does not wait until the instance is ready.
func (i *instance) start() error {
	settings := snipeentry.Settings{
		Name: i.name, Domain: "here", Callers: i.callers, Ready: i.ready, Peers: i.peers, Metrics: i.metrics,
		Table: i.store, OrderGap: snipejson.Duration(orderGap), RetryShare: retryBound.Share, RetrySlack: retryBound.Slack,
		RetrySpan: snipejson.Duration(retryBound.Span), QuotaSpan: snipejson.Duration(snipeentry.DefaultQuotaSpan),
		StopTimeout: snipejson.Duration(stopTimeout), LogLevel: "info",
		DrainTime: snipejson.Duration(snipeentry.DefaultMaxStaleness), ApplyTime: snipejson.Duration(snipeentry.DefaultMaxStaleness),
		CrashTime: snipejson.Duration(crashTime),
	}
	if i.soak.sharesAdmission() {
		settings.AdmissionShare = soakedShare
	}
	for _, other := range i.soak.instances {
		settings.Seeds = append(settings.Seeds, other.peers)
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(i.soak.Folder, i.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(i.soak.logPath(i.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()                            // the process has its own descriptor
	c := exec.Command(i.soak.Program, "entry", "-settings", path) //nolint:gosec // the program under test
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The process's log shows how it ended.
		_ = c.Wait()
	}()
	i.lock.Lock()
	defer i.lock.Unlock()
	i.process, i.ended = c.Process, ended
	i.starts++
	return nil
}

// currentStart returns the number of the current start of the process.
func (i *instance) currentStart() int {
	i.lock.Lock()
	defer i.lock.Unlock()
	return i.starts
}

// signal sends a signal to the process if it has been started.
func (i *instance) signal(s syscall.Signal) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.process != nil {
		// The process may have ended by itself.
		_ = i.process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.wait()
}

// wait blocks until the process has ended. It returns at once if no process has been started.
func (i *instance) wait() {
	i.lock.Lock()
	ended := i.ended
	i.lock.Unlock()
	if ended != nil {
		<-ended
	}
}
