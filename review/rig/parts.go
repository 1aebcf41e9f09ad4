package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

func init() { plays["parts"] = partsPlay }

const (
	// engineCount and entryCount are the numbers of engines and of machines, downtime is how long a crashed engine is away.
	engineCount, entryCount, downtime = 6, 3, 2 * time.Second
	// sharedParts is the number of parts that all prompts share, before the one that crashes engines.
	sharedParts = 17
	// soundPause and badPause are the times between two sound requests, and between two with the part that crashes engines.
	soundPause, badPause = 40 * time.Millisecond, 500 * time.Millisecond
	// soundTime is how long sound requests alone are sent, partsTime how long those that crash engines come.
	soundTime, partsTime = 12 * time.Second, 45 * time.Second
	// touchTime is contactMs. Later than that after the crash with the number lastCrash, reachAllowed requests may reach
	// engines.
	touchTime, lastCrash, reachAllowed = 3 * time.Second, 5, 3
	badPart                            = "bad0bad0"
	engineModel, engineSvc             = "base", "order-helper"
)

// partsDay is a day on which one part of a prompt crashes engines.
type partsDay struct {
	w        *world
	engines  []*snipestand.RunnerServer
	position int
	callers  sync.WaitGroup
	lock     sync.Mutex // guards the fields below
	sound    tally
}

// partsPlay sends requests with a part that crashes engines, after seventeen sound ones. Rule: later than contactMs after
// the fifth crash, no more than three of them reach engines.
func partsPlay(w *world) ([]string, error) {
	d := &partsDay{w: w, position: sharedParts}
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		d.position = n
	}
	if err := d.setUp(); err != nil {
		return nil, err
	}
	defer func() {
		for _, e := range d.engines {
			e.Close()
		}
	}()
	time.Sleep(5 * time.Second)
	d.send(soundTime, false)
	w.record("sound requests alone: %s", d.sound)
	d.sound = tally{}
	d.send(partsTime, true)
	w.record("sound requests beside those that crash engines: %s", d.sound)
	return d.judge(), nil
}

func (d *partsDay) setUp() error {
	w := d.w
	if err := w.store.Declare(snipestand.Declared{
		Version: 1, Limits: snipestand.DeclaredLimits{BodyBytes: 4 << 20},
		Routes: []snipestand.DeclaredRoute{{
			Name: "drafts", Host: host, Prefix: "/draft/", Kind: snipestand.RouteStream, Service: engineSvc, Timeout: 6000, Target: 600, MaxAttempts: 1,
		}},
		Services: []snipestand.DeclaredService{{
			Name: engineSvc, Engine: &snipestand.DeclaredEngine{AdapterSlots: 18, Models: []snipestand.DeclaredModel{{Name: engineModel}}},
		}},
	}); err != nil {
		return err
	}
	for n := range engineCount {
		e := &snipestand.RunnerServer{
			Runner: &snipestand.Runner{
				ID: fmt.Sprintf("e%d", n), Service: engineSvc, Model: engineModel, Slots: 18, Zone: zoneName, Events: 6,
				EventInterval: 5 * time.Millisecond, LoadDuration: 250 * time.Millisecond, Faults: &snipestand.RunnerFaults{},
			},
			Downtime: downtime,
		}
		if w.trouble {
			e.CrashPart = badPart
		}
		if err := e.Start(); err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	d.beat()
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(heartbeat / 2)
			d.beat()
		}
	}()
	return w.start(entryCount)
}

func (d *partsDay) beat() {
	for _, e := range d.engines {
		_ = e.Runner.SendHeartbeat(d.w.store)
	}
}

// send sends requests for a time and waits for their answers.
func (d *partsDay) send(length time.Duration, bad bool) {
	end, nextBad := time.Now().Add(length), time.Now()
	for n := 0; time.Now().Before(end); n++ {
		i := d.w.instances[n%len(d.w.instances)]
		if bad && time.Now().After(nextBad) {
			nextBad = nextBad.Add(badPause)
			d.callers.Go(func() { d.request(i, fmt.Sprintf("bad-%d", n), true) })
		}
		d.callers.Go(func() { d.request(i, fmt.Sprintf("sound-%v-%d", bad, n), false) })
		time.Sleep(soundPause)
	}
	d.callers.Wait()
}

// request sends one request, whose prompt has its own last part.
func (d *partsDay) request(i *instance, id string, bad bool) {
	parts := make([]string, 0, sharedParts+2)
	for n := range sharedParts {
		parts = append(parts, fmt.Sprintf("5ba%05x:20", n))
	}
	if bad {
		parts = slices.Insert(parts, d.position, badPart+":20")
	}
	parts = append(parts, fmt.Sprintf("%x:40", id))
	r := exchange(i.callers, fmt.Sprintf(
		"POST /draft/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Snipepitch-Deadline-Ms: 6000\r\nX-Snipepitch-Model: %s\r\n"+
			"X-Snipepitch-Token-Usage: 400,30\r\nX-Snipepitch-Prompt-Prefix: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		host, attemptID, id, engineModel, strings.Join(parts, ","), len(id), id), 6*time.Second)
	d.w.record("%s at %s: status %d, error %v", id, i.name, r.status, r.err)
	if bad {
		return
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.sound.sent++; r.status == 200 && r.err == nil && r.header.Get(seal) != "" {
		d.sound.served++
	}
}

// judge counts the requests with the part that reached engines too late.
func (d *partsDay) judge() []string {
	var crashes []time.Time
	var arrivals []snipestand.CrashArrival
	for _, e := range d.engines {
		r := e.Runner.CrashesOnPart(badPart)
		crashes, arrivals = append(crashes, r.Crashes...), append(arrivals, r.Arrivals...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	d.w.record("%d requests with the part reached engines, %d crashed one", len(arrivals), len(crashes))
	if len(crashes) < lastCrash {
		return nil
	}
	after, late := crashes[lastCrash-1].Add(touchTime), 0
	for _, a := range arrivals {
		if a.At.After(after) {
			late++
		}
	}
	d.w.record("%d of them later than contactMs after the fifth crash", late)
	if late <= reachAllowed {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: %d requests with the part that crashes engines reached engines later than contactMs after the fifth crash; engines crashed %d times", late, len(crashes))}
}
