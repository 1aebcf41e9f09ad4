package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

func init() { plays["lateload"] = latePlay }

const (
	// lateMachines is the number of machines.
	lateMachines = 3
	// places is the number of adapters that the engine holds, loadTime what a load takes.
	places, loadTime = 4, 60 * time.Millisecond
	// lateTime is how much later an order without an answer is carried out.
	lateTime = 9 * time.Second
	// adapterWait bounds the time until an adapter is served.
	adapterWait = 8 * time.Second
)

// lateDay is a day on which an engine carries out an order late, after it has started again.
type lateDay struct {
	w      *world
	engine *snipestand.Runner
	number int
}

// latePlay has an engine leave one order to load an adapter unanswered, start again under its name, and carry it out
// then; the processes of all machines are killed at the same moment. Rule: no engine is ordered to load more adapters than it has places.
func latePlay(w *world) ([]string, error) {
	d := &lateDay{w: w, engine: &snipestand.Runner{
		ID: "e0", Service: engineSvc, Model: engineModel, Slots: places, Zone: zoneName, Events: 3, EventInterval: time.Millisecond,
		LoadDuration: loadTime, LateOrderDelay: lateTime, Faults: &snipestand.RunnerFaults{},
	}}
	if err := d.setUp(); err != nil {
		return nil, err
	}
	if err := d.before(); err != nil {
		return nil, err
	}
	if w.trouble {
		d.engine.Faults.Set(snipestand.RunnerLateOrders, 1)
		w.record("the engine leaves the next order unanswered, and carries it out %v later", lateTime)
	}
	go d.ask("a4", 400*time.Millisecond)
	time.Sleep(800 * time.Millisecond)
	d.engine.Faults.Set(snipestand.RunnerNoFault, 0)
	if err := d.restart(); err != nil {
		return nil, err
	}
	for _, a := range []string{"b1", "b2", "b3", "b4"} {
		if err := d.use(a); err != nil {
			return nil, err
		}
	}
	w.record("after the start: the engine holds %v", d.engine.Held())
	time.Sleep(lateTime + time.Second)
	accepted, over := d.engine.AcceptedOrders()
	w.record("%d orders were accepted, %d of them to load more than the engine has places for; it holds %v", len(accepted), over, d.engine.Held())
	if over > 0 {
		return []string{fmt.Sprintf("LIMIT: %d orders to load more than the engine has places for", over)}, nil
	}
	return nil, nil
}

func (d *lateDay) setUp() error {
	w := d.w
	if err := w.store.Declare(snipestand.Declared{
		Version: 1, Limits: snipestand.DeclaredLimits{BodyBytes: 4 << 20},
		Routes: []snipestand.DeclaredRoute{{
			Name: "drafts", Host: host, Prefix: "/draft/", Kind: snipestand.RouteStream, Service: engineSvc, Timeout: 6000, Target: 600, MaxAttempts: 1,
		}},
		Services: []snipestand.DeclaredService{{
			Name: engineSvc, Engine: &snipestand.DeclaredEngine{AdapterSlots: places, Models: []snipestand.DeclaredModel{{Name: engineModel}}},
		}},
	}); err != nil {
		return err
	}
	var err error
	if d.engine.Address, err = w.serve(d.engine.Handler()); err != nil {
		return err
	}
	if err := d.engine.SendHeartbeat(w.store); err != nil {
		return err
	}
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(heartbeat / 2)
			_ = d.engine.SendHeartbeat(w.store)
		}
	}()
	return w.start(lateMachines)
}

// before has the engine accept five orders: it holds three adapters then, one of them in its third version.
func (d *lateDay) before() error {
	if err := d.use("a1"); err != nil {
		return err
	}
	for version := range int64(2) {
		d.engine.SetNewestVersion("a1", version+2)
		if err := d.w.store.DeclareVersion(engineModel, "a1", version+2); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	for _, a := range []string{"a2", "a3"} {
		if err := d.use(a); err != nil {
			return err
		}
	}
	orders, _ := d.engine.AcceptedOrders()
	d.w.record("before: the engine holds %v after %d orders", d.engine.Held(), len(orders))
	return nil
}

// restart has the engine start again under its name, and kills and starts the processes of all machines.
func (d *lateDay) restart() error {
	d.engine.Restart()
	d.w.record("the engine has started again under its name")
	for _, i := range d.w.instances {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range d.w.instances {
		<-i.ended
		if err := i.start(filepath.Join(d.w.folder, i.name+".log")); err != nil {
			return err
		}
	}
	d.w.record("the processes of all machines were killed, and start again")
	if err := d.engine.SendHeartbeat(d.w.store); err != nil {
		return err
	}
	for _, i := range d.w.instances {
		if err := i.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// use sends requests for an adapter until one is served.
func (d *lateDay) use(adapter string) error {
	for end := time.Now().Add(adapterWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ask(adapter, 2*time.Second) {
			return nil
		}
	}
	return errors.New(adapter + " is not served")
}

// ask sends one request for an adapter and reports whether it was served.
func (d *lateDay) ask(adapter string, wait time.Duration) bool {
	d.number++
	id := fmt.Sprintf("request-%s-%d", adapter, d.number)
	i := d.w.instances[d.number%len(d.w.instances)]
	r := exchange(i.callers, fmt.Sprintf(
		"POST /draft/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: %d\r\nX-Snipepitch-Model: %s/%s\r\n"+
			"X-Snipepitch-Token-Usage: 40,3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		host, attemptID, id, wait.Milliseconds(), engineModel, adapter), wait)
	d.w.record("%s: status %d, error %v", id, r.status, r.err)
	return r.status == 200 && r.err == nil
}
