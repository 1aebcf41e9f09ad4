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

// stopTimeout is the instances' bound for a planned stop.
const stopTimeout = 6 * time.Second

// instance is one process of the program.
type instance struct {
	soak  *Soak
	name  string
	store netip.AddrPort

	callers, ready, peers, metrics netip.AddrPort

	// turn is held by the fault that has the process in hand.
	turn sync.Mutex

	lock    sync.Mutex // guards the fields below
	process *os.Process
	ended   chan struct{}
}

// The ports of instances are below those that the system gives to outgoing
// connections, one of which could take a port while its process is down.
const lowestPort, ports = 12000, 18000

// portTries bounds the search for a free port.
const portTries = 100

// reserve finds free ports for all instances. They are released when all are found, before
// the processes take them: freed one instance after the other, the same port can be drawn
// for two of them.
func reserve(all []*instance, draw func() uint16) error {
	for _, i := range all {
		for _, a := range []*netip.AddrPort{&i.callers, &i.ready, &i.peers, &i.metrics} {
			l, err := listenLow(draw)
			if err != nil {
				return err
			}
			*a = l.Addr().(*net.TCPAddr).AddrPort()
			defer func() { _ = l.Close() }()
		}
	}
	return nil
}

// drawPort draws a port anew for each run: several soaks may run at once.
func drawPort() uint16 {
	return uint16(lowestPort + rand.Uint32N(ports)) //nolint:gosec // any free port will do, at most 30,000
}

// listenLow listens on a drawn port that is free.
func listenLow(draw func() uint16) (net.Listener, error) {
	for range portTries {
		address := netip.AddrPortFrom(loopback.Addr(), draw())
		if l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free port was found")
}

// start starts the process.
func (i *instance) start() error {
	settings := snipeentry.Settings{
		Name: i.name, Domain: "here", Callers: i.callers, Ready: i.ready, Peers: i.peers, Metrics: i.metrics,
		Table: i.store, OrderGap: snipejson.Duration(orderGap), RetryShare: 1, RetrySlack: 1000,
		RetrySpan: snipejson.Duration(snipeentry.DefaultRetrySpan), QuotaSpan: snipejson.Duration(snipeentry.DefaultQuotaSpan),
		StopTimeout: snipejson.Duration(stopTimeout), LogLevel: "info",
		DrainTime: snipejson.Duration(snipeentry.DefaultFreshness), ApplyTime: snipejson.Duration(snipeentry.DefaultFreshness),
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
	log, err := os.OpenFile(i.soak.log(i.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()                            // the process has its own
	c := exec.Command(i.soak.Program, "entry", "-settings", path) //nolint:gosec // the program under test
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// How it ended shows in its log.
		_ = c.Wait()
	}()
	i.lock.Lock()
	defer i.lock.Unlock()
	i.process, i.ended = c.Process, ended
	return nil
}

// signal sends a signal to the process, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.process != nil {
		// It may have ended by itself.
		_ = i.process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.wait()
}

func (i *instance) wait() {
	i.lock.Lock()
	ended := i.ended
	i.lock.Unlock()
	if ended != nil {
		<-ended
	}
}
